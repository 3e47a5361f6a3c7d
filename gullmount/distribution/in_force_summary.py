"""What is in force, summarized by zone: by a relay of its subscribers, by the origin of its relays.

No I/O, clock or randomness: times, in seconds of one clock, are handed in.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from gullmount.distribution.versions import Version

MAX_LISTED_SUBSCRIBERS = 20  # subscribers named in one list; beyond, they are counted only
MAX_REASON_CHARACTERS = 100
REPORT_GRACE_SECONDS = 5.0  # without a report, after which a relay's subscribers are taken for gone elsewhere


class LaggingSubscriber(NamedTuple):
    """A subscriber that is behind, and up to which version everything is in force there."""

    name: str
    version: Version


class UnusableVersion(msgspec.Struct, frozen=True, array_like=True):
    """A subscriber that can't use a version of a topic, and keeps what it had."""

    subscriber: str
    topic: str
    version: Version
    reason: str


class InForceSummary(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a number of subscribers has in force.

    Merging loses nothing but names beyond the limit. Only reachable subscribers count; one whose stream has
    ended counts for a grace period, and is named.
    """

    subscribers: int = msgspec.field(name="followers", default=0)
    starting: int = 0
    """Of these, that have not received all their topics once: they serve nothing by them yet."""
    behind: int = 0
    """Of these, for which something that they did not reject is not in force yet."""
    unusable: int = msgspec.field(name="unable", default=0)
    """Of these, that rejected the newest version of a topic."""
    disconnected: int = msgspec.field(name="gone", default=0)
    """Of these, whose stream has ended."""
    lowest: Version | None = None
    """In force at all that are not starting; what was rejected counts as done."""
    lowest_used: Version | None = None
    """The same, with what was rejected as not in force."""
    behind_names: tuple[LaggingSubscriber, ...] = ()
    """The lowest version first."""
    unusable_versions: tuple[UnusableVersion, ...] = msgspec.field(name="unable_names", default=())
    disconnected_names: tuple[str, ...] = msgspec.field(name="gone_names", default=())


def lower_version(first: Version | None, second: Version | None) -> Version | None:
    """The lower of two versions; None is not known and counts for nothing."""
    if first is None or second is None:
        return second if first is None else first
    return min(first, second)


def merge_summaries(summaries: Iterable[InForceSummary]) -> InForceSummary:
    """The summary of all their subscribers; one that two of them count is counted twice."""
    subscribers = starting = behind = unusable = disconnected = 0
    lowest: Version | None = None
    lowest_used: Version | None = None
    behind_names: list[LaggingSubscriber] = []
    unusable_versions: list[UnusableVersion] = []
    disconnected_names: list[str] = []
    for summary in summaries:
        subscribers += summary.subscribers
        starting += summary.starting
        behind += summary.behind
        unusable += summary.unusable
        disconnected += summary.disconnected
        lowest = lower_version(lowest, summary.lowest)
        lowest_used = lower_version(lowest_used, summary.lowest_used)
        behind_names += summary.behind_names
        unusable_versions += summary.unusable_versions
        disconnected_names += summary.disconnected_names
    behind_names.sort(key=lambda lagging: (lagging[1], lagging[0]))
    unusable_versions.sort(
        key=lambda unusable_version: (
            unusable_version.version,
            unusable_version.subscriber,
            unusable_version.topic,
        )
    )
    return InForceSummary(
        subscribers=subscribers,
        starting=starting,
        behind=behind,
        unusable=unusable,
        disconnected=disconnected,
        lowest=lowest,
        lowest_used=lowest_used,
        behind_names=tuple(behind_names[:MAX_LISTED_SUBSCRIBERS]),
        unusable_versions=tuple(unusable_versions[:MAX_LISTED_SUBSCRIBERS]),
        disconnected_names=tuple(sorted(disconnected_names)[:MAX_LISTED_SUBSCRIBERS]),
    )


@dataclass(frozen=True)
class RelayReport:
    """A relay's newest summary by zone, and when it came."""

    received_at: float
    zones: Mapping[str, InForceSummary]


class RelaySummaries:
    """At the origin: the newest summary of each relay. Bounded by relays and zones."""

    def __init__(self, grace_seconds: float = REPORT_GRACE_SECONDS) -> None:
        """Count a relay for `grace_seconds` after its last report."""
        self.grace_seconds = grace_seconds
        self.relays: dict[str, RelayReport] = {}

    def record(self, relay: str, zones: Mapping[str, InForceSummary], now: float) -> None:
        """Replace the relay's summary."""
        self.relays[relay] = RelayReport(now, zones)

    def expire(self, now: float) -> list[str]:
        """Drop relays that were silent for longer than the grace period; their names."""
        silent = [
            name for name, report in self.relays.items() if now - report.received_at > self.grace_seconds
        ]
        for name in silent:
            del self.relays[name]
        return silent

    def summary(self, now: float) -> dict[str, InForceSummary]:
        """All relays' summaries merged by zone."""
        self.expire(now)
        by_zone: dict[str, list[InForceSummary]] = {}
        for report in self.relays.values():
            for zone, summary in report.zones.items():
                by_zone.setdefault(zone, []).append(summary)
        return {zone: merge_summaries(summaries) for zone, summaries in sorted(by_zone.items())}
