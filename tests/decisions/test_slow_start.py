"""Tests which attempts a warming server may get."""

from __future__ import annotations

from gullmount.decisions.model import EndpointUpdateKind, Outcome
from tests.support.decisions import BASELINE, RouterHarness, released_harness, send_requests


def test_warming_server_gets_no_attempt_while_no_attempt_completes() -> None:
    harness = RouterHarness(max_attempts=1)
    harness.list_servers(BASELINE)
    harness.advance_clock(10.0)
    harness.list_servers({"a9": 1}, EndpointUpdateKind.UPDATE, started_at=harness.clock)
    for _ in range(100):
        harness.end_attempt(harness.accept(), Outcome.TIMEOUT, 1.0)
        harness.advance_clock(0.01)
    assert sum(server == "a9" for _, server, _ in harness.forwarded) == 0


def test_new_server_gets_no_attempt_when_it_is_listed() -> None:
    """Guards against a new server that collapses under one attempt each from many instances.

    81 of 172 instances sent one request each to a server at the moment it was listed, and it collapsed.
    """
    for seed in range(20):
        harness = released_harness({"a0": 1}, max_attempts=1, instance_count=172, seed=seed)
        send_requests(harness, 10)
        sent = len(harness.forwarded)
        harness.list_servers({"a1": 1, "a2": 1}, started_at=harness.clock)
        harness.accept()
        assert len(harness.forwarded) == sent
