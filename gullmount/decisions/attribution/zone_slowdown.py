"""Detects a slowdown of the servers of one zone, whatever their build."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable

from gullmount.decisions.attribution.comparison import LatencySums
from gullmount.decisions.attribution.evidence import SLICE_SECONDS, Sample
from gullmount.decisions.attribution.findings import Cause, Finding

# This most recent span is compared with the time before it.
RECENT_SECONDS = 5.0

# The latency of a zone must rise by more than this, and by more than this above the rise of every other zone.
MIN_RISE_OCTAVES = 0.7

# A zone with fewer latencies, before the recent span or in it, is not evaluated.
MIN_LATENCIES = 20

# Reported confidence of a zone finding.
CONFIDENCE = 0.95


def find_zone_slowdown(
    now: float, samples: Iterable[Sample], unreleased_builds: Collection[int], attempts: int
) -> Finding:
    """Return a finding on the only zone that has slowed down, or one with the cause `NOTHING`.

    `attempts` is the number of attempts that the finding reports.
    """
    rises = zone_rises(now, samples, unreleased_builds)
    for zone, rise in sorted(rises.items()):
        other_rises = [other_rise for other, other_rise in rises.items() if other != zone]
        if other_rises and min(rise, rise - max(other_rises)) > MIN_RISE_OCTAVES:
            figures = (
                f"latency in zone {zone} rose {2**rise:.2f} times, "
                f"elsewhere {2 ** max(other_rises):.2f} at most"
            )
            return Finding(Cause.ZONE, zone=zone, confidence=CONFIDENCE, figures=figures, attempts=attempts)
    return Finding(Cause.NOTHING, attempts=attempts)


def zone_rises(now: float, samples: Iterable[Sample], unreleased_builds: Collection[int]) -> dict[str, float]:
    """Return the rise of the mean latency of each zone with enough latencies, in octaves."""
    before: dict[str, LatencySums] = defaultdict(LatencySums)
    after: dict[str, LatencySums] = defaultdict(LatencySums)
    for slice_number, key, sums in samples:
        if sums.timed and key.build not in unreleased_builds:
            is_recent = slice_number * SLICE_SECONDS >= now - RECENT_SECONDS
            zone_sums = after[key.zone] if is_recent else before[key.zone]
            zone_sums.count += sums.timed
            zone_sums.total += sums.total
    return {
        zone: after[zone].mean - before[zone].mean
        for zone in sorted(before.keys() & after.keys())
        if min(before[zone].count, after[zone].count) >= MIN_LATENCIES
    }
