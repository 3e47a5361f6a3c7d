"""Runs an origin, relays and subscribers in memory and virtual time, with faults on their links."""

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
# Unix time at the start of virtual time.
WALL_CLOCK_START_SECONDS = 1_796_000_000.0


class RecordingHandler:
    """Applies and records the updates that a subscriber receives, in place of a proxy.

    Raises UnusableUpdateError for a configuration whose number is in `refuses`.
    """

    def __init__(self) -> None:
        # Endpoint entries by service and server address.
        self.endpoints_of: dict[str, dict[str, Any]] = {}
        # Number of the configuration in force, by service.
        self.number: dict[str, int] = {}
        # Kind, service, whole flag and entry count of each call.
        self.calls: list[tuple[str, str, bool, int]] = []
        # Service and number of each applied configuration, in order.
        self.numbers: list[tuple[str, int]] = []
        # Numbers of the configurations to reject.
        self.refuses: set[int] = set()

    def apply_endpoints(self, service: str, whole: bool, entries: Mapping[str, Any | None]) -> None:
        self.calls.append(("boxes", service, whole, len(entries)))
        endpoints = {} if whole else self.endpoints_of.setdefault(service, {})
        for server, value in entries.items():
            endpoints.pop(server, None)
            if value is not None:
                endpoints[server] = value
        self.endpoints_of[service] = endpoints

    def apply_configuration(self, service: str, entries: Mapping[str, Any | None]) -> None:
        self.calls.append(("config", service, False, len(entries)))
        number = (entries.get("routes") or {"n": 0})["n"]
        if number in self.refuses:
            raise UnusableUpdateError(f"no use for {number}")
        self.number[service] = number
        self.numbers.append((service, number))


class Clock:
    """The event loop's clock plus an offset; raising the offset simulates a pause of the process."""

    def __init__(self) -> None:
        self.offset_seconds = 0.0

    def __call__(self) -> float:
        return anyio.current_time() + self.offset_seconds


