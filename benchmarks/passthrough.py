"""Run a bare pass-through on the proxy's own libraries, to measure against.

    python benchmarks/passthrough.py LISTEN_ADDRESS SERVER_ADDRESS...

Round robin, with no decisions, timeouts or bounds. Reads by anyio and httptools, through the proxy's parsers.
"""

from __future__ import annotations

import sys
from itertools import cycle

import anyio
from anyio.abc import ByteStream

from gullmount.proxy.http1 import (
    EndOfMessage,
    MessageParser,
    MessagePart,
    RequestParser,
    ResponseParser,
    encode_request_head,
    encode_response_head,
)
from gullmount.proxy.messages import RequestHead, Response

MAX_HEAD_BYTES = 65536
BACKLOG = 1024
HOP_BY_HOP_HEADERS = {
    b"connection",
    b"keep-alive",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
}

Headers = list[tuple[bytes, bytes]]


async def read_part(parser: MessageParser, stream: ByteStream) -> MessagePart:
    """Return the next part of a message."""
    while not parser.parts:
        parser.feed(await stream.receive())
    return parser.parts.popleft()


async def read_body(parser: MessageParser, stream: ByteStream) -> bytes:
    """Return the rest of a message."""
    body = b""
    while not isinstance(part := await read_part(parser, stream), EndOfMessage):
        assert isinstance(part, bytes)
        body += part
    return body


def forwarded_headers(headers: Headers, content_length: int | None) -> Headers:
    """Return the headers to send on, with the length of the body if there is one."""
    forwarded = [header for header in headers if header[0] not in HOP_BY_HOP_HEADERS]
    if content_length is not None:
        forwarded.append((b"content-length", b"%d" % content_length))
    return forwarded


class RoundRobinUpstream:
    """Sends requests to servers in turn, over idle connections where there are some."""

    def __init__(self, addresses: list[str]) -> None:
        self.next_address = cycle(addresses)
        self.idle: dict[str, list[ByteStream]] = {address: [] for address in addresses}

    async def send(self, head: RequestHead, body: bytes) -> tuple[Response, bytes]:
        """Return the response's head and body."""
        address = next(self.next_address)
        if self.idle[address]:
            stream = self.idle[address].pop()
        else:
            host, port = address.split(":")
            stream = await anyio.connect_tcp(host, int(port))
        headers = forwarded_headers(head.headers, len(body) or None)
        await stream.send(encode_request_head(head.method, head.target, headers) + body)
        parser = ResponseParser(MAX_HEAD_BYTES, head.method)
        response = await read_part(parser, stream)
        assert isinstance(response, Response)
        content = await read_body(parser, stream)
        self.idle[address].append(stream)
        return response, content


async def main(listen_address: str, addresses: list[str]) -> None:
    """Serve until killed."""
    upstream = RoundRobinUpstream(addresses)

    async def serve(stream: ByteStream) -> None:
        try:
            async with stream:
                await serve_requests(stream)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream):
            pass

    async def serve_requests(stream: ByteStream) -> None:
        parser = RequestParser(MAX_HEAD_BYTES)
        while True:
            head = await read_part(parser, stream)
            assert isinstance(head, RequestHead)
            response, content = await upstream.send(head, await read_body(parser, stream))
            headers = forwarded_headers(response.headers, len(content))
            await stream.send(encode_response_head(response.status, response.reason, headers) + content)

    host, port = listen_address.split(":")
    listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port), backlog=BACKLOG)
    await listener.serve(serve)


if __name__ == "__main__":
    anyio.run(main, sys.argv[1], sys.argv[2:], backend="asyncio")
