"""Implements `proxy.protocol_adapter.ProtocolAdapter` for the platform's HTTP protocol.

No other module knows the protocol's header names and status codes. This module does no I/O.
"""

from __future__ import annotations

import re
from collections.abc import Callable

from gullmount.decisions.model import InstanceSettings, Outcome, RetrySafety, Route
from gullmount.platform.request_ids import RequestIds
from gullmount.proxy.http1 import ProtocolError
from gullmount.proxy.messages import (
    MAX_AFFINITY_KEY_CHARACTERS,
    Headers,
    RequestHead,
    Response,
    end_to_end_headers,
    failure_response,
)
from gullmount.proxy.outcomes import OUTCOME_BY_ATTEMPT_END, AttemptEnd
from gullmount.proxy.protocol_adapter import (
    CONNECTION_REUSE_DELAY_SECONDS,
    DownstreamLimits,
    RequestMetadata,
    UpstreamLimits,
)
from gullmount.proxy.request_exchange import RequestExchange
from gullmount.settings import SocketSettings

# Maximum size of a request head. Usual heads have about 300 bytes.
MAX_HEAD_BYTES = 16384
# Maximum size of request and response bodies, as defined by the protocol.
MAX_BODY_BYTES = 65536
# Timeout from the start of a connection until its first request is complete. A connection on which no request
# arrives must be closed within 3 s.
FIRST_REQUEST_TIMEOUT_SECONDS = 2.4
# Timeout of a later request, from its first byte to its last. Some clients write slowly.
READ_TIMEOUT_SECONDS = 4.0
# Maximum idle time between a client's requests. The connection may be closed after 2 s.
IDLE_TIMEOUT_SECONDS = 8.0
# Time for a client to accept its response.
WRITE_TIMEOUT_SECONDS = 2.0
# Time during which received bytes are read and discarded after an error response.
LINGER_TIMEOUT_SECONDS = 0.3
# Time before the client's deadline at which the response is sent at the latest.
RESPONSE_MARGIN_SECONDS = 0.012
# An idle connection is no longer reused from this time before the server may close it.
SERVER_IDLE_MARGIN_SECONDS = 0.5
# Share of the descriptors for client connections. Clients need a third of the descriptors for requests; the
# remainder is for connections that carry no request.
DOWNSTREAM_DESCRIPTOR_SHARE = 0.45
# Share of the descriptors for server connections.
UPSTREAM_DESCRIPTOR_SHARE = 0.35
# Descriptors for discovery, the release controller, votes, the process itself, and connections that are being
# accepted or opened. What remains is for client connections that are closing.
RESERVED_DESCRIPTORS = 24
MAX_CONNECTIONS_PER_SERVER = 64
# Maximum number of digits of a request timeout in milliseconds; 9 digits allow more than 11 days.
MAX_TIMEOUT_DIGITS = 9
# Time beyond the longest timeout for which an id is remembered: another client may send it late.
REPEATED_ID_MARGIN_SECONDS = 4.0
# Maximum length of a request id. The platform's request ids have 16 characters.
MAX_REQUEST_ID_CHARACTERS = 64
MILLISECONDS_PER_SECOND = 1000

HEALTH_PATH = "/healthz"
# A request without one of these headers is not accepted.
REQUIRED_HEADERS = (b"host", b"request-class", b"request-id")
# Headers that are written anew for each attempt.
REWRITTEN_HEADERS = (b"content-length", b"request-timeout-ms")
REQUEST_ID_PATTERN = re.compile(r"[!-~]+", re.ASCII)
# Response header by which a server states that it did not start the request.
NOT_STARTED_HEADER = (b"not-started", b"1")
# Status codes of responses in which `NOT_STARTED_HEADER` is honored.
NOT_STARTED_STATUSES = (503, 504)
STATUS_OK = 200
STATUS_BAD_GATEWAY = 502
# Value of `Response.disposition` for a request that the proxy rejects.
REJECTED_DISPOSITION = b"shed"
PLATFORM_OUTCOME_BY_ATTEMPT_END = OUTCOME_BY_ATTEMPT_END | {
    # A server starts a request only after its last byte has arrived. A failed write thus proves that the
    # request did not start.
    AttemptEnd.WRITE_FAILED: Outcome.CONNECT_FAILED,
    # The attempt ran and the connection is lost. A reset counts neither for nor against a build.
    AttemptEnd.MALFORMED_RESPONSE: Outcome.RESET,
    AttemptEnd.RESPONSE_TOO_LARGE: Outcome.RESET,
}
# Required method by retry safety of the route. Other routes allow any method.
REQUIRED_METHODS = {
    RetrySafety.IDEMPOTENT: "GET",
    RetrySafety.AT_MOST_ONCE: "POST",
}


