"""Origin, relays and subscribers with random faults between, in virtual time.

Nothing old is put in force after newer, the summary claims no more than there is, and once the faults end,
all have the newest.
"""

from __future__ import annotations

from random import Random
from typing import Any

import anyio
import msgspec
import pytest

from gullmount.rpc import CallError
from tests.support.distribution_scene import ORIGIN, RELAYS, Scene, run_scene

PLAY = 120.0  # s of faults
PEACE = 150.0  # s within which all is well after the last: a wait has doubled to 30 s at most, and jitter
STEADY = (
    12.0  # s of one stream after which its subscriber must be in the summary: acks, reports, and alive lines
)
SERVICES = ["pay", "sell", "read"]


class RandomFaults:
    def __init__(self, scene: Scene, seed: int) -> None:
        self.scene = scene
        self.random = Random(seed)
        self.number = 0
        self.versions: list[tuple[list[int], str, int]] = []  # of all changes of configurations, in order
        self.mends: list[Any] = []
        self.looks = 0
        self.streaming: dict[str, tuple[Any, float]] = {}  # by subscriber: whose stream, since when

    def change(self) -> None:
        self.number += 1
        service = self.random.choice(SERVICES)
        key = f"10.9.0.{self.random.randrange(6)}:80"
        server = None if self.random.random() < 0.4 else {"n": self.number}
        changes = [(f"config/{service}", "routes", {"n": self.number}), (f"boxes/{service}", key, server)]
        scene = self.scene
        origin = scene.origins[-1]
        if "source" in scene.scopes and not scene.ended["source"].is_set() and origin.loaded.is_set():
            version = origin.commit(changes)
            scene.origin_storage.topics = {  # as its disk would have it
                name: {entry: decoded(raw) for entry, (_, raw) in topic.entries.items()}
                for name, topic in origin.store.logs.items()
            }
            self.versions.append((list(version), service, self.number))

    async def fault(self) -> None:
        scene, random = self.scene, self.random
        what = random.choice(["relay", "relay", "source", "cut up", "cut down", "stop", "mend", "mend"])
        name = random.choice(sorted(RELAYS))
        if what == "relay":
            await self.restart(name)
        elif what == "source":
            await self.restart("source")
        elif what == "cut up":
            self.mends.append(scene.cut(name, ORIGIN))
        elif what == "cut down":
            self.mends.append(scene.cut(random.choice(sorted(scene.subscribers)), RELAYS[name]))
        elif what == "stop" and name in scene.clocks:
            scene.clocks[name].offset_seconds += 30.0
        elif self.mends:
            self.mends.pop(random.randrange(len(self.mends)))()

    async def restart(self, who: str) -> None:
        """Kill it, or begin it again."""
        scene = self.scene
        if not scene.ended[who].is_set():
            await scene.kill(who)
        elif who == "source":
            await scene.origin()
        else:
            await scene.relay(who)

    async def watch(self) -> None:
        """Against a sum that claims more than there is."""
        while True:
            await anyio.sleep(1.0)
            now = anyio.current_time()
            for name, made in self.scene.subscribers.items():
                if self.streaming.get(name, (None, 0.0))[0] != (made.connected_relay, made.streams_started):
                    self.streaming[name] = (made.connected_relay, made.streams_started), now
            try:
                with anyio.fail_after(1.0):
                    told = await self.scene.in_force()
            except (CallError, TimeoutError):
                continue
            counted = {RELAYS[name] for name in RELAYS if name not in told["silent"]}
            for name, made in self.scene.subscribers.items():
                lowest = told["zones"].get(made.acknowledgements.zone, {}).get("lowest")
                steady = made.connected_relay is not None and now - self.streaming[name][1] > STEADY
                if (
                    lowest
                    and steady
                    and made.synced.is_set()
                    and made.connected_relay
                    and made.connected_relay.address in counted
                ):
                    self.look(name, lowest)

    def look(self, name: str, lowest: list[int]) -> None:
        """A subscriber that the summary counts, and that is not just starting."""
        for version, service, number in self.versions:
            if (
                version <= lowest
                and f"config/{service}" in self.scene.subscribers[name].store.held_versions()
            ):
                self.looks += 1
                assert self.scene.handlers[name].number.get(service, 0) >= number, (name, number)


def decoded(raw: bytes) -> Any:
    return msgspec.json.decode(raw)


@pytest.mark.parametrize("seed", range(6))
def test_after_random_faults_all_have_the_newest_and_nothing_old_came_in_force(seed: int) -> None:
    async def play(scene: Scene) -> None:
        drawn = RandomFaults(scene, seed)
        await scene.origin()
        for name in RELAYS:
            await scene.relay(name)
        for number in range(8):
            services = drawn.random.sample(SERVICES, 2)
            scene.subscriber(f"u{number}", services, zone="a" if number < 5 else "b")
        async with anyio.create_task_group() as watching:
            watching.start_soon(drawn.watch)
            end = anyio.current_time() + PLAY
            while anyio.current_time() < end:
                await anyio.sleep(drawn.random.expovariate(1.0))
                if drawn.random.random() < 0.75:
                    drawn.change()
                else:
                    await drawn.fault()
            for mend in drawn.mends:
                mend()
            for who in ["source", *RELAYS]:
                if scene.ended[who].is_set():
                    await drawn.restart(who)
            for _ in range(9):
                drawn.change()
            newest = {service: number for _, service, number in drawn.versions}

            def all_there() -> bool:
                return all(
                    scene.handlers[name].number.get(service, 0) == newest[service]
                    and endpoints_of(scene, service) == scene.handlers[name].endpoints_of.get(service)
                    for name, made in scene.subscribers.items()
                    for service in {topic.partition("/")[2] for topic in made.store.held_versions()}
                    if service in newest
                )

            await scene.until(all_there, within=PEACE)
            last = drawn.versions[-1][0]
            with anyio.fail_after(PEACE):
                while True:
                    zones = (await scene.in_force())["zones"]
                    lowest = [zone.get("lowest") or [0, 0] for zone in zones.values()]
                    if sum(zone["followers"] for zone in zones.values()) == 8 and min(lowest) >= last:
                        break
                    await anyio.sleep(0.5)
            await anyio.sleep(2 * STEADY)
            watching.cancel_scope.cancel()
        assert drawn.looks  # else nothing was held against the summary
        for name, got in scene.handlers.items():
            for service in SERVICES:
                numbers = [number for one, number in got.numbers if one == service]
                assert numbers == sorted(numbers), (name, service)

    run_scene(play, seed)


def endpoints_of(scene: Scene, service: str) -> dict[str, Any]:
    held = scene.origins[-1].store.logs.get(f"boxes/{service}")
    return {} if held is None else {key: decoded(raw) for key, (_, raw) in held.entries.items()}
