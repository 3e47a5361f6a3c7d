"""Runs a proxy instance in memory and virtual time against discovery, release controller and servers.

A test supplies the connection handlers of these services.
"""

from __future__ import annotations

import json
import re
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import anyio
import trio.testing

from gullmount.net import STREAM_ERRORS, MemoryNet, Stream
from gullmount.platform.configuration import read_configuration
from gullmount.platform.instance import PlatformInstance
from tests.support.platform_world import HOST, OK, configuration, endpoint_entry, endpoint_list_response

SERVER_ADDRESS = f"{HOST}:8200"
RequestHandler = Callable[[Stream, bytes], Awaitable[None]]
ConnectionHandler = Callable[[Stream], Awaitable[None]]


async def respond_ok(stream: Stream, data: bytes) -> None:
    await stream.send(OK)


async def never_respond(stream: Stream, data: bytes) -> None:
    """Keep the connection open and send nothing."""


async def idle_discovery(stream: Stream) -> None:
    """Discovery without changes: responds to each call when its requested wait is over."""
    try:
        while True:
            wait = re.findall(rb"wait_ms=(\d+) ", await stream.receive())
            await anyio.sleep(int(wait[0]) / 1000)
            await stream.send(endpoint_list_response(1, []))
    except STREAM_ERRORS:
        pass


class InMemoryProxy:
    """A proxy instance, the events that it logged, and the number of connections to its server."""

    def __init__(self, net: MemoryNet, instance: PlatformInstance, log: list[str]) -> None:
        self.net, self.instance, self.log = net, instance, log
        self.connections = 0

    async def request(self, data: bytes) -> bytes:
        stream = await self.net.connect(f"{HOST}:8100")
        await stream.send(data)
        try:
            return await stream.receive()
        except STREAM_ERRORS:
            return b""
        finally:
            await stream.aclose()


def run_in_virtual_time(
    folder: Path,
    handle_request: RequestHandler,
    scenario: Callable[[InMemoryProxy], Awaitable[None]],
    services: Mapping[int, ConnectionHandler] | None = None,
    **overrides: Any,
) -> None:
    """Run `scenario` with a proxy instance that knows one server.

    Args:
        folder: Where the configuration file is written.
        handle_request: Handles each request that reaches the server.
        scenario: Called once the instance accepts clients.
        services: Connection handlers by port; by default discovery (8101) reports no changes and the release
            controller (8102) is silent.
        **overrides: Top-level keys of the configuration file.
    """
    path = folder / "config.json"
    known = {"revision": 1, "complete": True, "members": [endpoint_entry("s-1", SERVER_ADDRESS)]}
    path.write_text(json.dumps(configuration(known=known, **overrides)))

    async def run_scenario() -> None:
        net, log = MemoryNet(), list[str]()
        async with anyio.create_task_group() as tasks:
            net.task_group = tasks
            instance = PlatformInstance(
                read_configuration({"PROXY_CONFIG": str(path)}),
                net,
                lambda event, **fields: log.append(event),
                wall_clock=anyio.current_time,
            )
            proxy = InMemoryProxy(net, instance, log)

            async def handle_server_connection(stream: Stream) -> None:
                proxy.connections += 1
                try:
                    while True:
                        await handle_request(stream, await stream.receive())
                except STREAM_ERRORS:
                    pass

            async def silent_service(stream: Stream) -> None:
                await anyio.sleep_forever()

            for port, handler in {
                8200: handle_server_connection,
                8101: idle_discovery,
                8102: silent_service,
                **(services or {}),
            }.items():
                started = anyio.Event()
                tasks.start_soon(net.serve, f"{HOST}:{port}", handler, started)
                await started.wait()
            await instance.serve(tasks)
            await scenario(proxy)
            tasks.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(run_scenario, backend="trio", backend_options={"clock": clock})