class PlatformAdapter:
    """Applies the platform's protocol to the requests of one instance.

    Attributes:
        settings: settings of the instance, among them its routes.
        route_timeouts: maximum request timeout in seconds by route.
        sends_retry_after: whether rejections carry a Retry-After header.
        request_ids: ids of requests in flight and of recent requests.
        addresses: server addresses by server id, kept up to date by the endpoint cache.
        downstream_limits: limits on client connections.
        upstream_limits: limits on server connections.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        socket_settings: SocketSettings,
        descriptor_limit: int,
        now: Callable[[], float],
    ) -> None:
        """Create the adapter.

        Args:
            settings: settings of the instance.
            socket_settings: timeouts of requests and connections.
            descriptor_limit: maximum number of file descriptors that the process may use.
            now: returns the current time in seconds.
        """
        self.settings = settings
        self.route_timeouts = socket_settings.route_timeouts
        self.sends_retry_after = settings.max_retry_after > 0
        longest_timeout = max(socket_settings.route_timeouts.values(), default=0.0)
        self.request_ids = RequestIds(now, longest_timeout + REPEATED_ID_MARGIN_SECONDS)
        self.addresses: dict[str, str] = {}
        self.downstream_limits = downstream_limits(descriptor_limit)
        self.upstream_limits = upstream_limits(socket_settings, descriptor_limit)

    # Clients

    def local_response(self, head: RequestHead) -> Response | None:
        """Return the response to a health check, or None for any other request.

        Raises ProtocolError if the method of a health check is not GET.
        """
        if head.target.partition("?")[0] != HEALTH_PATH:
            return None
        if head.method != "GET":
            raise ProtocolError(400, "not the method of this path")
        return Response(STATUS_OK, [], b"ok\n", b"OK")

    def request_metadata(self, head: RequestHead) -> RequestMetadata:
        """Return the request's metadata. Raises ProtocolError if the request must not be accepted."""
        route = self.find_route(head)
        request_id = head.get_single("request-id")
        if (
            request_id is None
            or len(request_id) > MAX_REQUEST_ID_CHARACTERS
            or not REQUEST_ID_PATTERN.fullmatch(request_id)
        ):
            raise ProtocolError(400, "no id, or more than one")
        timeout = min(read_timeout(head), self.route_timeouts[route.name])
        if timeout <= 0:
            raise ProtocolError(400, "the client's timeout is zero")
        key = head.get("affinity-key")
        return RequestMetadata(
            route=route.name,
            affinity_key=key[:MAX_AFFINITY_KEY_CHARACTERS] if key else None,
            timeout=timeout - RESPONSE_MARGIN_SECONDS,
            client_request_id=request_id,
        )

    def find_route(self, head: RequestHead) -> Route:
        """Return the route of the request.

        Raises ProtocolError if header and path do not name the same known route, or if the method is wrong.
        """
        name = head.get_single("request-class")
        route = self.settings.routes.get(name or "")
        if route is None or head.target.partition("?")[0].split("/")[1:2] != [name]:
            raise ProtocolError(404, "no such route")
        if REQUIRED_METHODS.get(route.retry_safety, head.method) != head.method:
            raise ProtocolError(400, "not the method of this route")
        return route

    def claim_request_id(self, metadata: RequestMetadata) -> None:
        """Register the id of a request about to be accepted. Raises ProtocolError if the id is known."""
        if not self.request_ids.claim(metadata.client_request_id):
            raise ProtocolError(400, "an id that was there before")

    def request_ended(self, exchange: RequestExchange) -> None:
        """Release the id of a request that has its response and whose last attempt has ended."""
        self.request_ids.release(exchange.client_request_id, was_forwarded=exchange.attempt_count > 0)

    def downstream_headers(self, response: Response) -> Headers:
        """Return the headers to send to the client: those of a rejection, and none of a server's response."""
        return response.headers if response.disposition == REJECTED_DISPOSITION else []

    def rejection_response(self, retry_after: float) -> Response:
        """Return the response to a rejected request; `retry_after` is in seconds, 0 for none."""
        sends_retry_after = self.sends_retry_after and retry_after > 0
        headers = [(b"retry-after", b"%.3f" % retry_after)] if sends_retry_after else []
        return Response(503, headers, b"shed\n", b"Service Unavailable", REJECTED_DISPOSITION)

    def failure_response(self, status: int) -> Response:
        """Return the response to a failed request; `status` is its status code."""
        return failure_response(status)

    def server_error_response(self, _response: Response) -> Response:
        """Return a 502 response in place of a server's error response.

        A client would take a server's 503 or 429 as a guarantee that the request did not run, although it may
        have run.
        """
        return failure_response(STATUS_BAD_GATEWAY)

    # Servers

    def server_address(self, server_id: str) -> str:
        """Return the server's address. Raises KeyError if the server is no longer listed."""
        return self.addresses[server_id]

    def upstream_headers(self, exchange: RequestExchange, timeout: float) -> Headers:
        """Return the request headers to send to a server; `timeout` is the attempt's timeout in seconds.

        All end-to-end headers are forwarded (RFC 9110, 7.6) because servers may use any of them. Required
        headers are forwarded even if the client names them in its Connection header.
        """
        received = exchange.head.headers
        headers = [pair for pair in received if pair[0] in REQUIRED_HEADERS]
        headers += [
            pair
            for pair in end_to_end_headers(received)
            if pair[0] not in REQUIRED_HEADERS and pair[0] not in REWRITTEN_HEADERS
        ]
        timeout_ms = max(1, round(timeout * MILLISECONDS_PER_SECOND))
        headers.append((b"request-timeout-ms", b"%d" % timeout_ms))
        return headers

    def outcome(self, end: AttemptEnd, response: Response | None) -> Outcome:
        """Return the outcome of an attempt according to the platform's protocol."""
        if end is not AttemptEnd.RESPONSE_COMPLETE or response is None:
            return PLATFORM_OUTCOME_BY_ATTEMPT_END[end]
        if response.status == STATUS_OK:
            return Outcome.COMPLETED
        not_started = response.status in NOT_STARTED_STATUSES and NOT_STARTED_HEADER in response.headers
        return Outcome.OVERLOADED if not_started else Outcome.ERROR


