"""What came of a scenario: responses by route, payoff kept, the outcome of each release."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

Event = dict[str, Any]

WORST_SPAN = 10.0  # seconds over which the lowest payoff is looked for
SERVER_FAULT = 500  # HTTP status from which on the server is at fault


@dataclass
class RouteSum:
    """Requests of one route; a client's retries count under its first request.

    Attributes:
        first_tries: Number of first requests.
        completed: Those that were completed in the end.
        in_time: Those of them within the latency objective.
        shed: Those whose last response was a rejection.
        errored: Those whose last response was an error.
        other: Those without a response.
        payoff: What was earned.
        asked: What all of them could earn.
    """

    first_tries: int = 0
    completed: int = 0
    in_time: int = 0
    shed: int = 0
    errored: int = 0
    other: int = 0
    payoff: float = 0.0
    asked: float = 0.0


@dataclass
class BuildSum:
    """The outcome of a build's release.

    Attributes:
        fate: Its last phase.
        bad: What is wrong with it by the terms, empty for nothing.
        tries: Attempts that its servers received.
        spoiled: Those that it failed.
        stages: Number of stages that it reached.
    """

    fate: str = "not offered"
    bad: str = ""
    tries: int = 0
    spoiled: int = 0
    stages: int = 0


@dataclass
class Summary:
    """The sums over one record; written as JSON by its field names.

    Attributes:
        routes: The requests, by route.
        builds: The releases, by build.
        payoff: Share of the possible payoff that was earned, 0 to 1.
        worst: The same in the worst span.
        reqs: Requests, retries of clients among them.
        tries: Attempts that servers received.
        umpire_kills: Proxy instances that were killed.
        troubles: Faults that were injected, by kind.
    """

    routes: dict[str, RouteSum] = field(default_factory=dict)
    builds: dict[int, BuildSum] = field(default_factory=dict)
    payoff: float = 0.0
    worst: float = 0.0
    reqs: int = 0
    tries: int = 0
    umpire_kills: int = 0
    troubles: dict[str, int] = field(default_factory=dict)


def summarize(about: Event, events: list[Event]) -> Summary:
    """Sum up the traffic of a record; `about` holds its terms.

    A request earns its payoff in full in time and a part of it when late.
    """
    terms = about["day"]
    routes = {route["name"]: route for route in terms["routes"]}
    summary = Summary(
        routes={route: RouteSum() for route in routes}, builds={1: BuildSum("served from the start")}
    )
    for number, release in enumerate(terms["releases"]):
        summary.builds[number + 2] = BuildSum(bad=release["bad"])
    asked: dict[str, Event] = {}
    last: dict[str, str] = {}
    earned: dict[str, float] = {}
    firsts = {}
    by_time: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for event in events:
        ev = event["ev"]
        if ev == "asked":
            asked[event["first"]] = event
        elif ev == "sent":
            firsts[event["req"]] = event["first"]
            summary.reqs += 1
        elif ev == "got":
            first = firsts[event["req"]]
            last[first] = event["answer"]
            route = routes[asked[first]["route"]]
            if event["answer"] == "completed" and not event.get("wrong"):
                in_time = event["t"] - asked[first]["t"] <= route["objective"]
                earned[first] = 1.0 if in_time else route["late_payoff"]
        elif ev == "box_got":
            summary.tries += 1
            summary.builds[event["build"]].tries += 1
        elif ev == "box_answered":
            summary.builds[event["build"]].spoiled += event["status"] >= SERVER_FAULT and event["begun"]
        elif ev == "build" and event["build"] > 1:
            build = summary.builds[event["build"]]
            build.fate = event["phase"]
            build.stages = max(build.stages, event["stage"] + 1)
        elif ev == "umpire_killed":
            summary.umpire_kills += 1
        elif ev == "trouble":
            summary.troubles[event["kind"]] = summary.troubles.get(event["kind"], 0) + 1
    for first, event in asked.items():
        _count(summary.routes[event["route"]], routes[event["route"]], last.get(first, ""), earned.get(first))
        part = by_time[int(event["t"] / WORST_SPAN)]
        part[0] += earned.get(first, 0.0) * routes[event["route"]]["payoff"]
        part[1] += routes[event["route"]]["payoff"]
    whole = sum(one.asked for one in summary.routes.values())
    summary.payoff = sum(one.payoff for one in summary.routes.values()) / whole if whole else 0.0
    summary.worst = min((had / want for had, want in by_time.values() if want), default=0.0)
    return summary


def _count(route: RouteSum, terms: Event, answer: str, earned: float | None) -> None:
    route.first_tries += 1
    route.asked += terms["payoff"]
    route.payoff += terms["payoff"] * (earned or 0.0)
    route.in_time += earned == 1.0
    if answer == "completed":
        route.completed += 1
    elif answer == "shed":
        route.shed += 1
    elif answer == "errored":
        route.errored += 1
    else:
        route.other += 1
