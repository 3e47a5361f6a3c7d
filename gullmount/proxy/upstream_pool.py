"""Which connections to servers are open and idle: what both kinds of upstream share. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import anyio

from gullmount.proxy.protocol_adapter import ProtocolAdapter

SWEEP_INTERVAL_SECONDS = 1.0  # an idle connection may stand this much longer than its timeout
MAX_RESPONSE_HEAD_BYTES = 65536  # twice what common servers send at most


class PooledConnection(Protocol):
    """A connection that may stand idle; `idle_since` in seconds of the upstream's clock."""

    idle_since: float

    def close(self) -> None:
        """End the connection and what is in flight on it."""


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)


class ServerPool(Generic[ConnectionT]):
    """The connections to one server: how many are open, and which are idle, the newest last."""

    __slots__ = ("idle", "open_count")

    def __init__(self) -> None:
        self.idle: list[ConnectionT] = []
        self.open_count = 0


class PooledUpstream(Generic[ConnectionT]):
    """The connections of one instance to all servers; `clock` gives seconds."""

    def __init__(self, adapter: ProtocolAdapter, clock: Callable[[], float]) -> None:
        self.adapter = adapter
        self.limits = adapter.upstream_limits
        self.clock = clock
        self.pools: dict[str, ServerPool[ConnectionT]] = {}
        self.open_connections = 0

    def pool_for(self, server_id: str) -> ServerPool[ConnectionT]:
        """Return the server's pool, a new one where it has none."""
        pool = self.pools.get(server_id)
        if pool is None:
            pool = self.pools[server_id] = ServerPool()
        return pool

    def reserve_connection(self, pool: ServerPool[ConnectionT]) -> bool:
        """Count a new connection as open if the limits allow it; an idle one may be closed for it."""
        if self.open_connections >= self.limits.max_connections:
            self.close_oldest_idle()
        if (
            pool.open_count >= self.limits.max_connections_per_server
            or self.open_connections >= self.limits.max_connections
        ):
            return False
        pool.open_count += 1
        self.open_connections += 1
        return True

    def release_reservation(self, pool: ServerPool[ConnectionT]) -> None:
        """A connection has closed, or was not opened."""
        pool.open_count -= 1
        self.open_connections -= 1

    def close_idle(self, pool: ServerPool[ConnectionT], connection: ConnectionT) -> None:
        """Close one of the pool's idle connections."""
        pool.idle.remove(connection)
        connection.close()

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle for longest, if there is one."""
        idle = [(connection, pool) for pool in self.pools.values() for connection in pool.idle]
        if idle:
            connection, pool = min(idle, key=lambda entry: entry[0].idle_since)
            self.close_idle(pool, connection)

    def remove_server(self, server_id: str) -> None:
        """Stop using the server's connections: it drains, is gone, or its address has another process.

        Attempts in flight go on until their end.
        """
        pool = self.pools.pop(server_id, None)
        if pool is not None:
            for connection in list(pool.idle):
                self.close_idle(pool, connection)

    async def sweep(self) -> None:
        """Close connections idle past the timeout and drop empty pools, until cancelled."""
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
