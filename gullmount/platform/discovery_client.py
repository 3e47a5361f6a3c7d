"""HTTP client for discovery: connects, sends one request and reads its response within deadlines.

Every failure of a call raises DiscoveryCallError with the `CallFailure` that `endpoint_freshness` expects.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import anyio

from gullmount.decisions.endpoint_freshness import CallFailure, PlannedCall, response_deadline
from gullmount.errors import GullmountError
from gullmount.net import RESOURCE_SHORTAGE_ERRNOS, STREAM_ERRORS, Net, Stream, connect_errno
from gullmount.platform.endpoint_codec import EndpointPage, decode_page
from gullmount.platform.errors import EndpointListTooLongError, InvalidPlatformMessageError
from gullmount.proxy.event_loop_stalls import EventLoopStalls
from gullmount.proxy.http1 import EndOfMessage, MessagePart, ProtocolError, ResponseParser
from gullmount.proxy.messages import Response

CONNECT_TIMEOUT_SECONDS = 0.8
MAX_HEAD_BYTES = 8192
# Room for about 3,200 servers with names of 300 characters in indented JSON.
MAX_LIST_BYTES = 2 << 20
MILLISECONDS_PER_SECOND = 1000
STATUS_OK = 200
# Errors of a connect that this machine causes: no descriptors, ports, memory or permission, or a signal.
LOCAL_CONNECT_ERRNOS = RESOURCE_SHORTAGE_ERRNOS | {
    errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EINTR, errno.EPERM, errno.EACCES,
}  # fmt: skip


class DiscoveryCallError(GullmountError):
    """A call of discovery did not get a usable response.

    Attributes:
        failure: The kind of failure, as passed to `EndpointFreshness.call_failed`.
        detail: The error that was observed, for the log.
    """

    def __init__(self, failure: CallFailure, detail: str) -> None:
        super().__init__(f"discovery call {failure.value}: {detail}")
        self.failure = failure
        self.detail = detail


class DiscoveryCall:
    """The progress of one call; times are in seconds of the proxy's clock."""

    def __init__(self, number: int, planned: PlannedCall, began_at: float) -> None:
        self.number = number
        self.planned = planned
        self.began_at = began_at
        self.first_byte_at = inf
        # The earliest time at which the first byte can have arrived; after a stall of the event loop, it is
        # before the byte was read.
        self.earliest_arrival_at = inf
        self.last_byte_at = -inf
        self.body_bytes = 0

    def deadline(self) -> float:
        """Return the time at which the call is abandoned if no further bytes arrive."""
        return response_deadline(self.planned, self.began_at, self.last_byte_at, self.first_byte_at)

    def record_bytes(self, now: float, arrived_at: float) -> None:
        """Record that bytes were read at `now` and cannot have arrived before `arrived_at`."""
        self.earliest_arrival_at = min(self.earliest_arrival_at, arrived_at)
        self.first_byte_at = min(self.first_byte_at, now)
        self.last_byte_at = now

    def count_body_bytes(self, byte_count: int) -> None:
        """Add to the size of the body.

        Raises:
            EndpointListTooLongError: The body is longer than `MAX_LIST_BYTES`.
        """
        self.body_bytes += byte_count
        if self.body_bytes > MAX_LIST_BYTES:
            raise EndpointListTooLongError(MAX_LIST_BYTES)


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """A usable response of discovery."""

    page: EndpointPage
    """The complete list, or the entries that changed."""

    reusable: bool
    """Whether another call can be sent on the same connection."""


