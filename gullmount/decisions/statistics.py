"""The statistics that canary analysis compares builds by: medians, rank tests, sums by server.

Times are in latency objectives. Nothing here decides anything.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from math import log, sqrt
from statistics import fmean, median
from typing import NamedTuple

ALL_ROUTES = ""  # stands for the route where routes are taken together


class RouteSlice(NamedTuple):
    """A route during one slice of time."""

    route: str
    slice: int


TimesBySlice = dict[RouteSlice, list[float]]


class AttemptSample(NamedTuple):
    """What canary analysis keeps of an attempt that ended."""

    at: float
    """Seconds on the runtime's clock."""
    time: float
    """Latency objectives; below 0 where the attempt says nothing of them."""
    failed: bool
    server_id: str


class BuildRoute(NamedTuple):
    """The attempts of one route at one build."""

    build: int
    route: str


Samples = Mapping[BuildRoute, Iterable[AttemptSample]]
SamplesByRoute = Mapping[str, Sequence[AttemptSample]]


class ServerCounts(NamedTuple):
    """Attempts at one server."""

    failed: int
    total: int


class RankTest(NamedTuple):
    """The Mann-Whitney test of one group of times against another, summed over parts."""

    ratios: list[float]
    """Each time over the median of the other group in the same part."""
    surplus: float
    """Pairs in which the group is slower, beyond those that chance gives."""
    variance: float
    """Of the surplus, if the groups don't differ."""


class ServerDifference(NamedTuple):
    """How much slower one group's servers are than another's."""

    mean: float
    """Natural logarithm of the ratio, each server counting alike."""
    standard_error: float
    """By how far servers of one group lie apart; 0 where that is not known."""


UNKNOWN_DIFFERENCE = ServerDifference(1.0, 0.0)


def rank_surplus(compared_group: Sequence[float], baseline_group: Sequence[float]) -> tuple[float, float]:
    """Return by how many pairs `compared_group` ranks above chance, and that number's variance."""
    sorted_baseline = sorted(baseline_group)
    wins = sum(
        (bisect_left(sorted_baseline, time) + bisect_right(sorted_baseline, time)) / 2
        for time in compared_group
    )
    pairs = len(compared_group) * len(baseline_group)
    return wins - pairs / 2, pairs * (len(compared_group) + len(baseline_group) + 1) / 12


def rank_test(times: TimesBySlice, baseline: TimesBySlice, min_times: int) -> RankTest:
    """Compare the times part by part; a part counts with `min_times` baseline times or more."""
    ratios: list[float] = []
    surplus = variance = 0.0
    for route_slice, compared_times in times.items():
        baseline_times = baseline.get(route_slice, ())
        if len(baseline_times) < min_times:
            continue
        baseline_median = median(baseline_times)
        ratios += [time / baseline_median for time in compared_times]
        slice_surplus, slice_variance = rank_surplus(compared_times, baseline_times)
        surplus += slice_surplus
        variance += slice_variance
    return RankTest(ratios, surplus, variance)


def merge_routes(times: TimesBySlice) -> TimesBySlice:
    """Take the routes of each slice together."""
    merged: TimesBySlice = defaultdict(list)
    for (_, slice_number), route_times in times.items():
        merged[RouteSlice(ALL_ROUTES, slice_number)] += route_times
    return merged


def times_by_slice(samples: Mapping[str, Iterable[AttemptSample]], slice_seconds: float) -> TimesBySlice:
    """Group the times by route and slice of time, so that only times of the same seconds are compared."""
    times: TimesBySlice = {}
    for route, route_samples in samples.items():
        by_slice: dict[int, list[float]] = defaultdict(list)
        for sample in route_samples:
            if sample.time >= 0:
                by_slice[int(sample.at / slice_seconds)].append(sample.time)
        for slice_number, times_of_slice in by_slice.items():
            times[RouteSlice(route, slice_number)] = times_of_slice
    return times


def samples_of_builds(
    samples: Samples, builds: Collection[int], route: str, since: float
) -> list[AttemptSample]:
    """Return the samples of the route at these builds since then."""
    return [
        sample
        for (build, build_route), build_samples in samples.items()
        if build in builds and build_route == route
        for sample in build_samples
        if sample.at >= since
    ]


def times_since(samples: Samples, since: float) -> TimesBySlice:
    """Return the times of each route since then, whatever the build, as one slice."""
    times: TimesBySlice = defaultdict(list)
    for (_, route), route_samples in samples.items():
        recent = [sample.time for sample in route_samples if sample.at >= since and sample.time >= 0]
        times[RouteSlice(route, 0)] += recent
    return times


def count_by_server(samples: Iterable[AttemptSample]) -> list[ServerCounts]:
    """Return the counts of each server, those that fail most first."""
    failures: dict[str, int] = defaultdict(int)
    totals: dict[str, int] = defaultdict(int)
    for sample in samples:
        failures[sample.server_id] += sample.failed
        totals[sample.server_id] += 1
    counts = [ServerCounts(failures[server_id], totals[server_id]) for server_id in totals]
    return sorted(counts, key=lambda count: -count.failed)


def exclude_slowest_servers(
    samples: SamplesByRoute, excluded_count: Callable[[int], int]
) -> dict[str, list[AttemptSample]]:
    """Leave out the servers with the longest mean times, as many as the callable says for their number."""
    times: dict[str, list[float]] = defaultdict(list)
    for route_samples in samples.values():
        for sample in route_samples:
            if sample.time >= 0:
                times[sample.server_id].append(sample.time)
    slowest_first = sorted(times, key=lambda server_id: -fmean(times[server_id]))
    slowest = slowest_first[: excluded_count(len(times))]
    return {
        route: [sample for sample in route_samples if sample.server_id not in slowest]
        for route, route_samples in samples.items()
    }


def difference_between_servers(
    samples: Mapping[str, Iterable[AttemptSample]],
    baseline: Mapping[str, Iterable[AttemptSample]],
    min_times: int,
) -> ServerDifference:
    """Return how much slower the servers of `samples` are than those of the baseline.

    Servers with fewer than `min_times` times are left out. Without one of the samples' and two of the
    baseline's, how far servers lie apart is not known.
    """
    route_medians: dict[str, float] = {}
    for route, route_samples in baseline.items():
        times = [sample.time for sample in route_samples if sample.time > 0]
        if times:
            route_medians[route] = median(times)
    server_means = _mean_logarithms(samples, route_medians, min_times)
    baseline_means = _mean_logarithms(baseline, route_medians, min_times)
    if not server_means or len(baseline_means) <= 1:
        return UNKNOWN_DIFFERENCE
    squared_deviations = sum(
        (mean - fmean(group)) ** 2 for group in (server_means, baseline_means) for mean in group
    )
    deviation = sqrt(squared_deviations / (len(server_means) + len(baseline_means) - 2))
    combined_error = deviation * sqrt(1 / len(server_means) + 1 / len(baseline_means))
    return ServerDifference(fmean(server_means) - fmean(baseline_means), combined_error)


def _mean_logarithms(
    samples: Mapping[str, Iterable[AttemptSample]], route_medians: Mapping[str, float], min_times: int
) -> list[float]:
    """Return for each server the mean logarithm of its times over the route's middle."""
    logarithms: dict[str, list[float]] = defaultdict(list)
    for route, route_median in route_medians.items():
        for sample in samples[route]:
            if sample.time > 0:
                logarithms[sample.server_id].append(log(sample.time / route_median))
    return [fmean(values) for values in logarithms.values() if len(values) >= min_times]
