"""Tests which of the allowed servers gets an attempt."""

from __future__ import annotations

from gullmount.decisions.model import Outcome
from tests.support.decisions import released_harness, send_requests


def test_instances_of_a_large_fleet_do_not_send_only_to_their_own_zone() -> None:
    harness = released_harness({f"{zone}{n}": 1 for zone in "abc" for n in range(20)}, instance_count=400)
    send_requests(harness, 200)
    own_zone_count = sum(server.startswith("a") for _, server, _ in harness.forwarded)
    assert 66 < own_zone_count < 180


def test_slow_zone_is_avoided_and_used_again_later() -> None:
    harness = released_harness(
        {f"{zone}{n}": 1 for zone in "ab" for n in range(20)}, instance_count=400, max_attempts=1
    )
    send_requests(harness, 60, "b", Outcome.TIMEOUT, 1.0)
    assert sum(server.startswith("b") for _, server, _ in harness.forwarded[20:]) <= 4
    harness.advance_clock(60.0)
    harness.forwarded.clear()
    for _ in range(30):
        harness.accept()
    assert any(server.startswith("b") for _, server, _ in harness.forwarded)


def test_servers_with_open_connections_are_preferred_while_connects_fail() -> None:
    harness = released_harness({f"a{n}": 1 for n in range(40)}, instance_count=400)
    send_requests(harness, 20)
    connected_servers = {server for _, server, _ in harness.forwarded}
    harness.router.connections.failure_share = 0.5
    harness.forwarded.clear()
    send_requests(harness, 10)
    assert {server for _, server, _ in harness.forwarded} <= connected_servers
