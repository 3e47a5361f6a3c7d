"""Tests that connections wait and get responses when the real process has no free descriptor (EMFILE)."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.support.descriptors import set_descriptor_limit
from tests.support.platform_world import (
    ProxyProcess,
    StubPlatform,
    configuration,
    fixed_response_server,
    read_message,
    request_bytes,
)

CLIENT_COUNT = 12
KEPT_CONNECTIONS = 40
# Each server can process four requests at once.
SERVER_COUNT = 4
SHORTAGE_SECONDS = 0.4
# Time for the responses once descriptors are available again.
RESPONSE_TIMEOUT_SECONDS = 0.5
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@asynccontextmanager
async def running_proxy(folder: Path) -> AsyncIterator[ProxyProcess]:
    """Run the proxy with servers, discovery and release controller."""
    world = StubPlatform()
    await world.serve_platform()
    for number in range(SERVER_COUNT):
        await world.add_server(8120 + number, fixed_response_server(OK))
    proxy = ProxyProcess(
        folder, configuration(known={"revision": 1, "complete": True, "members": world.members})
    )
    await proxy.start()
    try:
        await asyncio.sleep(0.5)
        yield proxy
    finally:
        await proxy.stop()
        await world.close()


def test_connections_wait_for_a_free_descriptor_and_then_get_a_response(tmp_path: Path) -> None:
    """Guards against the event loop's handling of EMFILE: it accepts waiting connections and closes them."""

    async def send_request(proxy: ProxyProcess, number: int) -> bytes:
        request_timeout = SHORTAGE_SECONDS + 2.0
        return await proxy.request(request_bytes(f"r{number}", timeout_ms="2000"), request_timeout)

    async def scenario() -> None:
        async with running_proxy(tmp_path) as proxy:
            assert (await send_request(proxy, 0)).startswith(b"HTTP/1.1 200")
            pid = proxy.process.pid
            previous_limit = set_descriptor_limit(pid, len(os.listdir(f"/proc/{pid}/fd")))
            request_tasks = [
                asyncio.create_task(send_request(proxy, number)) for number in range(1, CLIENT_COUNT)
            ]
            done, _ = await asyncio.wait(request_tasks, timeout=SHORTAGE_SECONDS)
            assert all(task.result() for task in done), "one was closed unanswered"
            set_descriptor_limit(pid, previous_limit)
            completed, pending = await asyncio.wait(request_tasks, timeout=RESPONSE_TIMEOUT_SECONDS)
            assert not pending
            # A request accepted while no server connection can be opened is rejected with a 503 response.
            assert all(task.result().startswith((b"HTTP/1.1 200", b"HTTP/1.1 503")) for task in completed)
            assert (await send_request(proxy, CLIENT_COUNT)).startswith(b"HTTP/1.1 200")

    asyncio.run(scenario())


async def keep_connections(proxy: ProxyProcess, count: int) -> list[asyncio.StreamWriter]:
    """Open connections on which a request was served and that their clients keep."""
    writers: list[asyncio.StreamWriter] = []
    for number in range(count):
        reader, writer = await proxy.connect()
        writer.write(request_bytes(f"kept{number}"))
        head, _ = await read_message(reader)
        assert head.startswith(b"HTTP/1.1 200")
        writers.append(writer)
    return writers


def test_connections_that_clients_keep_are_closed_for_new_ones_when_descriptors_lack(tmp_path: Path) -> None:
    """Guards against a shortage that lasts as long as idle connections: room was made after accepts alone."""

    async def scenario() -> None:
        async with running_proxy(tmp_path) as proxy:
            kept = await keep_connections(proxy, KEPT_CONNECTIONS)
            pid = proxy.process.pid
            set_descriptor_limit(pid, len(os.listdir(f"/proc/{pid}/fd")))
            for number in range(CLIENT_COUNT):
                response = await proxy.request(request_bytes(f"r{number}"), RESPONSE_TIMEOUT_SECONDS)
                assert response.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
            for writer in kept:
                writer.close()
            log_lines = [json.loads(line) for line in (await proxy.stop()).splitlines()]
            failures = [line for line in log_lines if line["event"] == "accept_failed"]
            assert failures and failures[0]["open_descriptors"] and failures[0]["reason"]

    asyncio.run(scenario())
