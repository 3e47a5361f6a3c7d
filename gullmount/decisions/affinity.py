"""Tracks which build last served a key and at which builds its attempts are in flight (affinity).

- With `one_way`, a key that a newer build may have served never goes to an older build.
- With `one_way`, all attempts of a key in flight are at one build, as responses may arrive in any order.
- Without `one_way`, a key stays with a candidate that served it for as long as that build is a candidate.
"""

from __future__ import annotations

from collections.abc import Collection

from gullmount.decisions.model import NOT_EXECUTED_OUTCOMES, Outcome, ReleasePhase
from gullmount.decisions.releases import Releases
from gullmount.decisions.requests import Attempt, Request

MAX_TRACKED_KEYS = 200_000
NO_BUILD = -1


class Affinity:
    """The builds of keys, which are identified by their hash positions."""

    def __init__(self, releases: Releases, max_tracked_keys: int | None = None) -> None:
        """Create an empty record of at most `max_tracked_keys`, by default `MAX_TRACKED_KEYS`, keys."""
        self.releases = releases
        self.max_tracked_keys = max_tracked_keys
        self.one_way = releases.settings.one_way
        self.last_build_by_key: dict[float, int] = {}
        """The newest build that served the key."""
        self.in_flight_builds_by_key: dict[float, dict[Attempt, int]] = {}
        """The build of each attempt in flight that pins its key; filled with `one_way` only."""

    def last_build(self, request: Request) -> int:
        """Return the newest build that served the key or has an attempt of it in flight, else NO_BUILD."""
        if request.key is None:
            return NO_BUILD
        position = request.hash_position
        overflow_builds = [
            candidate.build
            for candidate in self.releases.candidates
            if candidate.affinity_overflowed and candidate.ever_contained(position)
        ]
        return max(
            [
                self.last_build_by_key.get(position, NO_BUILD),
                *overflow_builds,
                *self._in_flight_builds(position),
            ]
        )

    def allows(self, request: Request, build: int) -> bool:
        """Whether the key may go to the build."""
        if not self.one_way:
            return True
        in_flight = self._in_flight_builds(request.hash_position)
        return self.last_build(request) <= build <= min(in_flight, default=build)

    def has_attempt_at_older_build(self, request: Request, build: int) -> bool:
        """Whether an attempt of the key is in flight at an older build."""
        return any(other < build for other in self._in_flight_builds(request.hash_position))

    def attempt_started(self, request: Request, attempt: Attempt) -> None:
        """Record an attempt that is sent now."""
        if self.one_way and request.key is not None:
            self.in_flight_builds_by_key.setdefault(request.hash_position, {})[attempt] = attempt.build

    def attempt_ended(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Record the end of an attempt, and the build if it counts as having served the key.

        With `one_way`, any attempt that the build may have served counts, as its response may be lost or
        still on its way. The build that the server is listed with by now counts instead if it is newer.
        """
        if request.key is None:
            return
        was_pinned = self._remove_in_flight(request.hash_position, attempt)
        phases = {candidate.phase for candidate in self.releases.candidates}
        build = attempt.build
        served = outcome is Outcome.COMPLETED
        affinity_applies = ReleasePhase.CANDIDATE in phases
        if self.one_way:
            build = max(build, attempt.server.build)
            served = outcome is not Outcome.ERROR and outcome not in NOT_EXECUTED_OUTCOMES
            # An attempt that is no longer pinned was at a build that has been rolled back since.
            served = served and (was_pinned or build != attempt.build)
            newer_than_named = build > self.releases.newest.build
            affinity_applies = affinity_applies or ReleasePhase.RELEASED in phases or newer_than_named
        if served and affinity_applies:
            self._record_build(request.hash_position, build)

    def remove_build(self, build: int) -> None:
        """Release the keys of a build that is rolled back."""
        self.last_build_by_key = {
            position: last for position, last in self.last_build_by_key.items() if last != build
        }
        for position, builds in list(self.in_flight_builds_by_key.items()):
            remaining = {attempt: other for attempt, other in builds.items() if other != build}
            if remaining:
                self.in_flight_builds_by_key[position] = remaining
            else:
                del self.in_flight_builds_by_key[position]

    def prune_builds(self, active_builds: Collection[int]) -> None:
        """Drop the builds outside `active_builds`; with `one_way` all are kept."""
        if not self.one_way:
            self.last_build_by_key = {
                position: last for position, last in self.last_build_by_key.items() if last in active_builds
            }

    def _in_flight_builds(self, position: float) -> Collection[int]:
        return self.in_flight_builds_by_key.get(position, {}).values()

    def _remove_in_flight(self, position: float, attempt: Attempt) -> bool:
        """Remove the attempt; return whether it still pinned its key, which a rollback of its build ends."""
        builds = self.in_flight_builds_by_key.get(position, {})
        was_pinned = builds.pop(attempt, None) is not None
        if not builds:
            self.in_flight_builds_by_key.pop(position, None)
        return was_pinned

    def _record_build(self, position: float, build: int) -> None:
        """Record the build of a key, with bounded memory.

        Beyond the limit, ranges of keys replace single keys: all keys within a candidate's widest
        share count as served by it, which is true of most. With `one_way`, some keys that it never served are
        then rejected once its exposure limit is reached.
        """
        self.last_build_by_key[position] = max(build, self.last_build_by_key.get(position, NO_BUILD))
        limit = MAX_TRACKED_KEYS if self.max_tracked_keys is None else self.max_tracked_keys
        if len(self.last_build_by_key) <= limit:
            return
        for candidate in self.releases.candidates:
            candidate.affinity_overflowed = True
            self.last_build_by_key = {
                other: last
                for other, last in self.last_build_by_key.items()
                if not candidate.ever_contained(other)
            }
        if len(self.last_build_by_key) > limit / 2:
            self.last_build_by_key = {}
            self.releases.newest.peak_traffic_share = 1.0
