"""HTTP/1.1 without I/O: bytes in; heads, parts of bodies and ends of messages out.

httptools parses; this module adds the checks that it leaves open. A message whose length is ambiguous, or
whose parts another hop could read differently (request smuggling), is an error.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Sequence

import httptools

from gullmount.errors import GullmountError
from gullmount.proxy.messages import Headers, RequestHead, Response, framing_problem

TOKEN_PATTERN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")  # RFC 9110, 5.6.2
CONTROL_CHARACTER_PATTERN = re.compile(
    rb"[\x00-\x08\x0a-\x1f\x7f]"
)  # not allowed in a header's value or a target
BODYLESS_STATUSES = (204, 304)
FIRST_FINAL_STATUS = 200  # a lower status announces another head
SWITCHING_PROTOCOLS = 101
BAD_REQUEST = 400
HEAD_TOO_LARGE = 431
BAD_GATEWAY = 502
MIN_STATUS, MAX_STATUS = 100, 999
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class EndOfMessage:
    """The message has been read to its end."""


END_OF_MESSAGE = EndOfMessage()
MessagePart = RequestHead | Response | bytes | EndOfMessage


class ProtocolError(GullmountError):
    """A client broke HTTP/1.1 or a rule of the protocol adapter.

    Attributes:
        status: the status that the client is answered.
        reason: what is wrong, as the client is told.
    """

    peer = "client"

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"protocol error by the {self.peer}: {reason}")
        self.status = status
        self.reason = reason


class ResponseError(ProtocolError):
    """A server broke HTTP/1.1."""

    peer = "server"


class MessageParser:
    """What the parsers of requests and responses share.

    `parts` holds what has been read and not yet taken, in order. `error` is set once the peer broke the
    protocol; the parts before it are still valid.
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
        self.finished = False  # nothing more may follow on this connection
        self.parser: httptools.HttpRequestParser | httptools.HttpResponseParser

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection into `parts`; an error is kept in `error`."""
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
        """Keep the first error of the peer."""
        if self.error is None:
            self.error = self.error_type(status, reason)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """A message begins."""
        self.in_head = True
        self.headers = []
        self.target = self.reason = b""

    def on_url(self, url: bytes) -> None:
        """A part of the request's target."""
        self.target += url

    def on_status(self, status: bytes) -> None:
        """A part of the response's reason phrase."""
        self.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        if not TOKEN_PATTERN.fullmatch(name) or CONTROL_CHARACTER_PATTERN.search(value):
            self.fail(BAD_REQUEST, "not HTTP/1.1: a header is malformed")
        self.headers.append((name.lower(), value.strip(b" \t")))

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self.parts.append(body)


class RequestParser(MessageParser):
    """Parses the requests of one client connection, one after the other."""

    def __init__(self, max_head_size: int) -> None:
        super().__init__(max_head_size)
        self.parser = self.request_parser = httptools.HttpRequestParser(self)
        self.expects_continue = False  # the client waits for 100 Continue before it sends the body
        self.in_message = False  # a request has begun and has not been read to its end
        self.keep_alive = True  # the connection may carry another request after this one

    def on_message_begin(self) -> None:
        """A request begins."""
        self.in_message = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """The head is complete: check it."""
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
        """A part of the body."""
        self.expects_continue = False
        if self.error is None:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        """The request has been read to its end."""
        self.expects_continue = self.in_message = False
        self.head_size = 0
        self.in_head = True
        if self.error is None:
            self.parts.append(END_OF_MESSAGE)
        self.finished = self.finished or not self.parser.should_keep_alive()


class ResponseParser(MessageParser):
    """Parses one response of a server; `method` is that of the request."""

    error_type = ResponseError

    def __init__(self, max_head_size: int, method: str) -> None:
        super().__init__(max_head_size)
        self.parser = self.response_parser = httptools.HttpResponseParser(self)
        self.bodyless = method == "HEAD"
        self.delimited_by_close = False  # only the connection's end ends the body
        self.keep_alive = False

    def on_message_begin(self) -> None:
        """A response begins; a second one on the connection is an error, the first stays valid."""
        if self.finished:
            self.fail(BAD_GATEWAY, "more than the one answer")
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """The head is complete: check it."""
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
        if self.bodyless:  # the parser would wait for the body that the head of a response to HEAD announces
            self.parts.append(END_OF_MESSAGE)
            self.finished = True
        else:
            self.delimited_by_close = not has_explicit_length and status not in BODYLESS_STATUSES
            self.keep_alive = self.parser.should_keep_alive() and not self.delimited_by_close

    def on_message_complete(self) -> None:
        """The response has been read to its end; an informational one announces another."""
        status = self.response_parser.get_status_code()
        if status >= FIRST_FINAL_STATUS and self.error is None:
            self.parts.append(END_OF_MESSAGE)
            self.finished = True

    def complete_at_connection_end(self) -> bool:
        """Whether the response is complete if the connection ends now."""
        return self.delimited_by_close and not self.in_head and self.error is None


def encode_request_head(method: str, target: str, headers: Sequence[tuple[bytes, bytes]]) -> bytes:
    """Encode a request's head."""
    return b"%s %s HTTP/1.1\r\n%s\r\n" % (method.encode(), target.encode("latin-1"), encode_headers(headers))


def encode_response_head(status: int, reason: bytes, headers: Sequence[tuple[bytes, bytes]]) -> bytes:
    """Encode a response's head."""
    return b"HTTP/1.1 %d %s\r\n%s\r\n" % (status, reason, encode_headers(headers))


def encode_headers(headers: Sequence[tuple[bytes, bytes]]) -> bytes:
    """Encode headers, a line each."""
    return b"".join([b"%s: %s\r\n" % pair for pair in headers])


def encode_chunk(data: bytes) -> bytes:
    """Encode a part of a chunked body; empty data gives nothing, as an empty chunk would end the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"
