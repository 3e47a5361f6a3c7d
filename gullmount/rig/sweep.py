"""One script over many seeds, over the cores."""

from __future__ import annotations

import gc
import os
import tempfile
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

import msgspec

from gullmount.checker import check
from gullmount.checker.histories import check_history
from gullmount.checker.owners import check_owners, takeovers
from gullmount.days.run import block_of
from gullmount.rig.run import run
from gullmount.rig.terms import RigTerms

SWEEPS = (50_000, 20, 100)  # objects and rounds between the collector's sweeps: a script makes millions
AT_ONCE_APART = 4  # scripts on processes side by side: each has some ten of them


@dataclass(frozen=True)
class Played:
    """What one seed came to: the promises and rules it broke, in words; terms and effects seen; takeovers
    in s."""

    seed: int
    broken: list[str]
    terms: int
    effects: int
    refused: int  # effects of an earlier owner
    takeovers: list[float]


def play_one(terms: RigTerms, seed: int, virtual: bool) -> Played:
    with tempfile.TemporaryDirectory() as spare:
        about, lines = run(terms, seed, virtual, block_of(os.getpid()), Path(spare))
    events = [msgspec.json.decode(line) for line in lines.splitlines()]
    owned = check_owners(events)
    broken = [
        f"{breach.t}: {breach.umpire}: {finding.rule}: {breach.what}"
        for finding in [*owned, check_history(events), *check(about, events)]
        for breach in finding.breaches
    ]
    counts = {what: count for finding in owned for what, count in finding.checked.items()}
    refused = sum(event["ev"] == "effect" and not event["taken"] for event in events)
    return Played(seed, broken, counts["terms"], counts["effects"], refused, takeovers(events, "judge"))


def sweep(terms: RigTerms, seeds: range, virtual: bool) -> Iterator[Played]:
    """As they end."""
    workers = os.cpu_count() if virtual else AT_ONCE_APART
    with ProcessPoolExecutor(workers, initializer=gc.set_threshold, initargs=SWEEPS) as pool:
        works = [pool.submit(play_one, terms, seed, virtual) for seed in seeds]
        for work in as_completed(works):
            yield work.result()
