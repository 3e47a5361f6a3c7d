"""Compare h11 with httptools on one exchange: microseconds for parsing a request and a response.

.venv/bin/python benchmarks/parsers.py
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable

import h11
import httptools

REQUEST = b"GET /items/1 HTTP/1.1\r\nhost: exam\r\nx-key: k1\r\nx-patience-ms: 900\r\naccept: */*\r\n\r\n"
RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nx-load: qps=3\r\ncontent-length: 64\r\n\r\n" + b"a" * 64
)
ROUNDS = 7
EXCHANGES = 5000  # a round


class IgnoringCallbacks:
    """Takes what httptools has parsed, and does nothing with it."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Ignore a header."""

    def on_url(self, url: bytes) -> None:
        """Ignore the target."""

    def on_body(self, body: bytes) -> None:
        """Ignore a part of the body."""

    def on_message_complete(self) -> None:
        """Ignore the end."""


def parse_by_h11() -> None:
    """Parse one exchange."""
    server, client = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)
    server.receive_data(REQUEST)
    while not isinstance(server.next_event(), h11.EndOfMessage):
        pass
    client.send(h11.Request(method="GET", target="/", headers=[("host", "exam")]))
    client.send(h11.EndOfMessage())
    client.receive_data(RESPONSE)
    while not isinstance(client.next_event(), h11.EndOfMessage):
        pass


def parse_by_httptools() -> None:
    """Parse one exchange."""
    callbacks = IgnoringCallbacks()
    httptools.HttpRequestParser(callbacks).feed_data(REQUEST)
    httptools.HttpResponseParser(callbacks).feed_data(RESPONSE)


def microseconds(parse: Callable[[], None]) -> float:
    """Return the time of an exchange."""
    started = time.perf_counter()
    for _ in range(EXCHANGES):
        parse()
    return (time.perf_counter() - started) / EXCHANGES * 1e6


def main() -> None:
    """Print the medians, taken in turn."""
    pairs = [(microseconds(parse_by_h11), microseconds(parse_by_httptools)) for _ in range(ROUNDS)]
    print(f"h11        {statistics.median(by_h11 for by_h11, _ in pairs):7.1f} us an exchange")
    print(f"httptools  {statistics.median(by_httptools for _, by_httptools in pairs):7.1f} us an exchange")
    ratios = [by_h11 / by_httptools for by_h11, by_httptools in pairs]
    print(f"ratio      {statistics.median(ratios):7.1f}")


if __name__ == "__main__":
    main()
