"""What both kinds of client connection share: the form of complete responses and of errors. No I/O."""

from __future__ import annotations

from typing import Protocol

from gullmount.proxy.http1 import ProtocolError, encode_response_head
from gullmount.proxy.messages import Headers, Response

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
    """A client connection as the listener sees it; `idle_since` in seconds of the runtime's clock."""

    idle: bool
    idle_since: float
    requests_accepted: int

    @property
    def busy(self) -> bool:
        """Whether a request is accepted whose response has not left."""

    def close(self) -> None:
        """End the connection, on which nothing may be in flight."""

    def reject_unread_request(self) -> None:
        """End a connection whose request has not been read to its end, at the end of a shutdown."""


def encode_response(response: Response, headers: Headers) -> bytes:
    """Encode a response whose body is complete."""
    framed_headers = [pair for pair in headers if pair[0] != b"content-length"]
    framed_headers.append((b"content-length", b"%d" % len(response.body)))
    return encode_response_head(response.status, response.reason, framed_headers) + response.body


def encode_error(error: ProtocolError, headers: Headers) -> bytes:
    """Encode the response to a request that is not accepted; the connection ends with it."""
    body = error.reason.encode() + b"\n"
    headers = [*headers, CLOSE_HEADER, (b"content-length", b"%d" % len(body))]
    return encode_response_head(error.status, REASON_PHRASES.get(error.status, b""), headers) + body
