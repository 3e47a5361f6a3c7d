"""A client that keeps its connection and sends one request at a time on it."""

from __future__ import annotations

import asyncio
import os

from standins.http import HOST, read_message
from standins.record import Record
from standins.services import CONNECTION_ERRORS


class Client:
    """One connection to an instance. Raises an error of `CONNECTION_ERRORS` where it breaks."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def read_status(self, request_id: str) -> int:
        """Read the answer and return its status."""
        assert self.reader is not None
        answer = await read_message(self.reader)
        self.record.write(f"client has answer to {request_id}: {answer.start_line}")
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer.status

    async def send(
        self, route: str, timeout_ms: int, body: bytes | None = None, request_id: str = "", key: str = ""
    ) -> tuple[str, int]:
        """Send a request and return its id and the status of its answer; 0 stands for a broken connection.

        A connection that the instance has closed in between is opened anew first.
        """
        request_id = request_id or new_id()
        try:
            if self.writer is None or self.reader is None or self.reader.at_eof():
                self.close()
                await self.connect()
            assert self.writer is not None
            self.record.write(f"client sends {request_id} /{route} to port {self.port}")
            self.writer.write(head(route, request_id, timeout_ms, body, key) + (body or b""))
            return request_id, await self.read_status(request_id)
        except CONNECTION_ERRORS:
            self.record.write(f"connection of {request_id} broke")
            self.close()
            return request_id, 0


def new_id() -> str:
    """Return a fresh request id."""
    return os.urandom(8).hex()


def head(route: str, request_id: str, timeout_ms: int, body: bytes | None, key: str = "") -> bytes:
    """Return the head of a request: POST if it has a body, else GET."""
    method = "GET" if body is None else "POST"
    lines = [
        f"{method} /{route} HTTP/1.1",
        "Host: backend.local",
        f"Request-Id: {request_id}",
        f"Request-Class: {route}",
        f"Affinity-Key: {key or request_id}",
        f"Request-Timeout-Ms: {timeout_ms}",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
