"""Malformed, oversized, slow and smuggled requests do not reach a backend server."""

import asyncio

import pytest
import pytest_asyncio

from support.connections import connect
from support.entry import HOST, KEY, EntryDeployment, configuration, until

HEAD = (
    f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nEelgrassward-Attempt-Id: id-1\r\n"
)
LARGE = "x" * 20_000
REQUESTS = {
    "no request at all": ("nonsense\r\n\r\n", 400),
    "two lengths": (
        f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: 2\r\n"
        "Content-Length: 3\r\n\r\nabc",
        400,
    ),
    "length and chunks": (
        f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: 2\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "a length that is no number": (
        f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: +2\r\n\r\nab",
        400,
    ),
    "a chunk of a wrong size": (
        f"POST /safe/x HTTP/1.1\r\n{HEAD}"
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
        400,
    ),
    "a blank before the colon": (
        f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length : 2\r\n\r\nab",
        400,
    ),
    "a folded header": (f"GET /safe/x HTTP/1.1\r\n{HEAD}X-A: 1\r\n 2\r\n\r\n", 400),
    "no request id": (f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\n\r\n", 400),
    "two request ids": (
        f"GET /safe/x HTTP/1.1\r\n{HEAD}Eelgrassward-Attempt-Id: id-2\r\n\r\n",
        400,
    ),
    "two hosts": (f"GET /safe/x HTTP/1.1\r\n{HEAD}Host: other\r\n\r\n", 400),
    "a deadline that is no number": (
        f"GET /safe/x HTTP/1.1\r\n{HEAD}Eelgrassward-Deadline-Ms: soon\r\n\r\n",
        400,
    ),
    "an absurd deadline": (
        f"GET /safe/x HTTP/1.1\r\n{HEAD}Eelgrassward-Deadline-Ms: 1e300\r\n\r\n",
        400,
    ),
    "a negative deadline": (
        f"GET /safe/x HTTP/1.1\r\n{HEAD}Eelgrassward-Deadline-Ms: -5\r\n\r\n",
        400,
    ),
    "a deadline that is no finite number": (
        f"GET /safe/x HTTP/1.1\r\n{HEAD}Eelgrassward-Deadline-Ms: nan\r\n\r\n",
        400,
    ),
    "a large header": (f"GET /safe/x HTTP/1.1\r\n{HEAD}X-A: {LARGE}\r\n\r\n", 431),
    "many headers": (
        f"GET /safe/x HTTP/1.1\r\n{HEAD}"
        + "".join(f"X-{n}: {'y' * 1000}\r\n" for n in range(20))
        + "\r\n",
        431,
    ),
    "a large body": (
        f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: 70000\r\n\r\n" + "z" * 70_000,
        413,
    ),
    "an unknown key": (
        f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\n"
        "Authorization: Bearer no\r\n"
        "Eelgrassward-Attempt-Id: id-1\r\n\r\n",
        401,
    ),
    "no route": (f"GET /none HTTP/1.1\r\n{HEAD}\r\n", 404),
}


@pytest_asyncio.fixture
async def entry():
    async with EntryDeployment(nodes=1) as deployment:
        yield deployment


async def send(entry, text, within_s=2.0):
    """Send bytes and return the status of the response, 0 if there is none."""
    reader, writer = await connect(entry.nodes[0].settings.callers)
    writer.write(text.encode())
    try:
        line = await asyncio.wait_for(reader.readline(), within_s)
    finally:
        writer.close()
    return int(line.split()[1]) if line else 0


def runs(entry):
    return [run for service in entry.engines_by_service for run in entry.runs(service)]


class TestBadInput:
    @pytest.mark.parametrize("name", REQUESTS)
    async def test_it_is_refused_and_reaches_no_server(self, entry, name):
        text, expected = REQUESTS[name]
        assert await send(entry, text) == expected
        assert runs(entry) == []

    async def test_a_smuggled_request_is_passed_on_as_the_body(self, entry):
        inner = f"POST /once/x HTTP/1.1\r\n{HEAD}\r\n"
        length = f"Content-Length: {len(inner)}"
        text = f"POST /safe/x HTTP/1.1\r\n{HEAD}{length}\r\n\r\n{inner}"
        assert await send(entry, text) == 200
        [run] = runs(entry)
        assert run.target == "/safe/x" and run.body == inner.encode()

    async def test_a_good_request_of_the_same_form_is_served(self, entry):
        text = f"POST /safe/x HTTP/1.1\r\n{HEAD}Content-Length: 2\r\n\r\nab"
        assert await send(entry, text) == 200


class TestSlowCallers:
    async def set_header_timeout(self, entry, milliseconds):
        """Configure the timeout for request headers and wait until it is in force."""
        settings = configuration(version=2)
        settings["Limits"]["HeaderTimeoutMs"] = milliseconds
        entry.store.put("op", "config", settings)
        await until(lambda: entry.nodes[0].deployments.number == 2)

    async def test_an_incomplete_header_times_out(self, entry):
        await self.set_header_timeout(entry, 200)
        began = asyncio.get_running_loop().time()
        assert await send(entry, f"POST /safe/x HTTP/1.1\r\n{HEAD}") == 408
        assert 0.2 <= asyncio.get_running_loop().time() - began < 1.5

    async def test_an_idle_connection_stays_open(self, entry):
        await self.set_header_timeout(entry, 100)
        reader, writer = await connect(entry.nodes[0].settings.callers)
        for _ in range(2):
            await asyncio.sleep(1.0)
            writer.write(f"GET /safe/x HTTP/1.1\r\n{HEAD}\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 2.0)
            assert b" 200 " in line
            await reader.readuntil(b"answer of ")
        writer.close()
