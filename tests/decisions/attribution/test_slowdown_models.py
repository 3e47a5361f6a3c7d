"""Which model explains a slowdown, on seeded random series."""

from __future__ import annotations

from collections.abc import Callable

import numpy as np
import pytest

from gullmount.decisions.attribution import Cause
from gullmount.decisions.attribution.slowdown_models import LatencySeries, explain


def series(slowdown_at: Callable[[int], float], seed: int) -> LatencySeries:
    """Return 40 s in which the share of build 2 rises at 8, 16 and 26 s, that of build 3 at 12 and 20 s."""
    random = np.random.default_rng(seed)
    share_of_2 = np.array(
        [
            0.0 if second < 8 else 0.06 if second < 16 else 0.22 if second < 26 else 0.55
            for second in range(40)
        ]
    )
    share_of_3 = np.array([0.0 if second < 12 else 0.06 if second < 20 else 0.22 for second in range(40)])
    loads = np.array([60.0 * (1.7 if 18 <= second < 30 else 1.0) for second in range(40)])
    means = np.array([slowdown_at(second) for second in range(40)]) + random.normal(0, 0.15, 40)
    shares = {2: share_of_2, 3: share_of_3}
    # A slowdown below 0 means a case without a burst of load.
    if slowdown_at(18) < 0:
        loads = np.full(40, 60.0)
    return LatencySeries(means, np.full(40, 0.01), loads, shares)


def build_slowdown(second: int) -> float:
    return float(
        np.log2(1 + 3 * (0.0 if second < 8 else 0.06 if second < 16 else 0.22 if second < 26 else 0.55))
    )


def dependency_slowdown(second: int) -> float:
    return 1.2 if second >= 23 else 0.0


def burst_slowdown(second: int) -> float:
    return 0.9 if 18 <= second < 30 else 0.0


@pytest.mark.parametrize(
    ("slowdown_at", "cause", "build"),
    [
        (build_slowdown, Cause.BUILD, 2),
        (dependency_slowdown, Cause.SHARED, 0),
        (lambda second: 0.0, Cause.NOTHING, 0),
    ],
)
def test_share_distinguishes_a_build_from_a_dependency(
    slowdown_at: Callable[[int], float], cause: Cause, build: int
) -> None:
    for seed in range(40):
        best = explain(series(slowdown_at, seed)).best
        assert (best.cause, best.build) == (cause, build), seed


def test_burst_is_explained_by_the_load() -> None:
    is_load = [explain(series(burst_slowdown, seed)).best.cause is Cause.LOAD for seed in range(40)]
    assert all(is_load)
