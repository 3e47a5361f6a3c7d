"""Parses and encodes HTTP/1.1 messages without I/O.

The parsers turn received bytes into heads, body parts and message ends. httptools does the parsing; this
module adds checks that httptools omits. A message is an error if its length is ambiguous or if another hop
could interpret its parts differently (request smuggling).

What a message can make a parser hold is limited: the bytes of its head, the number of its fields, and the
bytes that frame its body. Trailer fields count as fields and are not kept.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Sequence
from typing import NoReturn

import httptools

from gullmount.errors import GullmountError
from gullmount.proxy.messages import (
    FIELD_MEMORY_BYTES,
    Headers,
    RequestHead,
    Response,
    framing_problem,
)

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
# Maximum number of fields in the head and the trailer section of a message together.
MAX_FIELDS = 100
# Bytes that may frame each body byte of a chunked body. A chunk of one byte has five.
MAX_FRAMING_BYTES_PER_BODY_BYTE = 8
# Maximum number of informational responses in front of a final one.
MAX_INFORMATIONAL_RESPONSES = 16


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


class ParsingStoppedError(GullmountError):
    """Raised in a callback to stop httptools at the peer's protocol violation; never leaves this module."""


class MessageParser:
    """Base class of the request parser and the response parser.

    Attributes:
        parts: message parts that were parsed and not yet consumed, in order.
        error: the peer's first protocol violation, if any. Parts parsed before it remain valid.
        finished: whether no further message may follow on this connection.
        complete_head_size: size in bytes of the last head that was complete.
        field_count: number of fields in the head and the trailer section so far.
        body_size: number of body bytes of the message so far.
        bytes_after_head: number of bytes that followed the head: body, chunk framing and trailer section.
        parser: the parser of httptools; None once released.
    """

    error_type: type[ProtocolError] = ProtocolError

    def __init__(self, max_head_size: int) -> None:
        self.max_head_bytes = max_head_size
        self.parts: deque[MessagePart] = deque()
        self.error: ProtocolError | None = None
        self.in_head = True
        self.head_size = 0
        self.complete_head_size = 0
        self.field_count = 0
        self.body_size = 0
        self.bytes_after_head = 0
        self.headers: Headers = []
        self.target = b""
        self.reason = b""
        self.finished = False
        self.parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None = None

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection into `parts`; store a protocol violation in `error`."""
        if self.error is not None or self.finished or self.parser is None:
            return
        if self.in_head:
            self.head_size += len(data)
        else:
            self.bytes_after_head += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.finished = True
        except httptools.HttpParserError as error:
            self.fail(BAD_REQUEST, f"not HTTP/1.1: {error}")
        self.check_sizes()

    @property
    def held_bytes(self) -> int:
        """About the memory that the fields of the current message take."""
        head_size = self.head_size if self.in_head else self.complete_head_size
        return head_size + FIELD_MEMORY_BYTES * self.field_count

    def end_head(self) -> None:
        """Record that the head is complete."""
        self.in_head = False
        self.complete_head_size, self.head_size = self.head_size, 0

    def check_sizes(self) -> None:
        """Store an error if the head or what frames the body is too long."""
        if self.in_head:
            if self.head_size > self.max_head_bytes:
                self.fail(HEAD_TOO_LARGE, "head too long")
            return
        framing_bytes = self.bytes_after_head - self.body_size
        if framing_bytes > self.max_head_bytes + MAX_FRAMING_BYTES_PER_BODY_BYTE * self.body_size:
            self.fail(HEAD_TOO_LARGE, "chunk framing or trailer section too long")

    def release(self) -> None:
        """Give up what was read and not consumed, and the parser of httptools.

        The callbacks make that parser and this one refer to each other, so without this call both would stay
        in memory until a garbage collection. Nothing is parsed any more.
        """
        self.parser = None
        self.parts.clear()
        self.headers = []
        if self.error is not None:
            # A traceback refers to the frames through which the error was raised, and so to this parser.
            self.error.__traceback__ = None

    def fail(self, status: int, reason: str) -> None:
        """Store a protocol violation of the peer, unless one is already stored."""
        if self.error is None:
            self.error = self.error_type(status, reason)

    def stop(self, status: int, reason: str) -> NoReturn:
        """Store a protocol violation and stop httptools: no further byte is parsed."""
        self.fail(status, reason)
        raise ParsingStoppedError(reason)

    # Callbacks from httptools.

    def on_message_begin(self) -> None:
        """Called when a message begins."""
        self.in_head = True
        self.field_count = self.body_size = self.bytes_after_head = 0
        self.headers = []
        self.target = self.reason = b""

    def on_url(self, url: bytes) -> None:
        """Called with a part of the request target."""
        self.target += url

    def on_status(self, status: bytes) -> None:
        """Called with a part of the response's reason phrase."""
        self.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called with each field of a head or trailer section; keeps those of a head."""
        self.field_count += 1
        if self.field_count > MAX_FIELDS:
            self.stop(HEAD_TOO_LARGE, "too many fields")
        if not TOKEN_PATTERN.fullmatch(name) or CONTROL_CHARACTER_PATTERN.search(value):
            self.stop(BAD_REQUEST, "not HTTP/1.1: a header is malformed")
        if self.in_head:
            self.headers.append((name.lower(), value.strip(b" \t")))

    def on_body(self, body: bytes) -> None:
        """Called with a part of the body."""
        self.body_size += len(body)
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
        self.parser = httptools.HttpRequestParser(self)
        self.expects_continue = False
        self.in_message = False
        self.keep_alive = True

    @property
    def request_parser(self) -> httptools.HttpRequestParser:
        """The parser of httptools, which calls the callbacks."""
        assert isinstance(self.parser, httptools.HttpRequestParser)
        return self.parser

    def on_message_begin(self) -> None:
        """Called when a request begins."""
        self.in_message = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Called when the head is complete; validates it and appends it to `parts`."""
        self.end_head()
        version = self.request_parser.get_http_version()
        head = RequestHead(
            self.request_parser.get_method(), self.target, self.headers, self.complete_head_size
        )
        problem = framing_problem(self.headers)
        if version == "1.1" and head.get("host") is None:
            problem = "no Host"
        if version not in ("1.0", "1.1") or not self.target or CONTROL_CHARACTER_PATTERN.search(self.target):
            problem = "not HTTP/1.1"
        if problem is not None:
            self.fail(BAD_REQUEST, problem)
        if self.error is not None:
            return
        self.keep_alive = self.request_parser.should_keep_alive()
        self.expects_continue = version == "1.1" and (head.get("expect") or "").lower() == "100-continue"
        self.parts.append(head)

    def on_body(self, body: bytes) -> None:
        """Called with a part of the body."""
        self.expects_continue = False
        if self.error is None:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Called when the request has been read completely."""
        self.expects_continue = self.in_message = False
        self.head_size = 0
        self.in_head = True
        if self.error is None:
            self.parts.append(END_OF_MESSAGE)
        self.finished = self.finished or not self.request_parser.should_keep_alive()


class ResponseParser(MessageParser):
    """Parses one response from a server to a request with the given method.

    Attributes:
        bodyless: whether the response has no body because the request method is HEAD.
        informational_count: number of informational responses so far.
        delimited_by_close: whether only the end of the connection marks the end of the body.
        keep_alive: whether the connection may carry another request after this response.
    """

    error_type = ResponseError

    def __init__(self, max_head_size: int, method: str) -> None:
        super().__init__(max_head_size)
        self.parser = httptools.HttpResponseParser(self)
        self.informational_count = 0
        self.bodyless = method == "HEAD"
        self.delimited_by_close = False
        self.keep_alive = False

    @property
    def response_parser(self) -> httptools.HttpResponseParser:
        """The parser of httptools, which calls the callbacks."""
        assert isinstance(self.parser, httptools.HttpResponseParser)
        return self.parser

    def on_message_begin(self) -> None:
        """Called when a response begins.

        A response after the final one is an error. The final one remains valid.
        """
        if self.finished:
            self.fail(BAD_GATEWAY, "more than one response")
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Called when the head is complete; validates it and appends it to `parts`."""
        self.end_head()
        status = self.response_parser.get_status_code()
        problem = framing_problem([pair for pair in self.headers if pair[0] != b"host"])
        if problem is not None or not MIN_STATUS <= status <= MAX_STATUS:
            self.fail(BAD_GATEWAY, problem or "no status")
        if self.error is not None:
            return
        self.parts.append(Response(status, self.headers, b"", self.reason))
        if status < FIRST_FINAL_STATUS:
            self.informational_count += 1
            if self.informational_count > MAX_INFORMATIONAL_RESPONSES:
                self.stop(BAD_GATEWAY, "too many informational responses")
            return
        names = [name for name, _ in self.headers]
        has_explicit_length = b"content-length" in names or b"transfer-encoding" in names
        # httptools would wait for the body that the head of a response to HEAD announces.
        if self.bodyless:
            self.parts.append(END_OF_MESSAGE)
            self.finished = True
        else:
            self.delimited_by_close = not has_explicit_length and status not in BODYLESS_STATUSES
            self.keep_alive = self.response_parser.should_keep_alive() and not self.delimited_by_close

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
