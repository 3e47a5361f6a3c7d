"""Tests which requests are rejected without an attempt."""

from __future__ import annotations

from gullmount.decisions.model import EndpointState
from tests.support.decisions import BASELINE, RouterHarness


def test_request_whose_deadline_cannot_be_met_is_rejected_without_an_attempt() -> None:
    harness = RouterHarness()
    harness.list_servers(BASELINE)
    harness.router.latencies.instance.update(1.0, 1.0, 0.1, 10.0, harness.clock)
    request = harness.accept(request_timeout=0.2)
    assert not harness.forwarded and harness.responses[request.id] == ["rejected"]


def test_request_without_a_ready_server_is_rejected_at_once() -> None:
    harness = RouterHarness()
    harness.accept("pay")
    harness.list_servers({"a0": 1}, state=EndpointState.DRAINING)
    harness.accept("pay")
    assert harness.responses == {"r1": ["rejected"], "r2": ["rejected"]}
