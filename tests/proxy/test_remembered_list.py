"""Tests that a proxy starts from the endpoints and release status that version 883dea8 wrote to disk."""

from __future__ import annotations

from pathlib import Path

import anyio

from gullmount.decisions.model import ReleasePhase
from gullmount.net import STREAM_ERRORS, MemoryNet, Net, Stream
from gullmount.proxy import FileStateStore, ProxyInstance
from tests.support.paths import ROOT
from tests.support.proxy_edge import OK_RESPONSE, make_proxy_config, run_with_net

WRITTEN_BY_883DEA8 = ROOT / "tests" / "data" / "remembered_list_883dea8.json"
# Unix time, in seconds, at which the file was written.
SAVED_AT = 1_800_000_000.0


def start_proxy(net: Net, tmp_path: Path, log: list[str]) -> ProxyInstance:
    """Return a proxy without discovery and release controller, one hour after the file was written."""
    path = tmp_path / "remembered.json"
    path.write_bytes(WRITTEN_BY_883DEA8.read_bytes())
    return ProxyInstance(
        make_proxy_config(),
        net=net,
        state_store=FileStateStore(path),
        wall=lambda: SAVED_AT + 3600.0,
        log=lambda event, **fields: log.append(event),
    )


def test_endpoints_and_release_status_of_883dea8_are_restored_at_start(tmp_path: Path) -> None:
    async def scenario(net: Net) -> None:
        log: list[str] = []
        async with start_proxy(net, tmp_path, log) as proxy:
            servers = proxy.runtime.router.endpoints.servers
            listed = {
                server_id: (server.zone, server.cell, server.build, server.ready, server.capacity_hint)
                for server_id, server in servers.items()
            }
            assert listed == {
                "10.0.0.1:8200": ("b", 1, 1, True, 1.0),
                "10.0.0.2:8200": ("a", 2, 2, True, 0.5),
                "10.0.0.3:8200": ("b", 3, 1, False, 1.0),
                "10.0.0.4:8200": ("a", 4, 2, True, 1.0),
            }
            now = proxy.runtime.now()
            ages = [round(now - servers[f"10.0.0.{number}:8200"].started_at, 1) for number in (1, 2)]
            assert ages == [3640.5, 3602.0]
            candidate = proxy.runtime.router.releases.candidates[-1]
            assert (candidate.build, candidate.stage, candidate.phase, candidate.exposure_limit) == (
                2,
                0,
                ReleasePhase.CANDIDATE,
                0.1,
            )
        assert not [event for event in log if "invalid" in event], log

    run_with_net(True, scenario)


def test_requests_go_to_ready_servers_of_883dea8_and_never_to_the_draining_one(tmp_path: Path) -> None:
    async def scenario(net: Net) -> None:
        served: list[str] = []
        assert isinstance(net, MemoryNet)
        async with anyio.create_task_group() as tasks:
            for number in range(1, 5):
                address = f"10.0.0.{number}:8200"

                async def serve_ok(stream: Stream, address: str = address) -> None:
                    try:
                        while True:
                            await stream.receive()
                            served.append(address)
                            await stream.send(OK_RESPONSE)
                    except STREAM_ERRORS:
                        pass

                started = anyio.Event()
                tasks.start_soon(net.serve, address, serve_ok, started)
                await started.wait()
            async with start_proxy(net, tmp_path, []) as proxy:
                with anyio.fail_after(5):
                    await proxy.listening.wait()
                for _ in range(20):
                    stream = await net.connect(proxy.config.listen)
                    await stream.send(b"GET /look HTTP/1.1\r\nHost: x\r\n\r\n")
                    assert (await stream.receive()).startswith(b"HTTP/1.1 200 ")
                    await stream.aclose()
            tasks.cancel_scope.cancel()
        assert len(served) == 20 and "10.0.0.3:8200" not in served

    run_with_net(True, scenario)
