"""Explores all orders of events of one key with `one_way` up to a depth and checks two rules at each send.

- A key that the newest named build, or a later one, has served goes to no lower build, unless that build is
  rolled back. This is the specified rule.
- All attempts in flight at builds that have not been rolled back since are at one build, as their responses
  are still to come. The affinity module promises this.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest

from gullmount.decisions.affinity import Affinity
from gullmount.decisions.model import (
    ROLLBACK_PHASES,
    Outcome,
    ReleasePhase,
    ReleaseSettings,
)
from gullmount.decisions.releases import Releases
from gullmount.decisions.requests import Attempt, Request
from tests.support.decisions import ROUTES

DEPTH = 9
BUILDS = (1, 2, 3)
MAX_IN_FLIGHT = 3
OUTCOMES = (Outcome.COMPLETED, Outcome.ERROR, Outcome.TIMEOUT, Outcome.EXPIRED)
CANDIDATE, RELEASED = ReleasePhase.CANDIDATE, ReleasePhase.RELEASED
ROLLING_BACK, ROLLED_BACK = ReleasePhase.ROLLING_BACK, ReleasePhase.ROLLED_BACK
STATUSES = {2: (CANDIDATE, RELEASED, ROLLING_BACK, ROLLED_BACK), 3: (CANDIDATE, ROLLED_BACK)}
SETTINGS = ReleaseSettings(
    exposure_limits=(0.5, 1.0), counted_by_route=False, idempotent_only_stages=0, one_way=True,
    exposure_window=3.0, exposure_slack=2.0, advances_by_timer=False, vote_lifetime=4.0, votes_to_promote=1,
    votes_to_roll_back=1, votes_per_second=100.0, metrics_period=2.0, concurrent_candidates=1,
)  # fmt: skip

Action = tuple[str, int, Any]


@dataclass
class TrackedAttempt:
    """An attempt in flight, and whether its build has been rolled back since."""

    attempt: Attempt
    rolled_back: bool = False


@dataclass
class KeyHistory:
    """The affinity module under test and the history of one key that the rules are checked against."""

    affinity_class: type[Affinity] = Affinity
    releases: Releases = field(default_factory=lambda: Releases(SETTINGS))
    in_flight: list[TrackedAttempt] = field(default_factory=list)
    serving_builds: set[int] = field(default_factory=set)
    phases: dict[int, ReleasePhase] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.affinity = self.affinity_class(self.releases)
        self.request = Request(cast(Any, None), "r", ROUTES["look"], 1e9, "k", 0.5)

    def actions(self) -> Iterator[Action]:
        if len(self.in_flight) < MAX_IN_FLIGHT:
            yield from (
                ("send", build, None) for build in BUILDS if self.affinity.allows(self.request, build)
            )
        for number, tracked in enumerate(self.in_flight):
            yield from (("end", number, outcome) for outcome in OUTCOMES)
            if tracked.attempt.server.build < BUILDS[-1]:
                yield "relist", number, None
        for build, phases in STATUSES.items():
            yield from (("status", build, phase) for phase in phases if self.admits(build, phase))

    def admits(self, build: int, phase: ReleasePhase) -> bool:
        """Whether the release controller can report this phase next.

        A build starts as a candidate, and a build that ended does not return.
        """
        known = self.phases.get(build)
        if build < max(self.phases, default=0) or phase is known:
            return False
        if known is None:
            return phase is CANDIDATE
        return known is CANDIDATE or (known is RELEASED and phase is not CANDIDATE) or phase is ROLLED_BACK

    def apply(self, action: Action) -> None:
        kind, number, detail = action
        if kind == "send":
            self.check_send(number)
            server = SimpleNamespace(build=number, zone="a", cell=0, connected_until=0.0)
            attempt = Attempt(cast(Any, server), 0.0)
            self.affinity.attempt_started(self.request, attempt)
            self.in_flight.append(TrackedAttempt(attempt))
        elif kind == "relist":
            self.in_flight[number].attempt.server.build += 1
        elif kind == "end":
            ended = self.in_flight.pop(number)
            if detail is Outcome.COMPLETED and not ended.rolled_back:
                self.serving_builds.add(ended.attempt.server.build)
            self.affinity.attempt_ended(self.request, ended.attempt, detail)
        else:
            self.update_release(number, detail)

    def update_release(self, build: int, phase: ReleasePhase) -> None:
        self.phases[build] = phase
        candidate = self.releases.find(build) or self.releases.add(build, 0, 0.5)
        if phase in ROLLBACK_PHASES:
            self.affinity.remove_build(build)
            self.serving_builds.discard(build)
            for tracked in self.in_flight:
                tracked.rolled_back = tracked.rolled_back or tracked.attempt.build == build
        candidate.advance(0, phase, 0.5, 0.0)

    def check_send(self, build: int) -> None:
        newest = max(self.phases, default=0)
        newer_than_named = {served for served in self.serving_builds if served > newest}
        minimum_builds = newer_than_named | (
            {newest} & self.serving_builds if self.phases.get(newest) in (CANDIDATE, RELEASED) else set()
        )
        assert build >= max(minimum_builds, default=0), (
            f"the key was served by {minimum_builds} and goes to {build}"
        )
        others = {tracked.attempt.build for tracked in self.in_flight if not tracked.rolled_back}
        assert others <= {build}, f"attempts in flight at {others} and one at {build}"

    def state(self) -> Any:
        attempts = [
            (tracked.attempt.build, tracked.attempt.server.build, tracked.rolled_back)
            for tracked in self.in_flight
        ]
        builds_in_flight = self.affinity.in_flight_builds_by_key.get(0.5, {})
        pins = [tracked.attempt in builds_in_flight for tracked in self.in_flight]
        candidates = [(release.build, release.phase) for release in self.releases.candidates]
        last = tuple(self.affinity.last_build_by_key.items())
        return (
            tuple(attempts),
            tuple(pins),
            frozenset(self.serving_builds),
            frozenset(self.phases.items()),
            last,
            str(candidates),
        )


def replay(affinity_class: type[Affinity], path: tuple[Action, ...]) -> KeyHistory:
    key = KeyHistory(affinity_class)
    for action in path:
        key.apply(action)
    return key


def explore(depth: int, affinity_class: type[Affinity] = Affinity) -> int:
    """Explore all orders of events, each state once, and return the number of states."""
    seen = {KeyHistory(affinity_class).state()}
    paths: list[tuple[Action, ...]] = [()]
    for _ in range(depth):
        next_paths = []
        for path in paths:
            for action in replay(affinity_class, path).actions():
                try:
                    state = replay(affinity_class, (*path, action)).state()
                except AssertionError as error:
                    raise AssertionError(f"{error}, after {(*path, action)}") from None
                if state not in seen:
                    seen.add(state)
                    next_paths.append((*path, action))
        paths = next_paths
    return len(seen)


class RemovesWrongAttempt(Affinity):
    """Contains a deliberate fault: the end of an attempt removes that of any attempt at the same build."""

    def _remove_in_flight(self, position: float, attempt: Attempt) -> bool:
        builds_by_attempt = self.in_flight_builds_by_key.get(position, {})
        attempts_at_build = [other for other, build in builds_by_attempt.items() if build == attempt.build]
        return super()._remove_in_flight(position, attempts_at_build[0] if attempts_at_build else attempt)


def test_exploration_finds_an_end_that_removes_the_wrong_attempt() -> None:
    with pytest.raises(AssertionError, match="attempts in flight at"):
        explore(DEPTH, RemovesWrongAttempt)


def test_one_way_key_returns_to_no_older_build_in_any_order_of_events() -> None:
    """Guards against the end of an attempt that removes another one's pin.

    In earlier code the exploration found this fault after four events.
    """
    assert explore(DEPTH) > 1000
