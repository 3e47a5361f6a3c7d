"""The few parts of HTTP/1.1 that the stand-ins need."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

HEAD_LIMIT = 65536


@dataclass
class Message:
    """A request or a response: its first line, its headers by lower-case name, and its body."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split(" ")[1])

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open after this message."""
        return self.headers.get("connection", "").lower() != "close"


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body, if any, has a Content-Length.

    Raises:
        IncompleteReadError: The connection ended before the message was whole.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Message(lines[0], headers, body)


def encode_response(status: int, body: bytes, *headers: str) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
