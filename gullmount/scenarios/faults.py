"""The faults of a scenario: each is a task that waits for its time, injects the fault, lasts and ends it.

What a kind makes of the figures `part`, `size` and `extra` is in docs/scenarios.md.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from math import ceil
from random import Random
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators.clients import ClientFaults
from gullmount.emulators.discovery import DiscoveryEmulator
from gullmount.emulators.fleet import Fleet
from gullmount.emulators.links import NetworkLinks
from gullmount.emulators.record import Record
from gullmount.emulators.release_controller import ReleaseControllerEmulator
from gullmount.emulators.servers import EmulatedServer, ServerEnvironment
from gullmount.scenarios.config import FaultConfig, FaultKind, ScenarioConfig
from gullmount.scenarios.traffic import HeavyTail, Traffic

MAX_SHARE = 0.95  # of a machine, or of clients' patience, that a fault takes away
MIN_HEAVY_SHARE = 0.001  # of a route's requests
MIN_NEIGHBOUR_SECONDS = 0.5  # for which another program runs, and for which it pauses
MIN_DOWN_SECONDS = 0.1  # of a proxy instance that is restarted
ZONE_LOSS_WITH_PROXIES = 0.5  # size above which the loss of a zone ends its proxy instances too
SILENCE = "silence"  # the default variant: no response comes, and nothing says so


class KillableProxy(Protocol):
    """A proxy instance, which may be killed and started again."""

    zone: str

    def begin(self) -> None:
        """Start it, unless it runs."""

    async def kill(self) -> None:
        """End it as a power cut does."""

    async def restart(self, pause: float) -> None:
        """Shut it down gracefully and start it again after `pause` seconds."""


class FaultTarget(Protocol):
    """The deployment, as its faults change it."""

    config: ScenarioConfig
    tasks: TaskGroup
    record: Record
    links: NetworkLinks
    environment: ServerEnvironment
    fleet: Fleet
    discovery: DiscoveryEmulator
    release_controller: ReleaseControllerEmulator
    client_faults: ClientFaults
    traffic: Traffic

    @property
    def proxies(self) -> Sequence[KillableProxy]:
        """The proxy instances by their numbers."""


class FaultSchedule:
    """Injects faults; what a fault leaves open, such as the servers that it hits, is drawn."""

    def __init__(self, deployment: FaultTarget, seed: int) -> None:
        """Prepare for the faults of a deployment that may still be without its processes."""
        self.deployment = deployment
        self.random = Random(seed)
        self._injections: dict[FaultKind, Callable[[FaultConfig], Awaitable[None]]] = {
            FaultKind.RESPONSES_LOST: self._lose_responses,
            FaultKind.TRAFFIC_BURST: self._multiply_traffic,
            FaultKind.SERVER_CRASH: self._crash_servers,
            FaultKind.FALSE_LOAD_REPORTS: self._freeze_load_reports,
            FaultKind.IMPATIENT_CLIENTS: self._shorten_patience,
            FaultKind.SLOW_HANDSHAKES: self._slow_handshakes,
            FaultKind.HEAVY_TAIL: self._add_heavy_tail,
            FaultKind.HOT_PROXIES: self._overload_proxies,
            FaultKind.LATE_RELEASE_STATUS: self._delay_release_statuses,
            FaultKind.RELEASE_CONTROLLER_STALL: self._stall_release_controller,
            FaultKind.GOSSIP_LOST: self._lose_gossip,
            FaultKind.NOISY_NEIGHBOUR: self._take_cpu,
            FaultKind.FAILING_HEALTH_CHECKS: self._fail_health_checks,
            FaultKind.ENDLESS_RETRIES: self._retry_without_end,
            FaultKind.DISCOVERY_DOWN: self._stop_discovery,
            FaultKind.DISCOVERY_LATE: self._delay_discovery,
            FaultKind.SHARED_SLOWDOWN: self._slow_all_servers,
            FaultKind.SLOW_LINKS: self._slow_links,
            FaultKind.PROXY_KILL: self._kill_proxies,
            FaultKind.ROLLING_PROXY_RESTART: self._restart_proxies,
            FaultKind.VOTES_LOST: self._lose_votes,
            FaultKind.ZONE_PARTITION: self._partition_zone,
            FaultKind.ZONE_LOSS: self._lose_zone,
        }

    async def run(self, fault: FaultConfig) -> None:
        """Wait until the fault's time, seconds of the record's clock, and inject it for its length."""
        record = self.deployment.record
        await anyio.sleep(max(0.0, fault.at - record.now()))
        record.note("trouble", kind=fault.kind, at=fault.at, length=fault.length)
        await self._injections[fault.kind](fault)
        record.note("trouble_over", kind=fault.kind, at=fault.at)

    # What is hit

    def _draw_servers(self, part: float) -> list[EmulatedServer]:
        servers = self.deployment.fleet.running_servers()
        return self.random.sample(servers, min(len(servers), ceil(part * len(servers))))

    def _draw_proxies(self, part: float) -> list[int]:
        count = self.deployment.config.umpires.count
        return self.random.sample(range(count), max(1, round(part * count)))

    def _zone(self, fault: FaultConfig) -> str:
        return fault.zone or self.random.choice(self.deployment.config.zones)

    # Servers

    async def _lose_responses(self, fault: FaultConfig) -> None:
        servers = self._draw_servers(fault.part)
        for server in servers:
            server.lost_response_share = fault.size
            server.lost_response_failure = fault.how or SILENCE
        await anyio.sleep(fault.length)
        for server in servers:
            server.lost_response_share = 0.0

    async def _crash_servers(self, fault: FaultConfig) -> None:
        fleet = self.deployment.fleet
        machines = [machine for machine in fleet.machines() if machine.running]
        count = min(len(machines), ceil(fault.part * len(machines)))
        for machine in self.random.sample(machines, count):
            fleet.crash(machine, fault.length)
        await anyio.sleep(fault.length)

    async def _freeze_load_reports(self, fault: FaultConfig) -> None:
        """Servers go on with the load report that they sent last, and are slower."""
        servers = self._draw_servers(fault.part)
        for server in servers:
            server.fixed_load_report = server.load_report(self.deployment.record.now())["x-load"]
            server.slowdown = max(1.0, fault.extra)
        await anyio.sleep(fault.length)
        for server in servers:
            server.fixed_load_report, server.slowdown = None, 1.0

    async def _slow_handshakes(self, fault: FaultConfig) -> None:
        servers = self._draw_servers(fault.part)
        for server in servers:
            server.handshake_slowdown = max(1.0, fault.size)
        await anyio.sleep(fault.length)
        for server in servers:
            server.handshake_slowdown = 1.0

    async def _take_cpu(self, fault: FaultConfig) -> None:
        """Another program takes a share of some machines, on and off."""
        servers = self._draw_servers(fault.part)
        record, spell = self.deployment.record, max(MIN_NEIGHBOUR_SECONDS, fault.extra)
        until = record.now() + fault.length
        while record.now() < until:
            for server in servers:
                server.stolen_cpu_share = min(MAX_SHARE, fault.size)
            await anyio.sleep(min(spell, until - record.now()))
            for server in servers:
                server.stolen_cpu_share = 0.0
            await anyio.sleep(spell)

    async def _fail_health_checks(self, fault: FaultConfig) -> None:
        """Servers that serve well fail their health checks."""
        servers = self._draw_servers(fault.part)
        for server in servers:
            server.fails_health_checks = True
        await anyio.sleep(fault.length)
        for server in servers:
            server.fails_health_checks = False

    async def _slow_all_servers(self, fault: FaultConfig) -> None:
        environment = self.deployment.environment
        environment.slowdown *= max(1.0, fault.size)
        await anyio.sleep(fault.length)
        environment.slowdown /= max(1.0, fault.size)

    # Clients and their traffic

    async def _multiply_traffic(self, fault: FaultConfig) -> None:
        self.deployment.traffic.multiple *= max(1.0, fault.size)
        await anyio.sleep(fault.length)
        self.deployment.traffic.multiple /= max(1.0, fault.size)

    async def _add_heavy_tail(self, fault: FaultConfig) -> None:
        """Some of a route's requests cost many times their work."""
        route = fault.route or self.random.choice(self.deployment.config.routes).name
        heavy_tails = self.deployment.traffic.heavy_tails
        heavy_tails[route] = HeavyTail(max(MIN_HEAVY_SHARE, fault.extra), max(1.0, fault.size))
        await anyio.sleep(fault.length)
        heavy_tails.pop(route, None)

    async def _overload_proxies(self, fault: FaultConfig) -> None:
        """Some instances get more, in all a share of all traffic."""
        numbers = self._draw_proxies(fault.part)
        extra_shares = self.deployment.traffic.extra_shares
        for number in numbers:
            extra_shares[number] = fault.size / len(numbers)
        await anyio.sleep(fault.length)
        extra_shares.clear()

    async def _shorten_patience(self, fault: FaultConfig) -> None:
        self.deployment.client_faults.lost_patience_share = min(MAX_SHARE, fault.size)
        await anyio.sleep(fault.length)
        self.deployment.client_faults.lost_patience_share = 0.0

    async def _retry_without_end(self, fault: FaultConfig) -> None:
        self.deployment.client_faults.retries_without_end = True
        await anyio.sleep(fault.length)
        self.deployment.client_faults.retries_without_end = False

    # Proxy instances

    async def _kill_proxies(self, fault: FaultConfig) -> None:
        numbers = self._draw_proxies(fault.part)
        for number in numbers:
            await self.deployment.proxies[number].kill()
        await anyio.sleep(fault.length)
        for number in numbers:
            self.deployment.proxies[number].begin()

    async def _restart_proxies(self, fault: FaultConfig) -> None:
        """Instances are restarted in batches, as for an upgrade."""
        numbers = list(range(round(fault.part * self.deployment.config.umpires.count) or 1))
        batch = max(1, ceil(fault.size * len(numbers)))
        pause = fault.length / ceil(len(numbers) / batch)
        for start in range(0, len(numbers), batch):
            for number in numbers[start : start + batch]:
                restart = self.deployment.proxies[number].restart
                self.deployment.tasks.start_soon(restart, max(MIN_DOWN_SECONDS, fault.extra))
            await anyio.sleep(pause)

    # Network

    async def _lose_gossip(self, fault: FaultConfig) -> None:
        self.deployment.links.datagrams_blocked = True
        await anyio.sleep(fault.length)
        self.deployment.links.datagrams_blocked = False

    async def _slow_links(self, fault: FaultConfig) -> None:
        zone = self._zone(fault)
        self.deployment.links.added_zone_delay[zone] = fault.size
        await anyio.sleep(fault.length)
        self.deployment.links.added_zone_delay.pop(zone, None)

    async def _partition_zone(self, fault: FaultConfig) -> None:
        zone = self._zone(fault)
        self.deployment.links.partitioned_zones.add(zone)
        await anyio.sleep(fault.length)
        self.deployment.links.heal_zone(zone)

    async def _lose_zone(self, fault: FaultConfig) -> None:
        """All servers of a zone die, and if it is bad its instances too; servers come back cold."""
        zone = self._zone(fault)
        fleet = self.deployment.fleet
        for machine in [machine for machine in fleet.machines() if machine.zone == zone]:
            fleet.crash(machine, fault.length)
        lost: list[KillableProxy] = []
        if fault.size > ZONE_LOSS_WITH_PROXIES:
            lost = [proxy for proxy in self.deployment.proxies if proxy.zone == zone]
        for proxy in lost:
            await proxy.kill()
        await anyio.sleep(fault.length)
        for proxy in lost:
            proxy.begin()

    # Discovery and release controller

    async def _stop_discovery(self, fault: FaultConfig) -> None:
        self.deployment.discovery.is_down = True
        await anyio.sleep(fault.length)
        self.deployment.discovery.is_down = False

    async def _delay_discovery(self, fault: FaultConfig) -> None:
        self.deployment.discovery.added_delay += fault.size
        await anyio.sleep(fault.length)
        self.deployment.discovery.added_delay -= fault.size

    async def _delay_release_statuses(self, fault: FaultConfig) -> None:
        release_controller = self.deployment.release_controller
        release_controller.faults.status_delays[fault.build] = fault.size
        await anyio.sleep(fault.length)
        del release_controller.faults.status_delays[fault.build]

    async def _stall_release_controller(self, fault: FaultConfig) -> None:
        """Votes get no answer, though half of them count, or are answered with errors."""
        self.deployment.release_controller.faults.failure = fault.how or SILENCE
        await anyio.sleep(fault.length)
        self.deployment.release_controller.faults.failure = ""

    async def _lose_votes(self, fault: FaultConfig) -> None:
        """A share of the votes on one build gets lost, unanswered."""
        release_controller = self.deployment.release_controller
        release_controller.faults.vote_loss[fault.build] = fault.size
        await anyio.sleep(fault.length)
        del release_controller.faults.vote_loss[fault.build]
