"""Sends each attempt to a server in a task of its own, and can stream bodies in both directions.

Used by the generic adapter. The upstream reports how an attempt ended and makes no routing decisions.
`buffered_upstream.py` serves adapters that buffer every message whole.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from gullmount.net import STREAM_ERRORS, Net, Stream
from gullmount.proxy.http1 import (
    END_OF_MESSAGE,
    FIRST_FINAL_STATUS,
    LAST_CHUNK,
    SWITCHING_PROTOCOLS,
    EndOfMessage,
    MessagePart,
    ProtocolError,
    ResponseParser,
    encode_chunk,
    encode_request_head,
)
from gullmount.proxy.messages import Headers, Response
from gullmount.proxy.outcomes import FIRST_SERVER_ERROR_STATUS, AttemptEnd, protocol_error_end
from gullmount.proxy.protocol_adapter import ProtocolAdapter
from gullmount.proxy.read_ahead import ReadAheadStream
from gullmount.proxy.request_exchange import RequestExchange
from gullmount.proxy.upstream_pool import MAX_RESPONSE_HEAD_BYTES, PooledUpstream, ServerPool

# Longest pause in a relayed response, to which the client's deadline no longer applies.
RELAY_READ_TIMEOUT_SECONDS = 30.0


class Connection:
    """One connection to a server.

    Attributes:
        request_written: Whether the request in flight has been written completely.
        last_response_seconds: Time from the last request on the connection to the end of its response; None
            if no request was sent on it.
        idle_since: Time in seconds of the upstream's clock.
    """

    def __init__(self, stream: Stream, pool: ServerPool[Connection], now: float) -> None:
        self.stream = stream
        self.pool = pool
        self.incoming = ReadAheadStream(stream)
        self.parser = ResponseParser(MAX_RESPONSE_HEAD_BYTES, "GET")
        self.request_written = False
        self.last_response_seconds: float | None = None
        self.scope = anyio.CancelScope()
        self.idle_since = now

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return not self.incoming.ended and not self.incoming.chunks

    async def run(self) -> None:
        """Read ahead until the connection ends or is closed, then close the stream."""
        with self.scope:
            try:
                await self.incoming.run()
            finally:
                await anyio.aclose_forcefully(self.stream)

    def close(self) -> None:
        """Close the connection and abort the attempt in flight on it."""
        self.scope.cancel()

    async def next_part(self) -> MessagePart | None:
        """Return the next part of the response, or None if the connection ended before it.

        Raises:
            ProtocolError: The response violates the protocol.
        """
        parser = self.parser
        while not parser.parts:
            if parser.error is not None:
                raise parser.error
            data = await self.incoming.receive()
            if not data:
                return END_OF_MESSAGE if parser.complete_at_connection_end() else None
            parser.feed(data)
        return parser.parts.popleft()


class AttemptProgress:
    """Progress of one attempt.

    Attributes:
        write_begun: Whether any byte of the request may have been sent.
        end: How the attempt ended; None until it has, and if its scope was cancelled.
        response: The response, from the time at which its head has been read.
    """

    def __init__(self) -> None:
        self.write_begun = False
        self.end: AttemptEnd | None = None
        self.response: Response | None = None


class StreamingUpstream(PooledUpstream[Connection]):
    """The connections and attempts of one instance, with a task for each.

    Attributes:
        wait_until_resumed: Returns at once, or after a stall once the event loop has read the data that
            arrived during it.
        attempt_still_allowed: Returns whether an attempt that waited for its connection may still be sent.
    """

    def __init__(
        self,
        adapter: ProtocolAdapter,
        net: Net,
        task_group: TaskGroup,
        wait_until_resumed: Callable[[], Awaitable[None]],
        attempt_still_allowed: Callable[[RequestExchange, int], bool],
    ) -> None:
        super().__init__(adapter, anyio.current_time)
        self.net = net
        self.task_group = task_group
        self.wait_until_resumed = wait_until_resumed
        self.attempt_still_allowed = attempt_still_allowed

    # Connections.

    def close_unusable(self, pool: ServerPool[Connection], connection: Connection) -> None:
        """Close an idle connection that has expired, has ended or has unread data, which is stray data."""
        if connection.incoming.chunks:
            self.stray_data_received()
        super().close_unusable(pool, connection)

    async def acquire_connection(self, server_id: str) -> Connection | AttemptEnd:
        """Take an idle connection or open one; return the end of the attempt if neither succeeds."""
        pool = self.pool_for(server_id)
        connection = self.take_idle_connection(pool)
        if connection is not None:
            return connection
        if not self.reserve_connection(pool):
            return AttemptEnd.NO_CONNECTION_AVAILABLE
        try:
            with anyio.fail_after(self.limits.connect_timeout):
                stream = await self.net.connect(self.adapter.server_address(server_id))
        except BaseException as error:
            self.connection_lost(server_id, pool)
            if isinstance(error, OSError | LookupError):
                return self.connect_failure(error)
            raise
        connection = Connection(stream, pool, self.clock())
        self.task_group.start_soon(self.run_connection, server_id, pool, connection)
        return connection

    async def run_connection(
        self, server_id: str, pool: ServerPool[Connection], connection: Connection
    ) -> None:
        """Run a connection until it ends, then remove it from its pool."""
        try:
            await connection.run()
        finally:
            if connection in pool.idle:
                pool.idle.remove(connection)
            self.connection_lost(server_id, pool)

    def connection_lost(self, server_id: str, pool: ServerPool[Connection]) -> None:
        """Release a connection that has closed or could not be opened, and drop the pool if it is empty."""
        self.release_reservation(pool)
        if pool.open_count == 0 and self.pools.get(server_id) is pool:
            del self.pools[server_id]

    def release_connection(self, server_id: str, connection: Connection) -> None:
        """Return the connection to its pool if it can be reused, else close it."""
        parser = connection.parser
        if parser.parts or connection.incoming.chunks:
            self.stray_data_received()
        reusable = self.pools.get(server_id) is connection.pool and connection.is_idle and not parser.parts
        if connection.request_written and parser.keep_alive and parser.error is None and reusable:
            connection.idle_since = self.clock()
            connection.pool.idle.append(connection)
        else:
            connection.close()

    # Attempts.

    async def run_attempt(
        self, exchange: RequestExchange, attempt_number: int, server_id: str, timeout: float
    ) -> tuple[AttemptEnd, Response | None]:
        """Send the request to the server and read the response, for `timeout` seconds at most.

        The timeout no longer applies once the response is being relayed.

        Returns:
            How the attempt ended, and the response if its head has been read.
        """
        progress = AttemptProgress()
        scope = anyio.CancelScope(deadline=anyio.current_time() + timeout)
        exchange.open_attempts[attempt_number] = scope
        with scope:
            if exchange.client_left:
                return AttemptEnd.CLIENT_DISCONNECTED, None
            if exchange.remaining_body_read:
                return AttemptEnd.BODY_NOT_REPLAYABLE, None
            await self.exchange_with_server(exchange, attempt_number, server_id, scope, progress)
        del exchange.open_attempts[attempt_number]
        if progress.end is not None:
            return progress.end, progress.response
        # The scope was cancelled before the response was complete.
        if exchange.client_left:
            return AttemptEnd.CLIENT_DISCONNECTED, None
        if progress.write_begun:
            return AttemptEnd.DEADLINE_BEFORE_RESPONSE, None
        return AttemptEnd.DEADLINE_WHILE_CONNECTING, None

    async def exchange_with_server(
        self,
        exchange: RequestExchange,
        attempt_number: int,
        server_id: str,
        scope: anyio.CancelScope,
        progress: AttemptProgress,
    ) -> None:
        """Send the attempt on a connection, and record in `progress` how it ends."""
        connection = await self.acquire_connection(server_id)
        if isinstance(connection, AttemptEnd):
            progress.end = connection
            return
        complete = False
        try:
            await self.wait_until_resumed()
            if not self.attempt_still_allowed(exchange, attempt_number):
                progress.end = AttemptEnd.SERVER_WITHDRAWN
                return
            try:
                sent_at = self.clock()
                time_left = scope.deadline - sent_at
                await self.write_request(exchange, connection, server_id, time_left, progress)
            except STREAM_ERRORS:
                progress.end = AttemptEnd.WRITE_FAILED if progress.write_begun else AttemptEnd.CONNECT_REFUSED
                return
            progress.end = await self.read_response(exchange, attempt_number, connection, progress)
            connection.last_response_seconds = self.clock() - sent_at
            complete = progress.end is AttemptEnd.RESPONSE_COMPLETE
        except ProtocolError as error:
            progress.end = protocol_error_end(error)
        finally:
            relayed = exchange.response_body is not None and exchange.response is progress.response
            if relayed and not complete:
                exchange.response_truncated = True
            if complete:
                self.release_connection(server_id, connection)
            else:
                connection.close()
            connection.parser.release()

    def request_headers(self, exchange: RequestExchange, server_id: str, timeout: float) -> Headers:
        """Return the headers of the upstream request, including those that frame the body."""
        headers = [
            pair for pair in self.adapter.upstream_headers(exchange, timeout) if pair[0] != b"content-length"
        ]
        if not any(name == b"host" for name, _ in headers):
            headers.append((b"host", server_id.encode()))
        content_length, transfer_encoding = (
            exchange.head.get("content-length"),
            exchange.head.get("transfer-encoding"),
        )
        if exchange.remaining_body is None:
            if exchange.body or content_length or transfer_encoding:
                headers.append((b"content-length", b"%d" % len(exchange.body)))
        elif content_length:
            headers.append((b"content-length", content_length.encode()))
        else:
            headers.append((b"transfer-encoding", b"chunked"))
        return headers

    async def write_request(
        self,
        exchange: RequestExchange,
        connection: Connection,
        server_id: str,
        timeout: float,
        progress: AttemptProgress,
    ) -> None:
        """Write the request.

        The rest of a body that is not buffered whole is read from the client and written as it arrives.
        """
        head = exchange.head
        connection.parser.release()
        connection.parser = ResponseParser(MAX_RESPONSE_HEAD_BYTES, head.method)
        connection.request_written = False
        headers = self.request_headers(exchange, server_id, timeout)
        encoded_head = encode_request_head(head.method, head.target, headers)
        progress.write_begun = True
        if exchange.remaining_body is None:
            await connection.stream.send(encoded_head + exchange.body)
        else:
            exchange.remaining_body_read = True
            chunked = headers[-1] == (b"transfer-encoding", b"chunked")
            initial_data = encode_chunk(exchange.body) if chunked else exchange.body
            await connection.stream.send(encoded_head + initial_data)
            async for data in exchange.remaining_body():
                await connection.stream.send(encode_chunk(data) if chunked else data)
            if chunked:
                await connection.stream.send(LAST_CHUNK)
        connection.request_written = True

    async def read_response_head(self, connection: Connection) -> Response | AttemptEnd:
        """Read the head of the final response; return the end of the attempt if there is none."""
        while True:
            part = await connection.next_part()
            if part is None:
                return AttemptEnd.CLOSED_BEFORE_RESPONSE
            if isinstance(part, Response):
                if part.status == SWITCHING_PROTOCOLS:
                    return AttemptEnd.MALFORMED_RESPONSE
                if part.status >= FIRST_FINAL_STATUS:
                    return part

    async def read_response(
        self,
        exchange: RequestExchange,
        attempt_number: int,
        connection: Connection,
        progress: AttemptProgress,
    ) -> AttemptEnd:
        """Read the response and return how the attempt ended.

        A response that is streamed, or too large to be buffered, is relayed as it arrives.
        """
        response = await self.read_response_head(connection)
        if isinstance(response, AttemptEnd):
            return response
        progress.response = response
        is_server_error = response.status >= FIRST_SERVER_ERROR_STATUS
        streamed = exchange.streams_response and not is_server_error
        max_buffered_bytes = 0 if streamed else self.limits.max_buffered_response_bytes
        if max_buffered_bytes == 0 and not exchange.settled:
            return await self.relay_response_body(exchange, attempt_number, connection, response, b"")
        body_parts: list[bytes] = []
        body_size = 0
        while True:
            part = await connection.next_part()
            if isinstance(part, EndOfMessage):
                response.body = b"".join(body_parts)
                return AttemptEnd.RESPONSE_COMPLETE
            if not isinstance(part, bytes):
                return AttemptEnd.RESPONSE_TRUNCATED
            body_parts.append(part)
            body_size += len(part)
            if body_size > max_buffered_bytes:
                if is_server_error or exchange.settled:
                    return AttemptEnd.RESPONSE_TOO_LARGE
                initial_data = b"".join(body_parts)
                return await self.relay_response_body(
                    exchange, attempt_number, connection, response, initial_data
                )

    async def relay_response_body(
        self,
        exchange: RequestExchange,
        attempt_number: int,
        connection: Connection,
        response: Response,
        initial_data: bytes,
    ) -> AttemptEnd:
        """Relay the body to the client as it arrives, and return how the attempt ended.

        No deadline applies. A pause of `RELAY_READ_TIMEOUT_SECONDS` ends the response as truncated.

        Args:
            exchange: The request.
            attempt_number: Number of the attempt.
            connection: The connection from which the rest of the body is read.
            response: Head of the response.
            initial_data: The part of the body that has been read already.
        """
        client_body = exchange.begin_response(response, attempt_number)
        with client_body, anyio.CancelScope() as read_timeout_scope:
            data = initial_data
            while True:
                try:
                    await client_body.send(data)
                except STREAM_ERRORS:
                    return AttemptEnd.CLIENT_DISCONNECTED
                read_timeout_scope.deadline = anyio.current_time() + RELAY_READ_TIMEOUT_SECONDS
                part = await connection.next_part()
                if isinstance(part, EndOfMessage):
                    return AttemptEnd.RESPONSE_COMPLETE
                if not isinstance(part, bytes):
                    exchange.response_truncated = True
                    return AttemptEnd.RESPONSE_TRUNCATED
                data = part
        return AttemptEnd.RESPONSE_TRUNCATED
