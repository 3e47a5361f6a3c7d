"""Tests of start times under a wall clock that was stepped forward or back, before the start or later."""

from __future__ import annotations

import pytest

from gullmount.platform.server_start_times import MAX_CLOCK_STEP_SECONDS, ServerStartTimes

# The true Unix time and the monotonic time at the start, in seconds.
TRUE_UNIX_TIME = 1_800_000_000.0
MONOTONIC_NOW = 1_000_100.0


def start_times(step: float) -> ServerStartTimes:
    return ServerStartTimes(lambda: MONOTONIC_NOW, lambda: TRUE_UNIX_TIME + step)


def computed_age(converter: ServerStartTimes, true_age: float, unlisted_at: float | None = None) -> float:
    return MONOTONIC_NOW - converter.start_time((TRUE_UNIX_TIME - true_age) * 1000, unlisted_at)


def test_correct_wall_clock_gives_the_true_age() -> None:
    converter = start_times(0.0)
    assert not converter.correct_clock_offset((TRUE_UNIX_TIME - 2.0) * 1000)
    assert computed_age(converter, 2.0) == pytest.approx(2.0) and converter.start_time(0, None) == 0.0


@pytest.mark.parametrize("step", [-1.0, -60.0, -3600.0])
def test_wall_clock_that_is_behind_is_corrected_by_the_newest_start(step: float) -> None:
    """Without the correction, servers that started an hour ago count as cold for an hour."""
    converter = start_times(step)
    assert converter.correct_clock_offset((TRUE_UNIX_TIME - 0.2) * 1000)
    assert computed_age(converter, 0.2) == pytest.approx(0.0, abs=0.3)
    assert computed_age(converter, 5.0) == pytest.approx(5.0, abs=0.3)


@pytest.mark.parametrize("step", [1.0, 60.0, 3600.0])
def test_newly_listed_server_is_cold_under_a_wall_clock_that_is_ahead(step: float) -> None:
    """The complete list of a second ago did not contain the server, so it cannot have started an hour ago."""
    assert computed_age(start_times(step), 1.0, unlisted_at=MONOTONIC_NOW - 1.0) <= 3.0 + 0.01


def test_start_time_far_ahead_does_not_correct_the_clock() -> None:
    converter = start_times(0.0)
    assert not converter.correct_clock_offset((TRUE_UNIX_TIME + MAX_CLOCK_STEP_SECONDS + 100) * 1000)
    assert computed_age(converter, 5.0) == pytest.approx(5.0) and computed_age(converter, -1e6) == 0.0
