"""Serves client connections through callbacks, without a task per connection.

Messages are buffered completely; `streaming_downstream.py` can also relay bodies in pieces. What a client
sends is kept unparsed until `WorkScheduler` lets the connection process it.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from gullmount.net import Transport
from gullmount.proxy.downstream import (
    CLOSE_HEADER,
    REQUEST_TIMEOUT,
    encode_error,
    reject_pipelined_request,
)
from gullmount.proxy.http1 import (
    BODYLESS_STATUSES,
    CONTINUE_RESPONSE,
    ProtocolError,
    encode_response_head,
)
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.messages import SERVICE_UNAVAILABLE, Headers, Response
from gullmount.proxy.request_exchange import ClientPresence, RequestExchange
from gullmount.proxy.request_reader import SLICE_BYTES, ReceivedRequest, RequestReader
from gullmount.proxy.runtime import BufferedRuntime

# Response bytes that may wait for one client: four times the longest response.
MAX_UNSENT_RESPONSE_BYTES = 262_144
# Bytes discarded after the last response before the connection is aborted. Some clients send at full speed.
MAX_LINGER_BYTES = 131_072
# Response bytes that a client may leave unacknowledged before its further requests are read.
MAX_UNACKNOWLEDGED_RESPONSE_BYTES = 16_384
# Bytes that wait to be parsed before reading pauses.
MAX_UNPARSED_BYTES = 16_384


class BufferedDownstream:
    """One client connection.

    The transport, the request in flight and the listener's sweep call its methods. Times are in seconds of
    the runtime's clock.

    Attributes:
        exchange: the request in flight, if any.
        reader: reads the requests of the connection.
        held_request: a complete request whose client sent further bytes that are not read yet.
        pipelining: whether the bytes that wait to be parsed follow a request that was completed before.
        deadline: when the next request must be complete or, on an idle connection, must have begun.
        unsent_since: when a response was last written while no earlier one was unsent.
        request_begun_at: when the request that is being read began to arrive.
        data_arrived_at: the earliest time at which the bytes read last can have arrived.
        was_paused: whether reading was paused since all that the client sent was read.
        closed: whether the connection accepts no request and writes no response any more.
        lingered_bytes: number of bytes received since `closed` was set.
        ends_after_response: whether received bytes are discarded, and the connection closes after the
            response to the request in flight.
        reclaimed_first: as in `MemoryHolder`.
        exceeds_limit: whether there were as many connections as are allowed before it. It closes after its
            first response, which is 503 if as many requests are in flight.
    """

    reclaimed_first = True

    def __init__(
        self,
        runtime: BufferedRuntime,
        transport: Transport,
        on_closing: Callable[[BufferedDownstream], None],
        on_end: Callable[[BufferedDownstream], None],
        exceeds_limit: bool = False,
    ) -> None:
        """Create the connection.

        Args:
            runtime: runtime of the instance.
            transport: the accepted connection.
            on_closing: called when `closed` is set while the descriptor is still held.
            on_end: called when the connection has ended and its descriptor is released.
            exceeds_limit: see the attribute.
        """
        self.exceeds_limit = exceeds_limit
        self.on_closing = on_closing
        self.on_end = on_end
        self.runtime = runtime
        self.limits = runtime.adapter.downstream_limits
        self.transport = transport
        self.reader = RequestReader(runtime.adapter)
        self.exchange: RequestExchange | None = None
        self.held_request: ReceivedRequest | None = None
        self.pipelining = False
        self.idle = True
        self.idle_since = self.request_begun_at = runtime.now()
        self.data_arrived_at = self.idle_since
        self.last_write_at = -inf
        self.unsent_since = -inf
        self.deadline = self.idle_since + min(self.limits.idle_timeout, self.limits.first_request_timeout)
        self.requests_accepted = 0
        self.closed = False
        self.lingered_bytes = 0
        self.processing_deferred = False
        self.reading_paused = False
        self.was_paused = False
        self.ends_after_response = False

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the next response, whatever the client asks for."""
        return self.ends_after_response or self.exceeds_limit

    @property
    def busy(self) -> bool:
        """Whether an accepted request still awaits its response or the response is still being sent."""
        return self.exchange is not None or self.transport.unsent_bytes > 0

    @property
    def finished(self) -> bool:
        """Whether the connection only waits for the client to close and can be aborted without harm.

        That is the case once the client's system has acknowledged the response (RFC 9112, section 9.6),
        unless the client has gone on sending: a TCP reset could then reach it before it reads the response.
        Reading this property queries the kernel.
        """
        if not self.closed or self.lingered_bytes or self.transport.unsent_bytes:
            return False
        return not self.transport.unacknowledged_bytes

    def has_to_linger(self, now: float) -> bool:
        """Return whether received bytes are still discarded, because a TCP reset could overtake the response.

        A client that has not acknowledged its response gets as long as it may take to accept one. The kernel
        is queried only if the time does not decide.
        """
        if now < self.last_write_at + self.limits.linger_timeout:
            return True
        if now >= self.last_write_at + self.limits.write_timeout:
            return False
        return self.transport.unacknowledged_bytes > 0

    # Called by the transport.

    def data_received(self, data: bytes) -> None:
        """Keep received bytes until they are parsed; discard those that follow the last response."""
        if self.closed:
            self.lingered_bytes += len(data)
            if self.lingered_bytes > MAX_LINGER_BYTES:
                self.transport.abort()
            return
        if self.idle:
            self.idle = False
            self.request_begun_at = self.runtime.now()
            if self.requests_accepted:
                self.deadline = self.request_begun_at + self.limits.read_timeout
        if self.ends_after_response:
            return
        if not self.has_backlog:
            self.data_arrived_at = self.runtime.stalls.arrival_time(self.transport.seconds_since_data)
        self.reader.receive(data)
        self.runtime.memory.update(self)
        if self.closed:
            return
        if len(self.reader.unparsed) > MAX_UNPARSED_BYTES and not self.reading_paused:
            self.reading_paused = self.was_paused = True
            self.transport.pause_reading()
        if self.exchange is None and not self.processing_deferred:
            self.processing_deferred = True
            self.runtime.stalls.call_when_resumed(self.start_processing)

    @property
    def has_backlog(self) -> bool:
        """Whether bytes that arrived earlier wait to be read or parsed.

        What is received then may have arrived with them: it is dated like them, the earliest that it can be.
        """
        return self.was_paused or self.held_request is not None or self.reader.has_work

    def start_processing(self) -> None:
        """Process what was received, at once or when it is this connection's turn."""
        self.processing_deferred = False
        if self.may_process:
            self.runtime.scheduler.submit(self)

    def connection_ended(self, _clean: bool) -> None:
        """Handle the client's disconnection. HTTP has no half-close, so any end of the stream is one."""
        self.closed = True
        self.discard_unread_request()
        if self.exchange is not None:
            self.exchange.client_disconnected()
        self.on_end(self)

    # Called by the listener.

    def check_deadline(self, now: float) -> None:
        """Close the connection if its deadline has passed; answer a request that has begun with an error."""
        if self.exchange is not None:
            return
        self.runtime.memory.update(self)
        if self.transport.unsent_bytes:
            if now >= self.unsent_since + self.limits.write_timeout:
                self.abort()
        elif self.closed:
            if not self.has_to_linger(now):
                self.transport.close()
        elif self.reader.has_work:
            # A further request waits until the client has read its responses.
            if self.may_process:
                self.start_processing()
            elif now >= self.last_write_at + self.limits.write_timeout:
                self.abort()
        elif now >= self.deadline:
            if self.idle:
                self.close()
            else:
                self.send_error(ProtocolError(REQUEST_TIMEOUT, "too slow"))

    def close(self) -> None:
        """Close the connection; no request may be in flight.

        An idle connection stays open if its client has sent data that has not been read. If a response was
        just written, only the sending side is closed and received data is discarded for a while (RFC 9112,
        section 9.6), because a TCP reset could overtake the response.
        """
        if self.closed or (self.idle and not self.transport.is_idle):
            return
        self.closed = True
        self.discard_unread_request()
        self.on_closing(self)
        if self.transport.unsent_bytes or self.has_to_linger(self.runtime.now()):
            self.transport.write_eof()
        else:
            self.transport.close()

    @property
    def is_reading_request(self) -> bool:
        """Whether a request has begun to arrive and is not complete."""
        return self.exchange is None and not self.closed and not self.idle

    def reject_unread_request(self, reason: str = "stopping") -> None:
        """Reject a request that has not been read completely; its client may send it again."""
        if self.is_reading_request:
            self.send_error(ProtocolError(SERVICE_UNAVAILABLE, reason))

    def abort(self) -> None:
        """Abort the connection at once."""
        self.closed = True
        self.discard_unread_request()
        self.on_closing(self)
        self.transport.abort()

    def discard_unread_request(self) -> None:
        """Give back the memory of what was read for a request that is not accepted any more."""
        self.release_input()
        self.runtime.memory.remove(self)

    def release_input(self) -> None:
        """Give back the memory of what was received and not accepted."""
        self.reader.release()
        self.held_request = None
        self.runtime.scheduler.remove(self)

    # Called by the memory budget.

    @property
    def held_bytes(self) -> int:
        """About the memory that received bytes and unsent responses take."""
        held_bytes = self.reader.held_bytes + self.transport.unsent_bytes
        if self.held_request is not None:
            held_bytes += len(self.held_request.body) + self.held_request.head.held_bytes
        return held_bytes

    def reclaim_memory(self) -> None:
        """Give up the request that is being read, or the client that does not read its responses.

        A request in flight keeps its response, after which the connection closes.
        """
        self.runtime.log_event(LogEvent.MEMORY_RECLAIMED, bytes=self.held_bytes)
        if self.transport.unsent_bytes:
            self.abort()
        elif self.exchange is not None:
            self.ends_after_response = True
            self.release_input()
            self.resume_reading()
        elif not self.closed:
            self.send_error(ProtocolError(SERVICE_UNAVAILABLE, "memory is short"))

    # Reading requests.

    @property
    def may_process(self) -> bool:
        """Whether a further request may be read: one at a time, and only if the client reads its responses.

        The kernel is queried only for clients that pipeline.
        """
        if self.exchange is not None or self.closed or self.transport.unsent_bytes:
            return False
        if not self.pipelining:
            return True
        return self.transport.unacknowledged_bytes <= MAX_UNACKNOWLEDGED_RESPONSE_BYTES

    def process_received(self) -> bool:
        """Parse a slice of what was received and accept the request that it completes, if any.

        Returns whether there is more to do now.
        """
        if not self.may_process:
            return False
        if len(self.reader.unparsed) <= SLICE_BYTES:
            self.resume_reading()
        try:
            held_request, self.held_request = self.held_request, None
            request = held_request or self.reader.next_request()
            if request is not None:
                self.accept_request(request)
            elif not self.reader.has_work:
                self.all_processed()
        except ProtocolError as error:
            self.send_error(error)
            return False
        if self.held_request is not None:
            # More data or the end of the connection is about to be received.
            return False
        self.runtime.memory.update(self)
        if self.was_paused and not self.reader.has_work and self.transport.is_idle:
            self.was_paused = False
        self.pipelining = self.reader.has_work and (self.pipelining or request is not None)
        return self.reader.has_work and self.may_process

    def resume_reading(self) -> None:
        """Read on if reading is paused."""
        if self.reading_paused:
            self.reading_paused = False
            self.transport.resume_reading()

    def all_processed(self) -> None:
        """Act on what the client announced with the bytes that were parsed last."""
        if self.reader.take_expects_continue():
            self.transport.write(CONTINUE_RESPONSE)
        if self.reader.expects_no_request:
            self.close()

    def accept_request(self, request: ReceivedRequest) -> None:
        """Pass a complete request to the router, or answer it if it is for the proxy itself.

        Raises ProtocolError if the request is not accepted.
        """
        if self.exceeds_limit and self.is_limit_in_use:
            raise ProtocolError(SERVICE_UNAVAILABLE, "too many connections")
        if request.metadata is None:
            assert request.local_response is not None
            self.write_response(request.local_response, request.local_response.headers, omit_body=False)
            return
        presence = self.client_presence()
        if presence is ClientPresence.LEFT:
            self.abort()
            return
        if presence is ClientPresence.UNKNOWN:
            self.hold_or_reject(request)
            return
        # The client's timeout starts with the last byte of its request: many clients write slowly, and the
        # head does not tell when they began.
        exchange = self.runtime.new_exchange(
            request.head, request.body, self.data_arrived_at, request.metadata
        )
        if not self.runtime.memory.has_room(exchange.reserved_bytes):
            raise ProtocolError(SERVICE_UNAVAILABLE, "memory is short")
        exchange.on_settled = self.request_settled
        exchange.client_presence = self.client_presence
        self.exchange = exchange
        try:
            self.runtime.accept(exchange, request.metadata, at_most_once=False)
        except ProtocolError:
            self.exchange = None
            raise
        self.requests_accepted += 1

    @property
    def is_limit_in_use(self) -> bool:
        """Whether as many requests are in flight as connections are allowed, or none is served any more.

        Connections that are silent or stop in the middle of a request keep no others from being served.
        """
        requests_in_flight = len(self.runtime.exchanges)
        return self.runtime.refuses_requests or requests_in_flight >= self.limits.max_connections

    def client_presence(self) -> ClientPresence:
        """Return whether the client still waits for its response. Queries the kernel.

        Its end is certain to be seen only if all that it sent was read: the kernel takes no more from a
        client than it has room for, and the end comes last.
        """
        if self.closed:
            return ClientPresence.LEFT
        if self.transport.is_idle:
            return ClientPresence.PRESENT
        return ClientPresence.LEFT if self.transport.peer_has_ended else ClientPresence.UNKNOWN

    def hold_or_reject(self, request: ReceivedRequest) -> None:
        """Hold a request until all that its client sent was read; reject it if that is too much to read."""
        self.pipelining = True
        if not self.reading_paused:
            self.held_request = request
            return
        response = reject_pipelined_request(self.runtime.adapter, self.runtime.log_event)
        self.write_response(response, response.headers, omit_body=request.head.method == "HEAD")

    # Writing responses.

    def request_settled(self) -> None:
        """Write the final response of the request in flight, unless its client has disconnected."""
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        if exchange.client_left or self.closed:
            return
        response = exchange.response
        assert response is not None
        headers = self.runtime.adapter.downstream_headers(response)
        self.write_response(response, headers, omit_body=exchange.head.method == "HEAD")
        if self.reader.has_work and not self.closed:
            self.pipelining = True
            self.start_processing()

    def write_response(self, response: Response, headers: Headers, omit_body: bool) -> None:
        """Write a response, then prepare for the next request or close the connection."""
        framed_headers = [pair for pair in headers if pair[0] != b"content-length"]
        is_last = self.runtime.shutting_down or self.closes_after_response or not self.reader.keep_alive
        if is_last:
            framed_headers.append(CLOSE_HEADER)
        body = response.body
        if omit_body or response.status in BODYLESS_STATUSES:
            body = b""
        else:
            framed_headers.append((b"content-length", b"%d" % len(body)))
        self.send_response_bytes(
            encode_response_head(response.status, response.reason, framed_headers) + body
        )
        if is_last or self.closed:
            self.close()
            return
        self.idle = self.reader.between_requests
        self.idle_since = self.request_begun_at = self.last_write_at
        timeout = self.limits.idle_timeout if self.idle else self.limits.read_timeout
        self.deadline = self.idle_since + timeout

    def send_response_bytes(self, data: bytes) -> None:
        """Write data; abort the connection if the client does not read its responses."""
        self.last_write_at = self.runtime.now()
        if not self.transport.unsent_bytes:
            self.unsent_since = self.last_write_at
        self.transport.write(data)
        if self.transport.unsent_bytes > MAX_UNSENT_RESPONSE_BYTES:
            self.abort()
        elif self.transport.unsent_bytes:
            self.runtime.memory.update(self)

    def send_error(self, error: ProtocolError) -> None:
        """Answer a request that is not accepted and close the connection."""
        self.runtime.log_event(LogEvent.REQUEST_NOT_ACCEPTED, status=error.status, reason=error.reason)
        self.send_response_bytes(encode_error(error, []))
        self.close()
