"""The real process has no descriptor left for a while (EMFILE): connections wait and get their answers."""

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

CLIENTS = 12
SERVERS = 4  # one has room for four requests at once
SHORTAGE_SECONDS = 0.4
ANSWERED_WITHIN_SECONDS = 0.5  # once descriptors are back
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def limit_descriptors(pid: int, limit: int) -> int:
    """Set the limit of a running process; returns the one before."""
    before, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, hard))
    return before


def test_connections_that_find_no_descriptor_wait_and_are_answered_once_there_is_one(tmp_path: Path) -> None:
    """Guards against the event loop's way out of EMFILE: it accepts what waits and closes it."""

    async def ask(running: ProxyProcess, number: int) -> bytes:
        within = SHORTAGE_SECONDS + 2.0
        return await running.request(request_bytes(f"r{number}", timeout_ms="2000"), within)

    async def scene() -> None:
        world = StubPlatform()
        await world.serve_platform()
        for number in range(SERVERS):
            await world.add_server(8120 + number, fixed_response_server(OK))
        known = {"revision": 1, "complete": True, "members": world.members}
        running = ProxyProcess(tmp_path, configuration(known=known))
        await running.start()
        try:
            await asyncio.sleep(0.5)
            assert (await ask(running, 0)).startswith(b"HTTP/1.1 200")
            pid = running.process.pid
            before = limit_descriptors(pid, len(os.listdir(f"/proc/{pid}/fd")))
            waiting = [asyncio.create_task(ask(running, number)) for number in range(1, CLIENTS)]
            done, _ = await asyncio.wait(waiting, timeout=SHORTAGE_SECONDS)
            assert all(one.result() for one in done), "one was closed unanswered"
            limit_descriptors(pid, before)
            answered, late = await asyncio.wait(waiting, timeout=ANSWERED_WITHIN_SECONDS)
            assert not late
            # One that got in while no connection to a server could be opened is rejected: an answer too.
            assert all(one.result().startswith((b"HTTP/1.1 200", b"HTTP/1.1 503")) for one in answered)
            assert (await ask(running, CLIENTS)).startswith(b"HTTP/1.1 200")
        finally:
            await running.stop()
            await world.close()

    asyncio.run(scene())
