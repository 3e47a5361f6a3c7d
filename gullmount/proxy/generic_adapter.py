"""Implements the protocol adapter of `gullmount proxy`.

It selects routes by method, path and headers, as its YAML file configures them.
"""

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
# No limit on connections to all servers together: this adapter limits them per server.
UNLIMITED_CONNECTIONS = 1 << 30
NOT_FOUND = 404


class GenericAdapter:
    """Serves plain HTTP according to the routes of one configuration."""

    def __init__(self, config: ProxyConfig) -> None:
        self.config = config
        clients, servers = config.clients, config.boxes
        self.downstream_limits = DownstreamLimits(
            max_head_bytes=clients.head_most,
            max_body_bytes=clients.body_most,
            max_buffered_body_bytes=clients.body_kept,
            max_connections=clients.connections,
            max_closing_connections=0,
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
            # The streaming upstream does not support a reuse delay: see ROADMAP.
            reuse_delay=0.0,
            max_connections_per_server=servers.links,
            max_connections=UNLIMITED_CONNECTIONS,
            max_buffered_response_bytes=servers.answer_kept,
        )
        self.routes = [(route, route.match.pattern()) for route in config.routes]
        self.instance_headers = [(b"gullmount-umpire", b"%d" % config.number)]
        self.not_begun_header = servers.not_begun_header.encode()

    def find_route(self, head: RequestHead) -> RouteConfig | None:
        """Return the first route whose method, path and headers match the request, or None."""
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
        """Return None: no request is for the proxy itself."""
        return None

    def request_metadata(self, head: RequestHead) -> RequestMetadata:
        """Return the request's metadata. Raises ProtocolError if no route matches.

        A request on a deduplicated route that lacks its deduplication header is sent at most once.
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
        """Do nothing: every request counts as a new one."""

    def request_ended(self, exchange: RequestExchange) -> None:
        """Do nothing: this adapter keeps no state per request."""

    def server_address(self, server_id: str) -> str:
        """Return the server's id, which is also its address."""
        return server_id

    def upstream_headers(self, exchange: RequestExchange, _timeout: float) -> Headers:
        """Return the request headers to send to a server, without those that frame the body."""
        return end_to_end_headers(exchange.head.headers) + self.instance_headers

    def outcome(self, end: AttemptEnd, response: Response | None) -> Outcome:
        """Return the outcome of an attempt to report to the router."""
        if response is None:
            return attempt_outcome(end)
        not_begun = any(name == self.not_begun_header for name, _ in response.headers)
        return attempt_outcome(end, response.status, not_begun)

    def downstream_headers(self, response: Response) -> Headers:
        """Return the response headers to send to the client, without those that frame the body."""
        return [*end_to_end_headers(response.headers), (DISPOSITION_HEADER, response.disposition)]

    def rejection_response(self, retry_after: float) -> Response:
        """Return the response to a rejected request; `retry_after` is in seconds, 0 for none."""
        return rejection_response(retry_after)

    def failure_response(self, status: int) -> Response:
        """Return the response to a failed request; `status` is 502 or 504."""
        return failure_response(status)

    def server_error_response(self, response: Response) -> Response:
        """Return the server's own error response, marked as errored."""
        response.disposition = b"errored"
        return response
