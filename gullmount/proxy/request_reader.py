"""Turns the bytes of one client connection into complete requests, a slice at a time. Does no I/O.

Received bytes are kept as they are until it is their turn to be parsed: a byte that waits then costs a byte,
and the work of one call is limited, whatever the client has sent.
"""

from __future__ import annotations

from dataclasses import dataclass

from gullmount.proxy.downstream import CONTENT_TOO_LARGE
from gullmount.proxy.http1 import EndOfMessage, MessagePart, ProtocolError, RequestParser
from gullmount.proxy.messages import RequestHead, Response
from gullmount.proxy.protocol_adapter import ProtocolAdapter, RequestMetadata

# Bytes that one call parses. Usual heads are shorter; the smallest requests are about 30 bytes long.
SLICE_BYTES = 1024


@dataclass(slots=True)
class ReceivedRequest:
    """A request that was read completely.

    Attributes:
        head: the head.
        body: the body.
        metadata: what the router needs to know; None if the request is for the proxy itself.
        local_response: the response to a request for the proxy itself, else None.
    """

    head: RequestHead
    body: bytes
    metadata: RequestMetadata | None
    local_response: Response | None


class RequestReader:
    """Reads the consecutive requests of one connection.

    Attributes:
        unparsed: bytes that were received and not parsed yet.
        head: head of the request that is being read.
        metadata: metadata of the request that is being read; None if it is for the proxy itself.
        local_response: response to the request that is being read, if that is for the proxy itself.
        body: body of the request that is being read.
    """

    def __init__(self, adapter: ProtocolAdapter) -> None:
        self.adapter = adapter
        self.limits = adapter.downstream_limits
        self.parser: RequestParser | None = None
        self.unparsed = bytearray()
        self.head: RequestHead | None = None
        self.metadata: RequestMetadata | None = None
        self.local_response: Response | None = None
        self.body = bytearray()

    @property
    def has_work(self) -> bool:
        """Whether a call of `next_request` can make progress or has an error to raise."""
        if self.unparsed:
            return True
        return self.parser is not None and (bool(self.parser.parts) or self.parser.error is not None)

    @property
    def held_bytes(self) -> int:
        """About the memory that what was received takes."""
        held_bytes = len(self.unparsed) + len(self.body)
        if self.parser is not None and self.parser.in_message:
            held_bytes += self.parser.held_bytes
        return held_bytes

    @property
    def between_requests(self) -> bool:
        """Whether no byte of a further request was received."""
        return not self.has_work and not (self.parser is not None and self.parser.in_message)

    @property
    def expects_no_request(self) -> bool:
        """Whether the client announced that no further request follows."""
        return self.parser is not None and self.parser.finished and self.head is None

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may carry another request after the last one that was read."""
        return self.parser is None or self.parser.keep_alive

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self.unparsed += data

    def next_request(self) -> ReceivedRequest | None:
        """Parse up to `SLICE_BYTES` and return the request that they complete, if any.

        Raises:
            ProtocolError: The request is malformed, too large or not acceptable.
        """
        if self.parser is None:
            self.parser = RequestParser(self.limits.max_head_bytes)
        parser = self.parser
        if not parser.parts:
            data = bytes(self.unparsed[:SLICE_BYTES])
            del self.unparsed[:SLICE_BYTES]
            parser.feed(data)
        while parser.parts:
            if self._read_part(parser.parts.popleft()):
                return self._take_request()
        if parser.error is not None:
            raise parser.error
        return None

    def take_expects_continue(self) -> bool:
        """Return whether the client waits for 100 Continue, the first time only."""
        if self.parser is None or not self.parser.expects_continue:
            return False
        self.parser.expects_continue = False
        return True

    def release(self) -> None:
        """Give back the memory of what was read; the reader must not be used afterwards."""
        if self.parser is not None:
            self.parser.release()
        self.unparsed = bytearray()
        self.head, self.metadata, self.local_response = None, None, None
        self.body = bytearray()

    def _read_part(self, part: MessagePart) -> bool:
        """Add a part to the request; return whether it is complete."""
        if isinstance(part, RequestHead):
            self._read_head(part)
        elif isinstance(part, bytes):
            self.body += part
            if len(self.body) > self.limits.max_buffered_body_bytes:
                raise ProtocolError(CONTENT_TOO_LARGE, "body too large")
        return isinstance(part, EndOfMessage)

    def _read_head(self, head: RequestHead) -> None:
        length = head.get("content-length")
        if length is not None and int(length) > self.limits.max_body_bytes:
            raise ProtocolError(CONTENT_TOO_LARGE, "body too large")
        self.head = head
        self.local_response = self.adapter.local_response(head)
        self.metadata = self.adapter.request_metadata(head) if self.local_response is None else None

    def _take_request(self) -> ReceivedRequest:
        assert self.head is not None
        request = ReceivedRequest(self.head, bytes(self.body), self.metadata, self.local_response)
        self.head, self.metadata, self.local_response = None, None, None
        self.body = bytearray()
        return request
