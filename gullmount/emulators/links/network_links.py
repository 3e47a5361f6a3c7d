"""What all emulated hosts share: where they are, the delays between zones, partitions and party links."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from random import Random

import anyio

from gullmount.emulators.links.handovers import ConnectionEnds, Handovers
from gullmount.emulators.links.party_link import PartyLink
from gullmount.net import MemoryNet


class NetworkLinks:
    """All links of a scenario. Zones are names; parties are known by the host they connect from.

    Attributes:
        memory_network: carries the streams; None where the machine's sockets do.
        random: draws numbers from 0 to 1.
        same_zone_delay: seconds one way within a zone.
        cross_zone_delay: seconds one way between zones.
        jitter: share of a delay that is chance, from 0 to 1.
        added_zone_delay: by zone, seconds that each way to or from it takes longer.
        partitioned_zones: those cut off from the others.
        datagram_delay: shortest and longest seconds of a datagram's delivery.
        datagram_loss: share of datagrams that are lost, from 0 to 1.
        datagrams_blocked: whether all are lost.
        handshakes: by address, returns the seconds until a connection to it stands.
        handovers: the latest delayed deliveries.
        zones_by_host: the zone of each host.
        names_by_host: the party at each host.
        emulates_accepted_links: whether parties that connect are other processes, so that their links are
            emulated on the accepting side.
        party_links: by the host that connects and the failure group of the host it connects to.
        failure_group: returns one name for hosts whose links fail together.
    """

    def __init__(self, memory_network: MemoryNet | None, seed: int) -> None:
        self.memory_network = memory_network
        self.random = Random(seed).random
        self.same_zone_delay = 0.0
        self.cross_zone_delay = 0.0
        self.jitter = 0.0
        self.added_zone_delay: dict[str, float] = {}
        self.partitioned_zones: set[str] = set()
        self.datagram_delay = (0.001, 0.005)
        self.datagram_loss = 0.0
        self.datagrams_blocked = False
        self.handshakes: dict[str, Callable[[], float]] = {}
        self.handovers = Handovers()
        self.zones_by_host: dict[str, str] = {}
        self.names_by_host: dict[str, str] = {}
        self.emulates_accepted_links = False
        self.party_links: dict[tuple[str, str], PartyLink] = defaultdict(PartyLink)
        self.failure_group: Callable[[str], str] = lambda host: host
        self._healed = anyio.Event()

    def link_between(self, ends: ConnectionEnds) -> PartyLink:
        """Return the link of who connects from this host to this address."""
        host, address = ends
        return self.party_links[host, self.failure_group(_host_of(address))]

    def add_host(self, host: str, name: str, zone: str) -> None:
        """Say which party and zone a host belongs to."""
        self.zones_by_host[host] = zone
        self.names_by_host[host] = name

    def zone_at(self, address: str) -> str:
        """Return the zone of an address's host; empty where it is not known."""
        return self.zones_by_host.get(_host_of(address), "")

    def delay(self, zone: str, other_zone: str) -> float:
        """Draw the seconds that a message takes from one zone to the other."""
        delay = self.same_zone_delay
        if zone != other_zone:
            added = self.added_zone_delay
            delay = self.cross_zone_delay + (added.get(zone, 0.0) + added.get(other_zone, 0.0))
        return delay * (1 - self.jitter / 2 + self.jitter * self.random()) if delay else 0.0

    def is_partitioned(self, zone: str, other_zone: str) -> bool:
        """Whether the two zones are cut off from each other."""
        partitioned = self.partitioned_zones
        return zone != other_zone and (zone in partitioned or other_zone in partitioned)

    async def wait_while_partitioned(self, zone: str, other_zone: str) -> None:
        """Return once the two zones are not cut off from each other."""
        while self.is_partitioned(zone, other_zone):
            await self._healed.wait()

    def heal_zone(self, zone: str) -> None:
        """End the zone's partition."""
        self.partitioned_zones.discard(zone)
        self._healed.set()
        self._healed = anyio.Event()


def _host_of(address: str) -> str:
    return address.rpartition(":")[0]
