"""Sums ended attempts by time slice, server, build and route, and merges the sums of several instances.

The other modules of the package evaluate these sums.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from math import log2
from typing import NamedTuple

# A slice is shorter than the ramp of a stage, so that the course of a traffic share can be seen over its
# slices.
SLICE_SECONDS = 1.0

# Enough for two stages of each candidate and some normal service before them.
MAX_SLICES = 45

# About 20 MB; the oldest slices are dropped beyond this number.
MAX_SAMPLES = 60_000

# Slices of a peer may be this far in the future, because clocks differ and messages are delayed.
MAX_SLICES_AHEAD = 2

# Multiple of the latency objective; shorter latencies are raised to it before their logarithm is taken.
MIN_RELATIVE_LATENCY = 1e-4


class SampleKey(NamedTuple):
    """Server, build, zone and route that the sums are kept for."""

    server_id: str
    build: int
    zone: str
    route: str


class SampleRow(NamedTuple):
    """The sums of one slice and key as instances send them to each other, in the order on the wire.

    `total` is in octaves, `squares` in octaves squared.
    """

    slices_ago: int
    server_id: str
    build: int
    zone: str
    route: str
    attempts: int
    failed: int
    timed: int
    total: float
    squares: float


class SampleSums:
    """Sums over the attempts of one slice and key.

    Attributes:
        attempts: Number of ended attempts.
        failed: Number of failed attempts among them.
        timed: Number of attempts among them whose latency is included.
        total: Sum of the base-2 logarithms of these latencies relative to the latency objective of the route.
        squares: Sum of the squares of these logarithms.
    """

    __slots__ = ("attempts", "failed", "squares", "timed", "total")

    def __init__(self) -> None:
        self.attempts = self.failed = self.timed = 0
        self.total = self.squares = 0.0

    def record(self, latency: float | None, failed: bool) -> None:
        """Add one attempt.

        Args:
            latency: Latency as a multiple of the latency objective; None to leave it out.
            failed: Whether the attempt failed.
        """
        self.attempts += 1
        self.failed += failed
        if latency is not None:
            octaves = log2(max(latency, MIN_RELATIVE_LATENCY))
            self.timed += 1
            self.total += octaves
            self.squares += octaves * octaves

    def add(self, attempts: int, failed: int, timed: int, total: float, squares: float) -> None:
        """Add the sums of another instance or slice."""
        self.attempts += attempts
        self.failed += failed
        self.timed += timed
        self.total += total
        self.squares += squares


class Sample(NamedTuple):
    """The sums of one slice and key."""

    slice_number: int
    key: SampleKey
    sums: SampleSums


class Evidence:
    """The sums of the newest `MAX_SLICES` slices, over one instance or several merged ones."""

    def __init__(self) -> None:
        self.slices: dict[int, dict[SampleKey, Sample]] = {}
        self.sample_count = 0

    def record(self, now: float, key: SampleKey, latency: float | None, failed: bool) -> None:
        """Add an attempt that ended now.

        Args:
            now: Time on the clock of the instance, in seconds.
            key: Server, build, zone and route of the attempt.
            latency: Latency as a multiple of the latency objective; None to leave it out.
            failed: Whether the attempt failed.
        """
        self._sums_for(int(now / SLICE_SECONDS), key).record(latency, failed)
        self._drop_excess()

    def merge(self, now: float, rows: Iterable[SampleRow]) -> None:
        """Add the rows of another instance; rows outside the kept slices are ignored."""
        current_slice = int(now / SLICE_SECONDS)
        for row in rows:
            if -MAX_SLICES_AHEAD <= row.slices_ago < MAX_SLICES:
                key = SampleKey(row.server_id, row.build, row.zone, row.route)
                sums = self._sums_for(current_slice - max(0, row.slices_ago), key)
                sums.add(row.attempts, row.failed, row.timed, row.total, row.squares)
        self._drop_excess()

    def since(self, now: float, span: float) -> Iterator[Sample]:
        """Yield the samples of the last `span` seconds, the oldest slice first."""
        first_slice = int((now - span) / SLICE_SECONDS)
        for slice_number in sorted(number for number in self.slices if number >= first_slice):
            yield from self.slices[slice_number].values()

    def rows(self, now: float) -> list[SampleRow]:
        """Return all samples as rows to send to a peer, the oldest slice first."""
        current_slice = int(now / SLICE_SECONDS)
        return [
            SampleRow(
                current_slice - slice_number,
                *key,
                sums.attempts,
                sums.failed,
                sums.timed,
                round(sums.total, 3),
                round(sums.squares, 3),
            )
            for _, samples in sorted(self.slices.items())
            for slice_number, key, sums in samples.values()
        ]

    def _sums_for(self, slice_number: int, key: SampleKey) -> SampleSums:
        samples = self._slice(slice_number)
        sample = samples.get(key)
        if sample is None:
            sample = samples[key] = Sample(slice_number, key, SampleSums())
            self.sample_count += 1
        return sample.sums

    def _slice(self, slice_number: int) -> dict[SampleKey, Sample]:
        if slice_number not in self.slices:
            self.slices[slice_number] = {}
            newest = max(self.slices)
            for expired in [number for number in self.slices if number <= newest - MAX_SLICES]:
                self.sample_count -= len(self.slices.pop(expired))
        return self.slices[slice_number]

    def _drop_excess(self) -> None:
        while self.sample_count > MAX_SAMPLES and len(self.slices) > 1:
            self.sample_count -= len(self.slices.pop(min(self.slices)))


def sum_over_slices(samples: Iterable[Sample]) -> list[Sample]:
    """Return one sample for each key, summed over all slices."""
    sums_by_key: dict[SampleKey, SampleSums] = defaultdict(SampleSums)
    for _, key, sums in samples:
        sums_by_key[key].add(sums.attempts, sums.failed, sums.timed, sums.total, sums.squares)
    return [Sample(0, key, sums) for key, sums in sums_by_key.items()]
