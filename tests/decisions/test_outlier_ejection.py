"""Tests that failing servers leave rotation and come back."""

from __future__ import annotations

from gullmount.decisions.model import Outcome
from tests.support.decisions import released_harness, send_requests


def test_server_that_times_out_is_ejected_and_used_again_later() -> None:
    harness = released_harness({"a0": 1, "a1": 1})
    send_requests(harness, 10, "a0", Outcome.TIMEOUT, 1.0)
    assert sum(server == "a0" for _, server, _ in harness.forwarded) <= 2
    harness.advance_clock(10.0)
    harness.forwarded.clear()
    for _ in range(4):
        harness.accept("pay")
    assert any(server == "a0" for _, server, _ in harness.forwarded)


def test_server_that_fails_fast_does_not_attract_requests() -> None:
    harness = released_harness()
    send_requests(harness, 100, "a0", Outcome.ERROR, 0.005)
    assert sum(server == "a0" for _, server, _ in harness.forwarded) <= 8
