"""What instances found of builds in a recorded scenario, against what its terms say is wrong with them.

The one part of the checker that reads what instances say of themselves: it judges their findings, not the
rules. Two plain rules on the same traffic stand beside as baselines.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from math import log
from typing import Any, NamedTuple

Event = dict[str, Any]

PROMPT_ROLLBACK = 10.0  # seconds from a degraded build's first requests in which it should be rolled back
SERVER_FAULT = 500  # HTTP status from which on the server is at fault

MIN_DEGRADED_FAILURES = 0.03  # share of failures from which on service has degraded, for the baselines
MIN_DEGRADED_SLOWDOWN = 1.4  # times the normal latency, likewise
SPAN = 4.0  # seconds that the baselines look at
SPAN_STEP = SPAN / 4  # seconds from one look to the next
NORMAL_UNTIL = 2.0  # seconds after the first release's start that still count as normal service
MIN_RESPONSES = 6  # that a span needs
MIN_LATENCY = 1e-4  # seconds; the logarithm of anything quicker is taken as of this

# A build that is bad late degrades as its servers reach an age, the sooner the worse it is: in seconds.
LATE_ONSET_AGE, LATE_ONSET_BY_SIZE = 11.0, 6.0


@dataclass
class ReportedFinding:
    """A finding that one instance logged; the fields have the names of the log line.

    Attributes:
        t: When, in seconds of the record.
        umpire: Number of the instance.
        cause: What the degradation is attributed to.
        build: The build that is blamed, 0 for none.
        how: What the build does.
        zone: The zone it is limited to, empty for all.
        route: The route it is limited to, empty for all.
        sure: The confidence, 0 to 1.
        figures: The figures behind it.
        settles: What would settle an unknown cause.
    """

    t: float
    umpire: int
    cause: str
    build: int
    how: str
    zone: str
    route: str
    sure: float
    figures: str
    settles: str


@dataclass
class AttributionOutcome:
    """What came of the attribution in one scenario; written as JSON by its field names.

    Attributes:
        bad: The builds that the terms degrade.
        said: All findings that were logged.
        blamed: When a build was first blamed, in seconds, by build.
        sent_back: When a build was rolled back, in seconds, by build.
        onset: When a degraded build first got a request that it may degrade, in seconds, by build.
        baselines: The build that each baseline would have blamed, 0 for none.
    """

    bad: list[int] = field(default_factory=list)
    said: list[ReportedFinding] = field(default_factory=list)
    blamed: dict[int, float] = field(default_factory=dict)
    sent_back: dict[int, float] = field(default_factory=dict)
    onset: dict[int, float] = field(default_factory=dict)
    baselines: dict[str, int] = field(default_factory=dict)

    @property
    def correctness(self) -> str:
        """`right`: exactly the degraded builds were blamed; `wrong`: another was; else `unknown`."""
        if set(self.blamed) - set(self.bad):
            return "wrong"
        return "right" if set(self.bad) == set(self.blamed) else "unknown"

    @property
    def good_back(self) -> list[int]:
        """The healthy builds that were rolled back."""
        return sorted(set(self.sent_back) - set(self.bad))

    @property
    def bad_kept(self) -> list[int]:
        """The degraded builds that were not rolled back."""
        return sorted(set(self.bad) - set(self.sent_back))


def attribution_outcome(about: Event, events: list[Event]) -> AttributionOutcome:
    """Read a record; `about` holds its terms."""
    releases = about["day"]["releases"]
    outcome = AttributionOutcome(bad=[number + 2 for number, one in enumerate(releases) if one["bad"]])
    onset_ages: dict[int, float] = {}  # by build that degrades late: when its first server does
    for event in events:
        ev, t = event["ev"], event["t"]
        if ev == "log" and event["event"] == "blame":
            finding = ReportedFinding(**{name: event[name] for name in ReportedFinding.__annotations__})
            outcome.said.append(finding)
            if finding.cause == "build":
                outcome.blamed.setdefault(finding.build, t)
        elif ev == "sent_back":
            outcome.sent_back.setdefault(event["build"], t)
        elif ev == "box_got" and event["build"] in outcome.bad:
            release = releases[event["build"] - 2]
            if release["zone"] in ("", event["zone"]) and t >= onset_ages.get(event["build"], 0.0):
                outcome.onset.setdefault(event["build"], t)
        elif ev == "box_up" and event["build"] in outcome.bad:
            release = releases[event["build"] - 2]
            if release["bad"] == "late":
                onset_age = LATE_ONSET_AGE - LATE_ONSET_BY_SIZE * release["size"]
                onset_ages.setdefault(event["build"], t + onset_age)
    outcome.baselines = baselines(about, events)
    return outcome


@dataclass(frozen=True)
class ServerResponse:
    """A response to an attempt that its server began; `latency` in seconds from the attempt's arrival."""

    t: float
    build: int
    route: str
    latency: float
    failed: bool


