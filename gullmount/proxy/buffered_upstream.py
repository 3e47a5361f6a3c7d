"""Sends attempts to servers through callbacks, and buffers every message whole.

There is no task per attempt or per connection. The upstream reports how an attempt ended and makes no routing
decisions. `streaming_upstream.py` also relays bodies without buffering them whole.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from math import inf

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from gullmount.net import Net, Transport
from gullmount.proxy.http1 import (
    FIRST_FINAL_STATUS,
    SWITCHING_PROTOCOLS,
    EndOfMessage,
    ResponseParser,
    encode_request_head,
)
from gullmount.proxy.memory_budget import MemoryBudget
from gullmount.proxy.messages import Response
from gullmount.proxy.outcomes import AttemptEnd, protocol_error_end
from gullmount.proxy.protocol_adapter import ProtocolAdapter
from gullmount.proxy.request_exchange import AttemptEndCallback, RequestExchange
from gullmount.proxy.timers import Timer, Timers
from gullmount.proxy.upstream_pool import MAX_RESPONSE_HEAD_BYTES, PooledUpstream, ServerPool

# Requests of these methods commonly have no Content-Length if they have no body.
BODYLESS_METHODS = ("GET", "HEAD")


class Connection:
    """One connection to a server.

    Attributes:
        last_response_seconds: Time from the last request on the connection to the end of its response; None
            if no request was sent on it.
        idle_since: Time in seconds of the upstream's clock. Before the first attempt, the time at which
            connecting began: the server may count its idle timeout from the first packet.
    """

    def __init__(self, upstream: BufferedUpstream, server_id: str, pool: ServerPool[Connection]) -> None:
        self.upstream = upstream
        self.server_id = server_id
        self.pool = pool
        self.transport: Transport | None = None
        self.parser: ResponseParser | None = None
        self.attempt: Attempt | None = None
        self.last_response_seconds: float | None = None
        self.closed = False
        self.idle_since = upstream.clock()

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no unread data. Reading this queries the kernel."""
        return self.transport is not None and self.transport.is_idle

    def data_received(self, data: bytes) -> None:
        """Read bytes of the response.

        Bytes that arrive without an attempt in flight close the connection: they would be taken for the next
        response.
        """
        if self.attempt is None or self.parser is None:
            self.upstream.stray_data_received()
            self.close()
            return
        self.attempt.response_started = True
        self.parser.feed(data)
        self.attempt.read_response(self.parser)

    def connection_ended(self, clean: bool) -> None:
        """Handle the end of the connection: the server closed it or it failed."""
        self.mark_closed()
        attempt = self.attempt
        if attempt is not None:
            attempt.connection_ended(clean)
        self.release_parser()

    def release_parser(self) -> None:
        """Give back the memory of the response that was read last."""
        parser, self.parser = self.parser, None
        if parser is not None:
            parser.release()

    def mark_closed(self) -> None:
        """Release the reservation and leave the pool, the first time only."""
        if not self.closed:
            self.closed = True
            self.upstream.release_reservation(self.pool)
            if self in self.pool.idle:
                self.pool.idle.remove(self)

    def close(self) -> None:
        """Close the connection and detach the attempt in flight on it; its end is not reported from here."""
        self.attempt = None
        self.mark_closed()
        self.release_parser()
        if self.transport is not None:
            self.transport.abort()


