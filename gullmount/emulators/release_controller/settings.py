"""How releases go, and what faults do to the release controller."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

POLL_SECONDS = 0.05  # between looks at votes, machines and faults


class ReleaseControl(StrEnum):
    """What lets a stage advance, by the words of a scenario's file."""

    ANY = "any"
    SHARE = "share"
    TIMER = "timer"


class ReleaseControllerFailure(StrEnum):
    """How the release controller fails, by the words of a scenario's file."""

    SILENCE = "silence"  # votes get no answer, though half of them count
    ERRORS = "errors"


@dataclass(frozen=True)
class ReleaseControllerSettings:
    """How releases go; times are in seconds, shares from 0 to 1.

    Attributes:
        control: a `ReleaseControl`.
        concurrent_candidates: that may be in release beside each other.
        keeps_baseline_beside: whether earlier machines stay until the release ends.
        stage_shares: share of the placements that get a machine, by stage.
        stage_exposure_limits: share of the traffic that the build may get, by stage.
        bake_time: shortest time of a stage that advances by votes.
        stage_time: time of a stage that advances by the timer.
        votes_to_promote: that a stage needs.
        votes_to_roll_back: that a rollback needs.
        votes_to_hold: that stop the timer.
        vote_lifetime: for which a vote counts.
        votes_per_second: that are accepted of all instances together.
        answer_delay: shortest and longest time for the answer to a vote.
        status_delay: shortest and longest time until a status is sent.
        push_interval: longest time between statuses on a watch.
        metrics_period: that one report of the metrics covers; 0 for none.
        metrics_sample_share: of the attempts that are counted.
        metrics_delay: after the end of a period until its report is sent.
    """

    control: str
    concurrent_candidates: int
    keeps_baseline_beside: bool
    stage_shares: tuple[float, ...]
    stage_exposure_limits: tuple[float, ...]
    bake_time: float
    stage_time: float
    votes_to_promote: int
    votes_to_roll_back: int
    votes_to_hold: int
    vote_lifetime: float
    votes_per_second: float
    answer_delay: tuple[float, float]
    status_delay: tuple[float, float]
    push_interval: float
    metrics_period: float
    metrics_sample_share: float
    metrics_delay: float


@dataclass
class ReleaseControllerFaults:
    """What faults do to the release controller.

    Attributes:
        failure: a `ReleaseControllerFailure`; another word only holds metrics back; empty where it works.
        status_delays: by build, or 0 for all, seconds by which statuses come later.
        vote_loss: by build, share of the votes that are lost, from 0 to 1.
    """

    failure: str = ""
    status_delays: dict[int, float] = field(default_factory=dict)
    vote_loss: dict[int, float] = field(default_factory=dict)

    @property
    def stops_releases(self) -> bool:
        """Whether releases do not move on."""
        return self.failure in (ReleaseControllerFailure.SILENCE, ReleaseControllerFailure.ERRORS)
