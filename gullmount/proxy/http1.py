"""Parses and encodes HTTP/1.1 messages without I/O.

The parsers turn received bytes into heads, body parts and message ends. httptools does the parsing; this
module adds checks that httptools omits. A message is an error if its length is ambiguous or if another hop
could interpret its parts differently (request smuggling).
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Sequence

import httptools

from gullmount.errors import GullmountError
from gullmount.proxy.messages import Headers, RequestHead, Response, framing_problem

# The token syntax of RFC 9110, section 5.6.2.
TOKEN_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# Control characters that are not allowed in a header value or a request target.
CONTROL_CHARACTER_PATTERN = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
BODYLESS_STATUSES = (204, 304)
# Lower statuses are informational: another response head follows.
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
BAD_REQUEST = 400
HEAD_TOO_LARGE = 431
BAD_GATEWAY = 502
MIN_STATUS, MAX_STATUS = 100, 999
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class EndOfMessage:
    """Marks the end of a message among its parts."""


END_OF_MESSAGE = EndOfMessage()
MessagePart = RequestHead | Response | bytes | EndOfMessage


class ProtocolError(GullmountError):
    """The client violated HTTP/1.1 or a rule of the protocol adapter.

    Attributes:
        peer: the side that violated the protocol.
        status: status code of the error response to the client.
        reason: description of the error, sent to the client.
    """

    peer = "client"

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"protocol error by the {self.peer}: {reason}")
        self.status = status
        self.reason = reason


class ResponseError(ProtocolError):
    """The server violated HTTP/1.1."""

    peer = "server"


class MessageParser:
    """Base class of the request parser and the response parser.

    Attributes:
        parts: message parts that were parsed and not yet consumed, in order.
        error: the peer's first protocol violation, if any. Parts parsed before it remain valid.
        finished: whether no further message may follow on this connection.
    """

    error_type: type[ProtocolError] = ProtocolError

    def __init__(self, max_head_size: int) -> None:
        self.max_head_bytes = max_head_size
        self.parts: deque[MessagePart] = deque()
        self.error: ProtocolError | None = None
        self.in_head = True
        self.head_size = 0
        self.headers: Headers = []
        self.target = b""
        self.reason = b""
        self.finished = False
        self.parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection into `parts`; store a protocol violation in `error`."""
        if self.error is not None or self.finished:
            return
        if self.in_head:
            self.head_size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.finished = True
        except httptools.HttpParserError as error:
            self.fail(BAD_REQUEST, f"not HTTP/1.1: {error}")
        if self.in_head and self.head_size > self.max_head_bytes:
            self.fail(HEAD_TOO_LARGE, "head too long")

    def fail(self, status: int, reason: str) -> None:
        """Store a protocol violation of the peer, unless one is already stored."""
        if self.error is None:
            self.error = self.error_type(status, reason)

    # Callbacks from httptools.

    def on_message_begin(self) -> None:
        """Called when a message begins."""
        self.in_head = True
        self.headers = []
        self.target = self.reason = b""

    def on_url(self, url: bytes) -> None:
        """Called with a part of the request target."""
        self.target += url

    def on_status(self, status: bytes) -> None:
        """Called with a part of the response's reason phrase."""
        self.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called with each header; validates its name and value."""
        if not TOKEN_PATTERN.fullmatch(name) or CONTROL_CHARACTER_PATTERN.search(value):
            self.fail(BAD_REQUEST, "not HTTP/1.1: a header is malformed")
        self.headers.append((name.lower(), value.strip(b" \t")))

    def on_body(self, body: bytes) -> None:
        """Called with a part of the body."""
        self.parts.append(body)


class RequestParser(MessageParser):
    """Parses the consecutive requests of one client connection.

    Attributes:
        expects_continue: whether the client waits for 100 Continue before it sends the body.
        in_message: whether a request has begun and has not been read completely.
        keep_alive: whether the connection may carry another request after this one.
    """

    def __init__(self, max_head_size: int) -> None:
        super().__init__(max_head_size)
        self.parser = self.request_parser = httptools.HttpRequestParser(self)
        self.expects_continue = False
        self.in_message = False
        self.keep_alive = True

    def on_message_begin(self) -> None:
        """Called when a request begins."""
        self.in_message = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Called when the head is complete; validates it and appends it to `parts`."""
        self.in_head, self.head_size = False, 0
        version = self.parser.get_http_version()
        head = RequestHead(self.request_parser.get_method(), self.target, self.headers)
        problem = framing_problem(self.headers)
        if version == "1.1" and head.get("host") is None:
            problem = "no Host"
        if version not in ("1.0", "1.1") or not self.target or CONTROL_CHARACTER_PATTERN.search(self.target):
            problem = "not HTTP/1.1"
        if problem is not None:
            self.fail(BAD_REQUEST, problem)
        if self.error is not None:
            return
        self.keep_alive = self.parser.should_keep_alive()
        self.expects_continue = version == "1.1" and (head.get("expect") or "").lower() == "100-continue"
        self.parts.append(head)

    def on_body(self, body: bytes) -> None:
        """Called with a part of the body."""
        self.expects_continue = False
        if self.error is None:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        """Called when the request has been read completely."""
        self.expects_continue = self.in_message = False
        self.head_size = 0
        self.in_head = True
        if self.error is None:
            self.parts.append(END_OF_MESSAGE)
        self.finished = self.finished or not self.parser.should_keep_alive()


