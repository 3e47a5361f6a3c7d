"""A process that emulates the platform's discovery: the complete list and its changes, to everyone.

docs/protocols.md has the protocol. Memory is bounded: a response is sent as fast as its reader takes it.
"""

from __future__ import annotations

import asyncio
import json
import socket
import time
from pathlib import Path
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import anyio
import httptools
import msgspec

from gullmount.scale.fleet.child_process import Commands, run_process, sample_regularly, write_line
from gullmount.scale.fleet.counting_network import ByteCounts
from gullmount.scale.fleet.endpoint_list import EndpointList
from gullmount.scale.fleet.process_messages import (
    ACKNOWLEDGEMENTS_FILE,
    Acknowledgement,
    Command,
    CounterSample,
    DiscoveryFile,
    DiscoveryReport,
    Reply,
)

CHUNK_BYTES = 65536  # of a body, handed to the network at once
SEND_BUFFER_BYTES = 131072  # of a connection: thousands of slow readers must not fill the machine's memory
MAX_BODY_BYTES = 1 << 20  # of a call that changes the list
LISTEN_BACKLOG = 1024  # connections
CHANGES_PATH = "/v1/changes"


class Discovery:
    """The list, the calls that wait for its next change, and counters of its traffic."""

    def __init__(self, endpoints: EndpointList, counted_hosts: set[str]) -> None:
        self.endpoints = endpoints
        self.waiting: dict[DiscoveryConnection, None] = {}
        self.counted_hosts = counted_hosts  # own addresses whose callers are told apart
        self.acknowledgements: list[Acknowledgement] = []
        self.calls = self.bytes_in = self.bytes_out = self.connections = 0
        self.by_host: dict[str, ByteCounts] = {host: [0, 0] for host in counted_hosts}

    def change(self, entries: list[dict[str, Any]]) -> int:
        """Change the list, respond to all calls that wait for it, and return the new revision."""
        revision = self.endpoints.change(entries)
        waiting, self.waiting = self.waiting, {}
        for connection in waiting:
            connection.respond_with_list()
        return revision

    def write_sample(self) -> None:
        """Write its counters."""
        sample = CounterSample(
            at=time.monotonic(),
            bytes_in=self.bytes_in,
            bytes_out=self.bytes_out,
            calls=self.calls,
            connections=self.connections,
            by_host=self.by_host,
        )
        write_line(msgspec.to_builtins(sample))

    def write_report(self, folder: Path) -> None:
        """Write what it noted of callers that are told apart. Raises OSError."""
        report = DiscoveryReport(revision=self.endpoints.revision, acknowledgements=self.acknowledgements)
        (folder / ACKNOWLEDGEMENTS_FILE).write_text(json.dumps(msgspec.to_builtins(report)))


class DiscoveryConnection(asyncio.Protocol):
    """One connection of a client, one call at a time; the parser calls its `on_` methods."""

    transport: asyncio.Transport

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.parser = httptools.HttpRequestParser(self)
        self.timer: asyncio.TimerHandle | None = None
        self.unsent = memoryview(b"")
        self.paused = False
        self.url = self.request_body = b""
        self.after = 0  # the revision that the caller holds
        self.counted_host = ""  # own address, where callers of it are told apart

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what the connection buffers."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's has its methods but is no subclass
        self.transport.set_write_buffer_limits(CHUNK_BYTES)
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        host = str(transport.get_extra_info("sockname")[0])
        self.counted_host = host if host in self.discovery.counted_hosts else ""
        self.discovery.connections += 1

    def connection_lost(self, _exc: Exception | None) -> None:
        """Forget its call."""
        self.discovery.connections -= 1
        self.discovery.waiting.pop(self, None)
        self.unsent = memoryview(b"")
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Count and parse; abort what is no HTTP."""
        self.discovery.bytes_in += len(data)
        if self.counted_host:
            self.discovery.by_host[self.counted_host][0] += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Begin a call."""
        self.url = self.request_body = b""

    def on_url(self, url: bytes) -> None:
        """Take a part of the call's URL."""
        self.url += url

    def on_body(self, body: bytes) -> None:
        """Take a part of the call's body; abort one that is too long."""
        self.request_body += body
        if len(self.request_body) > MAX_BODY_BYTES:
            self.transport.abort()

    def on_message_complete(self) -> None:
        """Respond at once, or wait for the next change."""
        self.discovery.calls += 1
        parts = urlsplit(self.url.decode())
        if parts.path == CHANGES_PATH:
            revision = self.discovery.change(json.loads(self.request_body)["changes"])
            self.respond(json.dumps({"v": 1, "version": [0, revision]}).encode())
            return
        query = parse_qs(parts.query)
        self.after = int(query["after"][0])
        if self.counted_host:
            acknowledgement = Acknowledgement(self.counted_host, self.after, time.monotonic())
            self.discovery.acknowledgements.append(acknowledgement)
        if self.after and self.after == self.discovery.endpoints.revision:
            wait_seconds = int(query["wait_ms"][0]) / 1000
            self.discovery.waiting[self] = None
            self.timer = asyncio.get_running_loop().call_later(wait_seconds, self.respond_with_list)
        else:
            self.respond_with_list()

    def respond_with_list(self) -> None:
        """Respond with what changed since the caller's revision, even if nothing did."""
        self.discovery.waiting.pop(self, None)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.respond(self.discovery.endpoints.body(self.after))

    def respond(self, body: bytes) -> None:
        """Send a response, the rest of a long one as its reader takes it."""
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        if len(body) <= CHUNK_BYTES:
            self.write(head + body)
        else:
            self.write(head)
            self.unsent = memoryview(body)
            self.write_unsent()

    def write(self, data: bytes | memoryview) -> None:
        """Hand bytes to the network, counted."""
        self.discovery.bytes_out += len(data)
        if self.counted_host:
            self.discovery.by_host[self.counted_host][1] += len(data)
        self.transport.write(data)

    def write_unsent(self) -> None:
        """Write chunks until the network has enough."""
        while self.unsent and not self.paused:
            chunk, self.unsent = self.unsent[:CHUNK_BYTES], self.unsent[CHUNK_BYTES:]
            self.write(chunk)

    def pause_writing(self) -> None:
        """Stop: the reader is slow."""
        self.paused = True

    def resume_writing(self) -> None:
        """Go on with the response."""
        self.paused = False
        self.write_unsent()


async def program(file: DiscoveryFile, commands: Commands) -> None:
    """Serve the drawn servers until commanded to quit."""
    endpoints = EndpointList(server.discovery_entry() for server in file.drawn_fleet().servers)
    discovery = Discovery(endpoints, set(file.counted_hosts))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: DiscoveryConnection(discovery), file.hosts, file.port, backlog=LISTEN_BACKLOG
    )
    write_line({Reply.READY: True, Reply.LIST_BYTES: len(endpoints.body(0))})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sample_regularly, discovery.write_sample)
        async for command in commands:
            if command == Command.REPORT:
                discovery.write_report(Path(file.folder))
                write_line({Reply.REPORTED: True})
            elif command == Command.QUIT:
                break
        server.close()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    run_process(DiscoveryFile, program)
