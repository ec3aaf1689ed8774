"""Parses the command line and maps errors to exit codes."""

import sys

import defopt

from . import commands
from .exceptions import CommandError

__all__ = ["run"]


def run(arguments: list[str] | None = None) -> int:
    """Run a command and return its exit code."""
    functions = [getattr(commands, name) for name in commands.__all__]
    try:
        return int(defopt.run(functions, argv=arguments, cli_options="kwonly"))
    except CommandError as error:
        print(error, file=sys.stderr)
        return int(error.code)
