"""Upstream attempts in a task each, for the generic adapter: bodies may be relayed in pieces, either way.

Reports how an attempt ended and decides nothing. `buffered_upstream.py` carries messages that are buffered
whole.
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

RELAY_READ_TIMEOUT_SECONDS = (
    30.0  # a relayed response may pause: its client's deadline does not bind any more
)


class Connection:
    """One connection to a server."""

    def __init__(self, stream: Stream, pool: ServerPool[Connection], now: float) -> None:
        self.stream = stream
        self.pool = pool
        self.incoming = ReadAheadStream(stream)
        self.parser = ResponseParser(MAX_RESPONSE_HEAD_BYTES, "GET")
        self.request_written = False  # the request in flight was written to its end
        self.scope = anyio.CancelScope()
        self.idle_since = now

    @property
    def is_quiet(self) -> bool:
        """Whether neither the end nor any unexpected byte has been seen."""
        return not self.incoming.ended and not self.incoming.chunks

    async def run(self) -> None:
        """Read ahead until the connection ends or is closed."""
        with self.scope:
            try:
                await self.incoming.run()
            finally:
                await anyio.aclose_forcefully(self.stream)

    def close(self) -> None:
        """End the connection and what is in flight on it."""
        self.scope.cancel()

    async def next_part(self) -> MessagePart | None:
        """Return the next part of the response; None once the connection ended before it.

        Raises ProtocolError.
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
    """How far one attempt has come; `write_begun` tells that a byte of the request may have left."""

    def __init__(self) -> None:
        self.write_begun = False
        self.end: AttemptEnd | None = None
        self.response: Response | None = None


class StreamingUpstream(PooledUpstream[Connection]):
    """All connections of one instance, by tasks."""

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

    def take_idle_connection(self, pool: ServerPool[Connection]) -> Connection | None:
        """Take the newest idle connection, so that the others can expire.

        One past the idle timeout may be closed by the server while the request is on its way.
        """
        idle_cutoff = self.clock() - self.limits.idle_timeout
        while pool.idle:
            connection = pool.idle.pop()
            if connection.is_quiet and connection.idle_since > idle_cutoff:
                return connection
            connection.close()
        return None

    async def acquire_connection(self, server_id: str) -> Connection | AttemptEnd:
        """Take an idle connection or open one; returns how the attempt ended where there is none."""
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
            if isinstance(error, TimeoutError):
                return AttemptEnd.CONNECT_TIMEOUT
            if isinstance(error, OSError | LookupError):
                return AttemptEnd.CONNECT_REFUSED
            raise
        connection = Connection(stream, pool, self.clock())
        self.task_group.start_soon(self.run_connection, server_id, pool, connection)
        return connection

    async def run_connection(
        self, server_id: str, pool: ServerPool[Connection], connection: Connection
    ) -> None:
        """The task of one connection."""
        try:
            await connection.run()
        finally:
            if connection in pool.idle:
                pool.idle.remove(connection)
            self.connection_lost(server_id, pool)

    def connection_lost(self, server_id: str, pool: ServerPool[Connection]) -> None:
        """A connection has closed, or was not opened; an empty pool goes."""
        self.release_reservation(pool)
        if pool.open_count == 0 and self.pools.get(server_id) is pool:
            del self.pools[server_id]

    def release_connection(self, server_id: str, connection: Connection) -> None:
        """Keep the connection for another attempt if the protocol allows it, else close it."""
        parser = connection.parser
        reusable = self.pools.get(server_id) is connection.pool and connection.is_quiet and not parser.parts
        if connection.request_written and parser.keep_alive and parser.error is None and reusable:
            connection.idle_since = self.clock()
            connection.pool.idle.append(connection)
        else:
            connection.close()

    # One attempt.

    async def run_attempt(
        self, exchange: RequestExchange, attempt_number: int, server_id: str, timeout: float
    ) -> tuple[AttemptEnd, Response | None]:
        """Send the request to the server and read its response, for `timeout` seconds at most."""
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
        if exchange.client_left:  # the scope ended the attempt before the response was complete
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
        """Carry the attempt on a connection and note its end in `progress`."""
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
                time_left = scope.deadline - anyio.current_time()
                await self.write_request(exchange, connection, server_id, time_left, progress)
            except STREAM_ERRORS:
                progress.end = AttemptEnd.WRITE_FAILED if progress.write_begun else AttemptEnd.CONNECT_REFUSED
                return
            progress.end = await self.read_response(exchange, attempt_number, connection, progress)
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

    def request_headers(self, exchange: RequestExchange, server_id: str, timeout: float) -> Headers:
        """Return the headers that go to the server, with those that frame the body."""
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
        """Write the request; what follows its buffered part is read from the client meanwhile."""
        head = exchange.head
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
        """Read the head of the final response; returns how the attempt ended where there is none."""
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
        """Read the response; one that is streamed, or too large to be buffered, is relayed as it comes."""
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
        """Relay the body to the client as it comes; only a pause that is too long ends it, no deadline."""
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
