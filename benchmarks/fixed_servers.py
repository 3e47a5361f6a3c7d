"""Run the cheapest servers there are, with discovery and release controller: fixed bytes for each request.

    python benchmarks/fixed_servers.py HOST COUNT

Servers listen from port 9001 on, discovery at 7001, the release controller at 7002. Prints `ready`.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

FIRST_SERVER_PORT = 9001
DISCOVERY_PORT, RELEASE_CONTROLLER_PORT = 7001, 7002
BACKLOG = 1024
HEARTBEAT_SECONDS = 4
LIFETIME_SECONDS = 3600
UNANSWERED_PATH = b"GET /hold"  # how a request begins that is never answered
END_OF_HEAD = b"\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\ncontent-type: text/plain\r\n\r\n" + b"a" * 64
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

Message = dict[str, Any]  # of discovery or the release controller, on the wire


def encode_chunk(message: Message) -> bytes:
    """Return a message as a line in a chunk of its own."""
    line = json.dumps({"v": 1, **message}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)


class FixedServer(asyncio.Protocol):
    """Answers each request's head that ends; a path that starts with /hold is never answered."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin with nothing received."""
        self.transport = transport
        self.received = b""

    def data_received(self, data: bytes) -> None:
        """Answer the heads that are complete."""
        self.received += data
        while END_OF_HEAD in self.received:
            head, _, self.received = self.received.partition(END_OF_HEAD)
            if not head.startswith(UNANSWERED_PATH):
                self.transport.write(RESPONSE)


class WatchedService(asyncio.Protocol):
    """Answers a watch with one message, and heartbeats from then on."""

    def __init__(self, message: Message) -> None:
        self.message = message

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the connection."""
        self.transport = transport

    def data_received(self, _data: bytes) -> None:
        """Send the message, and begin the heartbeats."""
        self.transport.write(STREAM_HEAD + encode_chunk(self.message))
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(encode_chunk({"kind": "alive"}))
            asyncio.get_running_loop().call_later(HEARTBEAT_SECONDS, self._send_heartbeat)


def endpoint_entry(address: str) -> Message:
    """Return a server as discovery's message has it."""
    return {
        "box": address, "zone": "a", "cell": 0, "build": 1, "state": "ready", "power": 1.0,
        "start": None, "age": None,
    }  # fmt: skip


async def main(host: str, count: int) -> None:
    """Serve for an hour."""
    loop = asyncio.get_running_loop()
    ports = range(FIRST_SERVER_PORT, FIRST_SERVER_PORT + count)
    for port in ports:
        await loop.create_server(FixedServer, host, port, backlog=BACKLOG)
    entries = [endpoint_entry(f"{host}:{port}") for port in ports]
    snapshot = {"kind": "full", "index": 1, "boxes": entries}
    release_status = {"news": {"build": 1, "stage": 1, "phase": "released", "cap": 1.0}}
    await loop.create_server(lambda: WatchedService(snapshot), host, DISCOVERY_PORT)
    await loop.create_server(lambda: WatchedService(release_status), host, RELEASE_CONTROLLER_PORT)
    print("ready", flush=True)
    await asyncio.sleep(LIFETIME_SECONDS)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
