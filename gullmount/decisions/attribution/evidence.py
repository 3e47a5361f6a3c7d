"""Sums over ended attempts by time slice, server, build and route; the sums of all instances add up.

Only bookkeeping lives here: what the sums say is decided in the other modules.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from math import log2
from typing import NamedTuple

SLICE_SECONDS = 1.0  # shorter than a stage's ramp, so that a change of a share shows in its shape
MAX_SLICES = 45  # slices kept: two stages of each candidate and some normal service before them
MAX_SAMPLES = 60_000  # sums kept, about 20 MB; past that the oldest slices go first
MAX_SLICES_AHEAD = 2  # by which the slice of a peer may lie ahead of ours: clocks differ, messages come late
MIN_RELATIVE_LATENCY = 1e-4  # objectives; the logarithm of anything quicker is taken as of this


class SampleKey(NamedTuple):
    """What one set of sums is about."""

    server_id: str
    build: int
    zone: str
    route: str


class SampleRow(NamedTuple):
    """The sums of one slice and key as instances send them to each other, in the order on the wire."""

    slices_ago: int
    server_id: str
    build: int
    zone: str
    route: str
    attempts: int
    failed: int
    timed: int
    total: float  # octaves
    squares: float  # octaves squared


class SampleSums:
    """Sums over the attempts of one slice and key.

    Attributes:
        attempts: All attempts that ended.
        failed: Those of them that failed.
        timed: Those of them whose latency counts.
        total: Sum of the logarithms of these latencies, in octaves of the route's latency objective.
        squares: Sum of the squares of the same logarithms, in octaves squared.
    """

    __slots__ = ("attempts", "failed", "squares", "timed", "total")

    def __init__(self) -> None:
        self.attempts = self.failed = self.timed = 0
        self.total = self.squares = 0.0

    def record(self, latency: float | None, failed: bool) -> None:
        """Add one attempt; `latency` in objectives, None where it doesn't count."""
        self.attempts += 1
        self.failed += failed
        if latency is not None:
            octaves = log2(max(latency, MIN_RELATIVE_LATENCY))
            self.timed += 1
            self.total += octaves
            self.squares += octaves * octaves

    def add(self, attempts: int, failed: int, timed: int, total: float, squares: float) -> None:
        """Add the sums of others."""
        self.attempts += attempts
        self.failed += failed
        self.timed += timed
        self.total += total
        self.squares += squares


class Sample(NamedTuple):
    """One set of sums with its slice and key."""

    slice_number: int
    key: SampleKey
    sums: SampleSums


class Evidence:
    """The sums of the newest `MAX_SLICES` slices, of one instance or of all whose samples were merged."""

    def __init__(self) -> None:
        self.slices: dict[int, dict[SampleKey, Sample]] = {}
        self.sample_count = 0

    def record(self, now: float, key: SampleKey, latency: float | None, failed: bool) -> None:
        """Add an attempt that ended now; `latency` in objectives, None where it doesn't count."""
        self._sums_for(int(now / SLICE_SECONDS), key).record(latency, failed)
        self._drop_excess()

    def merge(self, now: float, rows: Iterable[SampleRow]) -> None:
        """Add what another instance saw; rows from outside the kept slices are left out."""
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
        """Return all samples as they are sent to a peer, the oldest slice first."""
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
    """Return the samples added up over their slices, one for each key."""
    sums_by_key: dict[SampleKey, SampleSums] = defaultdict(SampleSums)
    for _, key, sums in samples:
        sums_by_key[key].add(sums.attempts, sums.failed, sums.timed, sums.total, sums.squares)
    return [Sample(0, key, sums) for key, sums in sums_by_key.items()]
