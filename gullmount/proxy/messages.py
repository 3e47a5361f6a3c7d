"""Defines HTTP message values and the headers that the proxy forwards.

This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING
from urllib.parse import unquote

if TYPE_CHECKING:
    from gullmount.proxy.config import AffinityKeyConfig

Headers = list[tuple[bytes, bytes]]

# Headers that are not forwarded: the hop-by-hop headers of RFC 9110, section 7.6.1, and headers that concern
# only the connection between this proxy and its client.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"expect",
    }
)
# Tells the client whether its request was completed, shed or errored. A server's own header of this name is
# removed.
DISPOSITION_HEADER = b"gullmount-answer"
# Longer affinity keys are truncated, so that a hostile client cannot exhaust the memory.
MAX_AFFINITY_KEY_CHARACTERS = 256
SERVICE_UNAVAILABLE = 503
# Memory of one header beside its bytes: two byte strings and a tuple.
FIELD_MEMORY_BYTES = 160
ERROR_BODIES = {503: b"shed, try again later\n", 502: b"errored\n", 504: b"errored, in time for the client\n"}
REASON_PHRASES = {502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout"}
# Nine digits of milliseconds allow timeouts of more than 11 days.
MAX_TIMEOUT_DIGITS = 9


class RequestHead:
    """The request line and headers as the client sent them.

    Attributes:
        size: size of the head in bytes; 0 if it was not received.
    """

    __slots__ = ("headers", "method", "size", "target")

    def __init__(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], size: int = 0
    ) -> None:
        self.size = size
        self.method = method.decode("ascii")
        self.target = target.decode("latin-1")
        self.headers: Headers = list(headers)

    @property
    def held_bytes(self) -> int:
        """About the memory that the head takes."""
        return self.size + FIELD_MEMORY_BYTES * len(self.headers)

    def get(self, name: str) -> str | None:
        """Return the value of the first header with this lowercase name, or None."""
        encoded_name = name.encode()
        return next((value.decode("latin-1") for field, value in self.headers if field == encoded_name), None)

    def get_single(self, name: str) -> str | None:
        """Return the value of the header with this lowercase name if it occurs exactly once, else None."""
        encoded_name = name.encode()
        values = [value for field, value in self.headers if field == encoded_name]
        return values[0].decode("latin-1") if len(values) == 1 else None


class Response:
    """A response from a server or from the proxy itself.

    Attributes:
        disposition: value of `DISPOSITION_HEADER` for this response: completed, shed or errored.
    """

    __slots__ = ("body", "disposition", "headers", "reason", "status")

    def __init__(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        reason: bytes = b"",
        disposition: bytes = b"completed",
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.reason = reason
        self.disposition = disposition


def connection_options(headers: Sequence[tuple[bytes, bytes]]) -> set[bytes]:
    """Return the lowercase header names listed in Connection, which apply to one hop only."""
    connection_values = b",".join(value for name, value in headers if name == b"connection")
    return {part.strip().lower() for part in connection_values.split(b",")}


def end_to_end_headers(headers: Sequence[tuple[bytes, bytes]]) -> Headers:
    """Return the headers to forward: all but the hop-by-hop headers and the disposition header."""
    excluded_names = HOP_BY_HOP_HEADERS | connection_options(headers)
    return [
        (name, value) for name, value in headers if name not in excluded_names and name != DISPOSITION_HEADER
    ]


def framing_problem(headers: Sequence[tuple[bytes, bytes]]) -> str | None:
    """Return why the message's framing or host is ambiguous, or None if it is not."""
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if lengths and codings:
        return "both Content-Length and Transfer-Encoding"
    if len(lengths) > 1 or any(b"," in value for value in lengths):
        return "more than one Content-Length"
    if len(codings) > 1 or any(value.lower() != b"chunked" for value in codings):
        return "a Transfer-Encoding other than chunked"
    if sum(name == b"host" for name, _ in headers) > 1:
        return "more than one Host"
    return None


def cookie_value(head: RequestHead, name: str) -> str | None:
    """Return the value of the first cookie with this name, or None."""
    for field, value in head.headers:
        if field == b"cookie":
            for part in value.decode("latin-1").split(";"):
                key, separator, text = part.strip().partition("=")
                if separator and key == name:
                    return text.strip('"')
    return None


def affinity_key(head: RequestHead, sources: Sequence[AffinityKeyConfig]) -> str | None:
    """Return the affinity key from the first source that yields one, or None."""
    for source in sources:
        key = None
        if source.header is not None:
            key = head.get(source.header)
        if not key and source.cookie is not None:
            key = cookie_value(head, source.cookie)
        if not key and source.segment is not None:
            segments = head.target.partition("?")[0].split("/")[1:]
            key = unquote(segments[source.segment]) if source.segment < len(segments) else None
        if key:
            return key[:MAX_AFFINITY_KEY_CHARACTERS]
    return None


def request_timeout(head: RequestHead, header: str, route_timeout: float) -> float:
    """Return the request's timeout in seconds, at most `route_timeout`.

    The client sends its timeout in milliseconds in `header`. A missing or invalid value selects
    `route_timeout`.
    """
    milliseconds = head.get(header)
    if milliseconds is None or not milliseconds.isdecimal() or len(milliseconds) > MAX_TIMEOUT_DIGITS:
        return route_timeout
    return min(route_timeout, int(milliseconds) / 1000)


def rejection_response(retry_after: float) -> Response:
    """Return the 503 response to a rejected request.

    `retry_after` is in seconds; 0 omits the retry headers.
    """
    headers = [(b"content-type", b"text/plain")]
    if retry_after > 0:
        headers.append((b"retry-after", b"%d" % max(1, round(retry_after))))
        headers.append((b"retry-after-ms", b"%d" % round(retry_after * 1000)))
    return Response(
        SERVICE_UNAVAILABLE,
        headers,
        ERROR_BODIES[SERVICE_UNAVAILABLE],
        REASON_PHRASES[SERVICE_UNAVAILABLE],
        b"shed",
    )


def failure_response(status: int) -> Response:
    """Return the proxy's own response to a failed request; `status` is 502 or 504."""
    return Response(
        status, [(b"content-type", b"text/plain")], ERROR_BODIES[status], REASON_PHRASES[status], b"errored"
    )