def read_timeout(head: RequestHead) -> float:
    """Return the client's timeout in seconds. Raises ProtocolError if it is missing or invalid."""
    text = head.get_single("request-timeout-ms")
    if text is None or not text.isdecimal() or not text.isascii() or len(text) > MAX_TIMEOUT_DIGITS:
        raise ProtocolError(400, "the client's timeout is no number")
    return int(text) / MILLISECONDS_PER_SECOND


def downstream_limits(descriptor_limit: int) -> DownstreamLimits:
    """Return the limits on client connections; `descriptor_limit` is the number of file descriptors."""
    max_connections = int(descriptor_limit * DOWNSTREAM_DESCRIPTOR_SHARE)
    max_server_connections = max_upstream_connections(descriptor_limit)
    remaining = descriptor_limit - max_connections - max_server_connections - RESERVED_DESCRIPTORS
    return DownstreamLimits(
        max_head_bytes=MAX_HEAD_BYTES,
        max_body_bytes=MAX_BODY_BYTES,
        max_buffered_body_bytes=MAX_BODY_BYTES,
        max_connections=max_connections,
        max_closing_connections=max(0, remaining),
        evicts_idle_connections=True,
        first_request_timeout=FIRST_REQUEST_TIMEOUT_SECONDS,
        read_timeout=READ_TIMEOUT_SECONDS,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
        write_timeout=WRITE_TIMEOUT_SECONDS,
        linger_timeout=LINGER_TIMEOUT_SECONDS,
    )


def max_upstream_connections(descriptor_limit: int) -> int:
    """Return the limit on connections to all servers together."""
    return int(descriptor_limit * UPSTREAM_DESCRIPTOR_SHARE)


def upstream_limits(socket_settings: SocketSettings, descriptor_limit: int) -> UpstreamLimits:
    """Return the limits on server connections; `descriptor_limit` is the number of file descriptors."""
    server_idle_timeout = socket_settings.connection_idle_timeout
    return UpstreamLimits(
        connect_timeout=socket_settings.connect_timeout,
        idle_timeout=max(server_idle_timeout - SERVER_IDLE_MARGIN_SECONDS, server_idle_timeout / 2),
        reuse_delay=CONNECTION_REUSE_DELAY_SECONDS,
        max_connections_per_server=MAX_CONNECTIONS_PER_SERVER,
        max_connections=max_upstream_connections(descriptor_limit),
        max_buffered_response_bytes=MAX_BODY_BYTES,
    )
