"""A fleet and its changes, drawn by a seed: same file and seed, same fleet and schedule. No I/O.

Each part has its own random draws, so that a process that needs proxies alone draws no servers.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import cached_property
from random import Random
from typing import Any, NamedTuple

from gullmount.scale.fleet.config import FleetConfig
from gullmount.scale.fleet.digests import digest, digest_servers
from gullmount.scale.fleet.drawn_elements import (
    CONFIGURATION_KEY,
    ChangeKind,
    DrawnChange,
    DrawnProxy,
    DrawnServer,
    ServerState,
    service_configuration,
)

CELLS_PER_ZONE = 40  # racks or switches
ZONE_LETTERS = "abcdefghijklmnopqrstuvwxyz"


class Arrival(NamedTuple):
    """When something changes, before it is drawn what does; sorted in this order."""

    at: float
    phase: int
    kind: ChangeKind


def zone_name(number: int) -> str:
    """Letters, one for the first zones and then two."""
    high, low = divmod(number, len(ZONE_LETTERS))
    return ZONE_LETTERS[low] if not high else f"{ZONE_LETTERS[high - 1]}{ZONE_LETTERS[low]}"


class DrawnFleet:
    """One fleet. Each part is drawn when it is first read, and cached."""

    def __init__(self, config: FleetConfig, seed: int) -> None:
        self.config = config
        self.seed = seed

    def random(self, part: str) -> Random:
        """The random draws of one part."""
        return Random(f"{self.seed} {part}")

    @cached_property
    def zones(self) -> list[str]:
        """Names of zones."""
        return [zone_name(number) for number in range(self.config.zones)]

    @cached_property
    def services(self) -> list[str]:
        """Names of services."""
        return [f"service-{number}" for number in range(self.config.services)]

    @cached_property
    def proxies(self) -> list[DrawnProxy]:
        """All proxies, zones filled alike.

        Services are dealt from shuffled decks of all of them, so that each is fronted as often as the
        others.
        """
        random, counts = self.random("umpires"), self.config.services_per_proxy
        proxies: list[DrawnProxy] = []
        deck: list[str] = []
        for number in range(self.config.proxies):
            services: list[str] = []
            while len(services) < counts[number % len(counts)]:
                if not deck:
                    deck = self.services[:]
                    random.shuffle(deck)
                service = deck.pop()
                if service not in services:
                    services.append(service)
            proxies.append(DrawnProxy(number, self.zones[number % len(self.zones)], tuple(services)))
        return proxies

    @cached_property
    def real_proxies(self) -> frozenset[int]:
        """Numbers of the proxies that are processes of their own."""
        return frozenset(self.random("real").sample(range(self.config.proxies), self.config.real_proxies))

    def hollow_proxies(self, part: int) -> list[DrawnProxy]:
        """The proxies of one hollow process: of few zones, as a zone's load comes together."""
        hollow = [proxy for proxy in self.proxies if proxy.number not in self.real_proxies]
        hollow.sort(key=lambda proxy: (proxy.number % len(self.zones), proxy.number))
        parts = self.config.hollow_processes
        return hollow[len(hollow) * part // parts : len(hollow) * (part + 1) // parts]

    @cached_property
    def servers(self) -> list[DrawnServer]:
        """All servers before the first change."""
        random, zones = self.random("boxes"), self.zones
        return [
            DrawnServer(
                number,
                self.services[number % len(self.services)],
                zones[int(random.random() * len(zones))],
                int(random.random() * CELLS_PER_ZONE),
            )
            for number in range(self.config.servers)
        ]

    @cached_property
    def changes(self) -> list[DrawnChange]:
        """All changes, by time.

        A server goes through draining, removed and back to ready; a configuration gets its next number.
        """
        random = self.random("changes")
        arrivals = self.draw_arrivals(random)
        servers: dict[int, DrawnServer] = {}
        numbers: dict[str, int] = {}
        changes = []
        for at, phase, kind in arrivals:
            if kind is ChangeKind.SERVERS:
                number = int(random.random() * self.config.servers)
                server = servers[number] = servers.get(number, self.servers[number]).changed()
                change = DrawnChange(round(at, 6), phase, kind, server.service, server, 0)
            else:
                service = self.services[int(random.random() * self.config.services)]
                numbers[service] = numbers.get(service, 0) + 1
                change = DrawnChange(round(at, 6), phase, kind, service, None, numbers[service])
            changes.append(change)
        return changes

    def draw_arrivals(self, random: Random) -> list[Arrival]:
        """When each kind of change comes, by time."""
        arrivals: list[Arrival] = []
        for number, (start, phase) in enumerate(self.config.phase_starts()):
            arrivals += [Arrival(start, number, ChangeKind.SERVERS)] * phase.servers_at_start
            for kind, rate in (
                (ChangeKind.SERVERS, phase.server_rate),
                (ChangeKind.CONFIGURATION, phase.configuration_rate),
            ):
                at = start
                while rate and (at := at + random.expovariate(rate)) < start + phase.duration:
                    arrivals.append(Arrival(at, number, kind))
        return sorted(arrivals)

    def topic_value(self, change: DrawnChange) -> dict[str, Any] | None:
        """The value of the changed entry of a topic; None where it is removed."""
        if change.server is not None:
            return change.server.topic_entry()
        return service_configuration(
            change.service, change.configuration_number, self.config.routes_per_service
        )

    def final_servers(self) -> Iterator[DrawnServer]:
        """All servers after the last change, removed ones too."""
        changed = {
            change.server.number: change.server for change in self.changes if change.server is not None
        }
        for server in self.servers:
            yield changed.get(server.number, server)

    def final_configuration_numbers(self) -> dict[str, int]:
        """By service whose configuration changed, its number after the last change."""
        return {
            change.service: change.configuration_number for change in self.changes if change.server is None
        }

    def expected_list_digest(self) -> str:
        """Digest of the complete list of servers after the last change."""
        return digest_servers(
            server.router_row() for server in self.final_servers() if server.state is not ServerState.REMOVED
        )

    def expected_topic_digests(self) -> dict[str, str]:
        """By topic, the digest of its entries after the last change."""
        entries: dict[str, dict[str, Any]] = {
            f"{ChangeKind.SERVERS.value}/{service}": {} for service in self.services
        }
        for server in self.final_servers():
            entry = server.topic_entry()
            if entry is not None:
                entries[f"{ChangeKind.SERVERS.value}/{server.service}"][server.address] = entry
        numbers = self.final_configuration_numbers()
        for service in self.services:
            configuration = service_configuration(
                service, numbers.get(service, 0), self.config.routes_per_service
            )
            entries[f"{ChangeKind.CONFIGURATION.value}/{service}"] = {CONFIGURATION_KEY: configuration}
        return {topic: digest(held) for topic, held in entries.items()}
