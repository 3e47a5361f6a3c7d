"""Discovery services that are measured: one that answers long polls, and the emulator of general discovery.

Each runs in a process of its own, which changes the list and reports its processor time and memory as told by
a pipe. Loopback only.
"""

from __future__ import annotations

import asyncio
import os
import time
from enum import StrEnum
from multiprocessing.connection import Connection
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple, Protocol, cast

import anyio
import msgspec

from gullmount.emulators.discovery import DiscoveryEmulator, EmulatedEndpoint
from gullmount.net import Stream, TcpNet
from gullmount.rpc import Request, Response, serve
from gullmount.scale.slopes.driven_router import BASELINE, CELLS_PER_ZONE, ZONES
from gullmount.scale.slopes.endpoint_updates import page_entry, server_address

PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ServiceKind(StrEnum):
    """Which service; the values are the beginnings of its slopes' names."""

    LONG_POLLING = "page"
    STREAMING = "roster"


class ServiceCommand(StrEnum):
    """What the service's process is told; each is answered by its `ServiceUsage`."""

    CHANGE = "change"
    REPORT = "report"


class ServiceUsage(NamedTuple):
    """What the service's process has used: seconds of processor time, and resident memory now."""

    processor_seconds: float
    resident_bytes: int


class DiscoveryService(Protocol):
    """A service with an endpoint list."""

    def change_endpoint(self) -> None:
        """Change one endpoint."""
        ...

    async def run(self, address: str) -> None:
        """Serve until cancelled."""
        ...


class LongPollingService:
    """Answers the platform's list calls: at once where something changed, else after the wait."""

    def __init__(self, servers: int) -> None:
        self.members = [page_entry(number) for number in range(servers)]
        self.changes: list[dict[str, Any]] = []
        self.revision = 1
        self.changed = anyio.Event()

    def change_endpoint(self) -> None:
        """Add a revision with one endpoint."""
        self.revision += 1
        self.changes.append(self.members[self.revision % len(self.members)])
        self.changed.set()
        self.changed = anyio.Event()

    async def _answer(self, request: Request, _stream: Stream) -> Response:
        query = request.parse_target().query
        after = int(query["after"])
        if after >= self.revision:
            with anyio.move_on_after(int(query["wait_ms"]) / 1000):
                await self.changed.wait()
        complete = after < 1
        members = self.members if complete else self.changes[after - 1 :]
        page = {"revision": self.revision, "complete": complete, "members": members}
        return Response(200, msgspec.json.encode(page))

    async def run(self, address: str) -> None:
        """Serve until cancelled."""
        await TcpNet().serve(address, lambda stream: serve(stream, self._answer))


class StreamingService:
    """The emulator of general discovery, without the links of a scenario."""

    def __init__(self, servers: int) -> None:
        self.servers = servers

    def change_endpoint(self) -> None:
        """Give the first server another build."""
        self.emulator.publish(
            msgspec.convert({**self._entry(0), "build": self.emulator.revision}, EmulatedEndpoint)
        )

    def _entry(self, number: int) -> dict[str, Any]:
        return {
            "box": server_address(number), "zone": f"zone-{number % ZONES:02d}",
            "cell": number % CELLS_PER_ZONE, "build": BASELINE, "state": "ready", "power": 1.0,
            "start": f"a{number}", "started": 0.0,
        }  # fmt: skip

    async def run(self, address: str) -> None:
        """Serve until cancelled."""

        async def passable(_host: str) -> None:
            pass

        party = SimpleNamespace(
            serve=TcpNet().serve, links=SimpleNamespace(names_by_host={}), wait_until_reachable=passable
        )
        record = SimpleNamespace(now=time.monotonic, note_event=lambda *_, **__: None)
        fleet = SimpleNamespace(on_change=None)
        async with anyio.create_task_group() as tasks:
            self.emulator = DiscoveryEmulator(
                tasks, cast(Any, party), address, cast(Any, fleet), cast(Any, record), seed=7,
                removal_delay=0.0, crash_detection_delay=0.0, start_delay=0.0,
                update_interval=0.0, rejection_share=0.0,
            )  # fmt: skip
            for number in range(self.servers):
                self.emulator.publish(msgspec.convert(self._entry(number), EmulatedEndpoint))
            await self.emulator.run()


SERVICES: dict[ServiceKind, type[LongPollingService] | type[StreamingService]] = {
    ServiceKind.LONG_POLLING: LongPollingService,
    ServiceKind.STREAMING: StreamingService,
}


def _usage() -> ServiceUsage:
    resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    return ServiceUsage(time.process_time(), resident_pages * PAGE_SIZE_BYTES)


def service_main(kind: ServiceKind, servers: int, address: str, commands: Connection) -> None:
    """Run a service as the only work of this process; it ends when the other end of the pipe is closed."""

    async def main() -> None:
        service: DiscoveryService = SERVICES[kind](servers)

        def command_received() -> None:
            try:
                command = commands.recv()
            except EOFError:
                os._exit(0)
            if command == ServiceCommand.CHANGE:
                service.change_endpoint()
            commands.send(_usage())

        asyncio.get_running_loop().add_reader(commands.fileno(), command_received)
        await service.run(address)

    anyio.run(main, backend_options={"use_uvloop": True})
