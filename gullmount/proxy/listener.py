"""Accepts client connections, limits their number and shuts them down gracefully.

At the limit, idle connections may be evicted to admit new ones.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from typing import Generic, TypeVar

import anyio
from anyio.abc import TaskGroup

from gullmount.net import Net, Stream, Transport, count_open_descriptors
from gullmount.proxy.buffered_downstream import BufferedDownstream
from gullmount.proxy.downstream import DownstreamConnection
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.runtime import BufferedRuntime, ProxyRuntime
from gullmount.proxy.streaming_downstream import StreamingDownstream

# Interval at which a shutdown checks whether the last responses have been sent.
SHUTDOWN_POLL_INTERVAL_SECONDS = 0.01
# Idle time after which a shutdown closes a connection: a request may still be on its way.
SHUTDOWN_IDLE_SECONDS = 0.1
# Connections that may be released at each failed accept. Accepting is tried every 0.02 s, so that hundreds of
# connections a second find a descriptor.
MAX_RELEASES_PER_FAILED_ACCEPT = 16
SWEEP_INTERVAL_SECONDS = 0.2
# Time in which a new connection usually sends its first request.
NEW_CONNECTION_SECONDS = 0.1
ACCEPT_FAILURE_LOG_INTERVAL_SECONDS = 1.0
# Time that a request may take to arrive while connections are short. Usual ones arrive in one piece.
UNFINISHED_REQUEST_SECONDS = 0.5

ConnectionT = TypeVar("ConnectionT", bound=DownstreamConnection)


class Listener(Generic[ConnectionT]):
    """Accepts and tracks the client connections of one proxy instance.

    Each accepted connection stays in `connections`, and so within the limits and under the listener's checks,
    until its end is certain. No other code may give up a connection that still holds its descriptor.

    Attributes:
        connections: connections that hold a descriptor, oldest first.
        closing: those among them that accept no request any more, in the order in which they were closed.
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
        self.closing: dict[ConnectionT, None] = {}
        self.accept_scope = anyio.CancelScope()
        self.listening = anyio.Event()
        self.closed = anyio.Event()
        self.accept_failure_logged_at = -inf

    async def listen(self, address: str) -> None:
        """Accept connections until `accept_scope` is cancelled. Raises OSError for an unusable address."""
        raise NotImplementedError

    @property
    def is_full(self) -> bool:
        """Whether the number of connections that accept requests is at the limit."""
        open_count = len(self.connections) - len(self.closing)
        return open_count >= self.runtime.adapter.downstream_limits.max_connections

    def idle_connections(self) -> list[ConnectionT]:
        """Return the idle connections in the order in which they are evicted.

        Connections that have not sent a request come first, because some clients open hundreds of connections
        and send nothing. New ones come last: their first request is probably on its way, and a client does
        not repeat it.
        """
        silent_cutoff = self.runtime.now() - NEW_CONNECTION_SECONDS
        idle = [conn for conn in self.connections if conn.idle and not conn.busy and not conn.closed]

        def eviction_order(connection: ConnectionT) -> tuple[bool, bool, float]:
            has_sent_request = connection.requests_accepted > 0
            is_new = not has_sent_request and connection.idle_since > silent_cutoff
            return is_new, has_sent_request, connection.idle_since

        return sorted(idle, key=eviction_order)

    def remove_connection(self, connection: ConnectionT) -> None:
        """Stop tracking a connection that has ended, or whose end is certain but not reported yet."""
        self.connections.pop(connection, None)
        self.closing.pop(connection, None)

    def connection_closing(self, connection: ConnectionT) -> None:
        """Record that the connection accepts no request any more but still holds its descriptor."""
        if connection in self.connections:
            self.closing[connection] = None

    def evict_idle_connection(self) -> bool:
        """Close the idle connection that is needed least; return whether there was one.

        A connection with unread data from its client is skipped in favor of the next one.
        """
        for connection in self.idle_connections():
            connection.close()
            if connection.closed:
                return True
        return False

    def release_connection(self) -> bool:
        """Close or abort the connection that is needed least; return whether there was one."""
        return self.evict_idle_connection()

    def accept_failed(self, error: OSError) -> None:
        """Release connections, because one waits in the backlog while descriptors or memory are short.

        If all client connections are in use, an idle server connection is closed.
        """
        self.runtime.counters.accept_failures += 1
        self.runtime.stalls.accept_delayed()
        self.log_accept_failure(error)
        released = 0
        while released < MAX_RELEASES_PER_FAILED_ACCEPT and self.release_connection():
            released += 1
        if not released:
            self.runtime.upstream.close_oldest_idle()

    def log_accept_failure(self, error: OSError) -> None:
        """Log what holds the descriptors, at most once in `ACCEPT_FAILURE_LOG_INTERVAL_SECONDS`."""
        now = self.runtime.now()
        if now >= self.accept_failure_logged_at + ACCEPT_FAILURE_LOG_INTERVAL_SECONDS:
            self.accept_failure_logged_at = now
            self.runtime.log_event(
                LogEvent.ACCEPT_FAILED,
                reason=error.strerror,
                open_connections=len(self.connections),
                closing_connections=len(self.closing),
                open_descriptors=count_open_descriptors(),
            )

    async def stop(self, accept_seconds: float = 0.0, read_seconds: float = 0.0) -> None:
        """Shut down gracefully: refuse connections and wait until each accepted request has its response.

        Args:
            accept_seconds: how long connections are still accepted.
            read_seconds: how long requests that have begun to arrive may still be completed after that. Every
                request that arrives during the shutdown gets its response by then; with 0 there is no limit.
        """
        stop_at = self.runtime.now() + accept_seconds + read_seconds if read_seconds else inf
        self.runtime.log_event(LogEvent.SHUTDOWN_STARTED, open_requests=len(self.runtime.exchanges))
        self.runtime.shutting_down = True
        self.runtime.latest_deadline = stop_at
        await anyio.sleep(accept_seconds)
        self.accept_scope.cancel()
        if self.listening.is_set():
            # The kernel accepts connections until the listening socket is closed; they are still served.
            await self.closed.wait()
        self.runtime.refuses_requests = True
        if read_seconds:
            await self.wait_for_unread_requests(stop_at)
        for connection in list(self.connections):
            connection.reject_unread_request()
        await self.runtime.wait_until_idle()
        # The write timeout bounds this wait.
        while any(connection.busy for connection in self.connections):
            await anyio.sleep(SHUTDOWN_POLL_INTERVAL_SECONDS)
        self.runtime.log_event(LogEvent.SHUTDOWN_COMPLETE)

    async def wait_for_unread_requests(self, deadline: float) -> None:
        """Wait until no connection is left, at most until `deadline`, closing those that stay idle."""
        while self.connections and self.runtime.now() < deadline:
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
        connection = StreamingDownstream(self.runtime, stream, self.connection_closing)
        self.connections[connection] = None
        try:
            with self.runtime.handler_errors.contained("client connection"):
                await connection.run()
        finally:
            self.remove_connection(connection)


