"""Defines the interface of client connections and encodes complete responses and errors.

Buffered and streaming client connections share this module, which does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gullmount.proxy.http1 import ProtocolError, encode_response_head
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.messages import SERVICE_UNAVAILABLE, Headers, Response
from gullmount.proxy.protocol_adapter import ProtocolAdapter

REASON_PHRASES = {
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    503: b"Service Unavailable",
}
NOT_IMPLEMENTED = 501
CONTENT_TOO_LARGE = 413
REQUEST_TIMEOUT = 408
CLOSE_HEADER = (b"connection", b"close")


class DownstreamConnection(Protocol):
    """A client connection as the listener uses it.

    Attributes:
        idle: whether no request has begun to arrive since the last one.
        idle_since: when the connection last became idle, in seconds of the runtime's clock.
        requests_accepted: number of requests accepted on this connection.
        closed: whether the connection accepts no request any more.
    """

    idle: bool
    idle_since: float
    requests_accepted: int
    closed: bool

    @property
    def busy(self) -> bool:
        """Whether an accepted request still awaits its response or the response is still being sent."""

    def close(self) -> None:
        """Close the connection unless a request has begun to arrive; no request may be in flight."""

    def reject_unread_request(self) -> None:
        """Reject a request that has not been read completely; called at the end of a graceful shutdown."""


def reject_pipelined_request(adapter: ProtocolAdapter, log: Callable[..., None]) -> Response:
    """Log and return the rejection of a request whose client has sent more than is read ahead."""
    reason = "further requests sent before the response"
    log(LogEvent.REQUEST_NOT_ACCEPTED, status=SERVICE_UNAVAILABLE, reason=reason)
    return adapter.rejection_response(retry_after=0.0)


def encode_response(response: Response, headers: Headers) -> bytes:
    """Encode a response with a complete body, adding its Content-Length."""
    framed_headers = [pair for pair in headers if pair[0] != b"content-length"]
    framed_headers.append((b"content-length", b"%d" % len(response.body)))
    return encode_response_head(response.status, response.reason, framed_headers) + response.body


def encode_error(error: ProtocolError, headers: Headers) -> bytes:
    """Encode the response to a request that is not accepted; the connection closes after it."""
    body = error.reason.encode() + b"\n"
    headers = [*headers, CLOSE_HEADER, (b"content-length", b"%d" % len(body))]
    return encode_response_head(error.status, REASON_PHRASES.get(error.status, b""), headers) + body
