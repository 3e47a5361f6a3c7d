"""Compares a candidate with the baseline by the platform's metrics.

The metrics count and time the attempts of all instances. Every instance gets the same reports, so that chance
does not average out between instances. The bounds are therefore wider than for an instance's own samples.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log, sqrt

STANDARD_ERRORS = 3.0

# Bound on the candidate's mean time, divided by the baseline's.
MAX_MEAN_TIME_RATIO = 1.5

# Share of the attempts that the candidate may lose beyond the baseline. Wide, as cold servers lose some too.
MAX_EXTRA_LOST_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class MetricsReport:
    """The platform's report on one route at one build for one period.

    Attributes:
        attempts: Number of attempts.
        lost: Number of attempts without a response in time.
        mean_time: Mean latency of the attempts that got a response, in seconds.
    """

    attempts: int
    lost: int
    mean_time: float


@dataclass(slots=True)
class MetricTotals:
    """Sums over the reports on a candidate, and the sums that the baseline would have had in its place.

    Attributes:
        attempts: Attempts at the candidate.
        baseline_attempts: Attempts at the baseline in the reports that the candidate was compared with.
        time: Total latency of the candidate's attempts that got a response, in seconds.
        baseline_time: Total latency of as many attempts at the baseline, in seconds.
        lost: Attempts at the candidate without a response in time.
        baseline_lost: Attempts that the baseline would have lost of as many.
    """

    attempts: int = 0
    baseline_attempts: int = 0
    time: float = 0.0
    baseline_time: float = 0.0
    lost: float = 0.0
    baseline_lost: float = 0.0

    def add(self, report: MetricsReport, baseline: MetricsReport) -> None:
        """Add a report on the candidate, with the newest report on the baseline for the same route."""
        responses = report.attempts - report.lost
        self.attempts += report.attempts
        self.baseline_attempts += baseline.attempts
        self.time += responses * report.mean_time
        self.baseline_time += responses * baseline.mean_time
        self.lost += report.lost
        self.baseline_lost += report.attempts * baseline.lost / baseline.attempts

    def is_worse(self) -> bool:
        """Return whether the candidate is slower than the baseline or loses more attempts."""
        if not self.time or not self.baseline_time:
            return False
        error_margin = STANDARD_ERRORS * sqrt(1 / self.attempts + 1 / self.baseline_attempts)
        slower = log(self.time / self.baseline_time) > max(log(MAX_MEAN_TIME_RATIO), error_margin)
        lost_margin = max(
            MAX_EXTRA_LOST_SHARE * self.attempts, STANDARD_ERRORS * sqrt(self.baseline_lost + 1)
        )
        return slower or self.lost - self.baseline_lost >= lost_margin
