"""The hosts of a script's parties, their addresses, and the configuration of a proxy instance there."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators.links import HostNetwork
from gullmount.fault_harness.config import HarnessConfig
from gullmount.fault_harness.party_names import (
    OPERATOR,
    RECEIVER,
    PartyKind,
    proxy_name,
    replica_name,
    split_name,
)
from gullmount.leases.config import LeasingProxyConfig
from gullmount.net import DatagramSocket, ShortageCallback, Stream, TcpNet
from gullmount.proxy import ProxyConfig
from gullmount.scenarios.deployment import Deployment
from gullmount.scenarios.proxy_process import ProxyFactory

# Ports. Where others connect to a replica or the receiver, a switch listens; itself it has another port.
REPLICA_SWITCH_PORT, REPLICA_PORT = 7299, 7298
RECEIVER_SWITCH_PORT, RECEIVER_PORT = 7003, 7004
PEER_PORT = 7100  # of a proxy, for the gossip of others
PEER_LINK_PORT = 8200  # and the number of the source: datagrams have a socket for each


class DirectNetwork:
    """The network as one host sees it, without the emulated links of the scenario.

    Switches and links listen and connect by it.
    """

    def __init__(self, party: HostNetwork) -> None:
        """Build the network of a party's host."""
        self._party = party
        base = party.links.memory_network
        self._net: Any = TcpNet(party.host) if base is None else base

    async def connect(self, address: str) -> Stream:
        """Connect from this host."""
        if self._party.links.memory_network is None:
            stream: Stream = await self._net.connect(address)
        else:
            stream = await self._net.connect(address, self._party.host)
        return stream

    async def serve(
        self,
        address: str,
        handler: Any,
        started: anyio.Event | None = None,
        on_shortage: ShortageCallback | None = None,
    ) -> None:
        """Serve connections, until cancelled."""
        await self._net.serve(address, handler, started, on_shortage)

    async def datagrams(self, address: str) -> DatagramSocket:
        """Open a socket for datagrams."""
        socket: DatagramSocket = await self._net.datagrams(address)
        return socket


class HarnessHosts(Deployment):
    """The scenario of a script, with the hosts of the parties that the harness adds.

    Attributes:
        script: what is played.
        virtual: in one process and virtual time.
        folder: takes the processes' files, disks and logs.
        founders: the numbers of the replicas that are there from the start.
    """

    def __init__(
        self,
        script: HarnessConfig,
        seed: int,
        tasks: TaskGroup,
        virtual: bool,
        block: str,
        folder: Path,
        start: ProxyFactory,
    ) -> None:
        """Build the hosts.

        Args:
            script: what is played.
            seed: of all that is drawn.
            tasks: run everything.
            virtual: in one process and virtual time.
            block: first half of the addresses.
            folder: takes the processes' files, disks and logs.
            start: makes a proxy instance in this process.
        """
        self.script = script
        self.virtual = virtual
        self.folder = folder
        self.founders = range(1, script.replicas.count + 1)
        super().__init__(script, seed, tasks, virtual, block, start)

    def leasing_config(self, config: ProxyConfig) -> LeasingProxyConfig:
        """Return a proxy instance's configuration with leases, and with its peers behind links."""
        me, leases = proxy_name(config.number), self.script.leases
        ownership = {
            "switched_on": True,
            "keepers": {number: self.replica_address(number) for number in self.founders},
            "term": leases.term,
            "margin": leases.margin,
            "answer_within": leases.answer_timeout,
            "announce": {
                "address": f"{self.host_named(RECEIVER)}:{RECEIVER_SWITCH_PORT}",
                "every": leases.announcement_interval,
            },
        }
        peers = config.peers
        if peers is not None:
            addresses = {
                number: address if number == config.number else self.peer_address(me, proxy_name(number))
                for number, address in peers.addresses.items()
            }
            peers = peers.model_copy(update={"addresses": addresses})
        fields = config.model_dump() | {"peers": peers and peers.model_dump(), "ownership": ownership}
        return LeasingProxyConfig.model_validate(fields)

    @property
    def proxy_names(self) -> list[str]:
        """The names of all proxy instances."""
        return [proxy_name(number) for number in range(self.script.umpires.count)]

    def host_named(self, name: str) -> str:
        """Return the host of a party."""
        kind, number = split_name(name)
        if kind == PartyKind.PROXY:
            return self.proxy_host(int(number))
        if kind == PartyKind.PROBE:
            return f"{self.block}.6.{number}"
        if kind == PartyKind.REPLICA:
            return f"{self.block}.5.{number}"
        return f"{self.block}.3.{4 if name == OPERATOR else 3}"

    def replica_address(self, number: int) -> str:
        """Return where others find a replica."""
        return f"{self.host_named(replica_name(number))}:{REPLICA_SWITCH_PORT}"

    def founder_addresses(self) -> list[str]:
        """Return where others find the replicas that are there from the start."""
        return [self.replica_address(number) for number in self.founders]

    def peer_address(self, source: str, target: str) -> str:
        """Return where the gossip of one proxy for another is sent."""
        return f"{self.host_named(target)}:{PEER_LINK_PORT + int(split_name(source).number)}"

    def attach(self, name: str) -> HostNetwork:
        """Attach a party's host to the emulated network, with new connections."""
        zones = self.script.zones
        kind, number = split_name(name)
        zone = zones[int(number) % len(zones)] if kind in (PartyKind.PROXY, PartyKind.REPLICA) else zones[0]
        return HostNetwork(self.links, self.host_named(name), name, zone, self.tasks)

    def direct_network(self, name: str) -> DirectNetwork:
        """Attach a party's host, and return its network without the emulated links."""
        return DirectNetwork(self.attach(name))
