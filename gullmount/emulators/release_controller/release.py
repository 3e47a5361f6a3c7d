"""The release of one build: its stage and phase, the votes on it, and its status as it is sent."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct, field


class ReleasePhase(StrEnum):
    """Where a build stands in its release, by the word on the wire."""

    CANDIDATE = "on_trial"
    ROLLING_BACK = "going_back"
    RELEASED = "released"
    ROLLED_BACK = "withdrawn"


class Vote(StrEnum):
    """What an instance says about a build, by the word on the wire."""

    PROMOTE = "on"
    ROLLBACK = "back"
    HOLD = "hold"
    NONE = "none"


class ReleaseStatus(Struct, frozen=True):
    """The status of a release, as it is sent; `exposure_limit` is a share from 0 to 1."""

    build: int
    stage: int
    phase: ReleasePhase
    exposure_limit: float = field(name="cap")

    def as_fields(self) -> dict[str, Any]:
        """Return the fields by their names on the wire, which are those of a record too."""
        fields: dict[str, Any] = msgspec.to_builtins(self)
        return fields


class CountedVote(NamedTuple):
    """A vote that counts until then, in seconds on the record's clock."""

    stage: int
    vote: str
    until: float


class Release:
    """The release of one build; lives as long as the scenario.

    Attributes:
        build: that is released.
        from_first_placement: which end of the placements its machines are taken from.
        stage: from 0.
        phase: where it stands.
        superseded: whether it was released and a newer one has begun since.
        stage_since: seconds on the record's clock since when the stage counts; None before its machines run.
        held_seconds: of the stage that do not count.
        move_count: grows with each change of its machines; an older change is void.
        votes: by instance number.
    """

    def __init__(self, build: int, from_first_placement: bool) -> None:
        self.build = build
        self.from_first_placement = from_first_placement
        self.stage = 0
        self.phase = ReleasePhase.CANDIDATE
        self.superseded = False
        self.stage_since: float | None = None
        self.held_seconds = 0.0
        self.move_count = 0
        self.votes: dict[int, CountedVote] = {}

    @property
    def is_unfinished(self) -> bool:
        """Whether its machines are still to be moved."""
        return self.phase in (ReleasePhase.CANDIDATE, ReleasePhase.ROLLING_BACK)

    @property
    def may_be_rolled_back(self) -> bool:
        """Whether it runs, and no rollback has begun."""
        return self.phase in (ReleasePhase.CANDIDATE, ReleasePhase.RELEASED)

    def count_votes(self, vote: Vote, now: float) -> int:
        """Return how many instances' last vote is this one; a promotion counts for its stage only."""
        return sum(
            counted.vote == vote
            and counted.until > now
            and (vote != Vote.PROMOTE or counted.stage == self.stage)
            for counted in self.votes.values()
        )

    def status(self, stage_exposure_limits: tuple[float, ...]) -> ReleaseStatus:
        """Return the status as it is to be sent."""
        limit = stage_exposure_limits[self.stage]
        if self.phase in (ReleasePhase.ROLLING_BACK, ReleasePhase.ROLLED_BACK):
            limit = 0.0
        elif self.phase == ReleasePhase.RELEASED:
            limit = 1.0
        return ReleaseStatus(self.build, self.stage, self.phase, limit)
