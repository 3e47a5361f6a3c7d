"""Requests, responses and servers by the platform's HTTP protocol, as a `proxy.protocol_adapter`. No I/O.

The protocol's header names and statuses are known here only.
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

MAX_HEAD_BYTES = 16384  # usual heads have some 300
MAX_BODY_BYTES = 65536  # of requests and responses, as the protocol says
FIRST_REQUEST_TIMEOUT_SECONDS = 2.4  # from connecting; who sends no request is owed a close within 3 s
READ_TIMEOUT_SECONDS = 4.0  # of a later request, from its first byte to its last: some write slowly
IDLE_TIMEOUT_SECONDS = 8.0  # between a client's requests; it may be closed after 2 s
WRITE_TIMEOUT_SECONDS = 2.0  # for a client to take its response
LINGER_TIMEOUT_SECONDS = 0.3  # of reading on behind an error
RESPONSE_MARGIN_SECONDS = 0.012  # before the client's deadline, by which its response leaves
SERVER_IDLE_MARGIN_SECONDS = 0.5  # before a server may close an idle connection, which is not used any more
DOWNSTREAM_DESCRIPTOR_SHARE = 0.45  # clients need a third for requests; useless connections come on top
UPSTREAM_DESCRIPTOR_SHARE = 0.35  # the rest is for discovery, release controller and the program itself
MAX_CONNECTIONS_PER_SERVER = 64
MAX_TIMEOUT_DIGITS = 9  # of milliseconds: over 11 days
MAX_REQUEST_ID_CHARACTERS = 64  # the platform's have 16
MILLISECONDS_PER_SECOND = 1000

HEALTH_PATH = "/healthz"
REQUIRED_HEADERS = (b"host", b"request-class", b"request-id")  # a request without one of them is not accepted
REWRITTEN_HEADERS = (b"content-length", b"request-timeout-ms")  # written anew for each server
REQUEST_ID_PATTERN = re.compile(r"[!-~]+", re.ASCII)
NOT_STARTED_HEADER = (b"not-started", b"1")  # by which a server says that it never began
NOT_STARTED_STATUSES = (503, 504)  # with which that header counts
STATUS_OK = 200
STATUS_BAD_GATEWAY = 502
REJECTED_DISPOSITION = b"shed"
PLATFORM_OUTCOME_BY_ATTEMPT_END = OUTCOME_BY_ATTEMPT_END | {
    # A server starts on a request once its last byte has arrived, so a failed write proves that it did not.
    AttemptEnd.WRITE_FAILED: Outcome.CONNECT_FAILED,
    # The attempt ran and the connection is lost; as a reset it counts neither for nor against a build.
    AttemptEnd.MALFORMED_RESPONSE: Outcome.RESET,
    AttemptEnd.RESPONSE_TOO_LARGE: Outcome.RESET,
}
REQUIRED_METHODS = {
    RetrySafety.IDEMPOTENT: "GET",
    RetrySafety.AT_MOST_ONCE: "POST",
}  # others may have any method


class PlatformAdapter:
    """The platform's protocol for one instance; `sockets` are the file descriptors it may use.

    `addresses` by server are kept up to date by the endpoint cache. `now` returns seconds.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        socket_settings: SocketSettings,
        descriptor_limit: int,
        now: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.route_timeouts = socket_settings.route_timeouts
        self.sends_retry_after = settings.max_retry_after > 0
        self.request_ids = RequestIds(now)
        self.addresses: dict[str, str] = {}
        self.downstream_limits = downstream_limits(descriptor_limit)
        self.upstream_limits = upstream_limits(socket_settings, descriptor_limit)

    # Clients

    def local_response(self, head: RequestHead) -> Response | None:
        """Answer a health check; None for any other request. Raises ProtocolError."""
        if head.target.partition("?")[0] != HEALTH_PATH:
            return None
        if head.method != "GET":
            raise ProtocolError(400, "not the method of this path")
        return Response(STATUS_OK, [], b"ok\n", b"OK")

    def request_metadata(self, head: RequestHead) -> RequestMetadata:
        """Return what the head says; raises ProtocolError where the request is not to be accepted."""
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
        """Return the route that header and path both name; raises ProtocolError."""
        name = head.get_single("request-class")
        route = self.settings.routes.get(name or "")
        if route is None or head.target.partition("?")[0].split("/")[1:2] != [name]:
            raise ProtocolError(404, "no such route")
        if REQUIRED_METHODS.get(route.retry_safety, head.method) != head.method:
            raise ProtocolError(400, "not the method of this route")
        return route

    def claim_request_id(self, metadata: RequestMetadata) -> None:
        """Note the request's id; raises ProtocolError where it is known."""
        if not self.request_ids.claim(metadata.client_request_id):
            raise ProtocolError(400, "an id that was there before")

    def request_ended(self, exchange: RequestExchange) -> None:
        """Note that the request has its response and its last attempt has ended."""
        self.request_ids.release(exchange.client_request_id)

    def downstream_headers(self, response: Response) -> Headers:
        """Return the headers that go to the client: none of a server's, only those of a rejection."""
        return response.headers if response.disposition == REJECTED_DISPOSITION else []

    def rejection_response(self, retry_after: float) -> Response:
        """Return the response of a rejected request; `retry_after` in seconds, 0 for none."""
        sends_retry_after = self.sends_retry_after and retry_after > 0
        headers = [(b"retry-after", b"%.3f" % retry_after)] if sends_retry_after else []
        return Response(503, headers, b"shed\n", b"Service Unavailable", REJECTED_DISPOSITION)

    def failure_response(self, status: int) -> Response:
        """Return the response of a request that failed."""
        return failure_response(status)

    def server_error_response(self, _response: Response) -> Response:
        """Return 502 in place of a server's error.

        A client would take a server's 503 or 429 for a promise that the request did not run; it may have.
        """
        return failure_response(STATUS_BAD_GATEWAY)

    # Servers

    def server_address(self, server_id: str) -> str:
        """Return where to connect; raises KeyError for a server that is not listed any more."""
        return self.addresses[server_id]

    def upstream_headers(self, exchange: RequestExchange, timeout: float) -> Headers:
        """Return the headers that go to a server, which gets `timeout` seconds.

        All end-to-end headers pass (RFC 9110, 7.6): servers may go by any of them. Required ones pass also
        where a client names them in Connection.
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
        """Return what the end of an attempt means by this protocol."""
        if end is not AttemptEnd.RESPONSE_COMPLETE or response is None:
            return PLATFORM_OUTCOME_BY_ATTEMPT_END[end]
        if response.status == STATUS_OK:
            return Outcome.COMPLETED
        not_started = response.status in NOT_STARTED_STATUSES and NOT_STARTED_HEADER in response.headers
        return Outcome.OVERLOADED if not_started else Outcome.ERROR


def read_timeout(head: RequestHead) -> float:
    """Return how many seconds the client waits; raises ProtocolError where it does not say."""
    text = head.get_single("request-timeout-ms")
    if text is None or not text.isdecimal() or not text.isascii() or len(text) > MAX_TIMEOUT_DIGITS:
        raise ProtocolError(400, "the client's timeout is no number")
    return int(text) / MILLISECONDS_PER_SECOND


def downstream_limits(descriptor_limit: int) -> DownstreamLimits:
    """Return what is accepted of clients, for that many file descriptors."""
    return DownstreamLimits(
        max_head_bytes=MAX_HEAD_BYTES,
        max_body_bytes=MAX_BODY_BYTES,
        max_buffered_body_bytes=MAX_BODY_BYTES,
        max_connections=int(descriptor_limit * DOWNSTREAM_DESCRIPTOR_SHARE),
        evicts_idle_connections=True,
        first_request_timeout=FIRST_REQUEST_TIMEOUT_SECONDS,
        read_timeout=READ_TIMEOUT_SECONDS,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
        write_timeout=WRITE_TIMEOUT_SECONDS,
        linger_timeout=LINGER_TIMEOUT_SECONDS,
    )


def upstream_limits(socket_settings: SocketSettings, descriptor_limit: int) -> UpstreamLimits:
    """Return what is used of servers, for that many file descriptors."""
    server_idle_timeout = socket_settings.connection_idle_timeout
    return UpstreamLimits(
        connect_timeout=socket_settings.connect_timeout,
        idle_timeout=max(server_idle_timeout - SERVER_IDLE_MARGIN_SECONDS, server_idle_timeout / 2),
        reuse_delay=CONNECTION_REUSE_DELAY_SECONDS,
        max_connections_per_server=MAX_CONNECTIONS_PER_SERVER,
        max_connections=int(descriptor_limit * UPSTREAM_DESCRIPTOR_SHARE),
        max_buffered_response_bytes=MAX_BODY_BYTES,
    )
