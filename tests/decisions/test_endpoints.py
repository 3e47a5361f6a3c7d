"""Tests the watch that feeds the endpoint table."""

from __future__ import annotations

from gullmount.decisions.model import EndpointUpdateKind
from tests.support.decisions import RouterHarness


def test_refused_endpoint_watch_is_requested_again() -> None:
    harness = RouterHarness(may_watch_endpoints=True)
    harness.router.update_endpoints(EndpointUpdateKind.REFUSED, [])
    harness.advance_clock(3.0)
    assert harness.watch_calls == 2