class Attempt:
    """One upstream attempt, whose end is reported exactly once.

    Attributes:
        timeout: Seconds from the start of the attempt, connecting included.
        started_at: Time in seconds of the upstream's clock.
        sent_at: Time at which the request was written; until then it equals `started_at`.
        deadline: Unused, because no response is relayed before it is complete.
        response_started: Whether any byte of a response has been received.
        reclaimed_first: As in `MemoryHolder`: a response goes after requests that are not complete.
    """

    reclaimed_first = False

    def __init__(
        self,
        upstream: BufferedUpstream,
        exchange: RequestExchange,
        attempt_number: int,
        server_id: str,
        timeout: float,
    ) -> None:
        self.upstream = upstream
        self.exchange = exchange
        self.attempt_number = attempt_number
        self.server_id = server_id
        self.timeout = timeout
        self.started_at = self.sent_at = upstream.clock()
        self.deadline = inf
        self.connection: Connection | None = None
        self.response: Response | None = None
        self.body = bytearray()
        self.response_started = False
        self.ended = False
        self.timer: Timer | None = None

    def send_request(self, connection: Connection) -> None:
        """Write the request to an open connection."""
        self.connection = connection
        self.sent_at = self.upstream.clock()
        connection.attempt = self
        head = self.exchange.head
        connection.parser = ResponseParser(MAX_RESPONSE_HEAD_BYTES, head.method)
        time_left = self.timeout - (self.sent_at - self.started_at)
        headers = self.upstream.adapter.upstream_headers(self.exchange, time_left)
        if self.exchange.body or head.method not in BODYLESS_METHODS:
            headers.append((b"content-length", b"%d" % len(self.exchange.body)))
        assert connection.transport is not None
        connection.transport.write(
            encode_request_head(head.method, head.target, headers) + self.exchange.body
        )

    def read_response(self, parser: ResponseParser) -> None:
        """Process the parts of the response that the parser has read."""
        while parser.parts:
            part = parser.parts.popleft()
            if isinstance(part, Response):
                if part.status == SWITCHING_PROTOCOLS:
                    self.end(AttemptEnd.MALFORMED_RESPONSE)
                    return
                self.response = part if part.status >= FIRST_FINAL_STATUS else None
            elif isinstance(part, bytes):
                self.body += part
                if len(self.body) > self.upstream.limits.max_buffered_response_bytes:
                    self.end(AttemptEnd.RESPONSE_TOO_LARGE)
                    return
            elif isinstance(part, EndOfMessage):
                self.response_complete(parser)
                return
        if parser.error is not None:
            self.end(protocol_error_end(parser.error))
        else:
            self.upstream.memory.update(self)

    @property
    def held_bytes(self) -> int:
        """About the memory that the response takes so far."""
        parser = self.connection.parser if self.connection is not None else None
        return len(self.body) + (parser.held_bytes if parser is not None else 0)

    def reclaim_memory(self) -> None:
        """Give up the response, because responses and requests hold too much together."""
        self.end(AttemptEnd.RESPONSE_TOO_LARGE)

    def response_complete(self, parser: ResponseParser) -> None:
        """Report the complete response, and release its connection for reuse."""
        assert self.response is not None and self.connection is not None
        self.response.body = bytes(self.body)
        connection, self.connection = self.connection, None
        connection.attempt = None
        connection.last_response_seconds = self.upstream.clock() - self.sent_at
        self.upstream.release_connection(connection, parser)
        connection.release_parser()
        self.end(AttemptEnd.RESPONSE_COMPLETE)

    def connection_ended(self, clean: bool) -> None:
        """End the attempt, because its connection ended.

        Args:
            clean: Whether the server closed the connection without an error. Only such an end can complete a
                response (RFC 9112, section 8).
        """
        connection = self.connection
        assert connection is not None and connection.parser is not None and connection.transport is not None
        if self.response is not None:
            if clean and connection.parser.complete_at_connection_end():
                self.response.body = bytes(self.body)
                self.end(AttemptEnd.RESPONSE_COMPLETE)
            else:
                self.end(AttemptEnd.RESPONSE_TRUNCATED)
        elif connection.parser.error is not None:
            self.end(protocol_error_end(connection.parser.error))
        elif connection.transport.unsent_bytes:
            self.end(AttemptEnd.WRITE_FAILED)
        else:
            self.end(AttemptEnd.CLOSED_BEFORE_RESPONSE)

    def expire(self) -> None:
        """End the attempt, because its timeout has passed.

        A response that has started counts as truncated. As a timeout, it would indicate an overloaded server.
        """
        if self.connection is None:
            self.end(AttemptEnd.DEADLINE_WHILE_CONNECTING)
        elif self.response_started:
            self.end(AttemptEnd.RESPONSE_TRUNCATED)
        else:
            self.end(AttemptEnd.DEADLINE_BEFORE_RESPONSE)

    def cancel(self) -> None:
        """End the attempt, because the client disconnected."""
        self.end(AttemptEnd.CLIENT_DISCONNECTED)

    def end(self, end: AttemptEnd) -> None:
        """Close the connection if it is still attached, and report the end, the first time only."""
        if self.ended:
            return
        self.ended = True
        self.upstream.memory.remove(self)
        self.body = bytearray()
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:
            self.connection.close()
        del self.exchange.open_attempts[self.attempt_number]
        response = self.response if end is AttemptEnd.RESPONSE_COMPLETE else None
        latency = self.upstream.clock() - self.started_at
        self.upstream.on_attempt_end(self.exchange, self.attempt_number, end, response, latency)


