"""Reads streams of lines that stay open indefinitely, such as watches."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from math import inf

import anyio

from gullmount.net import StreamNet
from gullmount.rpc.connection import ClientConnection, ResponseHead, connect
from gullmount.rpc.errors import LineTooLongError, SilentPeerError, StatusError, StreamEndedError

# Enough for an endpoint list of some ten thousand servers.
MAX_LINE_BYTES = 4 << 20
# Senders write something every 5 s.
MAX_SILENCE_SECONDS = 15.0
STATUS_OK = 200


@dataclass
class LineBuffer:
    """Splits received data into lines and keeps the incomplete last line.

    Attributes:
        max_line_bytes: The length of the longest accepted line.
        incomplete_line: The data received since the last line end.
        line_started_at: The time in seconds at which the incomplete line began; infinite if there is none.
    """

    max_line_bytes: int
    incomplete_line: bytes = b""
    line_started_at: float = field(default=inf)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the non-empty lines that `data` completes. Raises LineTooLongError."""
        *lines, self.incomplete_line = (self.incomplete_line + data).split(b"\n")
        if max(map(len, [*lines, self.incomplete_line])) > self.max_line_bytes:
            raise LineTooLongError(self.max_line_bytes)
        if lines or self.line_started_at == inf:
            self.line_started_at = anyio.current_time() if self.incomplete_line else inf
        return [line for line in lines if line]


async def stream_lines(
    net: StreamNet,
    address: str,
    target: str,
    body: bytes | None = None,
    *,
    max_silence_seconds: float = MAX_SILENCE_SECONDS,
    max_line_bytes: int = MAX_LINE_BYTES,
    line_timeout_seconds: float = inf,
    response_timeout_seconds: float = inf,
) -> AsyncGenerator[bytes, None]:
    """Yield the complete lines of a stream until it fails with a CallError. It never ends otherwise.

    Args:
        net: The network to connect on.
        address: The server's address, `host:port`.
        target: The path and query of the request.
        body: The body of a POST request; None sends a GET request.
        max_silence_seconds: The time without received data after which the stream fails.
        max_line_bytes: The length of the longest accepted line.
        line_timeout_seconds: The time limit from the first byte of a line to its end.
        response_timeout_seconds: The time limit from the call to the response's status.
    """
    response_deadline = anyio.current_time() + min(max_silence_seconds, response_timeout_seconds)
    connection = await _connect_before(net, address, response_deadline)
    buffer = LineBuffer(max_line_bytes)
    parts = connection.request("GET" if body is None else "POST", target, body or b"")
    try:
        while True:
            now = anyio.current_time()
            deadline = min(
                response_deadline, now + max_silence_seconds, buffer.line_started_at + line_timeout_seconds
            )
            part = await _next_before(parts, deadline)
            if isinstance(part, ResponseHead):
                if part.status != STATUS_OK:
                    raise StatusError(part.status, part.retry_after_seconds)
                response_deadline = inf
                continue
            for line in buffer.feed(part):
                yield line
    finally:
        with anyio.CancelScope(shield=True):
            await parts.aclose()
            await connection.aclose()


async def _connect_before(net: StreamNet, address: str, deadline: float) -> ClientConnection:
    try:
        with anyio.fail_after(deadline - anyio.current_time()):
            return await connect(net, address, keep_alive=False)
    except TimeoutError:
        raise SilentPeerError from None


async def _next_before(
    parts: AsyncGenerator[ResponseHead | bytes, None], deadline: float
) -> ResponseHead | bytes:
    try:
        with anyio.fail_after(max(0.0, deadline - anyio.current_time())):
            return await anext(parts)
    except StopAsyncIteration:
        raise StreamEndedError from None
    except TimeoutError:
        raise SilentPeerError from None
