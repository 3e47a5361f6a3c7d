"""The platform's own counts and times of attempts, by build and route, as proxies get them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup
from msgspec import Struct, field

from gullmount.emulators.record import Record
from gullmount.emulators.release_controller.settings import (
    ReleaseControllerFaults,
    ReleaseControllerSettings,
)
from gullmount.rpc import MESSAGE_VERSION


class _Metrics(Struct):
    """One report on the wire; times are in seconds."""

    build: int
    route: str
    attempts: int = field(name="tries")
    failures: int = field(name="lost")
    mean_latency: float = field(name="time")
    age: float


class _MetricsMessage(Struct, kw_only=True):
    v: int = MESSAGE_VERSION
    metrics: _Metrics = field(name="tally")


@dataclass
class AttemptTotals:
    """What was counted in a period; `seconds` are those of the attempts that succeeded."""

    attempts: int = 0
    failures: int = 0
    seconds: float = 0.0


@dataclass(frozen=True)
class Report:
    """The totals of one build and route; the period ended then, in seconds on the record's clock."""

    build: int
    route: str
    totals: AttemptTotals
    period_end: float

    def line(self, now: float) -> bytes:
        """Return the report as it is sent now."""
        totals = self.totals
        mean_latency = totals.seconds / max(1, totals.attempts - totals.failures)
        age = round(now - self.period_end, 4)
        metrics = _Metrics(self.build, self.route, totals.attempts, totals.failures, mean_latency, age)
        return msgspec.json.encode(_MetricsMessage(metrics=metrics)) + b"\n"


TotalsByBuildAndRoute = dict[tuple[int, str], AttemptTotals]


class MetricsFeed:
    """Counts attempts and reports them after each period.

    Attributes:
        reported: set and replaced whenever there are new reports.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        record: Record,
        settings: ReleaseControllerSettings,
        faults: ReleaseControllerFaults,
        random: Random,
    ) -> None:
        self.reported = anyio.Event()
        self._tasks = tasks
        self._record = record
        self._settings = settings
        self._faults = faults
        self._random = random
        self._totals: TotalsByBuildAndRoute = defaultdict(AttemptTotals)
        self._reports: list[Report] = []

    def record_attempt(self, build: int, route: str, succeeded: bool, seconds: float) -> None:
        """Count an attempt, if it is one of the sample."""
        if self._random.random() < self._settings.metrics_sample_share:
            totals = self._totals[build, route]
            totals.attempts += 1
            if succeeded:
                totals.seconds += seconds
            else:
                totals.failures += 1

    async def run(self) -> None:
        """Report each period until cancelled."""
        while True:
            await anyio.sleep(self._settings.metrics_period)
            ended = self._record.now()
            totals, self._totals = self._totals, defaultdict(AttemptTotals)
            await anyio.sleep(0)
            self._tasks.start_soon(self._report_later, ended, totals)

    async def _report_later(self, period_end: float, totals: TotalsByBuildAndRoute) -> None:
        await anyio.sleep(self._settings.metrics_delay)
        if self._faults.failure:
            return
        for (build, route), counted in sorted(totals.items(), key=lambda item: item[0]):
            self._reports.append(Report(build, route, counted, period_end))
        self.reported.set()
        self.reported = anyio.Event()

    @property
    def report_count(self) -> int:
        """How many reports there have been."""
        return len(self._reports)

    def lines_after(self, report_count: int) -> Iterator[bytes]:
        """Yield the lines of the reports behind the first `report_count`, each as of when it is taken."""
        for report in self._reports[report_count:]:
            yield report.line(self._record.now())