class BufferedUpstream(PooledUpstream[Connection]):
    """The connections and attempts of one instance, driven by callbacks.

    Attributes:
        on_attempt_end: Called when an attempt has ended.
        attempt_still_allowed: Returns whether an attempt that waited for its connection may still be sent.
        wait_until_resumed: Returns at once, or after a stall once the event loop has read the data that
            arrived during it.
        memory: Limits what responses in progress hold in sum.
    """

    def __init__(
        self,
        adapter: ProtocolAdapter,
        net: Net,
        task_group: TaskGroup,
        timers: Timers,
        on_attempt_end: AttemptEndCallback,
        attempt_still_allowed: Callable[[RequestExchange, int], bool],
        wait_until_resumed: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint,
        memory: MemoryBudget | None = None,
    ) -> None:
        super().__init__(adapter, timers.clock)
        self.net = net
        self.task_group = task_group
        self.timers = timers
        self.on_attempt_end = on_attempt_end
        self.attempt_still_allowed = attempt_still_allowed
        self.wait_until_resumed = wait_until_resumed
        self.memory = memory or MemoryBudget()

    def start_attempt(
        self, exchange: RequestExchange, attempt_number: int, server_id: str, timeout: float
    ) -> None:
        """Start an attempt that ends after `timeout` seconds at the latest.

        Its end is reported after this method has returned.
        """
        attempt = Attempt(self, exchange, attempt_number, server_id, timeout)
        exchange.open_attempts[attempt_number] = attempt
        pool = self.pool_for(server_id)
        connection = self.take_idle_connection(pool)
        if connection is not None:
            attempt.timer = self.timers.call_after(timeout, attempt.expire)
            attempt.send_request(connection)
        elif self.reserve_connection(pool):
            attempt.timer = self.timers.call_after(timeout, attempt.expire)
            self.task_group.start_soon(self.connect, attempt, Connection(self, server_id, pool))
        else:
            attempt.timer = self.timers.call_after(
                0.0, lambda: attempt.end(AttemptEnd.NO_CONNECTION_AVAILABLE)
            )

    async def connect(self, attempt: Attempt, connection: Connection) -> None:
        """Open the connection and send the attempt on it, if the attempt is still allowed.

        While the connection is being opened, the server may begin to drain, disappear or be replaced, or the
        limits may change. No byte has been sent by then, so another server may get the request.
        """
        failure = await self.open_connection(connection)
        await self.wait_until_resumed()
        if failure is not None:
            connection.close()
            attempt.end(failure)
        elif attempt.ended:
            self.keep_idle(connection)
        elif self.pools.get(connection.server_id) is not connection.pool:
            connection.close()
            attempt.end(AttemptEnd.SERVER_WITHDRAWN)
        elif not self.attempt_still_allowed(attempt.exchange, attempt.attempt_number):
            self.keep_idle(connection)
            attempt.end(AttemptEnd.SERVER_WITHDRAWN)
        else:
            attempt.send_request(connection)

    async def open_connection(self, connection: Connection) -> AttemptEnd | None:
        """Open the connection; return the end of the attempt if that fails, else None."""
        try:
            with anyio.fail_after(self.limits.connect_timeout):
                address = self.adapter.server_address(connection.server_id)
                connection.transport = await self.net.connect_transport(address, connection)
        except (OSError, LookupError) as error:
            return self.connect_failure(error)
        except BaseException:
            connection.mark_closed()
            raise
        if connection.closed or not connection.transport.is_idle:
            # The server sent data or closed the connection before the request.
            return AttemptEnd.CONNECT_REFUSED
        return None

    def release_connection(self, connection: Connection, parser: ResponseParser) -> None:
        """Return the connection to its pool if it can be reused, else close it."""
        has_stray_data = bool(parser.parts) or parser.error is not None
        if has_stray_data:
            self.stray_data_received()
        reusable = not connection.closed and not has_stray_data and parser.keep_alive
        if reusable and connection.transport is not None and not connection.transport.unsent_bytes:
            connection.idle_since = self.clock()
            self.keep_idle(connection)
        else:
            connection.close()

    def keep_idle(self, connection: Connection) -> None:
        """Return the connection to its pool, or close it if the pool is no longer in use.

        That is the case if the server was removed, or if another process has its address now.
        """
        if self.pools.get(connection.server_id) is not connection.pool:
            connection.close()
            return
        connection.pool.idle.append(connection)
