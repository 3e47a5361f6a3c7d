"""Servers, discovery and release controller, as the protocol page has them."""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

from standins.http import HOST, Message, read_message, response
from standins.record import Record

CALL_PATTERN = re.compile(r"GET /v1/servers(?:\?after=(\d+)&wait_ms=(\d+))? ")
MAX_WAIT_MS = 60_000
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)
BUILD = 41
RELEASE_STATUS = {"build": BUILD, "stage": 4, "phase": "COMPLETE", "cap": 1.0, "age_ms": 900_000}
STATUS_LINE = f"{BUILD} 4 COMPLETE 1.0 900000\r\n"


class Service:
    """A service on one address, which can stop as a process that dies does, and start again there."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.server: asyncio.Server | None = None
        self.port = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address, of the form host:port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen at a free port, or at the same one as before."""
        self.server = await asyncio.start_server(self.serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Reset all connections and refuse new ones."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            await self.handle(reader, writer)
        except (*CONNECTION_ERRORS, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Box(Service):
    """A server. It starts on a request once its last byte has arrived and answers after its work.

    Attributes:
        work_seconds: the time that a request takes.
        hangs: whether it takes connections and requests and answers nothing any more.
        arrivals: time of the last byte and id of each request.
    """

    def __init__(self, record: Record, name: str, zone: str, work_seconds: float) -> None:
        super().__init__(record)
        self.name, self.zone = name, zone
        self.work_seconds = work_seconds
        self.hangs = False
        self.phase = "ready"
        self.arrivals: list[tuple[float, str]] = []

    def entry(self) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": self.address,
            "locality": self.zone,
            "flavor": "std-2c",
            "cell": 0,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": 0,
            "version_no": BUILD,
        }

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one at a time."""
        while True:
            request = await read_message(reader)
            request_id = request.headers.get("request-id", "")
            self.arrivals.append((self.record.now(), request_id))
            self.record.write(f"{self.name} received {request_id}: {request.start_line}")
            await self.answer(request, request_id, writer)

    async def answer(self, request: Message, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Do the work and answer, or hang."""
        await asyncio.sleep(self.work_seconds)
        while self.hangs:
            await asyncio.sleep(0.01)
        self.record.write(f"{self.name} answers {request_id}")
        writer.write(response(f"{request_id} by {self.name}, {len(request.body)} bytes\n".encode()))


class Discovery(Service):
    """Discovery: the whole list, or a watch on the entries that change."""

    def __init__(self, record: Record, boxes: list[Box]) -> None:
        super().__init__(record)
        self.boxes = boxes
        self.revision = 1
        self.changes: list[tuple[int, Box]] = []
        self.changed = asyncio.Event()

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        members = [box.entry() for box in self.boxes]
        return {"revision": self.revision, "complete": True, "members": members}

    def set_phase(self, box: Box, phase: str) -> None:
        """Change a server's phase and tell the open watches."""
        box.phase = phase
        self.revision += 1
        self.changes.append((self.revision, box))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while True:
            call = CALL_PATTERN.match((await read_message(reader)).start_line)
            if call is None:
                writer.write(response(b"", "400 Bad Request"))
                continue
            after, wait_ms = int(call[1] or 0), min(MAX_WAIT_MS, int(call[2] or 0))
            if after >= self.revision and wait_ms:
                try:
                    await asyncio.wait_for(self.changed.wait(), wait_ms / 1000)
                except TimeoutError:
                    pass
            page = self.known() if not after else self.page_after(after)
            phases = {entry["id"]: entry["phase"] for entry in page["members"] if entry["phase"] != "ready"}
            self.record.write(f"discovery answers after={after}: revision {self.revision} {phases}")
            writer.write(response(json.dumps(page).encode()))

    def page_after(self, after: int) -> dict[str, Any]:
        """Return the entries that changed after a revision."""
        members = [box.entry() for revision, box in self.changes if revision > after]
        return {"revision": self.revision, "complete": False, "members": members}


class ReleaseController(Service):
    """The release controller, with one build that was released long ago."""

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls; after NOTIFY a sign of life is sent every second."""
        pulse: asyncio.Task[None] | None = None
        try:
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().strip()
                if line == "NOTIFY":
                    writer.write(f"OK\r\n* progress {STATUS_LINE}".encode())
                    pulse = pulse or asyncio.create_task(self.send_signs_of_life(writer))
                else:
                    writer.write(b"ERR STALE\r\n")
        finally:
            if pulse is not None:
                pulse.cancel()

    async def send_signs_of_life(self, writer: asyncio.StreamWriter) -> None:
        """Write a sign of life every second."""
        while True:
            await asyncio.sleep(1.0)
            writer.write(b"*\r\n")
