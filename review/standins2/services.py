"""Discovery, the platform and a server, as the pages describe them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from collections.abc import Awaitable, Callable
from typing import Any

from standins2.http import Message, encode_response, read_message
from standins2.record import Record

BROKEN = (OSError, EOFError, asyncio.LimitOverrunError, ValueError)
STATUS_OK = 200
MAX_WAIT_MS = 60_000


class Service:
    """A TCP service at one address, with a task for each connection."""

    def __init__(self, record: Record, name: str, host: str, port: int) -> None:
        self.record = record
        self.name = name
        self.host = host
        self.port = port
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        """The address in the form host:port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port, backlog=512)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (*BROKEN, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Accept no more connections and reset the open ones, as when the process dies."""
        if self.server is not None:
            self.server.close()
        self.reset_connections()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Discovery(Service):
    """Discovery: the list of servers with its revisions, and watches of it.

    While `down` is set it answers every call with 503 and learns nothing; watches end with that.
    """

    def __init__(self, record: Record, host: str, port: int, name: str = "discovery") -> None:
        super().__init__(record, name, host, port)
        self.members: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.revision = 1
        self.changed = asyncio.Event()
        self.down = False

    def put(self, entry: dict[str, Any], **changes: Any) -> None:
        """Set a server's entry; calls that wait for a change are answered."""
        entry = {**entry, **changes}
        self.revision += 1
        self.members[entry["id"]] = {**entry, "revision": self.revision}
        self.changed_at[entry["id"]] = self.revision
        self.record.add("listed", id=entry["id"], phase=entry["phase"], revision=self.revision)
        self.wake()

    def wake(self) -> None:
        """Wake the calls that wait."""
        self.changed.set()
        self.changed = asyncio.Event()

    def go_down(self) -> None:
        """End all watches; refuse all calls until `come_back`."""
        self.down = True
        self.record.add("discovery_down")
        self.wake()

    def come_back(self) -> None:
        """Answer calls again."""
        self.down = False
        self.record.add("discovery_back")

    def entries(self, after: int) -> list[dict[str, Any]]:
        """Return the entries that changed after a revision, in the form of the list."""
        return [
            {name: value for name, value in entry.items() if name != "revision"}
            for server_id, entry in self.members.items()
            if self.changed_at[server_id] > after
        ]

    def page(self, after: int) -> bytes:
        """Return the changes after a revision, or the whole list for revision 0."""
        entries = self.entries(after)
        if not after:
            entries = [entry for entry in entries if entry["phase"] != "gone"]
        body = {"revision": self.revision, "complete": not after, "members": entries}
        return json.dumps(body).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while True:
            request = await read_message(reader)
            found = dict(re.findall(r"(after|wait_ms)=(\d+)", request.first_line))
            after, wait_ms = int(found.get("after", 0)), min(MAX_WAIT_MS, int(found.get("wait_ms", 0)))
            self.record.add("discovery_call", service=self.name, after=after, wait_ms=wait_ms)
            if not self.down and after >= self.revision and wait_ms:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), wait_ms / 1000)
            if self.down:
                self.record.add("discovery_refused", service=self.name)
                writer.write(encode_response(503, b""))
            else:
                self.record.add("discovery_answered", service=self.name, revision=self.revision)
                writer.write(encode_response(200, self.page(after)))
            await writer.drain()


class Platform(Service):
    """The release controller: the state of the newest build, signs of life and votes."""

    def __init__(self, record: Record, host: str, port: int, state: str) -> None:
        super().__init__(record, "platform", host, port)
        self.state = state

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection, and tell the state on it once it has asked."""
        telling: asyncio.Task[None] | None = None
        try:
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().strip()
                if line == "NOTIFY":
                    writer.write(f"OK\r\n* progress {self.state}\r\n".encode())
                    telling = asyncio.create_task(self.tell(writer))
                else:
                    self.record.add("vote", line=line)
                    writer.write(f"OK {self.state}\r\n".encode())
        finally:
            if telling is not None:
                telling.cancel()

    async def tell(self, writer: asyncio.StreamWriter) -> None:
        """Send a sign of life every second."""
        while True:
            await asyncio.sleep(1)
            writer.write(b"*\r\n")

    def set_state(self, state: str) -> None:
        """Change the state of the newest build and tell it on every connection that asked."""
        self.state = state
        self.record.add("state", state=state)
        for writer in self.writers:
            writer.write(f"* progress {state}\r\n".encode())


Responder = Callable[["Box", Message, asyncio.StreamWriter], Awaitable[None]]


class Box(Service):
    """A server that runs each request that arrives whole, and answers with a body made for it.

    `work` gives the seconds that a request takes; `respond` writes the answer.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        host: str,
        port: int,
        sent_ids: set[str],
        work: Callable[[Message], float],
        respond: Responder | None = None,
    ) -> None:
        super().__init__(record, name, host, port)
        self.sent_ids = sent_ids
        self.work = work
        self.respond = respond or answer_well

    def entry(
        self, build: int = 41, phase: str = "ready", zone: str = "a", started_ms: int = 0
    ) -> dict[str, Any]:
        """Return this server's entry in discovery's list."""
        return {
            "id": self.name, "host_port": self.address, "locality": zone, "flavor": "std-2c", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": started_ms, "version_no": build,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one after the other."""
        while True:
            first = await reader.read(1)
            if not first:
                return
            began_at = round(self.record.now(), 4)
            request = await read_message(reader)
            request.first_line = first.decode("latin-1") + request.first_line
            request_id = request.headers.get("request-id", "")
            self.record.add(
                "arrived",
                box=self.name,
                id=request_id,
                began_at=began_at,
                line=request.first_line,
                timeout_ms=request.headers.get("request-timeout-ms"),
            )
            if request_id not in self.sent_ids:
                self.record.add("unknown_id", box=self.name, id=request_id)
                writer.write(encode_response(400 if request_id else 404, b""))
                continue
            await asyncio.sleep(self.work(request))
            self.record.add("ran", box=self.name, id=request_id)
            await self.respond(self, request, writer)
            await writer.drain()


def answer_body(box: Box, request: Message) -> bytes:
    """Return the body that the server makes for the request."""
    return f"answer of {box.name} to {request.headers['request-id']}".encode()


async def answer_well(box: Box, request: Message, writer: asyncio.StreamWriter) -> None:
    """Write the answer as it should be."""
    writer.write(encode_response(STATUS_OK, answer_body(box, request)))
