"""Offers builds by stages, counts votes, tells news and tallies; stalls, is late and loses votes when
scripted."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import AsyncIterator
from dataclasses import dataclass
from random import Random
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from gullmount.net import Stream
from gullmount.standins.fleet import Fleet, Place
from gullmount.standins.http import Asked, Said, serve
from gullmount.standins.links import Party, source_of
from gullmount.standins.record import Record

LOOK_EVERY = 0.05  # s between looks at the votes
CLOCK_AFTER = 1.0  # s after all machines of a stage run until its clock starts
CLOCK_MOST = 8.0  # s after their launch at which it starts in any case


@dataclass(frozen=True)
class LaunchTerms:
    """How builds move; times in seconds."""

    control: str  # "any", "share" or "timer"
    beside: bool
    shares: tuple[float, ...]
    caps: tuple[float, ...]
    bake: float
    step: float
    to_advance: int
    back_votes: int
    hold_votes: int
    vote_life: float
    votes_per_s: float
    answer_time: tuple[float, float]
    told_late: tuple[float, float]
    push_every: float
    tally_period: float
    tally_sample: float
    tally_late: float


class LauncherStandIn:
    def __init__(
        self,
        tasks: TaskGroup,
        party: Party,
        address: str,
        fleet: Fleet,
        record: Record,
        terms: LaunchTerms,
        seed: int,
        releases: list[float],
    ) -> None:
        self.tasks = tasks
        self.party = party
        self.address = address
        self.fleet = fleet
        self.record = record
        self.terms = terms
        self.random = Random(seed)
        self.releases = releases
        self.build, self.stage, self.phase = 1, len(terms.caps) - 1, "released"
        self.good = 1  # the build to go back to
        self.clock_from: float | None = None
        self.held = 0.0
        self.votes: dict[int, tuple[int, int, str, float]] = {}
        self.tokens = terms.votes_per_s
        self.tokens_at = 0.0
        self.trouble = ""  # "silence", "errors" or "stale"
        self.late = 0.0
        self.told: dict[str, Any] = {}
        self.changed = anyio.Event()
        self.moving = 0
        self.counts: dict[tuple[int, str], list[float]] = defaultdict(lambda: [0, 0, 0.0])
        self.tallies: list[dict[str, Any]] = []
        self.tallied = anyio.Event()
        self.publish(at_once=True)

    # News

    def news(self) -> dict[str, Any]:
        cap = 0.0 if self.phase in ("going_back", "withdrawn") else self.terms.caps[self.stage]
        cap = 1.0 if self.phase == "released" else cap
        return {"build": self.build, "stage": self.stage, "phase": self.phase, "cap": cap}

    def publish(self, at_once: bool = False) -> None:
        news = self.news()
        self.record.note("build", **news)

        async def later() -> None:
            await anyio.sleep(self.random.uniform(*self.terms.told_late) + self.late)
            self.told = news
            self.changed.set()
            self.changed = anyio.Event()

        if at_once:
            self.told = news
        else:
            self.tasks.start_soon(later)

    def line(self, umpire: str, news: dict[str, Any]) -> bytes:
        self.record.note("told_build", umpire=umpire, **news)
        return msgspec.json.encode({"v": 1, "news": news}) + b"\n"

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.offer)
            tasks.start_soon(self.look)
            if self.terms.tally_period:
                tasks.start_soon(self.tally)
            await self.party.serve(self.address, self.connected)

    async def connected(self, stream: Stream) -> None:
        await serve(stream, self.answer)

    async def answer(self, asked: Asked, stream: Stream) -> Said:
        host = source_of(stream)
        umpire = self.party.links.names.get(host, "")
        if asked.target.startswith("/v1/news"):
            return Said(200, lines=self.watch(host, umpire))
        said = await self.vote(asked, umpire)
        await self.party.links.passable(self.party.zone, host)
        if said.status == 200:
            said.body = self.line(umpire, self.told)
        return said

    async def watch(self, host: str, umpire: str) -> AsyncIterator[bytes]:
        tally_from = len(self.tallies)
        while True:
            await self.party.links.passable(self.party.zone, host)
            yield self.line(umpire, self.told)
            until = anyio.current_time() + self.terms.push_every
            with anyio.CancelScope(deadline=until):
                changed, tallied = self.changed, self.tallied
                async with anyio.create_task_group() as tasks:

                    async def wait(event: anyio.Event, scope: anyio.CancelScope) -> None:
                        await event.wait()
                        scope.cancel()

                    tasks.start_soon(wait, changed, tasks.cancel_scope)
                    tasks.start_soon(wait, tallied, tasks.cancel_scope)
            for tally in self.tallies[tally_from:]:
                told = {name: tally[name] for name in tally if name != "ended"}
                age = self.record.now() - tally["ended"]
                yield msgspec.json.encode({"v": 1, "tally": {**told, "age": round(age, 4)}}) + b"\n"
            tally_from = len(self.tallies)

    # Votes

    async def vote(self, asked: Asked, umpire: str) -> Said:
        await anyio.sleep(self.random.uniform(*self.terms.answer_time))
        now = self.record.now()
        try:
            told = msgspec.json.decode(asked.body, type=dict[str, Any])
            number, build, stage, verdict = told["umpire"], told["build"], told["stage"], told["verdict"]
        except (msgspec.DecodeError, KeyError):
            return Said(400, b"not a vote\n")
        self.tokens = min(
            2 * self.terms.votes_per_s, self.tokens + (now - self.tokens_at) * self.terms.votes_per_s
        )
        self.tokens_at = now
        counts = True
        if self.trouble == "errors":
            return Said(500, b"out of order\n")
        if self.trouble == "silence":
            counts = self.random.random() < 0.5
        elif self.tokens < 1:
            return Said(429, b"too many votes\n")
        self.tokens -= 1
        known = build == self.build and (verdict in ("back", "none") or stage == self.stage)
        known = known and self.phase in ("on_trial", "released")
        known = known and verdict in (
            ("on", "back", "none") if self.terms.control != "timer" else ("hold", "back", "none")
        )
        if known and counts:
            self.votes[number] = build, stage, verdict, now + self.terms.vote_life
            self.record.note("vote", umpire=umpire, build=build, stage=stage, verdict=verdict)
        if self.trouble == "silence":
            return Said(0, fate="silence")
        if not known:
            return Said(409, b"moot\n")
        return Said(200)

    def standing(self, verdict: str) -> int:
        now = self.record.now()
        return sum(
            build == self.build
            and said == verdict
            and until > now
            and (verdict != "on" or stage == self.stage)
            for build, stage, said, until in self.votes.values()
        )

    async def look(self) -> None:
        """Move the build as the votes and the clock have it."""
        while True:
            await anyio.sleep(LOOK_EVERY)
            if self.trouble in ("silence", "errors"):
                if self.clock_from is not None:
                    self.held += LOOK_EVERY
                continue
            if self.phase in ("on_trial", "released") and self.standing("back") >= self.terms.back_votes:
                if (self.build > 1 and self.build != self.good) or self.phase == "on_trial":
                    self.start_back("votes")
                continue
            if self.phase != "on_trial" or self.clock_from is None:
                continue
            ran = self.record.now() - self.clock_from
            if self.terms.control == "timer":
                if self.standing("hold") >= max(1, self.terms.hold_votes):
                    self.held += LOOK_EVERY
                if ran - self.held >= self.terms.step:
                    await self.advance()
            elif ran - self.held >= self.terms.bake and self.standing("on") >= max(1, self.terms.to_advance):
                await self.advance()

    # Stages

    async def offer(self) -> None:
        for at in self.releases:
            await anyio.sleep(max(0.0, at - self.record.now()))
            while self.trouble in ("silence", "errors"):
                await anyio.sleep(LOOK_EVERY)
            if self.phase == "on_trial":
                self.start_back("next is due")
            while self.phase == "going_back":
                await anyio.sleep(LOOK_EVERY)
            if self.phase == "released":
                self.good = self.build
                self.retire_earlier()
            self.build += 1
            self.stage, self.phase = 0, "on_trial"
            self.votes = {}
            self.publish()
            self.enter_stage()

    def part(self) -> list[Place]:
        count = max(1, round(self.terms.shares[self.stage] * len(self.fleet.places)))
        return self.fleet.places[:count]

    def enter_stage(self) -> None:
        self.clock_from, self.held = None, 0.0
        self.moving += 1
        self.tasks.start_soon(self.fill, self.moving, self.build)

    async def fill(self, moving: int, build: int) -> None:
        """Machines for the stage; its clock starts soon after they run."""
        launched = self.record.now()
        async with anyio.create_task_group() as tasks:
            for place in self.part():
                if build not in place.machines:
                    tasks.start_soon(self.replace, place, build)
            wait = launched + CLOCK_MOST

            async def clock() -> None:
                while self.record.now() < wait:
                    machines = [place.machines.get(build) for place in self.part()]
                    if all(one is not None and one.running for one in machines):
                        break
                    await anyio.sleep(LOOK_EVERY)
                await anyio.sleep(CLOCK_AFTER)
                if self.moving == moving:
                    self.clock_from = self.record.now()

            tasks.start_soon(clock)

    async def replace(self, place: Place, build: int) -> None:
        await self.fleet.launch(place, build)
        if not self.terms.beside and self.build == build and self.phase in ("on_trial", "released"):
            for earlier in [one for one in place.machines if one != build]:
                self.fleet.drain(place, earlier)

    async def advance(self) -> None:
        if self.stage + 1 < len(self.terms.caps):
            self.stage += 1
            self.publish()
            self.enter_stage()
            return
        self.phase = "released"
        self.publish()
        self.retire_earlier()

    def retire_earlier(self) -> None:
        for place in self.fleet.places:
            newest = place.machines.get(self.build)
            if newest is not None and newest.running:
                for earlier in [one for one in place.machines if one != self.build]:
                    self.fleet.drain(place, earlier)

    def start_back(self, why: str) -> None:
        self.record.note("sent_back", build=self.build, why=why)
        self.phase = "going_back"
        self.moving += 1
        self.publish()
        self.tasks.start_soon(self.go_back, self.build)

    async def go_back(self, build: int) -> None:
        """New machines of the earlier build first, where the old ones have gone."""

        async def back(place: Place) -> None:
            earlier = place.machines.get(self.good)
            if earlier is None or earlier.draining:
                if earlier is not None:
                    self.fleet.remove(place, earlier)
                await self.fleet.launch(place, self.good)
            self.fleet.drain(place, build)

        async with anyio.create_task_group() as tasks:
            for place in self.fleet.places:
                if build in place.machines:
                    tasks.start_soon(back, place)
        self.phase = "withdrawn"
        self.publish()

    # Tallies

    def on_try(self, build: int, route: str, well: bool, time: float) -> None:
        if self.random.random() < self.terms.tally_sample:
            count = self.counts[build, route]
            count[0] += 1
            count[1] += not well
            count[2] += time if well else 0.0

    async def tally(self) -> None:
        while True:
            await anyio.sleep(self.terms.tally_period)
            ended = self.record.now()
            counts, self.counts = self.counts, defaultdict(lambda: [0, 0, 0.0])
            await anyio.sleep(0)
            self.tasks.start_soon(self.tell_tallies, ended, counts)

    async def tell_tallies(self, ended: float, counts: dict[tuple[int, str], list[float]]) -> None:
        await anyio.sleep(self.terms.tally_late)
        if self.trouble:
            return
        for (build, route), (tries, lost, time) in sorted(counts.items()):
            mean = time / max(1, tries - lost)
            self.tallies.append(
                {
                    "build": build,
                    "route": route,
                    "tries": int(tries),
                    "lost": int(lost),
                    "time": mean,
                    "ended": ended,
                }
            )
        self.tallied.set()
        self.tallied = anyio.Event()
