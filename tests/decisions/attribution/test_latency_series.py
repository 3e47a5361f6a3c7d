"""The time series that the slowdown models are fitted to."""

from __future__ import annotations

import numpy as np

from gullmount.decisions.attribution import Evidence
from gullmount.decisions.attribution.evidence import SampleKey
from gullmount.decisions.attribution.latency_series import (
    INCOMPLETE_SLICES,
    MIN_SLICE_LATENCIES,
    observe_series,
    trailing_mean,
)


def record(evidence: Evidence, second: int, build: int, count: int, latency: float = 0.25) -> None:
    for number in range(count):
        key = SampleKey(f"a{build}-{number % 2}", build, "a", "look")
        evidence.record(second, key, latency, False)


def test_series_has_means_loads_and_shares_of_complete_slices() -> None:
    evidence = Evidence()
    for second in range(10):
        record(evidence, 1000 + second, 1, 6)
        record(evidence, 1000 + second, 2, 2 if second else 0)
    series, attempts = observe_series(1009.0, evidence, {2})
    complete = 10 - INCOMPLETE_SLICES
    assert attempts == 6 + 8 * (complete - 1)
    # Means are relative to the mean of the route, and all latencies are equal.
    assert np.allclose(series.means, np.zeros(complete))
    assert np.allclose(series.loads, 3.0)
    assert series.shares[2].tolist() == [0.0, 0.125, *[0.25] * (complete - 2)]


def test_slice_with_too_few_latencies_is_left_out() -> None:
    evidence = Evidence()
    for second in range(5):
        record(evidence, 1000 + second, 1, MIN_SLICE_LATENCIES - (second == 2))
    series, _ = observe_series(1010.0, evidence, set())
    assert len(series.means) == 4


def test_trailing_mean_averages_with_the_previous_value_and_repeats_the_first() -> None:
    assert trailing_mean(np.array([1.0, 3.0, 5.0])).tolist() == [1.0, 2.0, 4.0]