class ResponseParser(MessageParser):
    """Parses one response from a server to a request with the given method.

    Attributes:
        bodyless: whether the response has no body because the request method is HEAD.
        delimited_by_close: whether only the end of the connection marks the end of the body.
        keep_alive: whether the connection may carry another request after this response.
    """

    error_type = ResponseError

    def __init__(self, max_head_size: int, method: str) -> None:
        super().__init__(max_head_size)
        self.parser = self.response_parser = httptools.HttpResponseParser(self)
        self.bodyless = method == "HEAD"
        self.delimited_by_close = False
        self.keep_alive = False

    def on_message_begin(self) -> None:
        """Called when a response begins.

        A response after the final one is an error. The final one remains valid.
        """
        if self.finished:
            self.fail(BAD_GATEWAY, "more than one response")
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Called when the head is complete; validates it and appends it to `parts`."""
        self.in_head, self.head_size = False, 0
        status = self.response_parser.get_status_code()
        problem = framing_problem([pair for pair in self.headers if pair[0] != b"host"])
        if problem is not None or not MIN_STATUS <= status <= MAX_STATUS:
            self.fail(BAD_GATEWAY, problem or "no status")
        if self.error is not None:
            return
        self.parts.append(Response(status, self.headers, b"", self.reason))
        if status < FIRST_FINAL_STATUS:
            return
        names = [name for name, _ in self.headers]
        has_explicit_length = b"content-length" in names or b"transfer-encoding" in names
        # httptools would wait for the body that the head of a response to HEAD announces.
        if self.bodyless:
            self.parts.append(END_OF_MESSAGE)
            self.finished = True
        else:
            self.delimited_by_close = not has_explicit_length and status not in BODYLESS_STATUSES
            self.keep_alive = self.parser.should_keep_alive() and not self.delimited_by_close

    def on_message_complete(self) -> None:
        """Called when a response has been read completely. After an informational one, another follows."""
        status = self.response_parser.get_status_code()
        if status >= FIRST_FINAL_STATUS and self.error is None:
            self.parts.append(END_OF_MESSAGE)
            self.finished = True

    def complete_at_connection_end(self) -> bool:
        """Return whether the response is complete if the connection ends now."""
        return self.delimited_by_close and not self.in_head and self.error is None


def encode_request_head(method: str, target: str, headers: Sequence[tuple[bytes, bytes]]) -> bytes:
    """Encode a request line and its headers."""
    return b"%s %s HTTP/1.1\r\n%s\r\n" % (method.encode(), target.encode("latin-1"), encode_headers(headers))


def encode_response_head(status: int, reason: bytes, headers: Sequence[tuple[bytes, bytes]]) -> bytes:
    """Encode a status line and its headers."""
    return b"HTTP/1.1 %d %s\r\n%s\r\n" % (status, reason, encode_headers(headers))


def encode_headers(headers: Sequence[tuple[bytes, bytes]]) -> bytes:
    """Encode headers, one per line."""
    return b"".join([b"%s: %s\r\n" % pair for pair in headers])


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body. Empty data yields no bytes: an empty chunk would end the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"
