"""The protocol adapter of `gullmount proxy`: routes by method, path and headers, as in its YAML file."""

from __future__ import annotations

from math import inf

from gullmount.decisions.model import Outcome
from gullmount.proxy.config import AT_MOST_ONCE_SUFFIX, ProxyConfig, RouteConfig
from gullmount.proxy.http1 import ProtocolError
from gullmount.proxy.messages import (
    DISPOSITION_HEADER,
    Headers,
    RequestHead,
    Response,
    affinity_key,
    end_to_end_headers,
    failure_response,
    rejection_response,
    request_timeout,
)
from gullmount.proxy.outcomes import AttemptEnd, attempt_outcome
from gullmount.proxy.protocol_adapter import DownstreamLimits, RequestMetadata, UpstreamLimits
from gullmount.proxy.request_exchange import RequestExchange

LINGER_TIMEOUT_SECONDS = 1.0
UNLIMITED_CONNECTIONS = 1 << 30  # to all servers: the limit is per server here
NOT_FOUND = 404


class GenericAdapter:
    """Serves plain HTTP by the routes of one configuration."""

    def __init__(self, config: ProxyConfig) -> None:
        self.config = config
        clients, servers = config.clients, config.boxes
        self.downstream_limits = DownstreamLimits(
            max_head_bytes=clients.head_most,
            max_body_bytes=clients.body_most,
            max_buffered_body_bytes=clients.body_kept,
            max_connections=clients.connections,
            evicts_idle_connections=False,
            first_request_timeout=inf,
            read_timeout=clients.read_within,
            idle_timeout=clients.idle,
            write_timeout=clients.write_within,
            linger_timeout=LINGER_TIMEOUT_SECONDS,
        )
        self.upstream_limits = UpstreamLimits(
            connect_timeout=servers.connect_within,
            idle_timeout=servers.link_idle,
            reuse_delay=0.0,  # not supported by the streaming upstream: see ROADMAP
            max_connections_per_server=servers.links,
            max_connections=UNLIMITED_CONNECTIONS,
            max_buffered_response_bytes=servers.answer_kept,
        )
        self.routes = [(route, route.match.pattern()) for route in config.routes]
        self.instance_headers = [(b"gullmount-umpire", b"%d" % config.number)]
        self.not_begun_header = servers.not_begun_header.encode()

    def find_route(self, head: RequestHead) -> RouteConfig | None:
        """Return the first route whose method, path and headers the request matches."""
        for route, pattern in self.routes:
            match = route.match
            if match.method and head.method not in match.method:
                continue
            if not pattern.fullmatch(head.target):
                continue
            if all(head.get(name) == value for name, value in match.headers.items()):
                return route
        return None

    def local_response(self, _head: RequestHead) -> Response | None:
        """Return nothing: no request is for the proxy itself."""
        return None

    def request_metadata(self, head: RequestHead) -> RequestMetadata:
        """Return what the head says. Raises ProtocolError where no route matches.

        A request of a deduplicated route that does not name itself goes out once only.
        """
        route = self.find_route(head)
        if route is None:
            raise ProtocolError(NOT_FOUND, "no route for this method and path")
        lacks_dedupe_mark = route.dedupe_mark is not None and head.get(route.dedupe_mark) is None
        at_most_once_route = route.name + AT_MOST_ONCE_SUFFIX
        clients = self.config.clients
        return RequestMetadata(
            route=at_most_once_route if lacks_dedupe_mark else route.name,
            at_most_once_route=at_most_once_route,
            affinity_key=affinity_key(head, self.config.key),
            timeout=request_timeout(head, clients.patience_header, route.timeout) - clients.margin,
            streams_response=route.stream,
        )

    def claim_request_id(self, metadata: RequestMetadata) -> None:
        """Do nothing: each request counts as a new one."""

    def request_ended(self, exchange: RequestExchange) -> None:
        """Do nothing: nothing is kept of a request."""

    def server_address(self, server_id: str) -> str:
        """Return the server's id, which is its address here."""
        return server_id

    def upstream_headers(self, exchange: RequestExchange, _timeout: float) -> Headers:
        """Return the headers that go to a server, without those that frame the body."""
        return end_to_end_headers(exchange.head.headers) + self.instance_headers

    def outcome(self, end: AttemptEnd, response: Response | None) -> Outcome:
        """Return the outcome of an attempt for the router."""
        if response is None:
            return attempt_outcome(end)
        not_begun = any(name == self.not_begun_header for name, _ in response.headers)
        return attempt_outcome(end, response.status, not_begun)

    def downstream_headers(self, response: Response) -> Headers:
        """Return the headers that go to the client, without those that frame the body."""
        return [*end_to_end_headers(response.headers), (DISPOSITION_HEADER, response.disposition)]

    def rejection_response(self, retry_after: float) -> Response:
        """Return the response to a rejected request; `retry_after` in seconds, 0 for none."""
        return rejection_response(retry_after)

    def failure_response(self, status: int) -> Response:
        """Return the response to a failed request, status 502 or 504."""
        return failure_response(status)

    def server_error_response(self, response: Response) -> Response:
        """Return the server's own error."""
        response.disposition = b"errored"
        return response
