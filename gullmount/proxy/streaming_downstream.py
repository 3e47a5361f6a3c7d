"""Serves client connections for the generic adapter, each in a task of its own.

Request and response bodies may be relayed in pieces; `buffered_downstream.py` buffers messages completely.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable

import anyio

from gullmount.errors import GullmountError
from gullmount.net import STREAM_ERRORS, Stream, stream_peer_has_ended, stream_seconds_since_data
from gullmount.proxy.downstream import (
    CLOSE_HEADER,
    CONTENT_TOO_LARGE,
    NOT_IMPLEMENTED,
    REQUEST_TIMEOUT,
    encode_error,
    encode_response,
    reject_pipelined_request,
)
from gullmount.proxy.http1 import (
    BODYLESS_STATUSES,
    CONTINUE_RESPONSE,
    LAST_CHUNK,
    EndOfMessage,
    MessagePart,
    ProtocolError,
    RequestParser,
    encode_chunk,
    encode_response_head,
)
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.messages import Headers, RequestHead, Response
from gullmount.proxy.read_ahead import ReadAheadStream
from gullmount.proxy.request_exchange import ClientPresence, RequestExchange
from gullmount.proxy.runtime import ProxyRuntime

# Bytes read and discarded after the last response before the connection is closed.
MAX_LINGER_BYTES = 1 << 20
UNSUPPORTED_METHODS = ("CONNECT", "TRACE")


class ClientDisconnectedError(GullmountError):
    """The client closed its connection or stopped sending, outside of an accepted request."""

    def __init__(self) -> None:
        super().__init__("the client disconnected or stopped sending")


class StreamingDownstream:
    """One client connection.

    Attributes:
        exchange: the request in flight, if any.
        busy: whether an accepted request still awaits its response or the response is still being sent.
        idle: whether the connection is between requests.
        closed: whether `close` was called and the connection is about to end.
        request_complete: whether the request in flight has been read completely.
    """

    def __init__(
        self, runtime: ProxyRuntime, stream: Stream, on_closing: Callable[[StreamingDownstream], None]
    ) -> None:
        """Create the connection; `on_closing` is called when `closed` is set."""
        self.runtime = runtime
        self.on_closing = on_closing
        self.limits = runtime.adapter.downstream_limits
        self.stream = stream
        self.incoming = ReadAheadStream(stream, self.arrival_time)
        self.incoming.on_end = self.connection_ended
        self.parser = RequestParser(self.limits.max_head_bytes)
        self.exchange: RequestExchange | None = None
        self.busy = False
        self.idle = True
        self.idle_since = runtime.now()
        self.requests_accepted = 0
        self.closed = False
        self.connection_scope = anyio.CancelScope()
        self.request_complete = True

    def arrival_time(self) -> float:
        """Return the earliest time at which the data just read can have arrived."""
        return self.runtime.stalls.arrival_time(lambda: stream_seconds_since_data(self.stream))

    def connection_ended(self) -> None:
        """Cancel the request in flight, if any, because the client has disconnected."""
        if self.exchange is not None:
            self.exchange.client_disconnected()

    def reject_unread_request(self) -> None:
        """Do nothing: a request that has not been accepted ends with its connection."""

    def close(self) -> None:
        """Close the connection, which must be idle, unless a request has begun to arrive."""
        if not self.incoming.chunks:
            self.closed = True
            self.on_closing(self)
            self.connection_scope.cancel()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            async with anyio.create_task_group() as tasks:
                self.connection_scope = tasks.cancel_scope
                tasks.start_soon(self.incoming.run)
                try:
                    await self.serve_requests()
                except (ClientDisconnectedError, *STREAM_ERRORS):
                    pass
                tasks.cancel_scope.cancel()
        finally:
            self.busy = False
            self.connection_ended()
            self.parser.release()
            await anyio.aclose_forcefully(self.stream)

    async def serve_requests(self) -> None:
        """Accept and answer requests one at a time. Raises ClientDisconnectedError."""
        while True:
            try:
                exchange = await self.accept_request()
            except ProtocolError as error:
                await self.send_error(error)
                return
            if exchange is None:
                continue
            await self.wait_until_settled(exchange)
            self.exchange = None
            if exchange.client_left:
                return
            await self.write_response(exchange)
            self.busy = False
            if self.is_last_response:
                await self.linger()
                return

    @property
    def is_last_response(self) -> bool:
        """Whether the connection closes after the current response."""
        return self.runtime.shutting_down or not self.request_complete or not self.parser.keep_alive

    async def wait_until_settled(self, exchange: RequestExchange) -> None:
        """Wait until the request has its final response or its client has disconnected."""
        if not exchange.settled:
            settled = anyio.Event()
            exchange.on_settled = settled.set
            await settled.wait()

    # Reading requests.

    async def next_part(self, timeout: float) -> MessagePart:
        """Return the next part of a request; wait for it up to `timeout` seconds.

        Raises ProtocolError if the request is malformed or too slow, and ClientDisconnectedError if the
        client disconnects or stays silent between requests.
        """
        parser = self.parser
        # Parts that are already parsed have no time limit.
        if parser.parts:
            return parser.parts.popleft()
        with anyio.move_on_after(timeout):
            while True:
                if parser.error is not None:
                    raise parser.error
                if parser.expects_continue:
                    parser.expects_continue = False
                    await self.write(CONTINUE_RESPONSE)
                data = await self.incoming.receive()
                if not data or parser.finished:
                    raise ClientDisconnectedError
                self.idle = False
                parser.feed(data)
                if parser.parts:
                    return parser.parts.popleft()
        if self.idle:
            raise ClientDisconnectedError
        raise ProtocolError(REQUEST_TIMEOUT, "too slow")

    async def read_head(self) -> RequestHead:
        """Read and validate the head of the next request.

        Raises ProtocolError or ClientDisconnectedError.
        """
        timeout = self.limits.idle_timeout
        if not self.requests_accepted:
            timeout = min(timeout, self.limits.first_request_timeout)
        head = await self.next_part(timeout)
        self.idle = self.request_complete = False
        if not isinstance(head, RequestHead):
            raise ClientDisconnectedError
        if head.method in UNSUPPORTED_METHODS:
            raise ProtocolError(NOT_IMPLEMENTED, "method is not passed on")
        length = head.get("content-length")
        if length is not None and int(length) > self.limits.max_body_bytes:
            raise ProtocolError(CONTENT_TOO_LARGE, "body too large")
        return head

    async def accept_request(self) -> RequestExchange | None:
        """Read the next request and pass it to the router, or answer it if it is for the proxy itself.

        Raises ProtocolError or ClientDisconnectedError.
        """
        self.idle = not self.parser.parts
        self.idle_since = self.runtime.now()
        head = await self.read_head()
        arrived_at = self.incoming.received_at
        local_response = self.runtime.adapter.local_response(head)
        if local_response is not None:
            await self.buffer_body()
            await self.write(encode_response(local_response, local_response.headers))
            return None
        metadata = self.runtime.adapter.request_metadata(head)
        body = await self.buffer_body()
        if self.runtime.stalls.stalled_recently:
            await self.runtime.stalls.wait_until_resumed()
        presence = self.client_presence()
        if presence is ClientPresence.LEFT:
            raise ClientDisconnectedError
        if presence is ClientPresence.UNKNOWN:
            response = reject_pipelined_request(self.runtime.adapter, self.runtime.log_event)
            await self.write(encode_response(response, response.headers))
            return None
        exchange = self.runtime.new_exchange(head, body, arrived_at, metadata)
        exchange.client_presence = self.client_presence
        if not self.request_complete:
            exchange.remaining_body = self.remaining_body
        self.runtime.accept(exchange, metadata, at_most_once=not self.request_complete)
        self.exchange = exchange
        self.busy = True
        self.requests_accepted += 1
        return exchange

    def client_presence(self) -> ClientPresence:
        """Return whether the client still waits for its response. Queries the kernel.

        A client that sends further requests before it has its response is not read to its end.
        """
        if self.incoming.ended or stream_peer_has_ended(self.stream):
            return ClientPresence.LEFT
        if self.request_complete and self.incoming.is_full:
            return ClientPresence.UNKNOWN
        return ClientPresence.PRESENT

    async def buffer_body(self) -> bytes:
        """Read the body up to the buffer limit; `request_complete` tells whether that is all of it."""
        parts: list[bytes] = []
        size = 0
        while size <= self.limits.max_buffered_body_bytes:
            part = await self.next_part(self.limits.read_timeout)
            if not isinstance(part, bytes):
                self.request_complete = True
                break
            parts.append(part)
            size += len(part)
        return b"".join(parts)

    async def remaining_body(self) -> AsyncIterator[bytes]:
        """Yield the body after its buffered part. An error or a close here counts as a disconnection."""
        size = self.limits.max_buffered_body_bytes
        while True:
            try:
                part = await self.next_part(self.limits.read_timeout)
            except (ProtocolError, ClientDisconnectedError):
                part = None
            if isinstance(part, EndOfMessage):
                self.request_complete = True
                return
            size += len(part) if isinstance(part, bytes) else 0
            if not isinstance(part, bytes) or size > self.limits.max_body_bytes:
                self.connection_ended()
                # The attempt is being cancelled.
                await anyio.sleep_forever()
            else:
                yield part

    # Writing responses.

    async def write(self, data: bytes | None) -> None:
        """Write data. Raises TimeoutError after the write timeout, or the error of a broken stream."""
        if data:
            with anyio.fail_after(self.limits.write_timeout):
                await self.stream.send(data)

    async def send_error(self, error: ProtocolError) -> None:
        """Answer a request that is not accepted, then discard what the client still sends."""
        self.runtime.log_event(LogEvent.REQUEST_NOT_ACCEPTED, status=error.status, reason=error.reason)
        await self.write(encode_error(error, [(b"content-type", b"text/plain")]))
        await self.linger()

    async def write_response(self, exchange: RequestExchange) -> None:
        """Write the final response of the request."""
        response = exchange.response
        assert response is not None
        headers = self.runtime.adapter.downstream_headers(response)
        if self.is_last_response:
            headers.append(CLOSE_HEADER)
        if exchange.response_body is not None:
            await self.relay_response_body(exchange, response, headers)
        elif exchange.head.method == "HEAD" or response.status in BODYLESS_STATUSES:
            await self.write(encode_response_head(response.status, response.reason, headers))
        else:
            await self.write(encode_response(response, headers))

    async def relay_response_body(
        self, exchange: RequestExchange, response: Response, headers: Headers
    ) -> None:
        """Relay a response as it arrives.

        A truncated response is not terminated, so that the client can detect the truncation.
        """
        assert exchange.response_body is not None
        chunked = not any(name == b"content-length" for name, _ in headers)
        if chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        with exchange.response_body:
            await self.write(encode_response_head(response.status, response.reason, headers))
            async for data in exchange.response_body:
                await self.write(encode_chunk(data) if chunked else data)
        if exchange.response_truncated:
            raise ClientDisconnectedError
        if chunked:
            await self.write(LAST_CHUNK)

    async def linger(self) -> None:
        """Close the sending side and discard what the client still sends.

        Without this, a TCP reset could overtake the response.
        """
        with anyio.move_on_after(self.limits.linger_timeout):
            await self.stream.send_eof()
            size = 0
            while size < MAX_LINGER_BYTES and (data := await self.incoming.receive()):
                size += len(data)
