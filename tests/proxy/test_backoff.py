"""Tests the delays before a failed watch is reopened."""

from __future__ import annotations

from random import Random

import pytest

from gullmount.proxy.backoff import INITIAL_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS, Backoff


class NoJitter(Random):
    def random(self) -> float:
        return 0.0


def test_delay_doubles_up_to_its_limit_and_restarts_after_a_reset() -> None:
    backoff = Backoff(NoJitter())
    assert [backoff.next_delay() for _ in range(5)] == [0.5, 1.0, 2.0, 4.0, 4.0]
    backoff.reset()
    assert backoff.next_delay() == INITIAL_BACKOFF_SECONDS


@pytest.mark.parametrize("seed", range(5))
def test_jitter_at_most_doubles_the_delay(seed: int) -> None:
    backoff = Backoff(Random(seed))
    base_delays = [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]
    for base_delay in base_delays:
        assert base_delay <= backoff.next_delay() <= 2 * base_delay <= 2 * MAX_BACKOFF_SECONDS