def server_responses(events: list[Event]) -> Iterator[ServerResponse]:
    """Yield the responses of servers, in their order."""
    arrivals: dict[tuple[str, str], Event] = {}
    for event in events:
        if event["ev"] == "box_got":
            arrivals[event["box"], event["req"]] = event
        elif event["ev"] == "box_answered" and event["begun"]:
            arrival = arrivals.pop((event["box"], event["req"]), {"t": event["t"], "route": ""})
            failed = event["status"] >= SERVER_FAULT
            latency = event["t"] - arrival["t"]
            yield ServerResponse(event["t"], event["build"], arrival["route"], latency, failed)


class Degradation(NamedTuple):
    """Share of failures, and slowdown against normal service as a natural logarithm."""

    failures: float
    slowdown: float

    @property
    def is_noticeable(self) -> bool:
        """Whether service has degraded."""
        return self.failures > MIN_DEGRADED_FAILURES or self.slowdown > log(MIN_DEGRADED_SLOWDOWN)


def baselines(about: Event, events: list[Event]) -> dict[str, int]:
    """Return the build that two plain rules blame when service first degrades, 0 for none.

    `newest` blames the newest build, `worst` the one whose own servers look worst.
    """
    release_starts = [release["at"] + about["lead"] for release in about["day"]["releases"]]
    first_start = min(release_starts, default=0.0)
    responses = list(server_responses(events))
    offered_at: dict[int, float] = {}
    for event in events:
        if event["ev"] == "build" and event["phase"] == "on_trial":
            offered_at.setdefault(event["build"], event["t"])
    normal = _normal_latencies(responses, first_start + NORMAL_UNTIL)
    t = first_start + SPAN
    end = responses[-1].t if responses else 0.0
    while t < end:
        span = [one for one in responses if t - SPAN <= one.t < t]
        by_build = {
            build: _degradation([one for one in span if one.build == build], normal)
            for build, since in offered_at.items()
            if since < t
        }
        everywhere = _degradation(span, normal)
        if by_build and any(one.is_noticeable for one in (everywhere, *by_build.values())):
            return {"newest": max(by_build), "worst": _worst(by_build)}
        t += SPAN_STEP
    return {"newest": 0, "worst": 0}


def _normal_latencies(responses: Sequence[ServerResponse], until: float) -> dict[str, float]:
    """Return the mean logarithm of the latency by route, of all responses before a time."""
    latencies: dict[str, list[float]] = defaultdict(list)
    for one in responses:
        if one.t < until:
            latencies[one.route].append(log(max(one.latency, MIN_LATENCY)))
    return {route: sum(values) / len(values) for route, values in latencies.items()}


def _degradation(responses: Sequence[ServerResponse], normal: dict[str, float]) -> Degradation:
    if len(responses) < MIN_RESPONSES:
        return Degradation(0.0, 0.0)
    slowdowns = [
        log(max(one.latency, MIN_LATENCY)) - normal[one.route] for one in responses if one.route in normal
    ]
    failures = sum(one.failed for one in responses) / len(responses)
    return Degradation(failures, sum(slowdowns) / max(1, len(slowdowns)))


def _worst(by_build: dict[int, Degradation]) -> int:
    return max(
        by_build,
        key=lambda build: by_build[build].failures / MIN_DEGRADED_FAILURES + by_build[build].slowdown,
    )
