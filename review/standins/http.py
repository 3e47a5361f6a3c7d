"""Reads HTTP/1.1 messages with a counted body."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

HOST = "127.0.0.1"
STATUS_OK = 200


@dataclass(frozen=True)
class Message:
    """A request or a response that was read whole."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split(" ", 2)[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message. Raises IncompleteReadError or OSError if the connection ends before its last byte."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = [line.partition(":") for line in lines]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", "0"))
    return Message(start_line, headers, await reader.readexactly(length) if length else b"")


def response(body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    """Return a response with a counted body."""
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body
