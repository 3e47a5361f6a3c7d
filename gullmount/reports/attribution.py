"""The course of two releases in a recorded scenario: shares, latencies, failures and findings over time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import TYPE_CHECKING, Any, NamedTuple

from gullmount.checker.attribution_outcome import AttributionOutcome, attribution_outcome, server_responses

if TYPE_CHECKING:
    from matplotlib.axes import Axes

Event = dict[str, Any]
Series = list[float | None]  # a value for each point of time, None where nothing was seen

STEP = 1.0  # seconds from one point to the next
COLOURS = ("#4c72b0", "#dd8452", "#55a868", "#c44e52", "#8172b3")
WIDTH, HEIGHT = 11.0, 8.0  # inches: a page held sideways
DOTS_PER_INCH = 110
MIN_FAILURES_TOP = 0.05  # of the axis of failures, so that a single one looks like one


class Transition(NamedTuple):
    """A new stage or phase of a build, and when, in seconds."""

    t: float
    build: int
    text: str


class Fault(NamedTuple):
    """A fault that was injected, from when until when, in seconds."""

    begin: float
    end: float
    kind: str


@dataclass
class ReleaseTimeline:
    """What was seen of each build, second by second.

    Attributes:
        times: The points of time, in seconds of the record.
        shares: Share of all attempts, 0 to 1, by build.
        latencies: Median seconds from an attempt's arrival at a server to its response, by build.
        failures: Share of failed responses, 0 to 1, by build.
        transitions: New stages and phases.
        faults: Faults that were injected.
        outcome: The findings, and how right they were.
    """

    times: list[float]
    shares: dict[int, Series] = field(default_factory=dict)
    latencies: dict[int, Series] = field(default_factory=dict)
    failures: dict[int, Series] = field(default_factory=dict)
    transitions: list[Transition] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    outcome: AttributionOutcome = field(default_factory=AttributionOutcome)


def release_timeline(about: Event, events: list[Event]) -> ReleaseTimeline:
    """Build the timeline of a record; `about` holds its terms."""
    outcome = attribution_outcome(about, events)
    length = max((event["t"] for event in events if event["ev"] in ("box_got", "box_answered")), default=0.0)
    count = int(length / STEP) + 1
    timeline = ReleaseTimeline([number * STEP for number in range(count)], outcome=outcome)
    attempts: dict[int, list[int]] = defaultdict(lambda: [0] * count)
    for event in events:
        if event["ev"] == "box_got":
            attempts[event["build"]][min(count - 1, int(event["t"] / STEP))] += 1
        elif event["ev"] == "build":
            timeline.transitions.append(Transition(event["t"], event["build"], _transition_text(event)))
        elif event["ev"] == "trouble":
            timeline.faults.append(Fault(event["t"], event["t"] + event["length"], event["kind"]))
    latencies: dict[tuple[int, int], list[float]] = defaultdict(list)
    failed: dict[tuple[int, int], int] = defaultdict(int)
    for response in server_responses(events):
        point = min(count - 1, int(response.t / STEP))
        latencies[response.build, point].append(response.latency)
        failed[response.build, point] += response.failed
    totals = [sum(of_build[point] for of_build in attempts.values()) for point in range(count)]
    for build in sorted(attempts):
        seen = [latencies.get((build, point), []) for point in range(count)]
        timeline.shares[build] = [
            attempts[build][point] / total if total else None for point, total in enumerate(totals)
        ]
        timeline.latencies[build] = [median(values) if values else None for values in seen]
        timeline.failures[build] = [
            failed[build, point] / len(values) if values else None for point, values in enumerate(seen)
        ]
    return timeline


def _transition_text(event: Event) -> str:
    if event["phase"] == "on_trial":
        return f"stage {event['stage']}"
    return str(event["phase"]).replace("_", " ")


def plot(timeline: ReleaseTimeline, title: str, path: Path) -> None:
    """Draw the timeline into a file of the kind that its name says.

    Findings and transitions stand above three strips: shares, latencies and failures.

    Raises:
        OSError: The file can't be written.
        ValueError: The kind of file isn't known.
    """
    from matplotlib.figure import Figure  # noqa: PLC0415 (takes a second to load, which no other command needs)

    figure = Figure(figsize=(WIDTH, HEIGHT))
    findings, shares, latencies, failures = figure.subplots(4, 1, sharex=True, height_ratios=[1, 2, 2, 2])
    _plot_strip(shares, timeline, timeline.shares, "share of tries")
    _plot_strip(latencies, timeline, timeline.latencies, "median time at boxes, s")
    _plot_strip(failures, timeline, timeline.failures, "share of errors")
    shares.legend(loc="upper left", fontsize=7)
    shares.set_ylim(0, 1)
    failures.set_ylim(0, max(MIN_FAILURES_TOP, failures.get_ylim()[1]))
    _plot_findings(findings, timeline)
    findings.set_title(title, fontsize=9)
    failures.set_xlabel("s")
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)


def _plot_strip(axes: Axes, timeline: ReleaseTimeline, values: dict[int, Series], label: str) -> None:
    for number, (build, series) in enumerate(sorted(values.items())):
        points = [float("nan") if value is None else value for value in series]
        axes.plot(timeline.times, points, color=COLOURS[number % len(COLOURS)], label=f"build {build}")
    axes.set_ylabel(label)
    axes.grid(alpha=0.3)
    _plot_faults(axes, timeline.faults)


def _plot_faults(axes: Axes, faults: Sequence[Fault]) -> None:
    for fault in faults:
        axes.axvspan(fault.begin, fault.end, color="grey", alpha=0.15)
        axes.text(fault.begin, axes.get_ylim()[1], fault.kind, fontsize=6, va="top")


def _plot_findings(axes: Axes, timeline: ReleaseTimeline) -> None:
    for t, build, text in timeline.transitions:
        axes.plot([t], [build], marker="|", color="black")
        axes.text(t, build + 0.15, text, fontsize=6, rotation=30)
    for finding in timeline.outcome.said:
        if finding.cause == "build":
            axes.plot([finding.t], [finding.build], marker="x", color="red")
        elif finding.cause != "nothing":
            axes.plot([finding.t], [0], marker="o", color="grey", markersize=3)
    builds = sorted(timeline.shares)
    axes.set_yticks([0, *builds], ["no build", *(f"build {build}" for build in builds)])
    axes.set_ylim(-0.5, max(builds, default=1) + 1)
