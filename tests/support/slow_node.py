"""Runs an entry node that spends processor time on each request, as a weak host does.

Its event loop stands still for ``EELGRASS_REQUEST_COST_S`` with each request, so that
its capacity does not depend on what else runs on the machine.
"""

import os
import runpy
import time

from eelgrass_node.request.request_handler import RequestHandler

COST_S = float(os.environ["EELGRASS_REQUEST_COST_S"])
handle = RequestHandler.handle


async def handle_slowly(self, request):
    """Stand still, then handle a request."""
    time.sleep(COST_S)  # noqa: ASYNC251
    return await handle(self, request)


if __name__ == "__main__":
    RequestHandler.handle = handle_slowly
    runpy.run_module("eelgrass_node.platform", run_name="__main__", alter_sys=True)
