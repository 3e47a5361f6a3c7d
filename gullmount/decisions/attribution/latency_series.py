"""Builds the time series of latency, load and traffic shares that the slowdown models are fitted to."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Sequence
from typing import NamedTuple

import numpy as np

from gullmount.decisions.attribution.comparison import LatencySums
from gullmount.decisions.attribution.evidence import MAX_SLICES, SLICE_SECONDS, Evidence, Sample
from gullmount.decisions.attribution.slowdown_models import FloatArray, LatencySeries

# The newest slices are left out, because the samples of the peers have not arrived yet.
INCOMPLETE_SLICES = 1

# A share is averaged over this many slices, because its effect on other servers takes that long to show.
SHARE_SLICES = 2

# The mean of fewer latencies is not significant, so the slice is left out.
MIN_SLICE_LATENCIES = 3


class ObservedSeries(NamedTuple):
    """The series, and the number of attempts that it is based on."""

    series: LatencySeries
    attempts: int


class _SliceLatencies(NamedTuple):
    """Number and sum of the latencies in each slice, and the sum of the squares over all slices."""

    counts: FloatArray
    totals: FloatArray
    squares: float


def observe_series(now: float, evidence: Evidence, unreleased_builds: Collection[int]) -> ObservedSeries:
    """Return the series over all complete slices; latencies and loads are those of the released builds."""
    newest = int(now / SLICE_SECONDS) - INCOMPLETE_SLICES
    samples = [
        sample for sample in evidence.since(now, MAX_SLICES * SLICE_SECONDS) if sample.slice_number <= newest
    ]
    positions = _positions(samples)
    attempts = _attempts_in_slices(samples, positions)
    builds = sorted({key.build for _, key, _ in samples})
    released_samples = [
        sample for sample in samples if sample.key.build not in unreleased_builds and sample.sums.timed
    ]
    latencies = _slice_latencies(released_samples, positions)
    has_mean = latencies.counts >= MIN_SLICE_LATENCIES
    means = latencies.totals[has_mean] / latencies.counts[has_mean]
    mean_square = latencies.squares / max(1.0, latencies.counts.sum())
    variance = max(0.0, mean_square - float(np.var(means) if has_mean.any() else 0.0))
    loads = latencies.counts / np.maximum(1, _servers_in_slices(released_samples, positions))
    shares = {
        build: trailing_mean(
            _attempts_in_slices(
                [build_sample for build_sample in samples if build_sample.key.build == build], positions
            )
            / np.maximum(attempts, 1)
        )[has_mean]
        for build in builds
        if build in unreleased_builds or build == builds[-1]
    }
    series = LatencySeries(means, variance / latencies.counts[has_mean], loads[has_mean], shares)
    return ObservedSeries(series, int(attempts.sum()))


def _positions(samples: Sequence[Sample]) -> dict[int, int]:
    """Return the position of each slice in the series."""
    slices = sorted({sample.slice_number for sample in samples})
    return {slice_number: position for position, slice_number in enumerate(slices)}


def _attempts_in_slices(samples: Sequence[Sample], positions: dict[int, int]) -> FloatArray:
    attempts = [0] * len(positions)
    for slice_number, _, sums in samples:
        attempts[positions[slice_number]] += sums.attempts
    return np.array(attempts, dtype=np.float64)


def _slice_latencies(released_samples: Sequence[Sample], positions: dict[int, int]) -> _SliceLatencies:
    """Sum the differences of the latencies from the mean of their route, in octaves."""
    by_route: dict[str, LatencySums] = defaultdict(LatencySums)
    for _, key, sums in released_samples:
        by_route[key.route].count += sums.timed
        by_route[key.route].total += sums.total
    means = {route: route_sums.mean for route, route_sums in by_route.items()}
    slices = [LatencySums() for _ in positions]
    squares = 0.0
    for slice_number, key, sums in released_samples:
        mean = means[key.route]
        slice_sums = slices[positions[slice_number]]
        slice_sums.count += sums.timed
        slice_sums.total += sums.total - sums.timed * mean
        squares += sums.squares - 2 * mean * sums.total + sums.timed * mean * mean
    counts = np.array([slice_sums.count for slice_sums in slices], dtype=np.float64)
    totals = np.array([slice_sums.total for slice_sums in slices], dtype=np.float64)
    return _SliceLatencies(counts, totals, squares)


def _servers_in_slices(released_samples: Sequence[Sample], positions: dict[int, int]) -> list[int]:
    servers: list[set[str]] = [set() for _ in positions]
    for slice_number, key, _ in released_samples:
        servers[positions[slice_number]].add(key.server_id)
    return [len(server_ids) for server_ids in servers]


def trailing_mean(values: FloatArray) -> FloatArray:
    """Return the trailing mean over `SHARE_SLICES` values; the first value stands for those before it."""
    sums = values.copy()
    for offset in range(1, SHARE_SLICES):
        sums[offset:] += values[:-offset]
        sums[:offset] += values[:offset]
    return sums / SHARE_SLICES
