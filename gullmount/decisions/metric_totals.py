"""What the platform's own metrics say of a candidate: counts and times of all instances' attempts.

Every instance gets the same reports, so that chance does not average out between them: the bounds are wider
than for an instance's own samples.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log, sqrt

STANDARD_ERRORS = 3.0
MAX_MEAN_TIME_RATIO = 1.5  # times the baseline's mean time
MAX_EXTRA_LOST_SHARE = 0.1  # of the attempts; wide, as cold servers lose some too


@dataclass(frozen=True, slots=True)
class MetricsReport:
    """What the platform reports of one route at one build for one period."""

    attempts: int
    lost: int
    """Attempts without an answer in time."""
    mean_time: float
    """Seconds of an answered attempt."""


@dataclass(slots=True)
class MetricTotals:
    """Sums over the reports of a candidate, and what the baseline would have had in its place."""

    attempts: int = 0
    baseline_attempts: int = 0
    time: float = 0.0
    """Seconds of all answered attempts."""
    baseline_time: float = 0.0
    lost: float = 0.0
    baseline_lost: float = 0.0

    def add(self, report: MetricsReport, baseline: MetricsReport) -> None:
        """Take in a report of the candidate beside the baseline's newest one of that route."""
        answered = report.attempts - report.lost
        self.attempts += report.attempts
        self.baseline_attempts += baseline.attempts
        self.time += answered * report.mean_time
        self.baseline_time += answered * baseline.mean_time
        self.lost += report.lost
        self.baseline_lost += report.attempts * baseline.lost / baseline.attempts

    def is_worse(self) -> bool:
        """Whether the candidate is slower than the baseline or loses more attempts."""
        if not self.time or not self.baseline_time:
            return False
        error_margin = STANDARD_ERRORS * sqrt(1 / self.attempts + 1 / self.baseline_attempts)
        slower = log(self.time / self.baseline_time) > max(log(MAX_MEAN_TIME_RATIO), error_margin)
        lost_margin = max(
            MAX_EXTRA_LOST_SHARE * self.attempts, STANDARD_ERRORS * sqrt(self.baseline_lost + 1)
        )
        return slower or self.lost - self.baseline_lost >= lost_margin
