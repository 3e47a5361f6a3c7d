"""A hollow umpire that follows relays: the real follower on real sockets, and what it was told; no listener,
no traffic."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping
from random import Random
from typing import Any

from anyio.abc import TaskGroup

from gullmount.relays.follower import Follower
from gullmount.relays.following import Heard as HeardLine
from gullmount.relays.following import RelayAt
from gullmount.scale.fleet.counting import CountedNet
from gullmount.scale.fleet.drawn import DrawnUmpire, digest
from gullmount.scale.fleet.heard import Heard
from gullmount.scale.fleet.terms import FleetTerms

COUNTED = (
    "snapshots",
    "changes",
    "moves",
    "old",
    "gaps",
    "not_understood",
    "unasked",
    "lower_epoch",
    "messages",
)


class NotingFollower(Follower):
    """The real one, which notes what it heard once that is in force."""

    noted: Heard

    def took(self, heard: HeardLine) -> None:
        super().took(heard)
        for news in heard.news:
            if self.reports.in_force.get(news.topic) == news.version:
                self.noted.note(news.topic, *news.version)
        if self.synced.is_set():
            self.noted.synced_at = self.noted.synced_at or time.monotonic()


class Hollow:
    def __init__(
        self,
        drawn: DrawnUmpire,
        terms: FleetTerms,
        net: CountedNet,
        told: dict[str, Any],
        troubles: Counter[str],
    ) -> None:
        self.heard = Heard(drawn.name, drawn.zone, drawn.topics)
        self.net = net
        self.troubles = troubles
        self.entries: dict[str, dict[str, Any]] = {topic: {} for topic in drawn.topics}
        self.follower = NotingFollower(
            name=drawn.name,
            zone=drawn.zone,
            relays=[RelayAt(address, zone) for address, zone in told["relays"]],
            services=drawn.services,
            net=net,
            chance=Random(f"{told['seed']} {drawn.name}"),
            apply=self,
            log=self.log,
        )
        self.follower.noted = self.heard

    def log(self, event: str, **fields: Any) -> None:
        if event not in ("follows", "leaves"):
            self.troubles[f"{event}: {fields.get('why', '')}"[:80]] += 1

    def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.follower.run)

    # What the follower puts in force

    def boxes(self, service: str, whole: bool, entries: Mapping[str, Any | None]) -> None:
        self.put(f"boxes/{service}", whole, entries)

    def configuration(self, service: str, entries: Mapping[str, Any | None]) -> None:
        self.put(f"config/{service}", False, entries)

    def put(self, topic: str, whole: bool, entries: Mapping[str, Any | None]) -> None:
        held = self.entries[topic]
        if whole:
            held.clear()
        for key, value in entries.items():
            if value is None:
                held.pop(key, None)
            else:
                held[key] = value

    # What it tells of itself

    def counts(self) -> dict[str, int]:
        return {name: getattr(self.follower.counts, name) for name in COUNTED}

    def report(self) -> dict[str, Any]:
        self.heard.unasked += self.follower.counts.unasked
        return self.heard.as_told(
            {topic: digest(held) for topic, held in self.entries.items()}, **self.counts()
        )
