"""Decodes the wire's events into calls on one umpire an instance and encodes what the umpires ask for.

Only names and units change here; every decision is in gullmount.policy.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, BinaryIO, ClassVar

from gullmount.interface import (
    BoxState,
    Grounds,
    Group,
    Listed,
    ListKind,
    Outcome,
    Phase,
    ReleaseTerms,
    Repeats,
    Route,
    Verdict,
)
from gullmount.policy import Req, Umpire

MICRO = 1e6  # microseconds in a second, the wire's unit of time

OUTCOMES = {
    100: Outcome.COMPLETED,
    301: Outcome.ERROR,
    302: Outcome.FULL,
    303: Outcome.TIMEOUT,
    304: Outcome.CONNECT_FAILED,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.MOOT,
}
VERDICTS = {Verdict.NONE: 0, Verdict.ON: 1, Verdict.HOLD: 2, Verdict.BACK: 3}
PHASES = {0: Phase.ON_TRIAL, 1: Phase.GOING_BACK, 2: Phase.RELEASED, 3: Phase.WITHDRAWN}
KINDS = {
    "changes": ListKind.CHANGES,
    "all": ListKind.FULL,
    "remembered": ListKind.REMEMBERED,
    "refused": ListKind.REFUSED,
}
STATES = {"Ready": BoxState.READY, "Terminating": BoxState.DRAINING, "Gone": BoxState.GONE}
REPEATS = {
    "idempotent": Repeats.RETRIABLE,
    "deduplicated": Repeats.DEDUPED,
    "at_most_once": Repeats.NON_RETRIABLE,
}


class Malformed(Exception):
    """A line that does not follow the wire; the text names its verb and field."""


def seconds(micros: int | None) -> float:
    return (micros or 0) / MICRO


def micros(span: float) -> int:
    return round(span * MICRO)


def decode_grounds(seed: int, profile: dict[str, Any]) -> Grounds:
    ceilings, rules, specifics = profile["Ceilings"], profile["Rules"], profile["Specifics"]
    routes = {
        grade["Name"]: Route(
            name=grade["Name"],
            objective=seconds(grade["ObjectiveUs"]),
            repeats=REPEATS[grade["Semantics"]],
            group=Group(grade.get("Group") or "all"),
            dedupe_window=seconds(grade.get("WindowUs")),
        )
        for grade in profile["Grades"]
    }
    release = ReleaseTerms(
        caps=specifics["ExposureCaps"],
        shares=specifics["Shares"],
        beside=specifics["Swap"] == "beside",
        by_route=specifics["CountedBy"] == "class",
        closed_stages=specifics["ClosedStages"],
        one_way=specifics["OneWay"],
        window=seconds(specifics["SpanUs"]),
        spare_tries=specifics["SpareTries"],
        timed=specifics["GateMode"] == "timer",
        vote_life=seconds(specifics["VoteLifeUs"]),
    )
    return Grounds(
        seed=seed,
        routes=routes,
        release=release,
        zone=profile["Zone"],
        drain_grace=seconds(rules["StopSendingWithinUs"]),
        cold_share=rules["ColdFrom"],
        warm_time=seconds(rules["WarmAfterUs"]),
        tip_multiple=rules["TipMultiple"],
        tip_time=seconds(rules["OverloadForUs"]),
        max_tries=ceilings["MaxAttempts"],
        parallel_tries=ceilings["ParallelTries"],
        may_subscribe=profile["Discovery"] == "subscribe",
        max_retry_after=seconds(ceilings["MaxRetryAfterUs"]) if ceilings["RetryAfter"] else 0.0,
    )


class Instance:
    """One umpire and its host side: encodes what the umpire asks for."""

    def __init__(self, who: int, link: Link, event: dict[str, Any]) -> None:
        self.who = who
        self.link = link
        self.callbacks: dict[int, Callable[[], None]] = {}
        self.timers = 0
        self.reqs: dict[str, Req] = {}
        self.umpire = Umpire(self, decode_grounds(event["RngSeed"], event["ProfileData"]))

    def act(self, verb: str, **fields: Any) -> None:
        self.link.reply.append({"verb": verb, "Who": self.who, **fields})

    def now(self) -> float:
        return self.link.clock

    def send(self, req: str, box: str, patience: float) -> None:
        self.act("Relay", Id=req, Box=box, PatienceUs=micros(patience))

    def cancel(self, req: str, upstream_try: int) -> None:
        self.act("AbortAttempt", Id=req, Hop=upstream_try)

    def shed(self, req: str, retry_after: float) -> None:
        self.act("Refuse", Id=req, ComeBackUs=micros(retry_after))

    def error(self, req: str) -> None:
        self.act("GiveUp", Id=req)

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        self.timers += 1
        self.callbacks[self.timers] = callback
        self.act("SetTimer", Name=self.timers, OffsetUs=micros(delay))

    def vote(self, build: int, stage: int, verdict: Verdict) -> None:
        self.act("Ruling", Ver=build, Step=stage, Sense=VERDICTS[verdict])

    def subscribe(self) -> None:
        self.act("KeepInformed", On=True)

    def log(self, text: str) -> None:
        self.act("Debug", What=text)

    def on_new_request(self, event: dict[str, Any]) -> None:
        req = self.umpire.take(
            event["Id"], event["Grade"], seconds(event["NotAfterUs"]), event.get("Item")
        )
        if not req.settled:
            self.reqs[event["Id"]] = req

    def on_result(self, event: dict[str, Any]) -> None:
        req = self.reqs.get(event["Id"])
        if req is None:
            return
        req.ended(
            event["Hop"], OUTCOMES[event["Disposition"]], seconds(event["CostTimeUs"]), event["Final"]
        )
        self.drop(event["Id"], req)

    def on_begun(self, event: dict[str, Any]) -> None:
        req = self.reqs.get(event["Id"])
        if req is not None:
            req.begun(event["Hop"])

    def on_left(self, event: dict[str, Any]) -> None:
        req = self.reqs.get(event["Id"])
        if req is not None:
            req.left()
            self.drop(event["Id"], req)

    def drop(self, req_id: str, req: Req) -> None:
        if req.settled and not req.open_tries:
            del self.reqs[req_id]

    def on_due(self, event: dict[str, Any]) -> None:
        self.callbacks.pop(event["Name"])()

    def on_fleet(self, event: dict[str, Any]) -> None:
        kind = KINDS[event["Kind"]]
        lines = [] if kind is ListKind.REFUSED else self.link.pages[event["Buffer"]]
        self.umpire.listed(kind, lines)

    def on_rollout_state(self, event: dict[str, Any]) -> None:
        if event["Disposition"] != 100:  # noqa: PLR2004 - the wire's code for ok
            self.umpire.vote_failed(unanswered=event["Disposition"] == 303)  # noqa: PLR2004
            return
        self.umpire.news(
            event["Ver"],
            event["Step"],
            PHASES[event["WhereAt"]],
            event["Allowed"],
            seconds(event["AgeUs"]),
            answers_vote=event["Sense"] == 1,
        )

    def on_tally(self, event: dict[str, Any]) -> None:
        self.umpire.tallied(
            event["Ver"], event["Grade"], event["N"], event["Lost"], seconds(event["CostTimeUs"]),
            seconds(event["AgeUs"]),
        )

    def on_ignored(self, event: dict[str, Any]) -> None:
        """Events that no decision uses yet."""

    HANDLERS: ClassVar = {
        "NewRequest": on_new_request,
        "Result": on_result,
        "Due": on_due,
        "Fleet": on_fleet,
        "RolloutState": on_rollout_state,
        "Tally": on_tally,
        "Left": on_left,
        "Begun": on_begun,
        "NoteFrom": on_ignored,
        "ProbeResult": on_ignored,
        "ReportedWrong": on_ignored,
    }


def decode_line(entry: dict[str, Any]) -> Listed:
    return Listed(
        box=entry["Box"],
        zone=entry["Zone"],
        cell=entry["Bay"],
        build=entry["Build"],
        state=STATES[entry["Availability"]],
        power=entry["PowerHint"],
        started=seconds(entry.get("LastStartUs")),
    )


class Link:
    """One adapter process: its clock, its pages, its instances and the reply under way."""

    def __init__(self) -> None:
        self.clock = 0.0
        self.pages: dict[int, list[Listed]] = {}
        self.instances: dict[int, Instance] = {}
        self.reply: list[dict[str, Any]] = []

    def handle(self, event: dict[str, Any]) -> None:
        verb = event["verb"]
        if verb == "Sync":
            self.clock = seconds(event["TsUs"])
        elif verb == "Page":
            self.pages[event["Buffer"]] = [decode_line(entry) for entry in event["Lines"]]
        elif verb == "Spawn":
            self.instances[event["Who"]] = Instance(event["Who"], self, event)
        elif verb == "Exit":
            self.instances.pop(event["Who"], None)
        else:
            handler = Instance.HANDLERS.get(verb)
            if handler is None:
                raise Malformed(f"{verb}: unknown verb")
            instance = self.instances.get(event["Who"])
            if instance is None:
                raise Malformed(f"{verb}: field Who names no running instance: {event['Who']}")
            handler(instance, event)

    def take_reply(self) -> bytes:
        lines = [json.dumps(action, separators=(",", ":")) for action in self.reply]
        self.reply = []
        return ("\n".join([*lines, '{"verb":"Yield"}']) + "\n").encode()


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch until the input ends."""
    link = Link()
    for line in source:
        if not line.strip():
            continue
        try:
            event = json.loads(line)
        except ValueError as fault:
            raise Malformed(f"line is not JSON: {fault}") from None
        if not isinstance(event, dict) or not isinstance(event.get("verb"), str):
            raise Malformed("line has no field verb")
        if event["verb"] == "Go":
            sink.write(link.take_reply())
            sink.flush()
            continue
        link.handle(event)