class BufferedListener(Listener[BufferedDownstream]):
    """Serves connections through callbacks, without a task per connection."""

    runtime: BufferedRuntime

    def __init__(self, runtime: BufferedRuntime, net: Net, task_group: TaskGroup) -> None:
        super().__init__(runtime, net, task_group)

    async def listen(self, address: str) -> None:
        """Accept connections until `accept_scope` is cancelled. Raises OSError for an unusable address."""
        self.task_group.start_soon(self.sweep)
        with self.accept_scope:
            await self.net.serve_transports(address, self.make_connection, self.listening, self.accept_failed)
        self.closed.set()

    def make_connection(self, transport: Transport) -> BufferedDownstream | None:
        """Return the protocol object for a new connection, or None to drop the connection."""
        self.make_room()
        exceeds_limit = self.is_full or self.runtime.refuses_requests
        open_connections = len(self.connections)
        if open_connections >= self.max_tracked_connections:
            self.runtime.log_event(
                LogEvent.CONNECTION_DROPPED, reason="too many", open_connections=open_connections
            )
            return None
        connection = BufferedDownstream(
            self.runtime, transport, self.connection_closing, self.remove_connection, exceeds_limit
        )
        self.connections[connection] = None
        return connection

    @property
    def max_tracked_connections(self) -> int:
        """The limit on all connections that hold a descriptor."""
        limits = self.runtime.adapter.downstream_limits
        return limits.max_connections + limits.max_closing_connections

    def make_room(self) -> None:
        """Close connections that are no longer needed so that a new one stays within the limits.

        Connections that only wait for their client to close are aborted first, idle ones are closed next.
        """
        limits = self.runtime.adapter.downstream_limits
        if not limits.evicts_idle_connections:
            return
        if len(self.connections) >= limits.max_connections:
            self.abort_finished_connection()
        if self.is_full and not self.evict_idle_connection():
            self.evict_unfinished_request()
        if len(self.connections) >= self.max_tracked_connections:
            self.abort_oldest_closing_connection()

    def evict_unfinished_request(self) -> None:
        """Reject the request that has been arriving for longest, if that is long.

        Its client may send it again. Clients that stop in the middle of a request would otherwise keep all
        others out until their time is up.
        """
        reading = [connection for connection in self.connections if connection.is_reading_request]
        if not reading:
            return
        slowest = min(reading, key=lambda connection: connection.request_begun_at)
        if self.runtime.now() >= slowest.request_begun_at + UNFINISHED_REQUEST_SECONDS:
            slowest.reject_unread_request("too many connections")

    def release_connection(self) -> bool:
        """Abort a finished connection, else close an idle one; return whether there was one."""
        return self.abort_finished_connection() or self.evict_idle_connection()

    def abort_finished_connection(self) -> bool:
        """Abort the finished connection that was closed first; return whether there is one."""
        return self.abort_first(connection for connection in self.closing if connection.finished)

    def abort_oldest_closing_connection(self) -> bool:
        """Abort the connection that was closed first of those that have sent everything."""
        return self.abort_first(
            connection for connection in self.closing if not connection.transport.unsent_bytes
        )

    def abort_first(self, connections: Iterator[BufferedDownstream]) -> bool:
        """Abort the first connection, whose end is then certain; return whether there is one."""
        connection = next(connections, None)
        if connection is None:
            return False
        connection.abort()
        self.remove_connection(connection)
        return True

    async def sweep(self) -> None:
        """Check the deadlines of all connections periodically until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            await self.runtime.stalls.wait_until_resumed()
            self.check_deadlines()

    def check_deadlines(self) -> None:
        """Check the deadlines of all connections.

        A method of its own, so that the sweep holds no connection in memory while it sleeps.
        """
        now = self.runtime.now()
        for connection in list(self.connections):
            connection.check_deadline(now)
