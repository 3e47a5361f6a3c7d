"""Rule 4: no cold server is pushed over. What it is sent while it warms up stays within what it bears."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from gullmount.checker.findings import Finding
from gullmount.checker.scenario_record import Event, ScenarioRecord

MIN_INFORMED_WORK = 2 / 3  # of a server's work, from instances that knew of its start, for it to be a breach
BURST_SECONDS = 0.5  # of full work by chance, as the servers' emulators bear it
MAX_SHOWN = 5  # instances and requests that a breach names


class Work(NamedTuple):
    """Work that a server received; `amount` in seconds of one core."""

    t: float
    amount: float
    instance: str
    request_id: str


class ColdStarts:
    """The state of the rule while it goes through the events."""

    def __init__(self, record: ScenarioRecord) -> None:
        self.finding = Finding("no cold box pushed over")
        self.fall_multiple = record.rules["fall_multiple"]
        self.fall_time = record.rules["fall_time"]  # seconds
        self.starts: dict[str, Event] = {}  # the newest start, by server
        self.work: dict[str, list[Work]] = defaultdict(list)  # within the last `fall_time`, by server
        self.told_ready_at: dict[tuple[str, str], float] = {}  # by instance and server
        self.blamed: set[tuple[str, float]] = set()  # servers and starts that have a breach
        self.cold_starts = 0
        self.falls = 0

    def handle(self, event: Event) -> None:
        """Take the next event."""
        ev = event["ev"]
        if ev == "told_boxes":
            for server, (state, _) in event["boxes"].items():
                if state == "ready":
                    self.told_ready_at[event["umpire"], server] = event["t"]
        elif ev == "box_up":
            self.starts[event["box"]] = event
            self.work[event["box"]] = []
            self.cold_starts += event["cold"]
        elif ev == "box_fell":
            self.falls += 1
        elif ev == "box_got":
            self._check_attempt(event)

    def _check_attempt(self, event: Event) -> None:
        server, t = event["box"], event["t"]
        start = self.starts[server]
        age = t - start["t"]
        if not start["cold"] or age > start["cold_time"]:
            return
        self.work[server].append(Work(t, event["work"], event["umpire"], event["req"]))
        recent = self.work[server] = [work for work in self.work[server] if work.t >= t - self.fall_time]
        warmth = start["cold_from"] + (1 - start["cold_from"]) * min(1.0, age / start["cold_time"])
        limit = self.fall_multiple * start["capacity"] * warmth * self.fall_time
        limit += BURST_SECONDS * start["cores"]
        total = sum(work.amount for work in recent)
        if total <= limit or (server, start["t"]) in self.blamed:
            return
        informed = [work for work in recent if self._knew_of_start(work.instance, server, start["t"])]
        if sum(work.amount for work in informed) >= MIN_INFORMED_WORK * total:
            self.blamed.add((server, start["t"]))
            instances = sorted({work.instance for work in informed})[:MAX_SHOWN]
            request_ids = [work.request_id for work in informed[-MAX_SHOWN:]]
            what = f"{server} got {total:.2f} s of work in {self.fall_time} s, {limit:.2f} are borne"
            self.finding.add_breach(t, ", ".join(instances), what, *request_ids)

    def _knew_of_start(self, instance: str, server: str, started_at: float) -> bool:
        return self.told_ready_at.get((instance, server), -1.0) >= started_at


def check_cold_starts(record: ScenarioRecord) -> Finding:
    """Check the work that servers received while they were cold."""
    cold_starts = ColdStarts(record)
    for event in record.events:
        cold_starts.handle(event)
    finding = cold_starts.finding
    finding.checked = {"cold starts": cold_starts.cold_starts, "fell over": cold_starts.falls}
    return finding
