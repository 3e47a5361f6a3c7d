"""One subscriber's stream at its server: the lines that it is sent, one at a time.

The next line is asked for when the network has taken the last.
"""

from __future__ import annotations

from typing import Protocol, Self

import anyio

from gullmount.distribution.send_rate import SendRateLimiter
from gullmount.distribution.subscription_client import NEVER
from gullmount.distribution.subscriptions import Batch, Subscriptions
from gullmount.net import Stream, abort

MAX_BATCH_BYTES = 65536  # of a line with more than one topic: a slow subscriber gets updates in turn


class StreamServer(Protocol):
    """What a stream needs of its server."""

    subscriptions: Subscriptions
    heartbeat_seconds: float
    bytes_per_second: int | None

    def clock(self) -> float:
        """Seconds, monotonic."""

    async def wait_until_current(self) -> None:
        """Wait until what is held may be sent."""

    def origin_silent_seconds(self) -> float:
        """Since when the origin was not heard, where that is to be said; else 0."""

    def stream_closed(self, stream: UpdateStream) -> None:
        """A stream has ended."""


class UpdateStream:
    """The lines of one stream, as an asynchronous iterator.

    No generator: one that never began would not be closed.
    """

    def __init__(self, server: StreamServer, name: str, session: int, stream: Stream) -> None:
        """The lines for the subscriber `name` on the connection `stream`."""
        self.server = server
        self.name = name
        self.session = session
        self.stream = stream
        self.last_line_at = NEVER
        self.wake = anyio.Event()
        rate = server.bytes_per_second
        self.rate_limiter = None if rate is None else SendRateLimiter(rate)

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        """The next line, when there is one."""
        server = self.server
        subscriptions = server.subscriptions
        while subscriptions.current(self.name, self.session) is not None:
            await server.wait_until_current()
            now = server.clock()
            wait_seconds = self.rate_wait(now)
            if wait_seconds:
                await anyio.sleep(wait_seconds)
                continue
            batch = self.next_batch(now)
            if batch is not None:
                self.last_line_at = now
                return batch.line
            heartbeat_at = (
                self.last_line_at + server.heartbeat_seconds
            )  # one figure for both: rounding would spin
            if now >= heartbeat_at:
                heartbeat = subscriptions.heartbeat(self.name, self.session, server.origin_silent_seconds())
                if heartbeat is None:
                    break
                self.last_line_at = now
                return heartbeat
            self.wake = anyio.Event()
            with anyio.move_on_after(heartbeat_at - now):
                await self.wake.wait()
        raise StopAsyncIteration

    def rate_wait(self, now: float) -> float:
        """Seconds until the rate allows the next batch; 0 if it may be sent, or there is none."""
        if self.rate_limiter is None:
            return 0.0
        size = self.server.subscriptions.next_batch_bytes(self.name, self.session)
        return max(0.0, self.rate_limiter.earliest_send(size, now) - now) if size else 0.0

    def next_batch(self, now: float) -> Batch | None:
        """The next batch, of at most what the rate allows now, but one topic at least."""
        subscriptions, limiter = self.server.subscriptions, self.rate_limiter
        max_bytes = MAX_BATCH_BYTES
        if limiter is not None:
            size = subscriptions.next_batch_bytes(self.name, self.session)
            max_bytes = max(size, min(max_bytes, limiter.available_bytes(now)))
        batch = subscriptions.next_batch(self.name, self.session, max_bytes)
        if batch is not None and limiter is not None:
            limiter.record_sent(len(batch.line), now)
        return batch

    async def aclose(self) -> None:
        """Note that the stream ended."""
        self.server.stream_closed(self)

    async def abort(self) -> None:
        """End the connection: another of the subscriber has begun, and this one may hang in a write."""
        await abort(self.stream)
        self.wake.set()
