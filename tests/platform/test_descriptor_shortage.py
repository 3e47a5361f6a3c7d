"""Tests that connections wait and get responses while the real process has no free descriptor (EMFILE)."""

from __future__ import annotations

import asyncio
import os
import resource
from pathlib import Path

from tests.support.platform_world import (
    ProxyProcess,
    StubPlatform,
    configuration,
    fixed_response_server,
    request_bytes,
)

CLIENT_COUNT = 12
# Each server can process four requests at once.
SERVER_COUNT = 4
SHORTAGE_SECONDS = 0.4
# Time for the responses once descriptors are available again.
RESPONSE_TIMEOUT_SECONDS = 0.5
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def set_descriptor_limit(pid: int, limit: int) -> int:
    """Set the descriptor limit of a running process and return the previous limit."""
    previous_limit, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, hard))
    return previous_limit


def test_connections_wait_for_a_free_descriptor_and_then_get_a_response(tmp_path: Path) -> None:
    """Guards against the event loop's handling of EMFILE: it accepts waiting connections and closes them."""

    async def send_request(proxy: ProxyProcess, number: int) -> bytes:
        request_timeout = SHORTAGE_SECONDS + 2.0
        return await proxy.request(request_bytes(f"r{number}", timeout_ms="2000"), request_timeout)

    async def scenario() -> None:
        world = StubPlatform()
        await world.serve_platform()
        for number in range(SERVER_COUNT):
            await world.add_server(8120 + number, fixed_response_server(OK))
        endpoint_list = {"revision": 1, "complete": True, "members": world.members}
        proxy = ProxyProcess(tmp_path, configuration(known=endpoint_list))
        await proxy.start()
        try:
            await asyncio.sleep(0.5)
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
        finally:
            await proxy.stop()
            await world.close()

    asyncio.run(scenario())
