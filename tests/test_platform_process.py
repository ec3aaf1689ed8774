"""Runs the entry node for the users' platform as a separate process."""

import asyncio
import json
import os
import signal
import sys
import types

import aiohttp
import pytest

from eelgrass_node.platform.__main__ import main
from eelgrass_standins.ports import free_addresses
from eelgrass_standins.row_store import RowStoreStandIn
from support.entry import configuration
from support.serving import served

SETTINGS = """
NodeName: "edge-1"
Zone: "a"
BindIp: "127.0.0.1"
Listen: {{Frontend: "{callers}", Readiness: "{ready}", Control: "{control}"}}
PortRange: [{gossip}, {gossip}]
Seeds: []
Platform: {{Address: "{store}"}}
Bounds: {{GraceS: 6}}
"""


async def status_of(address, path):
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}{path}") as response,
        ):
            return response.status, await response.text()
    except aiohttp.ClientError:
        return 0, ""


async def until_status(address, expected, within_s=10.0):
    async with asyncio.timeout(within_s):
        while (await status_of(address, "/-/readyz"))[0] != expected:  # noqa: ASYNC110
            await asyncio.sleep(0.05)


@pytest.mark.processes
class TestProcess:
    async def test_from_start_to_planned_stop(self, tmp_path):
        callers, ready, control, gossip, store_address = free_addresses(5)
        store = RowStoreStandIn()
        async with served(store.add_routes, store_address):
            file = tmp_path / "local.yaml"
            file.write_text(
                SETTINGS.format(
                    callers=callers,
                    ready=ready,
                    control=control,
                    gossip=gossip.rpartition(":")[2],
                    store=store_address,
                )
            )
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "eelgrass_node.platform",
                env={**os.environ, "EELGRASSWARD_CONFIG": str(file)},
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                await until_status(ready, 503)
                store.put("op", "config", configuration())
                await until_status(ready, 200)
                process.send_signal(signal.SIGHUP)
                _, metrics = await status_of("127.0.0.1:9464", "/metrics")
                assert "eelgrassward_configuration_version 1.0" in metrics
                assert (await status_of(ready, "/-/readyz"))[0] == 200
                process.terminate()
                await until_status(ready, 503, 1.0)
                output, _ = await asyncio.wait_for(process.communicate(), 6.0)
            finally:
                if process.returncode is None:
                    process.kill()
        assert process.returncode == 0
        sentences = [json.loads(line)["message"] for line in output.splitlines()]
        assert sentences[0] == "node: Started."
        assert (
            "node: Reload requested; settings take effect after a restart." in sentences
        )
        assert "configuration: A version is in force." in sentences
        assert sentences[-1] == "node: Stopped."

    async def test_invalid_settings_end_it_with_a_remedy(self, tmp_path):
        file = tmp_path / "local.yaml"
        file.write_text("NodeName: 3")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "eelgrass_node.platform",
            env={**os.environ, "EELGRASSWARD_CONFIG": str(file)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await asyncio.wait_for(process.communicate(), 10.0)
        assert process.returncode == 2
        assert b"Correct the value that is named" in errors


class TestSignals:
    def test_a_reload_during_the_start_does_not_end_the_process(self, monkeypatch):
        """SIGHUP must not end the process while its libraries load, for half a second.

        The soak test found this fault.
        """
        seen = []

        class Loading(types.ModuleType):
            def __getattr__(self, name):
                seen.append(signal.getsignal(signal.SIGHUP))
                return lambda: 0

        module = "eelgrass_node.platform.cli"
        monkeypatch.setitem(sys.modules, module, Loading(module))
        before = signal.getsignal(signal.SIGHUP)
        try:
            with pytest.raises(SystemExit):
                main()
        finally:
            signal.signal(signal.SIGHUP, before)
        assert seen[-1] is signal.SIG_IGN
