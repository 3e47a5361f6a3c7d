"""Tests connection limits and idle timeouts of the upstream pools, with fake connections."""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from typing import Any, cast

import anyio
import pytest
import trio.testing

from gullmount.proxy.outcomes import AttemptEnd
from gullmount.proxy.protocol_adapter import ProtocolAdapter, UpstreamLimits
from gullmount.proxy.upstream_pool import (
    MIN_REST_AFTER_STRAY_DATA_SECONDS,
    STRAY_DATA_MEMORY_SECONDS,
    PooledUpstream,
    ServerPool,
)

LIMITS = UpstreamLimits(
    connect_timeout=1.0,
    idle_timeout=5.0,
    reuse_delay=0.0,
    max_connections_per_server=2,
    max_connections=3,
    max_buffered_response_bytes=1,
)


class FixedLimitsAdapter:
    upstream_limits = LIMITS


class FakeConnection:
    """A connection without a socket; its reservation is released as soon as it is closed."""

    def __init__(self, upstream: PooledUpstream[FakeConnection], pool: ServerPool[FakeConnection]) -> None:
        self.upstream, self.pool = upstream, pool
        self.idle_since = upstream.clock()
        self.last_response_seconds: float | None = 0.0
        self.is_idle = True
        self.closed = False

    def close(self) -> None:
        self.closed = True
        self.upstream.release_reservation(self.pool)


class PooledUpstreamHarness:
    """An upstream whose clock returns `now`, which only the test changes."""

    def __init__(self) -> None:
        self.now = 100.0
        self.upstream = PooledUpstream[FakeConnection](
            cast(ProtocolAdapter, FixedLimitsAdapter()), lambda: self.now
        )

    def open_connection(self, server_id: str, *, idle: bool = False) -> FakeConnection | None:
        pool = self.upstream.pool_for(server_id)
        if not self.upstream.reserve_connection(pool):
            return None
        connection = FakeConnection(self.upstream, pool)
        if idle:
            pool.idle.append(connection)
        return connection

    def open_counts(self) -> dict[str, int]:
        return {server_id: pool.open_count for server_id, pool in self.upstream.pools.items()}


def run_in_virtual_time(scenario: Callable[[], Awaitable[Any]]) -> Any:
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(scenario, backend="trio", backend_options={"clock": clock})


def test_connection_beyond_the_limit_of_a_server_is_refused() -> None:
    harness = PooledUpstreamHarness()
    assert harness.open_connection("a") and harness.open_connection("a")
    assert harness.open_connection("a") is None
    assert harness.open_counts() == {"a": 2} and harness.upstream.open_connections == 2


def test_connection_beyond_the_total_limit_is_refused_while_all_are_busy() -> None:
    harness = PooledUpstreamHarness()
    assert harness.open_connection("a") and harness.open_connection("a") and harness.open_connection("b")
    assert harness.open_connection("b") is None
    assert harness.upstream.open_connections == 3


@pytest.mark.parametrize("shortage", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize("wrapped", [False, True])
def test_connect_that_fails_by_a_shortage_here_does_not_blame_the_server(
    shortage: int, wrapped: bool
) -> None:
    """Guards against servers that are ejected because this process has no descriptor left."""
    harness = PooledUpstreamHarness()
    idle = harness.open_connection("a", idle=True)
    error = OSError(shortage, "planted")
    if wrapped:
        # As anyio raises it.
        error, cause = OSError("all connection attempts failed"), error
        error.__cause__ = cause
    assert harness.upstream.connect_failure(error) is AttemptEnd.NO_CONNECTION_AVAILABLE
    assert idle is not None and idle.closed


@pytest.mark.parametrize(
    ("error", "end"),
    [
        (ConnectionRefusedError(errno.ECONNREFUSED, "planted"), AttemptEnd.CONNECT_REFUSED),
        (LookupError("planted"), AttemptEnd.CONNECT_REFUSED),
        (TimeoutError(), AttemptEnd.CONNECT_TIMEOUT),
    ],
)
def test_connect_that_fails_at_the_server_closes_no_idle_connection(
    error: OSError | LookupError, end: AttemptEnd
) -> None:
    harness = PooledUpstreamHarness()
    idle = harness.open_connection("a", idle=True)
    assert harness.upstream.connect_failure(error) is end
    assert idle is not None and not idle.closed


def test_idle_connection_makes_room_for_a_new_one_at_the_limit_of_its_server() -> None:
    """It is idle and not reused because it has to rest after stray data."""
    harness = PooledUpstreamHarness()
    idle, busy = harness.open_connection("a", idle=True), harness.open_connection("a")
    assert harness.open_connection("a") is not None
    assert idle is not None and idle.closed and busy is not None and not busy.closed


def test_connections_rest_longer_for_a_while_after_stray_data() -> None:
    harness = PooledUpstreamHarness()
    connection = harness.open_connection("a", idle=True)
    assert connection is not None and harness.upstream.is_rested(connection)
    harness.upstream.stray_data_received()
    assert not harness.upstream.is_rested(connection)
    harness.now += MIN_REST_AFTER_STRAY_DATA_SECONDS + 0.001
    assert harness.upstream.is_rested(connection)
    # The path is slower than that.
    connection.last_response_seconds = 2 * MIN_REST_AFTER_STRAY_DATA_SECONDS
    assert not harness.upstream.is_rested(connection)
    harness.now += MIN_REST_AFTER_STRAY_DATA_SECONDS + 0.001
    assert harness.upstream.is_rested(connection)
    harness.now += STRAY_DATA_MEMORY_SECONDS
    connection.idle_since = harness.now
    assert harness.upstream.is_rested(connection)


def test_longest_idle_connection_is_closed_to_open_another_at_the_total_limit() -> None:
    harness = PooledUpstreamHarness()
    oldest = harness.open_connection("a", idle=True)
    harness.now += 1
    newer = harness.open_connection("b", idle=True)
    assert harness.open_connection("a") and harness.open_connection("c")
    assert oldest and oldest.closed and newer and not newer.closed
    assert harness.upstream.open_connections == 3


def test_released_reservation_allows_another_connection() -> None:
    harness = PooledUpstreamHarness()
    pool = harness.upstream.pool_for("a")
    assert harness.open_connection("a") and harness.open_connection("a")
    harness.upstream.release_reservation(pool)
    assert harness.open_connection("a") and harness.open_connection("a") is None


def test_removing_a_server_closes_its_idle_connections_and_keeps_busy_ones() -> None:
    harness = PooledUpstreamHarness()
    idle, busy = harness.open_connection("a", idle=True), harness.open_connection("a")
    harness.upstream.remove_server("a")
    assert idle and idle.closed and busy and not busy.closed
    assert harness.upstream.pools == {} and harness.upstream.open_connections == 1
    harness.upstream.remove_server("a")


def test_sweep_closes_connections_idle_past_the_timeout_and_drops_empty_pools() -> None:
    harness = PooledUpstreamHarness()

    async def scenario() -> tuple[bool, bool]:
        expired = harness.open_connection("a", idle=True)
        harness.now += 4
        recent = harness.open_connection("b", idle=True)
        harness.now += 1.5
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.upstream.sweep)
            await anyio.sleep(1.5)
            tasks.cancel_scope.cancel()
        assert expired and recent
        return expired.closed, recent.closed

    assert run_in_virtual_time(scenario) == (True, False)
    assert harness.open_counts() == {"b": 1}
