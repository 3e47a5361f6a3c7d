"""Fixture that runs one proxy with servers and clients whose bytes are scripted."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import msgspec
import trio.testing

from gullmount.net import RECEIVE_BYTES, STREAM_ERRORS, MemoryNet, Net, Stream, TcpNet, WrappedStream
from gullmount.proxy import ProxyConfig, ProxyInstance
from tests.support.fault_block import reserve_loopback_block

ServerScript = Callable[[Stream], Awaitable[None]]
OK_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
OVERLOADED_RESPONSE = b"HTTP/1.1 503 Busy\r\nx-not-begun: 1\r\ncontent-length: 0\r\n\r\n"
HOST = f"{reserve_loopback_block()}.0.1"


def make_proxy_config(**changes: Any) -> ProxyConfig:
    """Return a valid configuration in which `changes` replace top-level values."""
    settings = {
        "number": 0,
        "of": 1,
        "zone": "a",
        "listen": f"{HOST}:8000",
        "seed": 5,
        "roster": {"address": f"{HOST}:7001"},
        "launcher": {"address": f"{HOST}:7002"},
        "routes": [
            {
                "name": "pay",
                "match": {"path": "/pay*"},
                "objective": 0.5,
                "timeout": 2,
                "repeats": "non_retriable",
            },
            {
                "name": "mark",
                "match": {"path": "/mark*"},
                "objective": 0.5,
                "timeout": 2,
                "repeats": "deduped",
                "dedupe_window": 3,
                "dedupe_mark": "x-mark",
            },
            {
                "name": "flow",
                "match": {"path": "/flow*"},
                "objective": 0.5,
                "timeout": 2,
                "repeats": "retriable",
                "stream": True,
            },
            {
                "name": "look",
                "match": {"path": "/look*"},
                "objective": 0.5,
                "timeout": 2,
                "repeats": "retriable",
            },
        ],
        "boxes": {
            "cold_share": 0.3,
            "warm_time": 3,
            "tip_multiple": 3,
            "max_tries": 4,
            "connect_within": 0.2,
        },
        "releases": {
            "caps": [0.1, 1.0],
            "window": 3,
            "spare_tries": 2,
            "vote_life": 4,
            "to_advance": 1,
            "back_votes": 1,
            "votes_per_s": 50,
        },
    }
    return ProxyConfig.model_validate({**settings, **changes})


class ProxyFixture:
    """A running proxy and its network.

    Attributes:
        received: Data that the servers received, each with the server's port, in the order of arrival.
        outcomes: Outcomes of the attempts, in the order in which they ended.
    """

    def __init__(self, net: Net, proxy: ProxyInstance) -> None:
        self.net = net
        self.proxy = proxy
        self.received: list[tuple[str, bytes]] = []
        self.outcomes: list[str] = []

    async def connect_client(self) -> Stream:
        """Open a client connection to the proxy."""
        return await self.net.connect(self.proxy.config.listen)

    async def send_and_read(self, data: bytes, timeout: float = 5.0) -> bytes:
        """Send `data` on a new connection; return all that is received until it ends or `timeout` passes."""
        stream = await self.connect_client()
        await stream.send(data)
        return await self.read_to_end(stream, timeout)

    async def read_to_end(self, stream: Stream, timeout: float = 5.0) -> bytes:
        """Return all that is received until the stream ends or `timeout` passes, and close the stream."""
        response = b""
        with anyio.move_on_after(timeout):
            try:
                while True:
                    response += await stream.receive()
            except STREAM_ERRORS:
                pass
        await stream.aclose()
        return response


async def serve_watch(stream: Stream, *messages: dict[str, Any]) -> None:
    """Respond to a watch with each message as a chunk, and keep the stream open."""
    await stream.receive()
    chunks = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
    for message in messages:
        line = msgspec.json.encode({"v": 1, **message}) + b"\n"
        chunks += b"%x\r\n%s\r\n" % (len(line), line)
    await stream.send(chunks)
    await anyio.sleep_forever()


@asynccontextmanager
async def proxy_fixture(
    net: Net, scripts: dict[str, ServerScript], **changes: Any
) -> AsyncIterator[ProxyFixture]:
    """Run a proxy that knows one server for each script.

    Args:
        net: Network of the proxy, the servers and the clients.
        scripts: What each server does on a connection, by the server's port.
        changes: Passed to `make_proxy_config`.
    """
    servers = [
        {
            "box": f"{HOST}:{port}",
            "zone": "a",
            "cell": 0,
            "build": 1,
            "state": "ready",
            "power": 1.0,
            "start": None,
            "age": None,
        }
        for port in scripts
    ]

    async def serve_discovery(stream: Stream) -> None:
        await serve_watch(stream, {"kind": "full", "index": 1, "boxes": servers})

    async def serve_release_controller(stream: Stream) -> None:
        await serve_watch(stream, {"news": {"build": 1, "stage": 1, "phase": "released", "cap": 1.0}})

    async with anyio.create_task_group() as tasks:

        async def serve(address: str, script: ServerScript) -> None:
            started = anyio.Event()
            tasks.start_soon(net.serve, address, script, started)
            await started.wait()

        await serve(f"{HOST}:7001", serve_discovery)
        await serve(f"{HOST}:7002", serve_release_controller)
        async with ProxyInstance(make_proxy_config(**changes), net=net) as proxy:
            fixture = ProxyFixture(net, proxy)
            original_attempt_ended = proxy.runtime.router.attempt_ended

            def record_outcome(request: Any, number: int, outcome: Any, latency: float, final: bool) -> None:
                fixture.outcomes.append(outcome.value)
                original_attempt_ended(request, number, outcome, latency, final)

            proxy.runtime.router.attempt_ended = record_outcome  # type: ignore[method-assign]
            for port, script in scripts.items():

                async def run_script(stream: Stream, port: str = port, script: ServerScript = script) -> None:
                    try:
                        await script(RecordingStream(stream, port, fixture))
                    except STREAM_ERRORS:
                        pass
                    await anyio.aclose_forcefully(stream)

                if script is not connection_refused:
                    await serve(f"{HOST}:{port}", run_script)
            with anyio.fail_after(5):
                await proxy.listening.wait()
            yield fixture
        tasks.cancel_scope.cancel()


class RecordingStream(WrappedStream):
    """A server's side of a connection that records the received data in the fixture."""

    def __init__(self, inner: Stream, port: str, fixture: ProxyFixture) -> None:
        super().__init__(inner)
        self.port, self.fixture = port, fixture

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        data = await super().receive(max_bytes)
        self.fixture.received.append((self.port, data))
        return data

    @property
    def abort(self) -> Any:
        return self.inner.abort  # type: ignore[attr-defined]


async def connection_refused(stream: Stream) -> None:
    """Script of a server that is not started, so that connections to it are refused."""


def run_with_net(virtual: bool, scenario: Callable[[Net], Awaitable[None]]) -> None:
    """Run a scenario in memory and virtual time if `virtual`, otherwise on sockets."""
    if virtual:
        clock = trio.testing.MockClock(autojump_threshold=0)
        anyio.run(scenario, MemoryNet(), backend="trio", backend_options={"clock": clock})
    else:
        anyio.run(scenario, TcpNet(), backend="asyncio")
