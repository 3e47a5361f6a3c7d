"""Accepts client connections, limits their number and shuts them down gracefully.

At the limit, idle connections may be evicted to admit new ones.
"""

from __future__ import annotations

from math import inf
from typing import Generic, TypeVar

import anyio
from anyio.abc import TaskGroup

from gullmount.net import Net, Stream, Transport, count_open_descriptors
from gullmount.proxy.buffered_downstream import BufferedDownstream
from gullmount.proxy.downstream import DownstreamConnection
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.runtime import ProxyRuntime
from gullmount.proxy.streaming_downstream import StreamingDownstream

# Interval at which a shutdown checks whether the last responses have been sent.
SHUTDOWN_POLL_INTERVAL_SECONDS = 0.01
# Idle time after which a shutdown closes a connection: a request may still be on its way.
SHUTDOWN_IDLE_SECONDS = 0.1
# Connections that are accepted beyond the limit, each for one error response, because their request may
# already have arrived.
MAX_OVERFLOW_CONNECTIONS = 32
SWEEP_INTERVAL_SECONDS = 0.2
ACCEPT_FAILURE_LOG_INTERVAL_SECONDS = 1.0

ConnectionT = TypeVar("ConnectionT", bound=DownstreamConnection)


class Listener(Generic[ConnectionT]):
    """Accepts and tracks the client connections of one proxy instance.

    Attributes:
        connections: open connections, oldest first.
        accept_scope: cancelled to stop accepting connections.
        listening: set once connections are accepted.
        closed: set once the listening socket is closed.
        accept_failure_logged_at: when a failed accept was last logged.
    """

    def __init__(self, runtime: ProxyRuntime, net: Net, task_group: TaskGroup) -> None:
        self.runtime = runtime
        self.net = net
        self.task_group = task_group
        self.connections: dict[ConnectionT, None] = {}
        self.accept_scope = anyio.CancelScope()
        self.listening = anyio.Event()
        self.closed = anyio.Event()
        self.accept_failure_logged_at = -inf

    async def listen(self, address: str) -> None:
        """Accept connections until `accept_scope` is cancelled. Raises OSError for an unusable address."""
        raise NotImplementedError

    @property
    def is_full(self) -> bool:
        """Whether the number of connections is at the limit."""
        return len(self.connections) >= self.runtime.adapter.downstream_limits.max_connections

    def idle_connections(self) -> list[ConnectionT]:
        """Return the idle connections in the order in which they are evicted.

        Connections that have never sent a request come first, because some clients open hundreds of
        connections and send nothing.
        """
        idle = [conn for conn in self.connections if conn.idle and not conn.busy]
        return sorted(idle, key=lambda conn: (conn.requests_accepted > 0, conn.idle_since))

    def remove_connection(self, connection: ConnectionT) -> None:
        """Stop tracking a connection that has ended, or whose end is certain but not reported yet."""
        self.connections.pop(connection, None)

    def accept_failed(self, error: OSError) -> None:
        """Count and log that a connection waits in the backlog because descriptors or memory are short."""
        self.runtime.counters.accept_failures += 1
        now = self.runtime.now()
        if now >= self.accept_failure_logged_at + ACCEPT_FAILURE_LOG_INTERVAL_SECONDS:
            self.accept_failure_logged_at = now
            self.runtime.log_event(
                LogEvent.ACCEPT_FAILED,
                reason=error.strerror,
                open_connections=len(self.connections),
                open_descriptors=count_open_descriptors(),
            )

    async def stop(self, accept_seconds: float = 0.0, read_seconds: float = 0.0) -> None:
        """Shut down gracefully: refuse connections and wait until each accepted request has its response.

        Args:
            accept_seconds: how long connections are still accepted.
            read_seconds: how long requests that have begun to arrive may still be completed after that.
        """
        self.runtime.log_event(LogEvent.SHUTDOWN_STARTED, open_requests=len(self.runtime.exchanges))
        self.runtime.shutting_down = True
        await anyio.sleep(accept_seconds)
        self.accept_scope.cancel()
        if self.listening.is_set():
            # The kernel accepts connections until the listening socket is closed; they are still served.
            await self.closed.wait()
        self.runtime.refuses_requests = True
        await self.wait_for_unread_requests(read_seconds)
        for connection in list(self.connections):
            connection.reject_unread_request()
        await self.runtime.wait_until_idle()
        # The write timeout bounds this wait.
        while any(connection.busy for connection in self.connections):
            await anyio.sleep(SHUTDOWN_POLL_INTERVAL_SECONDS)
        self.runtime.log_event(LogEvent.SHUTDOWN_COMPLETE)

    async def wait_for_unread_requests(self, read_seconds: float) -> None:
        """Wait up to `read_seconds` until no connection is left, closing those that stay idle."""
        deadline = self.runtime.now() + read_seconds
        while read_seconds and self.connections and self.runtime.now() < deadline:
            idle_cutoff = self.runtime.now() - SHUTDOWN_IDLE_SECONDS
            for connection in list(self.connections):
                if connection.idle and not connection.busy and connection.idle_since < idle_cutoff:
                    connection.close()
            await anyio.sleep(SHUTDOWN_POLL_INTERVAL_SECONDS)


