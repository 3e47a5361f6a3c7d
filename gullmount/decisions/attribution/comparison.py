"""Compares one build with the baseline over the same seconds: failures by an exact test, latency by server.

Latencies are logarithms to base 2 of the ratio to the latency objective of the route; one octave is a factor
of two. `candidate_checks` decides whether a result is enough to blame a build or to hold it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from math import comb, sqrt
from statistics import NormalDist
from typing import NamedTuple

from gullmount.decisions.attribution.evidence import Sample, SampleKey

# Share of the servers of a build that is ignored, those with the most failures first: one broken machine is
# not the fault of the build.
IGNORED_SERVERS_SHARE = 0.25

# A group of SLICES_PER_COMPARISON slices is skipped on a route where the baseline has fewer latencies.
MIN_BASELINE_LATENCIES = 3

# Servers with fewer latencies are not compared.
MIN_SERVER_LATENCIES = 2

# With fewer baseline servers, the variance between servers is not estimated.
MIN_BASELINE_SERVERS = 3

# With fewer latencies of the baseline in a zone, the latency offset of the zone is not estimated.
MIN_ZONE_LATENCIES = 8

# Lower limit of the standard deviation between healthy servers, whose machines differ.
MIN_SERVER_DEVIATION_OCTAVES = 0.15

# Variance between servers with too few baseline servers, in octaves squared.
DEFAULT_SERVER_VARIANCE = MIN_SERVER_DEVIATION_OCTAVES**2 * 4

# Standard deviation between the servers of different healthy builds, which have different loads.
BUILD_DEVIATION_OCTAVES = 0.2

# Additional standard deviation of a build with a single server, so that a busy machine is not taken for a
# slow build. With more servers, its variance is divided by their number.
SINGLE_SERVER_DEVIATION_OCTAVES = 0.25

# Number of consecutive slices that are compared as the same period.
SLICES_PER_COMPARISON = 2

# Variance of single latencies in octaves squared, if no server has two latencies.
DEFAULT_LATENCY_VARIANCE = 1.0

# Returns whether a build belongs to the baseline.
IsBaseline = Callable[[int], bool]


@dataclass
class AttemptCounts:
    """Number of attempts, and of the failed ones among them."""

    attempts: int = 0
    failed: int = 0


@dataclass(frozen=True)
class FailureComparison:
    """Failures of a build compared with the baseline; `p_value` is the probability of so many by chance."""

    attempts: int
    failed: int
    baseline_attempts: int
    baseline_failed: int
    p_value: float

    @property
    def excess(self) -> float:
        """Failure rate of the build minus that of the baseline."""
        return self.failed / max(1, self.attempts) - self.baseline_failed / max(1, self.baseline_attempts)

    def summary(self) -> str:
        """Return the figures for people."""
        return (
            f"failed {self.failed} of {self.attempts} attempts, "
            f"baseline {self.baseline_failed} of {self.baseline_attempts}"
        )


@dataclass(frozen=True)
class LatencyComparison:
    """Latency of the servers of a build compared with those of the baseline.

    Attributes:
        ratio: Mean latency of the build divided by that of the baseline.
        p_value: Probability of such a ratio by chance.
        servers: Number of compared servers of the build.
        baseline_servers: Number of compared servers of the baseline.
        timed: Number of compared latencies of the build.
        deviation: Standard deviation of the logarithm of the ratio, in octaves.
    """

    ratio: float
    p_value: float
    servers: int
    baseline_servers: int
    timed: int
    deviation: float = 1.0

    def summary(self) -> str:
        """Return the figures for people."""
        return (
            f"latency {self.ratio:.2f} times that of the baseline "
            f"({self.servers} servers, {self.timed} attempts; {self.baseline_servers} baseline servers)"
        )


def binomial_upper_tail(count: int, total: int, probability: float) -> float:
    """Return the probability of at least `count` successes in `total` trials of this probability."""
    return min(
        1.0,
        sum(
            comb(total, k) * probability**k * (1 - probability) ** (total - k)
            for k in range(count, total + 1)
        ),
    )


def compare_failures(samples: Iterable[Sample], build: int, is_baseline: IsBaseline) -> FailureComparison:
    """Compare the failures of a build, without its servers that fail most, with those of the baseline."""
    by_server: dict[str, AttemptCounts] = defaultdict(AttemptCounts)
    baseline = AttemptCounts()
    for _, key, sums in samples:
        if key.build == build:
            counts = by_server[key.server_id]
        elif is_baseline(key.build):
            counts = baseline
        else:
            continue
        counts.attempts += sums.attempts
        counts.failed += sums.failed
    most_failing_first = sorted(by_server.values(), key=lambda counts: -counts.failed)
    kept = most_failing_first[int(IGNORED_SERVERS_SHARE * len(most_failing_first)) :]
    attempts = sum(counts.attempts for counts in kept)
    failed = sum(counts.failed for counts in kept)
    p_value = 1.0
    if failed and baseline.attempts:
        p_value = binomial_upper_tail(
            failed, failed + baseline.failed, attempts / (attempts + baseline.attempts)
        )
    return FailureComparison(attempts, failed, baseline.attempts, baseline.failed, p_value)


@dataclass(slots=True)
class LatencySums:
    """Number and sum of latencies, the sum in octaves."""

    count: int = 0
    total: float = 0.0

    @property
    def mean(self) -> float:
        """Mean latency in octaves; raises ZeroDivisionError if there is no latency."""
        return self.total / self.count


@dataclass(slots=True)
class ServerSums:
    """Sums over the latencies of one server running one build, in octaves above the mean of the baseline.

    A server that changes its build has separate sums for each build.
    """

    build: int
    zone: str
    count: int = 0
    total: float = 0.0
    squares: float = 0.0


class Mean(NamedTuple):
    """Mean latency of one server in octaves, over `timed` latencies."""

    timed: int
    value: float


class Estimate(NamedTuple):
    """A mean in octaves and its variance."""

    value: float
    variance: float


class ServerLatencies:
    """Latency of each server relative to the baseline on the same routes in the same seconds, in octaves.

    The latency offset of each zone, as measured at the servers of the baseline there, is subtracted. Seconds
    with too few latencies of the baseline are left out.
    """

    def __init__(self, samples: Sequence[Sample], is_baseline: IsBaseline) -> None:
        self.is_baseline = is_baseline
        # The key is the id, build and zone of a server.
        self.servers: dict[tuple[str, int, str], ServerSums] = {}
        self._add_samples(samples)
        self._subtract_zone_offsets()
        self.variance_within = self._variance_within()
        self.variance_between = self._variance_between()

    def compare(self, build: int, zone: str = "") -> LatencyComparison:
        """Compare the build with the baseline in one zone, or in all zones by default."""
        own = self._means(
            lambda server_build, server_zone: server_build == build and zone in ("", server_zone)
        )
        baseline = self._means(
            lambda server_build, server_zone: self.is_baseline(server_build) and zone in ("", server_zone)
        )
        timed = int(sum(mean.timed for mean in own))
        if not own or not baseline:
            return LatencyComparison(1.0, 1.0, len(own), len(baseline), timed)
        mean, baseline_mean = self._pooled(own), self._pooled(baseline)
        variance_of_build = BUILD_DEVIATION_OCTAVES**2 + SINGLE_SERVER_DEVIATION_OCTAVES**2 / len(own)
        deviation = sqrt(mean.variance + baseline_mean.variance + variance_of_build)
        difference = mean.value - baseline_mean.value
        p_value = 1 - NormalDist().cdf(difference / deviation)
        return LatencyComparison(2**difference, p_value, len(own), len(baseline), timed, deviation)

    def _add_samples(self, samples: Sequence[Sample]) -> None:
        baseline: dict[tuple[int, str], LatencySums] = defaultdict(LatencySums)
        for slice_number, key, sums in samples:
            if self.is_baseline(key.build) and sums.timed:
                reference = baseline[slice_number // SLICES_PER_COMPARISON, key.route]
                reference.count += sums.timed
                reference.total += sums.total
        baseline_means = {
            slices_and_route: reference.mean
            for slices_and_route, reference in baseline.items()
            if reference.count >= MIN_BASELINE_LATENCIES
        }
        for slice_number, key, sums in samples:
            mean = baseline_means.get((slice_number // SLICES_PER_COMPARISON, key.route))
            if mean is not None and sums.timed:
                server = self._server(key)
                server.count += sums.timed
                server.total += sums.total - sums.timed * mean
                server.squares += sums.squares - 2 * mean * sums.total + sums.timed * mean * mean

    def _server(self, key: SampleKey) -> ServerSums:
        identity = key.server_id, key.build, key.zone
        server = self.servers.get(identity)
        if server is None:
            server = self.servers[identity] = ServerSums(key.build, key.zone)
        return server

    def _subtract_zone_offsets(self) -> None:
        zones: dict[str, LatencySums] = defaultdict(LatencySums)
        for server in self.servers.values():
            if self.is_baseline(server.build):
                zones[server.zone].count += server.count
                zones[server.zone].total += server.total
        offsets = {zone: sums.mean for zone, sums in zones.items() if sums.count >= MIN_ZONE_LATENCIES}
        for server in self.servers.values():
            offset = offsets.get(server.zone, 0.0)
            server.squares += server.count * offset * offset - 2 * offset * server.total
            server.total -= server.count * offset

    def _variance_within(self) -> float:
        """Return the variance of single latencies at one server, in octaves squared."""
        degrees_of_freedom = spread = 0.0
        for server in self.servers.values():
            if server.count > 1:
                degrees_of_freedom += server.count - 1
                spread += server.squares - server.total * server.total / server.count
        return spread / degrees_of_freedom if degrees_of_freedom else DEFAULT_LATENCY_VARIANCE

    def _variance_between(self) -> float:
        """Return the variance between the mean latencies of baseline servers, in octaves squared."""
        means = self._means(lambda build, _zone: self.is_baseline(build))
        if len(means) < MIN_BASELINE_SERVERS:
            return DEFAULT_SERVER_VARIANCE
        weight = sum(mean.timed for mean in means)
        grand_mean = sum(mean.timed * mean.value for mean in means) / weight
        spread = sum((mean.value - grand_mean) ** 2 for mean in means) / (len(means) - 1)
        expected_spread = sum(self.variance_within / mean.timed for mean in means) / len(means)
        return float(max(MIN_SERVER_DEVIATION_OCTAVES**2, spread - expected_spread))

    def _means(self, is_selected: Callable[[int, str], bool]) -> list[Mean]:
        """Return the mean latency of each server whose build and zone are selected."""
        return [
            Mean(server.count, server.total / server.count)
            for server in self.servers.values()
            if server.count >= MIN_SERVER_LATENCIES and is_selected(server.build, server.zone)
        ]

    def _pooled(self, means: Iterable[Mean]) -> Estimate:
        """Return the mean over servers, each weighted by the inverse variance of its own mean."""
        weights = [
            (1 / (self.variance_between + self.variance_within / mean.timed), mean.value) for mean in means
        ]
        total = sum(weight for weight, _ in weights)
        return Estimate(sum(weight * value for weight, value in weights) / total, 1 / total)
