"""A scenario under way: proxy instances among the emulators of all that is around them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators.clients import ClientFaults, KeyDistribution, ProxyClients
from gullmount.emulators.discovery import DiscoveryEmulator
from gullmount.emulators.fleet import Fleet, Placement
from gullmount.emulators.links import HostNetwork, NetworkLinks
from gullmount.emulators.record import Record
from gullmount.emulators.release_controller import ReleaseControllerEmulator
from gullmount.emulators.servers import BuildDefect, ServerEnvironment, ServerSettings
from gullmount.net import MemoryNet
from gullmount.proxy import ProxyConfig
from gullmount.scenarios.config import ScenarioConfig
from gullmount.scenarios.emulator_settings import (
    client_routes,
    client_settings,
    release_controller_settings,
    server_settings,
)
from gullmount.scenarios.faults import FaultSchedule
from gullmount.scenarios.proxy_config import PEER_PORT, PROXY_PORT, proxy_config
from gullmount.scenarios.proxy_process import ProxyFactory, RestartableProxy
from gullmount.scenarios.traffic import Traffic

STARTUP_SECONDS = 1.0  # in which proxy instances start before the first client comes
DRAIN_SECONDS = 8.0  # after the last arrival, until which all should have a response
DRAIN_CHECK_SECONDS = 0.1
FIRST_BUILD = 1  # the baseline; releases are numbered on from it
CELLS_PER_ZONE = 1000  # numbers of cells that each zone has for itself
SEED_BITS = 60

# Second half of the addresses: proxy instances and their clients have a host each, counted from 1.
PROXY_NETWORK = 1
CLIENT_NETWORK = 4
DISCOVERY_HOST = "3.1"
RELEASE_CONTROLLER_HOST = "3.2"

DISCOVERY_PORT = 7001
RELEASE_CONTROLLER_PORT = 7002


class Deployment:
    """All processes of a scenario.

    The names that hosts have in records are words of the files: `umpire 0`, `roster`, `launcher`.

    Attributes:
        proxy_class: how a proxy instance runs.
        learn: gives the fencing token that a leased work's register holds; None where there are no leases.
        startup_seconds: in which proxy instances start before the first client comes.
        has_ended: whether nothing is started any more.
        environment: what the servers share.
        proxies: the instances by their numbers.
        clients: each instance's, by its number.
        client_faults: what faults do to all clients.
    """

    proxy_class: type[RestartableProxy] = RestartableProxy
    learn: Callable[[str], Awaitable[int | None]] | None = None
    startup_seconds = STARTUP_SECONDS

    def __init__(
        self,
        config: ScenarioConfig,
        seed: int,
        tasks: TaskGroup,
        virtual: bool,
        block: str,
        proxy_factory: ProxyFactory,
    ) -> None:
        """Make all processes, none of which runs yet.

        Args:
            config: the scenario.
            seed: of all draws.
            tasks: all that runs as long as the deployment.
            virtual: whether the network is in memory.
            block: the block of loopback addresses.
            proxy_factory: makes a proxy instance.
        """
        self.config = config
        self.tasks = tasks
        self.block = block
        self.proxy_factory = proxy_factory
        self.has_ended = False
        self.client_faults = ClientFaults()
        self.record = Record()
        # All below draws: another order of these lines gives another record for the same seed.
        self.random = Random(seed)
        self.links = NetworkLinks(MemoryNet() if virtual else None, self._draw_seed())
        self._set_up_links()
        heavy_tail_seed = self._draw_seed()
        self.environment = ServerEnvironment(Random(self._draw_seed()), self.record, self._name_of)
        self._set_up_environment()
        self.fleet = self._make_fleet()
        self.discovery = self._make_discovery()
        self.release_controller = self._make_release_controller()
        if config.launcher.tally_period:
            self.environment.on_attempt = self.release_controller.record_attempt
        self.proxies = [
            self.proxy_class(self, number, config.zones[number % len(config.zones)])
            for number in range(config.umpires.count)
        ]
        fleet_speed = sum(place.speed for place in self.fleet.placements)
        self.traffic = Traffic(config, fleet_speed, heavy_tail_seed)
        self.clients = self._make_clients()
        self.fault_schedule = FaultSchedule(self, self._draw_seed())

    def proxy_host(self, number: int) -> str:
        """Return the loopback address of proxy instance `number`."""
        return f"{self.block}.{PROXY_NETWORK}.{number + 1}"

    def proxy_config(self, number: int, zone: str) -> ProxyConfig:
        """Return what the file of proxy instance `number` would hold."""
        return proxy_config(
            self.config,
            number,
            zone,
            listen=f"{self.proxy_host(number)}:{PROXY_PORT}",
            discovery_address=self.discovery.address,
            release_controller_address=self.release_controller.address,
            peer_addresses={
                peer: f"{self.proxy_host(peer)}:{PEER_PORT}" for peer in range(self.config.umpires.count)
            },
        )

    async def play(self) -> None:
        """Start all processes, let clients come for the scenario's length, await the last responses."""
        await self._start_processes()
        await self._wait_until_started()
        for fault in self.config.troubles:
            after_startup = fault.model_copy(update={"at": fault.at + self.startup_seconds})
            self.tasks.start_soon(self.fault_schedule.run, after_startup)
        until = self.record.now() + self.config.length
        for clients in self.clients:
            self.tasks.start_soon(clients.run, until)
        await anyio.sleep(self.config.length)
        for _ in range(round(DRAIN_SECONDS / DRAIN_CHECK_SECONDS)):
            await anyio.sleep(DRAIN_CHECK_SECONDS)
            if not any(clients.in_flight for clients in self.clients):
                break
        self.has_ended = True
        self.record.note("over", out=sum(clients.in_flight for clients in self.clients))

    async def _wait_until_started(self) -> None:
        """Wait until clients may come and the times of the scenario begin."""
        await anyio.sleep(self.startup_seconds)

    async def _start_processes(self) -> None:
        self.tasks.start_soon(self.discovery.run)
        self.tasks.start_soon(self.release_controller.run)
        for place in self.fleet.placements:
            await self.fleet.start_initial(place, FIRST_BUILD)
        for proxy in self.proxies:
            proxy.begin()

    def _draw_seed(self) -> int:
        return self.random.getrandbits(SEED_BITS)

    def _name_of(self, host: str) -> str:
        return self.links.names_by_host.get(host, "")

    def _set_up_links(self) -> None:
        settings, links = self.config.links, self.links
        links.same_zone_delay, links.cross_zone_delay, links.jitter = (
            settings.same,
            settings.cross,
            settings.jitter,
        )
        links.datagram_delay, links.datagram_loss = settings.messages, settings.message_loss

    def _set_up_environment(self) -> None:
        for build, release in enumerate(self.config.releases, FIRST_BUILD + 1):
            route = release.route or self.random.choice(self.config.routes).name
            self.environment.defects[build] = BuildDefect(
                release.bad, release.size, route, release.speed, release.zone
            )
        self.environment.deduplication = {
            route.name: (route.group, route.dedupe_window)
            for route in self.config.routes
            if route.repeats == "deduped"
        }

    def _make_fleet(self) -> Fleet:
        seed, servers, zones = self._draw_seed(), self.config.boxes, self.config.zones
        kind: ServerSettings = server_settings(servers, self.config.rules, self.random)
        fleet = Fleet(
            self.tasks,
            self.links,
            kind,
            self.environment,
            self.block,
            seed,
            servers.boot,
            servers.drain_time,
        )
        for number in range(servers.count):
            zone = number % len(zones)
            cell = zone * CELLS_PER_ZONE + number // len(zones) // servers.cell_size
            fleet.placements.append(Placement(zones[zone], cell, self.random.uniform(*servers.speed)))
        return fleet

    def _make_discovery(self) -> DiscoveryEmulator:
        host, settings = f"{self.block}.{DISCOVERY_HOST}", self.config.roster
        return DiscoveryEmulator(
            self.tasks,
            HostNetwork(self.links, host, "roster", self.config.zones[0], self.tasks),
            f"{host}:{DISCOVERY_PORT}",
            self.fleet,
            self.record,
            self._draw_seed(),
            settings.notice,
            settings.silent_notice,
            settings.add,
            settings.period,
            settings.refuse,
        )

    def _make_release_controller(self) -> ReleaseControllerEmulator:
        host = f"{self.block}.{RELEASE_CONTROLLER_HOST}"
        return ReleaseControllerEmulator(
            self.tasks,
            HostNetwork(self.links, host, "launcher", self.config.zones[0], self.tasks),
            f"{host}:{RELEASE_CONTROLLER_PORT}",
            self.fleet,
            self.record,
            release_controller_settings(self.config.launcher),
            self._draw_seed(),
            [release.at + self.startup_seconds for release in self.config.releases],
            self.learn,
        )

    def _make_clients(self) -> list[ProxyClients]:
        settings, routes = client_settings(self.config), client_routes(self.config)
        made = []
        for proxy in self.proxies:
            number = proxy.number
            host = f"{self.block}.{CLIENT_NETWORK}.{number + 1}"
            keys = self._make_keys()
            made.append(
                ProxyClients(
                    number,
                    f"{self.proxy_host(number)}:{PROXY_PORT}",
                    HostNetwork(self.links, host, f"clients {number}", proxy.zone, self.tasks),
                    self.record,
                    self.tasks,
                    settings,
                    routes,
                    keys,
                    self._draw_seed(),
                    self.traffic.rate,
                    self.traffic.work_multiple,
                    self.client_faults,
                )
            )
        return made

    def _make_keys(self) -> KeyDistribution | None:
        load = self.config.load
        return KeyDistribution(Random(self._draw_seed()), load.keys, load.key_skew) if load.keys else None
