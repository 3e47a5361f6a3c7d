"""Whether the servers of one zone have slowed down, whatever they run."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable

from gullmount.decisions.attribution.comparison import LatencySums
from gullmount.decisions.attribution.evidence import SLICE_SECONDS, Sample
from gullmount.decisions.attribution.findings import Cause, Finding

RECENT_SECONDS = 5.0  # seconds that are compared with those before
MIN_RISE_OCTAVES = 0.7  # octaves, of one zone's latency over that of each other zone
MIN_LATENCIES = 20  # of a zone, both before and in the recent span
CONFIDENCE = 0.95


def find_zone_slowdown(
    now: float, samples: Iterable[Sample], unreleased_builds: Collection[int], attempts: int
) -> Finding:
    """Return the zone that has slowed down alone, else that nothing has.

    `attempts` is the number of attempts that the finding is said to rest on.
    """
    rises = zone_rises(now, samples, unreleased_builds)
    for zone, rise in sorted(rises.items()):
        other_rises = [other_rise for other, other_rise in rises.items() if other != zone]
        if other_rises and min(rise, rise - max(other_rises)) > MIN_RISE_OCTAVES:
            figures = (
                f"times in zone {zone} rose {2**rise:.2f} times, "
                f"elsewhere {2 ** max(other_rises):.2f} at most"
            )
            return Finding(Cause.ZONE, zone=zone, confidence=CONFIDENCE, figures=figures, attempts=attempts)
    return Finding(Cause.NOTHING, attempts=attempts)


def zone_rises(now: float, samples: Iterable[Sample], unreleased_builds: Collection[int]) -> dict[str, float]:
    """Return the rise of each zone's mean latency in octaves, for the zones that were seen well enough."""
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
