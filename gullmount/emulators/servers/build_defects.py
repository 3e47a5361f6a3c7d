"""What is wrong with a build, and what that does to the attempts at its servers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class DefectKind(StrEnum):
    """Kinds of defects, by their words in a scenario's file."""

    ERRORS = "errors"
    ERRORS_ON_ONE_ROUTE = "class"
    SLOW = "slow"
    FAILS_UNDER_LOAD = "load"
    FAILS_AFTER_A_TIME = "late"
    WRONG_RESPONSES = "wrong"
    SLOWS_ALL_SERVERS = "shared"


class BySize(NamedTuple):
    """A number that grows, or shrinks, with the size of a defect."""

    at_zero: float
    slope: float

    def at(self, size: float) -> float:
        """Return the number for a defect of this size, from 0 to 1."""
        return self.at_zero + self.slope * size


ERROR_SHARE = BySize(0.04, 0.32)
ONE_ROUTE_ERROR_SHARE = BySize(0.25, 0.65)
SLOWDOWN = BySize(2.0, 2.0)
LOAD_THRESHOLD = BySize(0.6, -0.3)  # requests in flight for each core
LOAD_THRESHOLD_OFFSET = 0.5  # requests in flight
LOAD_ERROR_SHARE = 0.3
LOAD_SLOWDOWN = BySize(2.0, 1.0)
SOUND_SECONDS = BySize(11, -6)  # after a start, until a defect of FAILS_AFTER_A_TIME shows
LATE_ERROR_SHARE = BySize(0.3, 0.3)
LATE_SLOWDOWN = BySize(2.0, 1.0)
WRONG_SHARE = BySize(0.1, 0.5)
SHARED_SLOWDOWN = BySize(1, 3)  # added, times the share of attempts that the build gets


class AttemptEffect(NamedTuple):
    """What becomes of an attempt: whether it fails, and how many times longer it takes."""

    fails: bool
    slowdown: float


@dataclass
class BuildDefect:
    """What is wrong with a build.

    Attributes:
        kind: a `DefectKind`, or empty where nothing is wrong.
        size: how bad it is, from 0 to 1.
        route: which it concerns, for ERRORS_ON_ONE_ROUTE.
        speed: how many times as fast as others the build runs, defect or not.
        zone: where it shows; everywhere if empty.
    """

    kind: str = ""
    size: float = 0.0
    route: str = ""
    speed: float = 1.0
    zone: str = ""

    def shown_in(self, zone: str) -> BuildDefect:
        """Return the defect as servers of this zone have it."""
        return self if self.zone in ("", zone) else BuildDefect(speed=self.speed)

    def effect(
        self, chance: float, error_rate: float, route: str, in_flight: int, cores: int, seconds_up: float
    ) -> AttemptEffect:
        """Return what becomes of an attempt.

        Args:
            chance: a random number from 0 to 1.
            error_rate: share of attempts that fail at any build.
            route: of the attempt.
            in_flight: the server's requests in flight, this one counted.
            cores: the server's.
            seconds_up: since the server's start.
        """
        size, fails = self.size, chance < error_rate
        if self.kind == DefectKind.ERRORS:
            return AttemptEffect(fails or chance < ERROR_SHARE.at(size), 1.0)
        if self.kind == DefectKind.ERRORS_ON_ONE_ROUTE and route == self.route:
            return AttemptEffect(fails or chance < ONE_ROUTE_ERROR_SHARE.at(size), 1.0)
        if self.kind == DefectKind.SLOW:
            return AttemptEffect(fails, SLOWDOWN.at(size))
        if self.kind == DefectKind.FAILS_UNDER_LOAD:
            if in_flight >= LOAD_THRESHOLD.at(size) * cores + LOAD_THRESHOLD_OFFSET:
                return AttemptEffect(fails or chance < LOAD_ERROR_SHARE, LOAD_SLOWDOWN.at(size))
        elif self.kind == DefectKind.FAILS_AFTER_A_TIME and seconds_up > SOUND_SECONDS.at(size):
            return AttemptEffect(fails or chance < LATE_ERROR_SHARE.at(size), LATE_SLOWDOWN.at(size))
        return AttemptEffect(fails, 1.0)

    def wrong_share(self) -> float:
        """Return the share of responses that are wrong; 0 where the build answers right."""
        return WRONG_SHARE.at(self.size) if self.kind == DefectKind.WRONG_RESPONSES else 0.0
