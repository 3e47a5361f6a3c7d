"""Defines the results of attribution: findings for the log, and assessments sent to peers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import NamedTuple


class Cause(Enum):
    """What a degradation of service is attributed to.

    Attributes:
        NOTHING: Service has not degraded.
        BUILD: One build degrades service.
        SHARED: All servers slowed down when no traffic share changed to explain it; a shared dependency is
            slow.
        LOAD: All servers slowed down as the load rose.
        ZONE: The servers of one zone slowed down, whatever their build.
        UNKNOWN: Service has degraded, and several causes explain it.
    """

    NOTHING = "nothing"
    BUILD = "build"
    SHARED = "shared"
    LOAD = "load"
    ZONE = "zone"
    UNKNOWN = "unknown"


class Symptom(StrEnum):
    """How a build degrades service; `SLOWS_ALL` means that it slows the servers of all builds."""

    NONE = ""
    FAILS = "fails"
    SLOW = "slow"
    SLOWS_ALL = "slows all"


class FindingKey(NamedTuple):
    """Identifies a finding: findings with the same key are logged as the same."""

    cause: Cause
    build: int
    symptom: str
    zone: str
    route: str


@dataclass(frozen=True)
class Finding:
    """The conclusion of one evaluation.

    Attributes:
        cause: What the degradation is attributed to.
        build: The build to blame, or the most likely one with `UNKNOWN`; 0 for none.
        symptom: How the build degrades service; a `Symptom`, or the text received from a peer.
        zone: The zone that the degradation is limited to; empty for all.
        route: The route that the degradation is limited to; empty for all.
        confidence: Confidence in the finding, from 0 to 1.
        figures: Human-readable figures behind the finding.
        settled_by: Human-readable event that would make an unknown cause known.
        attempts: Number of attempts that the finding is based on.
    """

    cause: Cause
    build: int = 0
    symptom: str = Symptom.NONE
    zone: str = ""
    route: str = ""
    confidence: float = 0.0
    figures: str = ""
    settled_by: str = ""
    attempts: int = 0

    @property
    def key(self) -> FindingKey:
        """The key of this finding; a finding is logged when its key is new."""
        return FindingKey(self.cause, self.build, self.symptom, self.zone, self.route)

    def summary(self) -> str:
        """Return a human-readable line; peers receive it as the reason for a rollback."""
        if self.cause is Cause.BUILD:
            subject = f"build {self.build} {self.symptom}"
        else:
            subject = f"no build: {self.cause.value}"
        zone = f" in zone {self.zone}" if self.zone else ""
        route = f" on route {self.route}" if self.route else ""
        settled_by = f"; {self.settled_by}" if self.settled_by else ""
        return f"{subject}{zone}{route} (confidence {self.confidence:.4f}): {self.figures}{settled_by}"

    def log_fields(self) -> dict[str, str | int | float]:
        """Return the fields of the log line; their names are part of the recorded log format."""
        return {
            "cause": self.cause.value,
            "build": self.build,
            "how": str(self.symptom),
            "zone": self.zone,
            "route": self.route,
            "sure": round(self.confidence, 6),
            "figures": self.figures,
            "settles": self.settled_by,
            "seen": self.attempts,
        }


@dataclass
class Assessment:
    """Result of one evaluation for all candidates; a candidate that it does not name is held.

    Attributes:
        finding: The most confident finding.
        rollback_reasons: Maps each build to roll back to the reason.
        promotable_stages: Maps each build that may be promoted to the stage that this applies to.
        failing_routes: Maps builds to the routes on which they fail.
        reduced_build: The build whose traffic is reduced to see whether the slowdown follows; 0 for none.
        token: Fencing token of the appointment of the leader; 0 if there is no leader.
    """

    finding: Finding
    rollback_reasons: dict[int, str] = field(default_factory=dict)
    promotable_stages: dict[int, int] = field(default_factory=dict)
    failing_routes: dict[int, list[str]] = field(default_factory=dict)
    reduced_build: int = 0
    token: int = 0
