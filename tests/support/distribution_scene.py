"""An origin, relays and subscribers in memory and virtual time, with links that fail between them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from random import Random
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from gullmount.distribution.config import OriginConfig, RelayConfig
from gullmount.distribution.errors import UnusableUpdateError
from gullmount.distribution.origin import Origin
from gullmount.distribution.origin_storage import MemoryOriginStorage
from gullmount.distribution.relay import Relay
from gullmount.distribution.relay_selection import RelayEndpoint
from gullmount.distribution.subscriber import Subscriber
from gullmount.emulators.links import HostNetwork, NetworkLinks
from gullmount.net import MemoryNet
from gullmount.rpc import call
from gullmount.scenarios.virtual_time import run_in_virtual_time

ORIGIN = "10.0.0.1:7400"
RELAYS = {"a1": "10.0.1.1:7401", "a2": "10.0.1.2:7401", "b1": "10.0.1.3:7401"}
ZONES = {"a1": "a", "a2": "a", "b1": "b"}
WALL = 1_796_000_000.0  # s


class RecordingHandler:
    """Puts in force what a subscriber receives, as a proxy would. `refuses`: numbers it can't use."""

    def __init__(self) -> None:
        self.endpoints_of: dict[str, dict[str, Any]] = {}
        self.number: dict[str, int] = {}  # the configuration in force, by service
        self.calls: list[tuple[str, str, bool, int]] = []  # kind, service, whole, entries
        self.numbers: list[tuple[str, int]] = []  # all configurations put in force, in their order
        self.refuses: set[int] = set()

    def apply_endpoints(self, service: str, whole: bool, entries: Mapping[str, Any | None]) -> None:
        self.calls.append(("boxes", service, whole, len(entries)))
        held = {} if whole else self.endpoints_of.setdefault(service, {})
        for server, value in entries.items():
            held.pop(server, None)
            if value is not None:
                held[server] = value
        self.endpoints_of[service] = held

    def apply_configuration(self, service: str, entries: Mapping[str, Any | None]) -> None:
        self.calls.append(("config", service, False, len(entries)))
        number = (entries.get("routes") or {"n": 0})["n"]
        if number in self.refuses:
            raise UnusableUpdateError(f"no use for {number}")
        self.number[service] = number
        self.numbers.append((service, number))


class Clock:
    """The loop's clock; `ahead` is how far a pause has made it jump, in seconds."""

    def __init__(self) -> None:
        self.ahead = 0.0

    def __call__(self) -> float:
        return anyio.current_time() + self.ahead


