"""Whether a slowdown is limited to one zone."""

from __future__ import annotations

from collections.abc import Callable

from gullmount.decisions.attribution import Cause, Evidence
from gullmount.decisions.attribution.evidence import SampleKey
from gullmount.decisions.attribution.zone_slowdown import RECENT_SECONDS, find_zone_slowdown

NOW = 1020.0


def find_with_latency(latency: Callable[[str, bool], float], build: int = 1) -> tuple[Cause, str]:
    """Return cause and zone of the finding.

    `latency` takes the zone and whether the attempt is recent, and returns a multiple
    of the latency objective.
    """
    evidence = Evidence()
    for second in range(1000, 1020):
        for zone in "ab":
            for _ in range(10):
                key = SampleKey(f"{zone}0", build, zone, "look")
                evidence.record(second, key, latency(zone, second >= NOW - RECENT_SECONDS), False)
    finding = find_zone_slowdown(NOW, evidence.since(NOW, 20.0), {2}, 400)
    assert finding.attempts == 400
    return finding.cause, finding.zone


def test_zone_that_slows_down_alone_is_found() -> None:
    assert find_with_latency(lambda zone, recent: 0.3 if recent and zone == "b" else 0.1) == (Cause.ZONE, "b")


def test_slowdown_of_all_zones_belongs_to_none() -> None:
    assert find_with_latency(lambda zone, recent: 0.3 if recent else 0.1) == (Cause.NOTHING, "")


def test_zone_that_was_always_slow_has_not_slowed_down() -> None:
    assert find_with_latency(lambda zone, recent: 0.3 if zone == "b" else 0.1) == (Cause.NOTHING, "")


def test_unreleased_builds_are_left_out() -> None:
    slow_zone_b: Callable[[str, bool], float] = lambda zone, recent: 0.3 if recent and zone == "b" else 0.1  # noqa: E731
    assert find_with_latency(slow_zone_b, build=2) == (Cause.NOTHING, "")
