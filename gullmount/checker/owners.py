"""The promises of leases over the record of a fault script. No I/O.

What is read was recorded by those that were acted on (the service that lease holders announce themselves to,
the release controller), never by a lease holder.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from signal import SIGKILL, SIGTERM
from typing import Any

from gullmount.checker.findings import Breach, Finding

Event = dict[str, Any]

ONE_OWNER = "one owner"  # a token has one holder
TOKENS_GROW = "tokens grow"  # no effect is accepted with a lower token than one before
NO_CRASH = "no crash"  # processes end by themselves only when told to, or are killed by the harness
NO_STALE_VOTE = "no stale vote"  # no vote counts that rests on an earlier leader's assessment
DISK_FAILED = 2  # exit status of a replica that couldn't write


def check_owners(events: Sequence[Event]) -> list[Finding]:
    """Check each promise over the events, in their order."""
    accepted = [event for event in events if event["ev"] == "effect" and event["taken"]]
    return [
        _check_one_owner(accepted),
        _check_tokens_grow(accepted),
        _check_no_stale_vote(events),
        _check_no_crash(events),
    ]


def _check_one_owner(accepted: Iterable[Event]) -> Finding:
    finding = Finding(ONE_OWNER)
    holders: dict[tuple[str, int], int] = {}
    for event in accepted:
        job, token, holder = event["job"], event["token"], event["owner"]
        first = holders.setdefault((job, token), holder)
        if first != holder:
            what = f"{job}, token {token}: after umpire {first}"
            finding.breaches.append(Breach(event["t"], f"umpire {holder}", what, []))
    finding.checked = {"terms": len(holders)}
    return finding


def _check_tokens_grow(accepted: Sequence[Event]) -> Finding:
    finding = Finding(TOKENS_GROW, {"effects": len(accepted)})
    highest: dict[str, int] = {}
    for event in accepted:
        job, token = event["job"], event["token"]
        if token < highest.get(job, 0):
            what = f"{job}, token {token}: after token {highest[job]}"
            finding.breaches.append(Breach(event["t"], f"umpire {event['owner']}", what, []))
        highest[job] = max(token, highest.get(job, 0))
    return finding


def _check_no_stale_vote(events: Iterable[Event]) -> Finding:
    votes = [event for event in events if event["ev"] == "vote" and "token" in event]
    finding = Finding(NO_STALE_VOTE, {"votes": len(votes)})
    highest = 0
    for event in votes:
        if event["token"] < highest:
            what = f"token {event['token']} after {highest}"
            finding.breaches.append(Breach(event["t"], event["umpire"], what, []))
        highest = max(highest, event["token"])
    return finding


def _check_no_crash(events: Sequence[Event]) -> Finding:
    ended = sum(event["ev"] == "process_ended" for event in events)
    finding = Finding(NO_CRASH, {"processes": ended})
    full: set[str] = set()  # replicas whose disk is full: the first write that fails ends them
    stopping: set[str] = set()  # processes that got SIGTERM: it may come before they handle it
    for event in events:
        if event["ev"] == "disk_full":
            full.add(event["who"])
        elif event["ev"] == "told_to_stop":
            stopping.add(event["who"])
        elif event["ev"] == "process_ended":
            process, code = event["who"], event["code"]
            if code == -SIGTERM and process in stopping:
                stopping.discard(process)
            elif code == DISK_FAILED and process in full and process.startswith("keeper"):
                full.discard(process)
            elif code not in (0, -SIGKILL):
                finding.breaches.append(Breach(event["t"], process, f"ended with {code}", []))
    return finding


def takeovers(events: Iterable[Event], job: str) -> list[float]:
    """Return the seconds from a holder's last accepted effect to the first of the next holder."""
    spans: list[float] = []
    last, token = 0.0, 0
    for event in events:
        if event["ev"] == "effect" and event["taken"] and event["job"] == job:
            if token and event["token"] != token:
                spans.append(event["t"] - last)
            last, token = event["t"], event["token"]
    return spans