class StreamingListener(Listener[StreamingDownstream]):
    """Serves each connection in a task of its own."""

    async def listen(self, address: str) -> None:
        """Accept connections until `accept_scope` is cancelled. Raises OSError for an unusable address."""
        with self.accept_scope:
            await self.net.serve(address, self.start_serving, self.listening, self.accept_failed)
        self.closed.set()

    async def start_serving(self, stream: Stream) -> None:
        """Serve the connection in a task that continues after the listening socket is closed."""
        self.task_group.start_soon(self.serve_connection, stream)

    async def serve_connection(self, stream: Stream) -> None:
        """Serve the connection until it ends; close it at once if the limit is reached."""
        if self.is_full and self.runtime.adapter.downstream_limits.evicts_idle_connections:
            self.evict_idle_connection()
        if self.is_full or self.runtime.refuses_requests:
            await anyio.aclose_forcefully(stream)
            return
        connection = StreamingDownstream(self.runtime, stream)
        self.connections[connection] = None
        try:
            with self.runtime.handler_errors.contained("client connection"):
                await connection.run()
        finally:
            self.remove_connection(connection)

    def evict_idle_connection(self) -> None:
        """Close one idle connection, if any, to admit a new one."""
        idle = self.idle_connections()
        if idle:
            idle[0].close()
            self.remove_connection(idle[0])


class BufferedListener(Listener[BufferedDownstream]):
    """Serves connections through callbacks, without a task per connection."""

    async def listen(self, address: str) -> None:
        """Accept connections until `accept_scope` is cancelled. Raises OSError for an unusable address."""
        self.task_group.start_soon(self.sweep)
        with self.accept_scope:
            await self.net.serve_transports(address, self.make_connection, self.listening, self.accept_failed)
        self.closed.set()

    def make_connection(self, transport: Transport) -> BufferedDownstream | None:
        """Return the protocol object for a new connection, or None to drop the connection."""
        limits = self.runtime.adapter.downstream_limits
        if self.is_full and limits.evicts_idle_connections:
            self.evict_idle_connection()
        rejects_requests = self.is_full or self.runtime.refuses_requests
        open_connections = len(self.connections)
        if open_connections >= limits.max_connections + MAX_OVERFLOW_CONNECTIONS:
            self.runtime.log_event(
                LogEvent.CONNECTION_DROPPED, reason="too many", open_connections=open_connections
            )
            return None
        connection = BufferedDownstream(self.runtime, transport, self.remove_connection, rejects_requests)
        self.connections[connection] = None
        return connection

    def evict_idle_connection(self) -> None:
        """Close one connection that is no longer needed, if any, to admit a new one.

        A connection that only waits for its client to close is evicted first. An idle connection with unread
        data from its client is skipped in favor of the next one.
        """
        finished_connection = next((conn for conn in self.connections if conn.response_delivered), None)
        if finished_connection is not None:
            finished_connection.abort()
            self.remove_connection(finished_connection)
            return
        for connection in self.idle_connections():
            connection.close()
            if connection.closed:
                self.remove_connection(connection)
                return

    async def sweep(self) -> None:
        """Check the deadlines of all connections periodically until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            await self.runtime.stalls.wait_until_resumed()
            now = self.runtime.now()
            for connection in list(self.connections):
                connection.check_deadline(now)
