"""Statistics for comparing builds: medians, rank tests and sums per server.

Times are latencies divided by the route's latency objective. This module decides nothing.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from math import log, sqrt
from statistics import fmean, median
from typing import NamedTuple

# Takes the place of a route name where all routes are merged.
ALL_ROUTES = ""


class RouteSlice(NamedTuple):
    """A route during one slice of time.

    Attributes:
        route: The route's name, or `ALL_ROUTES`.
        slice: The slice's number.
    """

    route: str
    slice: int


TimesBySlice = dict[RouteSlice, list[float]]


class AttemptSample(NamedTuple):
    """What canary analysis stores of an attempt that has ended.

    Attributes:
        at: When the attempt ended, in seconds on the runtime's clock.
        time: The latency in latency objectives; below 0 where the attempt has no usable latency.
        failed: Whether the attempt failed.
        server_id: The server that the attempt was sent to.
    """

    at: float
    time: float
    failed: bool
    server_id: str


class BuildRoute(NamedTuple):
    """Key of the attempts of one route at one build."""

    build: int
    route: str


Samples = Mapping[BuildRoute, Iterable[AttemptSample]]
SamplesByRoute = Mapping[str, Sequence[AttemptSample]]


class ServerCounts(NamedTuple):
    """Attempts at one server: those that failed, and all of them."""

    failed: int
    total: int


class RankTest(NamedTuple):
    """Result of a Mann-Whitney test of one group of times against another, summed over route slices.

    Attributes:
        ratios: Each time of the group, divided by the other group's median in the same route slice.
        surplus: Number of pairs in which the group is slower, less the number expected by chance.
        variance: Variance of the surplus if the two groups don't differ.
    """

    ratios: list[float]
    surplus: float
    variance: float


class ServerDifference(NamedTuple):
    """How much slower the servers of one group are than those of another.

    Attributes:
        mean: Natural logarithm of the ratio of the times; each server has the same weight.
        standard_error: Standard error of the mean, from the spread within each group; 0 if it is not known.
    """

    mean: float
    standard_error: float


# Its mean exceeds any multiple of its standard error, so that it passes as a significant difference.
UNKNOWN_DIFFERENCE = ServerDifference(1.0, 0.0)


def rank_surplus(compared_group: Sequence[float], baseline_group: Sequence[float]) -> tuple[float, float]:
    """Return the Mann-Whitney statistic of two groups, less its mean by chance, and its variance.

    The statistic is the number of pairs in which the compared group's value is the higher one.
    """
    sorted_baseline = sorted(baseline_group)
    wins = sum(
        (bisect_left(sorted_baseline, time) + bisect_right(sorted_baseline, time)) / 2
        for time in compared_group
    )
    pairs = len(compared_group) * len(baseline_group)
    return wins - pairs / 2, pairs * (len(compared_group) + len(baseline_group) + 1) / 12


def rank_test(times: TimesBySlice, baseline: TimesBySlice, min_times: int) -> RankTest:
    """Compare two groups of times, route slice by route slice.

    Route slices with fewer than `min_times` baseline times are left out.
    """
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
    """Merge the times of all routes within each slice."""
    merged: TimesBySlice = defaultdict(list)
    for (_, slice_number), route_times in times.items():
        merged[RouteSlice(ALL_ROUTES, slice_number)] += route_times
    return merged


def times_by_slice(samples: Mapping[str, Iterable[AttemptSample]], slice_seconds: float) -> TimesBySlice:
    """Group the samples' times by route and slice, so that only times of the same seconds are compared."""
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
    """Return the route's samples at the given builds from the time `since` on."""
    return [
        sample
        for (build, build_route), build_samples in samples.items()
        if build in builds and build_route == route
        for sample in build_samples
        if sample.at >= since
    ]


def times_since(samples: Samples, since: float) -> TimesBySlice:
    """Return each route's times from the time `since` on, at all builds, as a single slice."""
    times: TimesBySlice = defaultdict(list)
    for (_, route), route_samples in samples.items():
        recent = [sample.time for sample in route_samples if sample.at >= since and sample.time >= 0]
        times[RouteSlice(route, 0)] += recent
    return times


def count_by_server(samples: Iterable[AttemptSample]) -> list[ServerCounts]:
    """Count the attempts at each server; servers with the most failures come first."""
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
    """Return the samples without those of the servers with the longest mean times.

    Args:
        samples: The samples by route.
        excluded_count: Returns how many servers to leave out, given the number of servers.
    """
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

    Servers with fewer than `min_times` times are left out. `UNKNOWN_DIFFERENCE` is returned unless one server
    of the samples and two of the baseline remain.
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
    """Return each server's mean logarithm of its times, each divided by its route's median."""
    logarithms: dict[str, list[float]] = defaultdict(list)
    for route, route_median in route_medians.items():
        for sample in samples[route]:
            if sample.time > 0:
                logarithms[sample.server_id].append(log(sample.time / route_median))
    return [fmean(values) for values in logarithms.values() if len(values) >= min_times]
