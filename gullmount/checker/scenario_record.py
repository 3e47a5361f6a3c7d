"""The record of a scenario sorted by request, server and proxy instance, as the rules look at it.

Nothing that an instance says of itself is read. An attempt is known by the server that received it and the
host that it came from.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from typing import Any

Event = dict[str, Any]

SOCKET_SLACK = 0.06  # seconds that a busy machine may take between an event and its note; 0 in virtual time


class ScenarioRecord:
    """The events of one run and the terms that it ran by.

    Attributes:
        terms: The scenario's terms.
        rules: The limits that the rules check.
        slack: Seconds by which an instance may be late.
        routes: The terms of each route, by name.
        events: All events, in their order.
        sent: When a client sent a request, by request id.
        responses: What the client got, by request id.
        extra_responses: What came after a final response.
        attempts: The attempts that servers received, by request id.
        rejections: When a server said that it did not begin, by server and request id.
        began: When servers began with a request, by request id.
        starts: When an instance was up, by its name.
        kills: From when until when an instance was killed and torn down, by its name.
        pauses: From when until when an instance stood still, by its name.
        stops: When an instance was told to stop, by its name.
    """

    def __init__(self, about: Event, events: list[Event]) -> None:
        self.terms = about["day"]
        self.rules = self.terms["rules"]
        self.slack = self.rules["answer_slack"] + (0.0 if about["virtual"] else SOCKET_SLACK)
        self.routes = {route["name"]: route for route in self.terms["routes"]}
        self.events = events
        self.sent: dict[str, Event] = {}
        self.responses: dict[str, list[Event]] = defaultdict(list)
        self.extra_responses: list[Event] = []
        self.attempts: dict[str, list[Event]] = defaultdict(list)
        self.rejections: dict[tuple[str, str], list[float]] = defaultdict(list)
        self.began: dict[str, list[Event]] = defaultdict(list)
        self.starts: dict[str, list[float]] = defaultdict(list)
        self.kills: dict[str, list[list[float]]] = defaultdict(list)
        self.pauses: dict[str, list[list[float]]] = defaultdict(list)
        self.stops: dict[str, list[float]] = defaultdict(list)
        for event in events:
            self._sort_request_event(event)
            self._sort_instance_event(event)

    def could_not_respond(self, instance: str, since: float, until: float) -> bool:
        """Whether the instance was killed, or stood still, at some time from `since` to `until`."""
        killed = any(begun <= until and torn_down >= since for begun, torn_down in self.kills[instance])
        return killed or self.stood_still(instance, since, until)

    def stood_still(self, instance: str, since: float, until: float) -> bool:
        """Whether the instance's process was paused at some time from `since` to `until`."""
        return any(begun <= until and resumed >= since for begun, resumed in self.pauses[instance])

    def is_stopping_at(self, instance: str, t: float) -> bool:
        """Whether the instance had been told to stop and was not up again."""
        stops, starts = self.stops[instance], self.starts[instance]
        last = bisect_right(stops, t) - 1
        return last >= 0 and bisect_right(starts, t) == bisect_right(starts, stops[last])

    def is_proved_unrun(self, attempt: Event, request_id: str, by: float) -> bool:
        """Whether the attempt's server had said by then that it did not begin with it."""
        said_at = self.rejections.get((attempt["box"], request_id), ())
        return any(attempt["t"] <= t <= by for t in said_at)

    def _sort_request_event(self, event: Event) -> None:
        ev = event["ev"]
        if ev == "sent":
            self.sent[event["req"]] = event
        elif ev == "got":
            self.responses[event["req"]].append(event)
        elif ev == "extra":
            self.extra_responses.append(event)
        elif ev == "box_got":
            self.attempts[event["req"]].append(event)
        elif ev == "box_answered" and not event["begun"]:
            self.rejections[event["box"], event["req"]].append(event["t"])
        elif ev == "box_began":
            self.began[event["req"]].append(event)

    def _sort_instance_event(self, event: Event) -> None:
        ev = event["ev"]
        if ev == "umpire_up":
            self.starts[instance_name(event)].append(event["t"])
        elif ev == "umpire_killed":
            self.kills[instance_name(event)].append([event["t"], event["t"]])
        elif ev == "umpire_dead":
            self.kills[instance_name(event)][-1][1] = event["t"]
        elif ev == "umpire_frozen":
            self.pauses[instance_name(event)].append([event["t"], float("inf")])
        elif ev == "umpire_thawed":
            self.pauses[instance_name(event)][-1][1] = event["t"]
        elif ev == "umpire_stopping":
            self.stops[instance_name(event)].append(event["t"])


def instance_name(event: Event) -> str:
    """Return the name by which the record knows the instance of an event."""
    return f"umpire {event['umpire']}"


def handed_over_at(attempt: Event) -> float:
    """Return when the instance gave the attempt to its link, which may be slow or cut."""
    at = attempt.get("handed")
    return float(attempt["t"] if at is None else at)
