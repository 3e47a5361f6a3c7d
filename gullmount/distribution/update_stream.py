"""Sends one subscriber's stream from its server, line by line.

The next line is requested once the network has accepted the previous one.
"""

from __future__ import annotations

from typing import Protocol, Self

import anyio

from gullmount.distribution.send_rate import SendRateLimiter
from gullmount.distribution.subscription_client import NEVER
from gullmount.distribution.subscriptions import Batch, Subscriptions
from gullmount.net import Stream, abort

# Maximum size of a line with more than one topic, so that a slow subscriber gets updates in turn.
MAX_BATCH_BYTES = 65536


class StreamServer(Protocol):
    """The part of a server that a stream uses."""

    subscriptions: Subscriptions
    heartbeat_seconds: float
    bytes_per_second: int | None

    def clock(self) -> float:
        """Return the monotonic time in seconds."""

    async def wait_until_current(self) -> None:
        """Wait until the server's state is known to be current and may be sent."""

    def origin_silent_seconds(self) -> float:
        """Return for how many seconds the origin was silent if subscribers are to be told, else 0."""

    def stream_closed(self, stream: UpdateStream) -> None:
        """Called when a stream has ended."""


class UpdateStream:
    """The lines of one stream, as an asynchronous iterator.

    It is not a generator, because a generator that was never started would not be closed.
    """

    def __init__(self, server: StreamServer, name: str, session: int, stream: Stream) -> None:
        """Create the stream of a subscriber.

        Args:
            server: The server that the subscriber is connected to.
            name: The name of the subscriber.
            session: The number of the subscriber's session.
            stream: The connection of the subscriber.
        """
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
        """Wait for the next batch of updates or the next heartbeat and return its line."""
        server = self.server
        subscriptions = server.subscriptions
        while subscriptions.active_subscription(self.name, self.session) is not None:
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
            # The comparison and the wait use the same value; a rounding difference would cause a busy loop.
            heartbeat_at = self.last_line_at + server.heartbeat_seconds
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
        """Return the seconds until the rate limit allows the next batch; 0 if none needs to wait."""
        if self.rate_limiter is None:
            return 0.0
        size = self.server.subscriptions.next_batch_bytes(self.name, self.session)
        return max(0.0, self.rate_limiter.earliest_send(size, now) - now) if size else 0.0

    def next_batch(self, now: float) -> Batch | None:
        """Return the next batch, limited to what the rate allows now but with at least one topic."""
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
        """Tell the server that the stream has ended."""
        self.server.stream_closed(self)

    async def abort(self) -> None:
        """Abort the connection because a newer stream replaces it; a write on it may be blocked."""
        await abort(self.stream)
        self.wake.set()
