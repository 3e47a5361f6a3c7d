"""The settings as the simulator's first message and the platform's configuration hold them, decoded once.

Times are in microseconds there and float seconds here. Also the text by which umpires tell each other a vote.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from gullmount.interface import Grounds, Group, ReleaseTerms, Repeats, Route, Verdict

MICRO = 1e6  # microseconds in a second, the settings' unit of time
VERDICTS = {Verdict.NONE: 0, Verdict.ON: 1, Verdict.HOLD: 2, Verdict.BACK: 3}
SENSES = {sense: verdict for verdict, sense in VERDICTS.items()}
VOTE_TOLD = re.compile(r"(\d{1,5}) (\d{1,3}) ([0-3])", re.ASCII)  # build, stage and sense of a peer's vote
REPEATS = {
    "idempotent": Repeats.RETRIABLE,
    "deduplicated": Repeats.DEDUPED,
    "at_most_once": Repeats.NON_RETRIABLE,
}


def seconds(micros: int | None) -> float:
    return (micros or 0) / MICRO


def vote_text(build: int, stage: int, verdict: Verdict) -> str:
    return f"{build} {stage} {VERDICTS[verdict]}"


def read_vote(text: str) -> tuple[int, int, Verdict] | None:
    """Build, stage and verdict; None for a text that is no vote."""
    told = VOTE_TOLD.fullmatch(text)
    if told is None:
        return None
    build, stage, sense = map(int, told.groups())
    return build, stage, SENSES[sense]


@dataclass(frozen=True, slots=True)
class SocketTerms:
    """What only an umpire on sockets goes by; times in seconds."""

    timeouts: Mapping[str, float]  # by route: what a client waits at most
    connect_within: float
    link_idle: float
    vote_within: float


def decode_socket_terms(profile: dict[str, Any]) -> SocketTerms:
    """Raises KeyError, TypeError, ValueError or AttributeError where the settings do not hold it."""
    ceilings, specifics = profile["Ceilings"], profile["Specifics"]
    return SocketTerms(
        timeouts={grade["Name"]: seconds(grade["DeadlineUs"]) for grade in profile["Grades"]},
        connect_within=seconds(ceilings["ConnectTimeoutUs"]),
        link_idle=seconds(ceilings["ConnIdleUs"]),
        vote_within=seconds(specifics["VoteWaitUs"]),
    )


def decode_grounds(seed: int, profile: dict[str, Any]) -> Grounds:
    """Raises KeyError, TypeError, ValueError or AttributeError where the settings do not hold it."""
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
        by_route=specifics["CountedBy"] == "class",
        closed_stages=specifics["ClosedStages"],
        one_way=specifics["OneWay"],
        window=seconds(specifics["SpanUs"]),
        spare_tries=specifics["SpareTries"],
        timed=specifics["GateMode"] == "timer",
        vote_life=seconds(specifics["VoteLifeUs"]),
        to_advance=specifics["ToAdvance"],
        back_votes=specifics["BackVotes"],
        votes_per_s=specifics["VotesPerS"],
        tally_period=seconds(specifics["MetricsPeriodUs"]),
    )
    return Grounds(
        seed=seed,
        routes=routes,
        release=release,
        zone=profile["Zone"],
        number=profile["Me"],
        umpires=profile["Siblings"],
        may_tell=ceilings["Peers"],
        link_idle=seconds(ceilings["ConnIdleUs"]),
        cold_share=rules["ColdFrom"],
        warm_time=seconds(rules["WarmAfterUs"]),
        tip_multiple=rules["TipMultiple"],
        max_tries=ceilings["MaxAttempts"],
        may_subscribe=profile["Discovery"] == "subscribe",
        max_retry_after=seconds(ceilings["MaxRetryAfterUs"]) if ceilings["RetryAfter"] else 0.0,
    )