class DiscoveryClient:
    """Makes one call at a time and keeps the connection open between calls."""

    def __init__(self, net: Net, now: Callable[[], float], stalls: EventLoopStalls) -> None:
        self.net = net
        self.now = now
        self.stalls = stalls
        self.stream: Stream | None = None

    async def connect(self, address: str) -> Stream:
        """Return the open connection, or open one.

        The failure is UNREACHABLE only if the peer or the network refuses the connection or does not
        respond. If this machine lacks descriptors, ports or memory, the failure is BROKEN: discovery may be
        reachable, so a change of the list can count as notified.

        Raises:
            DiscoveryCallError: No connection could be opened.
        """
        if self.stream is not None:
            return self.stream
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                self.stream = await self.net.connect(address)
        except TimeoutError as error:
            detail = f"not connected in time {error}".strip()
            raise DiscoveryCallError(CallFailure.UNREACHABLE, detail) from None
        except STREAM_ERRORS as error:
            is_local = connect_errno(error) in LOCAL_CONNECT_ERRNOS
            failure = CallFailure.BROKEN if is_local else CallFailure.UNREACHABLE
            detail = f"{type(error).__name__} {error.__cause__ or error}"
            raise DiscoveryCallError(failure, detail) from None
        return self.stream

    async def disconnect(self) -> None:
        """Close the connection if one is open."""
        stream, self.stream = self.stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)

    async def get_page(
        self, stream: Stream, address: str, after_revision: int, call: DiscoveryCall
    ) -> DiscoveryResponse:
        """Request the changes after a revision; revision 0 requests the complete list.

        Raises:
            DiscoveryCallError: Discovery refused the call, fell silent, or sent an unusable response.
        """
        try:
            await self.send_request(stream, address, after_revision, call)
            return await self.read_response(stream, call)
        except TimeoutError:
            raise DiscoveryCallError(CallFailure.SILENT, "no byte in time") from None
        except (InvalidPlatformMessageError, ProtocolError, *STREAM_ERRORS) as error:
            raise DiscoveryCallError(CallFailure.BROKEN, f"{type(error).__name__} {error}") from None

    async def send_request(
        self, stream: Stream, address: str, after_revision: int, call: DiscoveryCall
    ) -> None:
        """Write the request.

        Raises:
            TimeoutError: The request was not written before the call's deadline.
            STREAM_ERRORS: The stream broke or was closed.
        """
        wait_ms = round(call.planned.wait * MILLISECONDS_PER_SECOND)
        target = f"/v1/servers?after={after_revision}&wait_ms={wait_ms}"
        request = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
        with anyio.fail_after(call.deadline() - self.now()):
            await stream.send(request)

    async def read_response(self, stream: Stream, call: DiscoveryCall) -> DiscoveryResponse:
        """Read one response to its end.

        The connection is not reusable if bytes follow the response: they would be read as the next response.

        Raises:
            DiscoveryCallError: The status is not 200.
            InvalidPlatformMessageError: The body is too long or is not an endpoint list.
            ProtocolError: The response is not valid HTTP.
            TimeoutError: No byte arrived before the call's deadline.
            STREAM_ERRORS: The stream broke or was closed.
        """
        parser = ResponseParser(MAX_HEAD_BYTES, "GET")
        try:
            body = await self.read_body(stream, parser, call)
            reusable = parser.keep_alive and parser.error is None and not parser.parts
            return DiscoveryResponse(decode_page(body), reusable)
        finally:
            parser.release()

    async def read_body(self, stream: Stream, parser: ResponseParser, call: DiscoveryCall) -> bytes:
        """Read one response to its end and return its body. Raises as `read_response` does."""
        body = bytearray()
        while True:
            part = await self.next_part(stream, parser, call)
            if isinstance(part, Response) and part.status > STATUS_OK:
                raise DiscoveryCallError(CallFailure.REFUSED, f"status {part.status}")
            if isinstance(part, bytes):
                call.count_body_bytes(len(part))
                body += part
            elif isinstance(part, EndOfMessage):
                return bytes(body)

    async def next_part(self, stream: Stream, parser: ResponseParser, call: DiscoveryCall) -> MessagePart:
        """Return the next part of the response, and receive data until one is complete."""
        while not parser.parts:
            if parser.error is not None:
                raise parser.error
            data = await self.stalls.receive_within(call.deadline() - self.now(), stream.receive)
            call.record_bytes(self.now(), self.stalls.arrival_time())
            parser.feed(data)
        return parser.parts.popleft()
