"""Rule 5: exposure stays within its limit. Each candidate gets no more attempts than its limit allows.

Also checked here, as they rest on the same knowledge: no candidate gets a request with an effect in a closed
stage, and where releases go one way no key meets an earlier build again.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from gullmount.checker.findings import Finding
from gullmount.checker.scenario_record import Event, ScenarioRecord, handed_over_at, instance_name

MIN_WINDOW_REQUESTS = 20  # in a window, for the share of all candidates together to be told
MAX_SHOWN = 5  # requests that a breach names
CANDIDATE, ROLLING_BACK, RELEASED, ROLLED_BACK = "on_trial", "going_back", "released", "withdrawn"


class LimitCut(NamedTuple):
    """When an instance was told of a lower limit, in seconds, and the limit before."""

    at: float
    before: float


@dataclass
class KnownBuild:
    """What an instance was told of one build; `limit` is its share of requests, 0 to 1."""

    phase: str
    stage: int
    limit: float
    cuts: list[LimitCut] = field(default_factory=list)


class SentAttempt(NamedTuple):
    """An attempt at a candidate, and when it was handed over, in seconds."""

    t: float
    request_id: str


class Meeting(NamedTuple):
    """The newest build that served a key, and when, in seconds."""

    build: int
    at: float


class Instance:
    """What one instance was told of builds, and what it did.

    Attributes:
        builds: The builds that it knows of.
        newest: The newest of them.
        requests: When it accepted requests, by the part of the traffic that is counted by itself.
        attempts: Its attempts, by build and part.
        candidate_attempts: When it sent attempts to any candidate, by part.
        met: What served a key last.
    """

    def __init__(self) -> None:
        self.builds: dict[int, KnownBuild] = {}
        self.newest = -1
        self.requests: dict[str, list[float]] = defaultdict(list)
        self.attempts: dict[tuple[int, str], list[SentAttempt]] = defaultdict(list)
        self.candidate_attempts: dict[str, list[float]] = defaultdict(list)
        self.met: dict[str, Meeting] = {}

    def learn_build(self, event: Event, first_limit: float, concurrent_candidates: int) -> None:
        """Note what it is told of a build; what is older than that is ignored."""
        build, phase = event["build"], event["phase"]
        alone = concurrent_candidates == 1
        known = self.builds.get(build)
        if build < self.newest and (alone or (known is None and phase != CANDIDATE)):
            return
        if known is None:
            known = self.builds[build] = KnownBuild(phase, event["stage"], first_limit)
        if event["cap"] < known.limit:
            known.cuts.append(LimitCut(event["t"], known.limit))
        if phase in (ROLLING_BACK, ROLLED_BACK):
            self.met = {key: meeting for key, meeting in self.met.items() if meeting.build != build}
        known.phase, known.stage, known.limit = phase, event["stage"], event["cap"]
        self.newest = max(self.newest, build)
        if alone:
            self.builds = {build: known}

    def is_exposed(self, build: int) -> bool:
        """Whether attempts at the build count as exposure: it is a candidate, or not known yet."""
        known = self.builds.get(build)
        return build > self.newest or (known is not None and known.phase != RELEASED)


class ExposureRule:
    """The state of the rule while it goes through the events."""

    def __init__(self, record: ScenarioRecord) -> None:
        releases = record.terms["launcher"]
        self.record = record
        self.rules = record.rules
        self.window = self.rules["window"]  # seconds
        self.first_limit = releases["caps"][0]
        self.concurrent_candidates = releases.get("at_once", 1)
        self.instances: dict[str, Instance] = defaultdict(Instance)
        self.finding = Finding("exposure within the cap")
        self.attempts = 0
        self.widest_share = 0.0
        for request_id, sent in record.sent.items():
            if not any(response["answer"] == "unreached" for response in record.responses[request_id]):
                self.instances[instance_name(sent)].requests[self._part(sent)].append(sent["t"])

    def handle(self, event: Event) -> None:
        """Take the next event."""
        ev = event["ev"]
        if ev == "told_build":
            instance = self.instances[event["umpire"]]
            instance.learn_build(event, self.first_limit, self.concurrent_candidates)
        elif ev == "umpire_up":
            self.instances[instance_name(event)].met.clear()
        elif ev == "got" and event["answer"] == "completed" and self.rules["one_way"]:
            self._note_meeting(event)
        elif ev == "box_got":
            self._check_attempt(event)

    def result(self) -> Finding:
        """Return the finding after the last event."""
        self.finding.checked = {"tries at builds on trial": self.attempts, "umpires": len(self.instances)}
        if self.concurrent_candidates > 1:
            what = "% of a window's reqs at trials together, most"
            self.finding.checked[what] = round(100 * self.widest_share)
        return self.finding

    def _part(self, event: Event) -> str:
        """Return the part of the traffic that exposure is counted in."""
        return event["route"] if self.rules["by_route"] else ""

    def _note_meeting(self, response: Event) -> None:
        key = self.record.sent[response["req"]].get("key")
        met = self.instances[instance_name(response)].met
        if key is not None and (key not in met or response["build"] >= met[key].build):
            met[key] = Meeting(response["build"], response["t"])

    def _check_attempt(self, event: Event) -> None:
        instance, build = self.instances[event["umpire"]], event["build"]
        if self.rules["one_way"]:
            self._check_one_way(instance, event)
        if not instance.is_exposed(build):
            return
        self.attempts += 1
        part = self._part(event)
        instance.attempts[build, part].append(SentAttempt(handed_over_at(event), event["req"]))
        known = instance.builds.get(build) or KnownBuild(CANDIDATE, 0, self.first_limit)
        self._check_closed_stage(known, event)
        requests = self._requests_in_window(instance, part, event["t"])
        self._check_limit(instance, known, event, requests)
        together = instance.candidate_attempts[part]
        together.append(event["t"])
        if requests >= MIN_WINDOW_REQUESTS:
            in_window = len(together) - bisect_left(together, event["t"] - self.window)
            self.widest_share = max(self.widest_share, in_window / requests)

    def _check_one_way(self, instance: Instance, event: Event) -> None:
        t, build = event["t"], event["build"]
        sent = self.record.sent.get(event["req"])
        key = sent.get("key") if sent else None
        meeting = None if key is None else instance.met.get(key)
        if meeting is None or meeting.build not in instance.builds:
            return
        binds = instance.builds[meeting.build].phase in (CANDIDATE, RELEASED)
        if binds and meeting.build > build and t > meeting.at + self.record.slack:
            what = f"key met build {meeting.build} and went to build {build}"
            self.finding.add_breach(t, event["umpire"], what, event["req"])

    def _check_closed_stage(self, known: KnownBuild, event: Event) -> None:
        idempotent = self.record.routes[event["route"]]["repeats"] == "retriable"
        if known.stage < self.rules["closed_stages"] and not idempotent:
            what = f"req with an effect at build {event['build']} in closed stage {known.stage}"
            self.finding.add_breach(event["t"], event["umpire"], what, event["req"])

    def _requests_in_window(self, instance: Instance, part: str, t: float) -> int:
        requests, slack = instance.requests[part], self.record.slack
        return bisect_right(requests, t + slack) - bisect_left(requests, t - self.window - slack)

    def _check_limit(self, instance: Instance, known: KnownBuild, event: Event, requests: int) -> None:
        """Check the attempts in the window; for a while after a cut the limit before it may be in force."""
        t, build, slack = event["t"], event["build"], self.record.slack
        limit, since = known.limit, t - self.window
        grace = self.rules["drain_grace"] + slack
        for cut in known.cuts:
            if t <= cut.at + grace:
                limit = max(limit, cut.before)
            else:
                since = max(since, cut.at + grace)
        attempts = [one for one in instance.attempts[build, self._part(event)] if one.t >= since + slack]
        allowed = self.rules["spare_tries"] + limit * requests if limit > 0 else 0
        if len(attempts) > allowed:
            what = f"{len(attempts)} tries at build {build} in {self.window} s, {allowed:.2f} allowed"
            request_ids = [one.request_id for one in attempts[-MAX_SHOWN:]]
            self.finding.add_breach(t, event["umpire"], what, *request_ids)


def check_exposure(record: ScenarioRecord) -> Finding:
    """Check each candidate by itself; what all of them got together is told beside."""
    rule = ExposureRule(record)
    for event in record.events:
        rule.handle(event)
    return rule.result()
