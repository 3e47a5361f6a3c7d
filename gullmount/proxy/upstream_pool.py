"""Connection pools and connection limits, shared by both upstream implementations. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Generic, Protocol, TypeVar

import anyio

from gullmount.net import RESOURCE_SHORTAGE_ERRNOS, connect_errno
from gullmount.proxy.outcomes import AttemptEnd
from gullmount.proxy.protocol_adapter import ProtocolAdapter

# An idle connection may stay open this much longer than its timeout.
SWEEP_INTERVAL_SECONDS = 1.0
# After stray response data, connections rest longer before they are reused, for this long.
STRAY_DATA_MEMORY_SECONDS = 300.0
# How long they rest then at least: the delay of a path between zones may grow by this much from one moment to
# the next, between a response and the stray data behind it.
MIN_REST_AFTER_STRAY_DATA_SECONDS = 0.6
# Twice the maximum that common servers send.
MAX_RESPONSE_HEAD_BYTES = 65536


class PooledConnection(Protocol):
    """A connection that a pool can hold while it is idle.

    Attributes:
        idle_since: Time in seconds of the upstream's clock.
        last_response_seconds: Time from the last request on the connection to the end of its response; None
            if no request was sent on it.
    """

    idle_since: float
    last_response_seconds: float | None

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and has no unread data. Reading this may query the kernel."""

    def close(self) -> None:
        """Close the connection and abort the attempt in flight on it."""


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)


class ServerPool(Generic[ConnectionT]):
    """The connections to one server.

    Attributes:
        idle: The idle connections, the newest last.
        open_count: Number of connections that are open or being opened, idle ones included.
    """

    __slots__ = ("idle", "open_count")

    def __init__(self) -> None:
        self.idle: list[ConnectionT] = []
        self.open_count = 0


class PooledUpstream(Generic[ConnectionT]):
    """The connections of one instance to all servers.

    Attributes:
        clock: Returns the current time in seconds.
        pools: The pool of each server, by server id.
        open_connections: Number of connections to all servers that are open or being opened.
        stray_data_count: Number of connections closed because data followed a response.
        stray_data_expected_until: Until when servers are taken to send more such data, because one did.
    """

    def __init__(self, adapter: ProtocolAdapter, clock: Callable[[], float]) -> None:
        self.adapter = adapter
        self.limits = adapter.upstream_limits
        self.clock = clock
        self.pools: dict[str, ServerPool[ConnectionT]] = {}
        self.open_connections = 0
        self.stray_data_count = 0
        self.stray_data_expected_until = -inf

    def stray_data_received(self) -> None:
        """Record that a server sent data that belongs to no request, such as a second copy of a response."""
        self.stray_data_count += 1
        self.stray_data_expected_until = self.clock() + STRAY_DATA_MEMORY_SECONDS

    def is_rested(self, connection: ConnectionT) -> bool:
        """Return whether no stray data can be in transit any more, so that the connection may be reused.

        Such data would be taken for the next response. It follows the response within milliseconds, but a
        path whose delay varies may hold it up. Once a server has sent such data, connections rest for as long
        as the last response took, which includes both ways of the path, or longer.
        """
        if connection.last_response_seconds is None:
            return True
        rest_seconds = self.limits.reuse_delay
        now = self.clock()
        if now < self.stray_data_expected_until:
            rest_seconds = max(
                rest_seconds, connection.last_response_seconds, MIN_REST_AFTER_STRAY_DATA_SECONDS
            )
        return now >= connection.idle_since + rest_seconds

    def take_idle_connection(self, pool: ServerPool[ConnectionT]) -> ConnectionT | None:
        """Take the newest idle connection that may be reused; return None if there is none.

        Taking the newest one lets the others expire. A connection that is not rested stays in the pool. One
        past the idle timeout is closed, because the server may close it while the request is in transit, and
        so is one with unread data, which would be taken for the next response.
        """
        idle_cutoff = self.clock() - self.limits.idle_timeout
        for index in reversed(range(len(pool.idle))):
            connection = pool.idle[index]
            if not self.is_rested(connection):
                continue
            if connection.idle_since > idle_cutoff and connection.is_idle:
                del pool.idle[index]
                return connection
            self.close_unusable(pool, connection)
        return None

    def close_unusable(self, pool: ServerPool[ConnectionT], connection: ConnectionT) -> None:
        """Close an idle connection that has expired, has ended or has unread data."""
        self.close_idle(pool, connection)

    def pool_for(self, server_id: str) -> ServerPool[ConnectionT]:
        """Return the pool of the server; create it if there is none."""
        pool = self.pools.get(server_id)
        if pool is None:
            pool = self.pools[server_id] = ServerPool()
        return pool

    def reserve_connection(self, pool: ServerPool[ConnectionT]) -> bool:
        """Reserve a new connection if the limits allow it, and return whether they do.

        At the limit for all servers, the connection that has been idle for longest is closed first. At the
        limit for this server, one that is not rested yet is.
        """
        if self.open_connections >= self.limits.max_connections:
            self.close_oldest_idle()
        if pool.open_count >= self.limits.max_connections_per_server and pool.idle:
            self.close_idle(pool, pool.idle[0])
        if (
            pool.open_count >= self.limits.max_connections_per_server
            or self.open_connections >= self.limits.max_connections
        ):
            return False
        pool.open_count += 1
        self.open_connections += 1
        return True

    def release_reservation(self, pool: ServerPool[ConnectionT]) -> None:
        """Release the reservation of a connection that has closed or could not be opened."""
        pool.open_count -= 1
        self.open_connections -= 1

    def connect_failure(self, error: OSError | LookupError) -> AttemptEnd:
        """Return how an attempt ends whose connection could not be opened because of `error`.

        If descriptors or memory are short here, the server is not to blame: an idle connection is closed, so
        that the next attempt may find a descriptor.
        """
        if isinstance(error, TimeoutError):
            return AttemptEnd.CONNECT_TIMEOUT
        if connect_errno(error) in RESOURCE_SHORTAGE_ERRNOS:
            self.close_oldest_idle()
            return AttemptEnd.NO_CONNECTION_AVAILABLE
        return AttemptEnd.CONNECT_REFUSED

    def close_idle(self, pool: ServerPool[ConnectionT], connection: ConnectionT) -> None:
        """Close an idle connection and remove it from its pool."""
        pool.idle.remove(connection)
        connection.close()

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle for longest, if any is idle."""
        idle = [(connection, pool) for pool in self.pools.values() for connection in pool.idle]
        if idle:
            connection, pool = min(idle, key=lambda entry: entry[0].idle_since)
            self.close_idle(pool, connection)

    def remove_server(self, server_id: str) -> None:
        """Drop the server's pool and close its idle connections.

        Called when the server drains, is gone, or another process has its address. Attempts in flight
        continue until they end.
        """
        pool = self.pools.pop(server_id, None)
        if pool is not None:
            for connection in list(pool.idle):
                self.close_idle(pool, connection)

    async def sweep(self) -> None:
        """Close connections past the idle timeout and drop empty pools periodically, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            idle_cutoff = self.clock() - self.limits.idle_timeout
            for server_id, pool in list(self.pools.items()):
                for connection in [
                    idle_connection
                    for idle_connection in pool.idle
                    if idle_connection.idle_since < idle_cutoff
                ]:
                    self.close_idle(pool, connection)
                if pool.open_count == 0:
                    del self.pools[server_id]
