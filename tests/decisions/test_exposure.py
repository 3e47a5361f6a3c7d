"""Tests the exposure limit of candidates."""

from __future__ import annotations

from tests.support.decisions import RouterHarness


def test_candidate_gets_no_attempt_for_one_window_after_a_restart() -> None:
    for restarted in (True, False):
        harness = RouterHarness(restarted=restarted)
        harness.list_servers({"b0": 2})
        harness.set_release()
        for step in range(40):
            harness.end_attempt(harness.accept())
            harness.advance_clock(0.1)
            if step == 25:
                assert bool(harness.forwarded) is not restarted
        assert harness.forwarded