class Scene:
    """An origin, relays and subscribers of one test, with their hosts, storage and logs."""

    def __init__(self, tasks: TaskGroup, rate: int | None = None) -> None:
        self.tasks = tasks
        self.rate = rate
        self.links = NetworkLinks(MemoryNet(), 1)
        # Participant, event and fields of each log line.
        self.logs: list[tuple[str, str, dict[str, Any]]] = []
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.ended: dict[str, anyio.Event] = {}
        self.hosts: dict[str, HostNetwork] = {}
        self.origin_storage = MemoryOriginStorage(remembered=True)
        # Seconds added to the wall clock of the origin.
        self.wall_offset = 0.0
        self.origins: list[Origin] = []
        self.relays: dict[str, Relay] = {}
        self.clocks: dict[str, Clock] = {}
        self.handlers: dict[str, RecordingHandler] = {}
        self.subscribers: dict[str, Subscriber] = {}
        # Relays and subscribers created so far: seeds their random numbers and numbers subscriber hosts.
        self.created_count = 0

    def wall(self) -> float:
        """Return the wall clock in seconds."""
        return WALL_CLOCK_START_SECONDS + anyio.current_time()

    def add_host(self, name: str, host: str, zone: str) -> HostNetwork:
        """Add the network of a host, in place of an earlier one of that name."""
        self.hosts[name] = HostNetwork(self.links, host, name, zone, self.tasks)
        return self.hosts[name]

    def logger_for(self, participant: str) -> Callable[..., None]:
        """Return a log function that records lines under the participant's name."""

        def log(event: str, **fields: Any) -> None:
            self.logs.append((participant, event, fields))

        return log

    def logged(self, participant: str, event: str) -> list[dict[str, Any]]:
        """Return the fields of each such log line of the participant."""
        return [
            fields
            for logger, logged_event, fields in self.logs
            if (logger, logged_event) == (participant, event)
        ]

    async def start_participant(self, participant: str, run: Callable[..., Awaitable[None]]) -> None:
        """Run it in the background and wait up to 10 s until it reports that it has started."""
        started = anyio.Event()

        async def run_and_signal_start() -> None:
            await run(started)

        self.run_in_background(participant, run_and_signal_start)
        with anyio.fail_after(10):
            await started.wait()

    def run_in_background(self, participant: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run it in a cancel scope of its own, which `kill` cancels."""

        async def run_in_scope(scope: anyio.CancelScope, ended: anyio.Event) -> None:
            with scope:
                await run()
            ended.set()

        scope, ended = self.scopes[participant], self.ended[participant] = anyio.CancelScope(), anyio.Event()
        self.tasks.start_soon(run_in_scope, scope, ended)

    async def origin(self, **changes: Any) -> Origin:
        """Start an origin on the storage of the scene; `changes` override its settings."""
        host_network = self.add_host("source", "10.0.0.1", "s")
        settings = {"listen": ORIGIN, "zones": ["a", "b"], "relays": ZONES, "kept": "none", **changes}
        new_origin = Origin(
            OriginConfig.model_validate(settings),
            network=host_network,
            storage=self.origin_storage,
            log=self.logger_for("source"),
            wall=lambda: self.wall() + self.wall_offset,
        )
        self.origins.append(new_origin)
        await self.start_participant("source", new_origin.run)
        return new_origin

    async def relay(self, name: str) -> Relay:
        """Start a relay that is listed in RELAYS."""
        host_network = self.add_host(name, RELAYS[name].rpartition(":")[0], ZONES[name])
        settings = {"name": name, "zones": ["a", "b"], "zone": ZONES[name], "listen": RELAYS[name]}
        self.created_count += 1
        clock = self.clocks[name] = Clock()
        new_relay = self.relays[name] = Relay(
            RelayConfig.model_validate({**settings, "source": ORIGIN, "rate": self.rate}),
            network=host_network,
            random=Random(self.created_count),
            log=self.logger_for(name),
            clock=clock,
            wall=self.wall,
        )
        await self.start_participant(name, new_relay.run)
        return new_relay

    def subscriber(
        self, name: str, services: list[str], zone: str = "a", relays: Mapping[str, str] | None = None
    ) -> Subscriber:
        """Start a subscriber without waiting until it is synced; its handler outlives a restart."""
        self.created_count += 1
        host_network = self.add_host(name, f"10.0.2.{self.created_count}", zone)
        recorder = self.handlers.setdefault(name, RecordingHandler())
        new_subscriber = self.subscribers[name] = Subscriber(
            name=name,
            zone=zone,
            relays=[
                RelayEndpoint(address, ZONES.get(relay_name, "a"))
                for relay_name, address in (RELAYS if relays is None else relays).items()
            ],
            services=services,
            network=host_network,
            random=Random(self.created_count),
            handler=recorder,
            log=self.logger_for(name),
            wall=self.wall,
        )
        self.run_in_background(name, new_subscriber.run)
        return new_subscriber

    async def kill(self, participant: str) -> None:
        """Kill its host, cancel its tasks and wait until they have ended."""
        await self.hosts[participant].kill()
        self.scopes[participant].cancel()
        await self.ended[participant].wait()

    def cut(self, host_name: str, other_address: str) -> Callable[[], None]:
        """Cut the link between a host and an address both ways; the returned function restores it."""
        link = self.links.link_between((self.hosts[host_name].host, other_address))
        link.begin_fault("cut", "both", 0.0)
        return lambda: link.end_fault("cut", "both", 0.0)

    def configure(self, number: int, service: str = "pay") -> Any:
        """Commit a configuration with this number at the newest origin; return its version."""
        return self.origins[-1].commit([(f"config/{service}", "routes", {"n": number})])

    def all_applied(self, number: int, service: str = "pay") -> bool:
        """Return whether each subscriber has this configuration of the service in force."""
        return all(recorder.number.get(service) == number for recorder in self.handlers.values())

    async def until(self, condition: Callable[[], bool], within: float = 120.0) -> float:
        """Wait until the condition holds and return the elapsed seconds; fail after `within` seconds."""
        started_at = anyio.current_time()
        with anyio.fail_after(within):
            while not condition():
                await anyio.sleep(0.01)
        return anyio.current_time() - started_at

    async def in_force(self) -> dict[str, Any]:
        """Return the origin's report of the versions in force."""
        client = HostNetwork(self.links, "10.0.9.9", "asker", "s", self.tasks)
        _, body = await call(client, ORIGIN, "GET", "/v1/in-force")
        report: dict[str, Any] = msgspec.json.decode(body)
        return report


def run_scene(scene: Callable[[Scene], Awaitable[Any]], seed: int = 1, rate: int | None = None) -> Any:
    """Run a test scene in virtual time and return its result."""

    async def run_tasks() -> Any:
        async with anyio.create_task_group() as tasks:
            new_scene = Scene(tasks, rate)
            result = await scene(new_scene)
            tasks.cancel_scope.cancel()
        return result

    return run_in_virtual_time(run_tasks, seed)
