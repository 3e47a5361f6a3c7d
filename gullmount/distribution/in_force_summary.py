"""Summarizes by zone which versions are in force.

A relay summarizes its subscribers, the origin its relays. No I/O, clock or randomness: the caller passes
times, in seconds of one clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from gullmount.distribution.versions import Version

# The number of subscribers named in one list. Further ones are only counted.
MAX_LISTED_SUBSCRIBERS = 20

MAX_REASON_CHARACTERS = 100

# The time without a report after which a relay's subscribers are assumed to have moved elsewhere.
REPORT_GRACE_SECONDS = 5.0


class LaggingSubscriber(NamedTuple):
    """A subscriber that is behind.

    Attributes:
        name: The name of the subscriber.
        version: The version up to which everything is in force there.
    """

    name: str
    version: Version


class UnusableVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version of a topic that a subscriber can't use. The subscriber keeps its earlier version in force."""

    subscriber: str
    topic: str
    version: Version
    reason: str


class InForceSummary(msgspec.Struct, frozen=True, omit_defaults=True):
    """A summary of the versions that a group of subscribers has in force.

    Merging summaries loses only the names beyond MAX_LISTED_SUBSCRIBERS. Only reachable subscribers count. A
    subscriber whose stream has ended counts, and is named, for a grace period.
    """

    subscribers: int = msgspec.field(name="followers", default=0)
    starting: int = 0
    """Subscribers that have not received each of their topics yet, and serve no requests by them."""
    behind: int = 0
    """Subscribers at which a version that they did not reject is not in force yet."""
    unusable: int = msgspec.field(name="unable", default=0)
    """Subscribers that rejected the newest version of a topic."""
    disconnected: int = msgspec.field(name="gone", default=0)
    """Subscribers whose stream has ended."""
    lowest: Version | None = None
    """The version up to which everything is in force at all subscribers that are not starting.

    A rejected version counts as in force.
    """
    lowest_used: Version | None = None
    """The same as `lowest`, but a rejected version counts as not in force."""
    behind_names: tuple[LaggingSubscriber, ...] = ()
    """Subscribers that are behind, the lowest version first."""
    unusable_versions: tuple[UnusableVersion, ...] = msgspec.field(name="unable_names", default=())
    disconnected_names: tuple[str, ...] = msgspec.field(name="gone_names", default=())


def lower_version(first: Version | None, second: Version | None) -> Version | None:
    """Returns the lower of two versions. None stands for an unknown version and is ignored."""
    if first is None or second is None:
        return second if first is None else first
    return min(first, second)


def merge_summaries(summaries: Iterable[InForceSummary]) -> InForceSummary:
    """Merges summaries into one. A subscriber that is in two of them is counted twice."""
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
    """A relay's newest summaries by zone, and the time when they were received."""

    received_at: float
    zones: Mapping[str, InForceSummary]


class RelaySummaries:
    """The newest summaries of each relay, held by the origin.

    Memory is bounded by the number of relays and zones.
    """

    def __init__(self, grace_seconds: float = REPORT_GRACE_SECONDS) -> None:
        """Starts without reports. A relay counts for `grace_seconds` after its last report."""
        self.grace_seconds = grace_seconds
        self.relays: dict[str, RelayReport] = {}

    def record(self, relay: str, zones: Mapping[str, InForceSummary], now: float) -> None:
        """Replaces the summaries of a relay."""
        self.relays[relay] = RelayReport(now, zones)

    def expire(self, now: float) -> list[str]:
        """Drops relays without a report for longer than the grace period, and returns their names."""
        silent = [
            name for name, report in self.relays.items() if now - report.received_at > self.grace_seconds
        ]
        for name in silent:
            del self.relays[name]
        return silent

    def summary(self, now: float) -> dict[str, InForceSummary]:
        """Returns the summaries of all relays, merged by zone."""
        self.expire(now)
        by_zone: dict[str, list[InForceSummary]] = {}
        for report in self.relays.values():
            for zone, summary in report.zones.items():
                by_zone.setdefault(zone, []).append(summary)
        return {zone: merge_summaries(summaries) for zone, summaries in sorted(by_zone.items())}
