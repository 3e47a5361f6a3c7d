"""One call of discovery over HTTP: connecting, the request, and the answer within its deadlines.

Each way in which a call can fail raises DiscoveryCallError with the failure that `endpoint_freshness` knows.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import anyio

from gullmount.decisions.endpoint_freshness import CallFailure, PlannedCall, response_deadline
from gullmount.errors import GullmountError
from gullmount.net import STREAM_ERRORS, Net, Stream
from gullmount.platform.endpoint_codec import EndpointPage, decode_page
from gullmount.platform.errors import EndpointListTooLongError, InvalidPlatformMessageError
from gullmount.proxy.event_loop_stalls import EventLoopStalls
from gullmount.proxy.http1 import EndOfMessage, MessagePart, ProtocolError, ResponseParser
from gullmount.proxy.messages import Response

CONNECT_TIMEOUT_SECONDS = 0.8
MAX_HEAD_BYTES = 8192
MAX_LIST_BYTES = 2 << 20  # indented, some 3,200 servers with names of 300 characters
MILLISECONDS_PER_SECOND = 1000
STATUS_OK = 200
LOCAL_CONNECT_ERRNOS = (
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EADDRINUSE,
    errno.EAGAIN, errno.EINTR, errno.EPERM, errno.EACCES,
)  # fmt: skip


class DiscoveryCallError(GullmountError):
    """A call of discovery brought no usable answer.

    Attributes:
        failure: How it ended, as the freshness of the list takes it.
        detail: What was seen.
    """

    def __init__(self, failure: CallFailure, detail: str) -> None:
        super().__init__(f"discovery call {failure.value}: {detail}")
        self.failure = failure
        self.detail = detail


class DiscoveryCall:
    """One call under way; times are seconds of the proxy's clock."""

    def __init__(self, number: int, planned: PlannedCall, began_at: float) -> None:
        self.number = number
        self.planned = planned
        self.began_at = began_at
        self.first_byte_at = inf
        self.earliest_arrival_at = inf  # the earliest time at which its first byte can have arrived
        self.last_byte_at = -inf
        self.body_bytes = 0

    def deadline(self) -> float:
        """Return until when the next bytes are waited for."""
        return response_deadline(self.planned, self.began_at, self.last_byte_at, self.first_byte_at)

    def record_bytes(self, now: float, arrived_at: float) -> None:
        """Note that something was read, and the earliest time at which it can have arrived."""
        self.earliest_arrival_at = min(self.earliest_arrival_at, arrived_at)
        self.first_byte_at = min(self.first_byte_at, now)
        self.last_byte_at = now

    def count_body_bytes(self, byte_count: int) -> None:
        """Count bytes of the body; raises EndpointListTooLongError."""
        self.body_bytes += byte_count
        if self.body_bytes > MAX_LIST_BYTES:
            raise EndpointListTooLongError(MAX_LIST_BYTES)


@dataclass(frozen=True, slots=True)
class DiscoveryResponse:
    """A good answer of discovery."""

    page: EndpointPage
    """The list, or the entries that changed."""

    reusable: bool
    """Whether the connection may carry another call."""


class DiscoveryClient:
    """Makes one call at a time on a connection that is kept between calls."""

    def __init__(self, net: Net, now: Callable[[], float], stalls: EventLoopStalls) -> None:
        self.net = net
        self.now = now
        self.stalls = stalls
        self.stream: Stream | None = None

    async def connect(self, address: str) -> Stream:
        """Return the kept connection or a new one; raises DiscoveryCallError.

        Discovery counts as unreachable only where the other side or the network says so. Where this machine
        lacks descriptors, ports or memory, discovery could have told something.
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
        """Close the connection, if there is one."""
        stream, self.stream = self.stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)

    async def get_page(
        self, stream: Stream, address: str, after_revision: int, call: DiscoveryCall
    ) -> DiscoveryResponse:
        """Ask for what changed after a revision, 0 for the complete list; raises DiscoveryCallError."""
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
        """Write the request; raises TimeoutError or what a broken stream does."""
        wait_ms = round(call.planned.wait * MILLISECONDS_PER_SECOND)
        target = f"/v1/servers?after={after_revision}&wait_ms={wait_ms}"
        request = f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()
        with anyio.fail_after(call.deadline() - self.now()):
            await stream.send(request)

    async def read_response(self, stream: Stream, call: DiscoveryCall) -> DiscoveryResponse:
        """Read one answer to its end.

        Bytes behind a good answer make the connection unusable, as they would be taken for the next answer.
        Raises DiscoveryCallError for a refusal, else InvalidPlatformMessageError, ProtocolError, TimeoutError
        or what a broken stream does.
        """
        parser = ResponseParser(MAX_HEAD_BYTES, "GET")
        body: list[bytes] = []
        while True:
            part = await self.next_part(stream, parser, call)
            if isinstance(part, Response) and part.status > STATUS_OK:
                raise DiscoveryCallError(CallFailure.REFUSED, f"status {part.status}")
            if isinstance(part, bytes):
                call.count_body_bytes(len(part))
                body.append(part)
            elif isinstance(part, EndOfMessage):
                reusable = parser.keep_alive and parser.error is None and not parser.parts
                return DiscoveryResponse(decode_page(b"".join(body)), reusable)

    async def next_part(self, stream: Stream, parser: ResponseParser, call: DiscoveryCall) -> MessagePart:
        """Return the answer's next part, receiving where none is there yet."""
        while not parser.parts:
            if parser.error is not None:
                raise parser.error
            data = await self.stalls.receive_within(call.deadline() - self.now(), stream.receive)
            call.record_bytes(self.now(), self.stalls.arrival_time())
            parser.feed(data)
        return parser.parts.popleft()


def connect_errno(error: BaseException) -> int | None:
    """Return the errno of a failed connect, which anyio wraps in an error without one."""
    cause = error.__cause__ if error.__cause__ is not None else error
    return getattr(cause, "errno", None)
