"""Defines the interface that separates the proxy from the protocol that it serves.

`generic_adapter.py` and `gullmount.platform` each implement `ProtocolAdapter`. This module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from gullmount.decisions.model import Outcome
from gullmount.proxy.messages import Headers, RequestHead, Response
from gullmount.proxy.outcomes import AttemptEnd
from gullmount.proxy.request_exchange import RequestExchange

# Delay before a connection is reused. Stray bytes after a response arrive within some milliseconds.
CONNECTION_REUSE_DELAY_SECONDS = 0.03


@dataclass(frozen=True, slots=True)
class DownstreamLimits:
    """Limits on client connections; sizes in bytes, times in seconds.

    Attributes:
        max_head_bytes: maximum size of a request head.
        max_body_bytes: maximum size of a request body.
        max_buffered_body_bytes: maximum size of a body that is buffered and can be sent again. The rest of a
            larger body is relayed as it arrives, where the adapter allows it.
        max_connections: maximum number of open client connections.
        max_closing_connections: maximum number of connections beyond `max_connections`: they wait for their
            client to close, or get one error response because their request may already have arrived.
        evicts_idle_connections: whether a new connection at the limit replaces an idle one; otherwise the new
            one is refused.
        first_request_timeout: time from the start of a connection until its first request is complete.
        read_timeout: timeout for reading a request that has begun.
        idle_timeout: time that a connection may stay idle between requests.
        write_timeout: time for the client to accept a response.
        linger_timeout: time during which received bytes are read and discarded after the last response,
            because a TCP reset could overtake that response. Until the client has acknowledged the response,
            `write_timeout` applies instead.
    """

    max_head_bytes: int
    max_body_bytes: int
    max_buffered_body_bytes: int
    max_connections: int
    max_closing_connections: int
    evicts_idle_connections: bool
    first_request_timeout: float
    read_timeout: float
    idle_timeout: float
    write_timeout: float
    linger_timeout: float


@dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """Limits on server connections; sizes in bytes, times in seconds.

    Attributes:
        connect_timeout: time to establish a connection.
        idle_timeout: time after which an idle connection is no longer reused, because the server may be
            closing it.
        reuse_delay: time between a response and the next request on the same connection, because stray bytes
            may follow the response.
        max_connections_per_server: maximum number of connections to one server.
        max_connections: maximum number of connections to all servers together.
        max_buffered_response_bytes: maximum size of a response that is buffered.
    """

    connect_timeout: float
    idle_timeout: float
    reuse_delay: float
    max_connections_per_server: int
    max_connections: int
    max_buffered_response_bytes: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the router needs to know from the head of a request.

    Attributes:
        route: name of the route.
        affinity_key: affinity key, or None.
        timeout: request timeout in seconds.
        at_most_once_route: name of the route to use if the body cannot be sent again.
        streams_response: whether the response is relayed as it arrives.
        client_request_id: the client's own id, by which a repeated request is recognized; empty if the
            protocol has none.
    """

    route: str
    affinity_key: str | None
    timeout: float
    at_most_once_route: str = ""
    streams_response: bool = False
    client_request_id: str = ""


class ProtocolAdapter(Protocol):
    """One protocol, as spoken to clients and to servers."""

    @property
    def downstream_limits(self) -> DownstreamLimits:
        """The limits on client connections."""

    @property
    def upstream_limits(self) -> UpstreamLimits:
        """The limits on server connections."""

    def local_response(self, head: RequestHead) -> Response | None:
        """Return the response if the request is for the proxy itself, such as a health check, else None."""

    def request_metadata(self, head: RequestHead) -> RequestMetadata:
        """Return the request's metadata. Raises ProtocolError if the request must not be accepted."""

    def claim_request_id(self, metadata: RequestMetadata) -> None:
        """Register the id of a request about to be accepted. Raises ProtocolError if the id is known."""

    def request_ended(self, exchange: RequestExchange) -> None:
        """Called when the request has its response and its last attempt has ended."""

    def server_address(self, server_id: str) -> str:
        """Return the server's address. Raises LookupError if the server is no longer known."""

    def upstream_headers(self, exchange: RequestExchange, timeout: float) -> Headers:
        """Return the request headers to send to a server, without those that frame the body.

        `timeout` is the attempt's timeout in seconds.
        """

    def outcome(self, end: AttemptEnd, response: Response | None) -> Outcome:
        """Return the outcome of an attempt to report to the router."""

    def downstream_headers(self, response: Response) -> Headers:
        """Return the response headers to send to the client, without those that frame the body."""

    def rejection_response(self, retry_after: float) -> Response:
        """Return the response to a rejected request; `retry_after` is in seconds, 0 for none."""

    def failure_response(self, status: int) -> Response:
        """Return the response to a failed request; `status` is 502 or 504."""

    def server_error_response(self, response: Response) -> Response:
        """Return the response to send to the client if a server's error response is the final one."""
