#!/bin/sh
# Builds what the scripts start, after the build of the deploy file. The stand-ins need
# nothing but Python's own library, so they are only compiled.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/eelgrass_node
python3 -S -m compileall -q review
