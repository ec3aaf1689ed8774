"""A bare HTTP forwarder, the baseline of the hop cost; arguments: ``PORT TARGET``.

It posts each body to the target and returns the answer, with the client and server
library of the node.
"""

import sys

import aiohttp
from aiohttp import web


def main() -> None:
    """Forward requests until terminated."""
    port, target = int(sys.argv[1]), sys.argv[2]
    session: list[aiohttp.ClientSession] = []

    async def forward(request: web.Request) -> web.Response:
        body = await request.read()
        headers = {"Content-Type": "application/json"}
        async with session[0].post(target, data=body, headers=headers) as response:
            return web.Response(
                body=await response.read(), content_type="application/json"
            )

    async def start(app: web.Application) -> None:
        session.append(aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()))

    app = web.Application()
    app.on_startup.append(start)
    app.router.add_post("/", forward)
    web.run_app(app, host="127.0.0.1", port=port, access_log=None, print=None)


if __name__ == "__main__":
    main()
