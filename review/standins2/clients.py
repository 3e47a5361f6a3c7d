"""Clients that send one request at a time on each connection."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any

from standins2.http import read_message
from standins2.record import Record

# How much later than its time a request may be answered and is not lost: half a second (STANDING) and
# the 50 ms by which each limit is longer on sockets (PROTOCOL), with as much again for this process.
LATE_SECONDS = 0.6


def new_id() -> str:
    """Return a request id that was not there before."""
    return secrets.token_hex(8)


def encode_request(
    request_id: str, route: str, method: str, timeout_ms: int, key: str | None = None, body: bytes = b""
) -> bytes:
    """Return the bytes of a request in the form of the protocol page; a GET has no body."""
    lines = [
        f"{method} /{route} HTTP/1.1",
        "Host: backend.local",
        f"Request-Id: {request_id}",
        f"Request-Class: {route}",
        f"Request-Timeout-Ms: {timeout_ms}",
    ]
    if key is not None:
        lines.append(f"Affinity-Key: {key}")
    if method == "GET":
        body = b""
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """A client of one instance; keeps its connection and opens a new one when that has ended."""

    def __init__(self, record: Record, address: str, sent_ids: set[str]) -> None:
        self.record = record
        self.host, port = address.split(":")
        self.port = int(port)
        self.sent_ids = sent_ids
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        route: str,
        method: str,
        timeout_ms: int,
        key: str | None = None,
        body: bytes = b"",
        leave_after: float | None = None,
    ) -> dict[str, Any]:
        """Send a request and wait for its answer; return the event that tells how it ended.

        With `leave_after` the client closes its connection after so many seconds without an answer.
        """
        request_id = new_id()
        self.sent_ids.add(request_id)
        data = encode_request(request_id, route, method, timeout_ms, key, body)
        fresh = False
        for is_last_try in (False, True):
            try:
                if self.reader is not None and self.reader.at_eof():
                    # The instance has closed the connection meanwhile.
                    self.close()
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
                    fresh = True
                assert self.reader is not None
                self.record.add(
                    "sent",
                    id=request_id,
                    route=route,
                    method=method,
                    timeout_ms=timeout_ms,
                    key=key,
                    on_new_connection=fresh,
                )
                self.writer.write(data)
                wait = timeout_ms / 1000 + LATE_SECONDS if leave_after is None else leave_after
                async with asyncio.timeout(wait):
                    response = await read_message(self.reader)
            except TimeoutError:
                self.close()
                end = "unanswered" if leave_after is None else "left"
                return self.record.add(end, id=request_id, route=route, method=method)
            except (OSError, EOFError):
                self.close()
                # A close between requests may have crossed this one: it is sent one more time.
                if not fresh and not is_last_try:
                    continue
                return self.record.add("broken", id=request_id, route=route, method=method)
            if not response.keeps_alive:
                self.close()
            return self.record.add(
                "answered",
                id=request_id,
                route=route,
                method=method,
                status=response.status,
                body=response.body.decode("latin-1"),
            )
        raise AssertionError

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