class Scene:
    def __init__(self, tasks: TaskGroup, rate: int | None = None) -> None:
        self.tasks = tasks
        self.rate = rate
        self.links = NetworkLinks(MemoryNet(), 1)
        self.logs: list[tuple[str, str, dict[str, Any]]] = []
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.ended: dict[str, anyio.Event] = {}
        self.hosts: dict[str, HostNetwork] = {}
        self.origin_storage = MemoryOriginStorage(remembered=True)
        self.wall_offset = 0.0
        self.origins: list[Origin] = []
        self.relays: dict[str, Relay] = {}
        self.clocks: dict[str, Clock] = {}
        self.handlers: dict[str, RecordingHandler] = {}
        self.subscribers: dict[str, Subscriber] = {}
        self.born = 0

    def wall(self) -> float:
        return WALL + anyio.current_time()

    def add_host(self, name: str, host: str, zone: str) -> HostNetwork:
        self.hosts[name] = HostNetwork(self.links, host, name, zone, self.tasks)
        return self.hosts[name]

    def log_of(self, who: str) -> Callable[..., None]:
        def log(event: str, **fields: Any) -> None:
            self.logs.append((who, event, fields))

        return log

    def logged(self, who: str, event: str) -> list[dict[str, Any]]:
        return [fields for one, said, fields in self.logs if (one, said) == (who, event)]

    async def begin(self, who: str, run: Callable[..., Awaitable[None]]) -> None:
        started = anyio.Event()

        async def run_it() -> None:
            await run(started)

        self.live(who, run_it)
        with anyio.fail_after(10):
            await started.wait()

    def live(self, who: str, run: Callable[[], Awaitable[None]]) -> None:
        async def live(scope: anyio.CancelScope, ended: anyio.Event) -> None:
            with scope:
                await run()
            ended.set()

        scope, ended = self.scopes[who], self.ended[who] = anyio.CancelScope(), anyio.Event()
        self.tasks.start_soon(live, scope, ended)

    async def origin(self, **changes: Any) -> Origin:
        party = self.add_host("source", "10.0.0.1", "s")
        told = {"listen": ORIGIN, "zones": ["a", "b"], "relays": ZONES, "kept": "none", **changes}
        made = Origin(
            OriginConfig.model_validate(told),
            network=party,
            storage=self.origin_storage,
            log=self.log_of("source"),
            wall=lambda: self.wall() + self.wall_offset,
        )
        self.origins.append(made)
        await self.begin("source", made.run)
        return made

    async def relay(self, name: str) -> Relay:
        party = self.add_host(name, RELAYS[name].rpartition(":")[0], ZONES[name])
        told = {"name": name, "zones": ["a", "b"], "zone": ZONES[name], "listen": RELAYS[name]}
        self.born += 1
        clock = self.clocks[name] = Clock()
        made = self.relays[name] = Relay(
            RelayConfig.model_validate({**told, "source": ORIGIN, "rate": self.rate}),
            network=party,
            random=Random(self.born),
            log=self.log_of(name),
            clock=clock,
            wall=self.wall,
        )
        await self.begin(name, made.run)
        return made

    def subscriber(
        self, name: str, services: list[str], zone: str = "a", relays: Mapping[str, str] | None = None
    ) -> Subscriber:
        self.born += 1
        party = self.add_host(name, f"10.0.2.{self.born}", zone)
        got = self.handlers.setdefault(name, RecordingHandler())
        made = self.subscribers[name] = Subscriber(
            name=name,
            zone=zone,
            relays=[
                RelayEndpoint(address, ZONES.get(one, "a"))
                for one, address in (RELAYS if relays is None else relays).items()
            ],
            services=services,
            network=party,
            random=Random(self.born),
            handler=got,
            log=self.log_of(name),
            wall=self.wall,
        )
        self.live(name, made.run)
        return made

    async def kill(self, who: str) -> None:
        await self.hosts[who].kill()
        self.scopes[who].cancel()
        await self.ended[who].wait()

    def cut(self, one: str, other_address: str) -> Callable[[], None]:
        """Cut the link from this party to that address; a call of the result restores it."""
        line = self.links.link_between((self.hosts[one].host, other_address))
        line.begin_fault("cut", "both", 0.0)
        return lambda: line.end_fault("cut", "both", 0.0)

    def configure(self, number: int, service: str = "pay") -> Any:
        return self.origins[-1].commit([(f"config/{service}", "routes", {"n": number})])

    def all_at(self, number: int, service: str = "pay") -> bool:
        return all(got.number.get(service) == number for got in self.handlers.values())

    async def until(self, true: Callable[[], bool], within: float = 120.0) -> float:
        """Wait until it is true; the seconds that it took."""
        began = anyio.current_time()
        with anyio.fail_after(within):
            while not true():
                await anyio.sleep(0.01)
        return anyio.current_time() - began

    async def in_force(self) -> dict[str, Any]:
        """What the origin reports to be in force."""
        asker = HostNetwork(self.links, "10.0.9.9", "asker", "s", self.tasks)
        _, body = await call(asker, ORIGIN, "GET", "/v1/in-force")
        told: dict[str, Any] = msgspec.json.decode(body)
        return told


def run_scene(scene: Callable[[Scene], Awaitable[Any]], seed: int = 1, rate: int | None = None) -> Any:
    async def play() -> Any:
        async with anyio.create_task_group() as tasks:
            made = Scene(tasks, rate)
            out = await scene(made)
            tasks.cancel_scope.cancel()
        return out

    return run_in_virtual_time(play, seed)
