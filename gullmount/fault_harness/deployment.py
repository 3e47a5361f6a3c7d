"""A script's deployment: proxy instances and replicas among the emulators, with a link between any two."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from gullmount.consensus.client import RegisterClient
from gullmount.consensus.errors import NoReplicaError
from gullmount.consensus.group_client import ReplicaGroupClient
from gullmount.emulators.lease_announcements import LeaseAnnouncementReceiver
from gullmount.emulators.links import PartyLink
from gullmount.fault_harness.config import LEADER_WORK, HarnessConfig
from gullmount.fault_harness.errors import StartTimeoutError
from gullmount.fault_harness.hosts import (
    PEER_PORT,
    RECEIVER_PORT,
    RECEIVER_SWITCH_PORT,
    REPLICA_PORT,
    HarnessHosts,
)
from gullmount.fault_harness.network_links import DatagramForwarder, HarnessLink, LinkSwitch
from gullmount.fault_harness.party_names import (
    DISCOVERY,
    OPERATOR,
    RECEIVER,
    RELEASE_CONTROLLER,
    SERVERS,
    probe_name,
    replica_name,
)
from gullmount.fault_harness.probes import RegisterProbe
from gullmount.fault_harness.proxy_instances import SEED_BITS, ProxyProcess, VirtualProxy
from gullmount.fault_harness.replica_instances import ReplicaInstance, ReplicaProcess, VirtualReplica
from gullmount.leases.leasing_proxy import LeasingProxy
from gullmount.leases.messages import lease_state_from
from gullmount.net import TcpNet
from gullmount.proxy import ProxyConfig
from gullmount.scenarios.proxy_config import PROXY_PORT

# Before the first client comes: processor time that a process needs until it serves.
STARTUP_SECONDS, STARTUP_SECONDS_PER_PROXY = 2.0, 0.2
MAX_STARTUP_SECONDS = 40.0  # on a busy machine, after which a script is not played
START_POLL_SECONDS = 0.05  # between looks whether the processes serve
GROUP_CHANGE_TIMEOUT_SECONDS = 2.5  # a replica takes 2 s for a change

ProxyUnderFaults = ProxyProcess | VirtualProxy
PartyPair = tuple[str, str]  # source and target of a link


class HarnessDeployment(HarnessHosts):
    """The parties of a script under way and the links between them.

    Attributes:
        replicas: by number, with the spare ones.
        receiver: takes the announcements of leaders.
        serving: set once the deployment serves, from when on the times of the script count.
    """

    def __init__(
        self, script: HarnessConfig, seed: int, tasks: TaskGroup, virtual: bool, block: str, folder: Path
    ) -> None:
        """Build the deployment; what an earlier script left in the folder is removed.

        Args:
            script: what is played.
            seed: of all that is drawn.
            tasks: run everything.
            virtual: in one process and virtual time.
            block: first half of the addresses.
            folder: takes the processes' files, disks and logs.
        """
        for leftover in [*folder.glob("keeper-*"), *folder.glob("umpire-*")]:
            shutil.rmtree(leftover)  # its disks would be taken for this one's
        self.proxy_class = VirtualProxy if virtual else ProxyProcess
        if not virtual:
            self.startup_seconds = STARTUP_SECONDS + STARTUP_SECONDS_PER_PROXY * script.umpires.count
        self.serving = anyio.Event()
        self._client_random = Random(seed)
        super().__init__(script, seed, tasks, virtual, block, folder, self._start_proxy)
        self.links.emulates_accepted_links = not virtual
        self.links.failure_group = lambda host: SERVERS if host.startswith(f"{block}.2.") else host
        made = VirtualReplica if virtual else ReplicaProcess
        count = script.replicas.count + script.replicas.spares
        self.replicas: dict[int, ReplicaInstance] = {
            number: made(self, number) for number in range(1, count + 1)
        }
        self.receiver = LeaseAnnouncementReceiver(
            self.attach(RECEIVER), f"{block}.3.3:{RECEIVER_PORT}", self.record, self.learn
        )
        self._harness_links: dict[PartyPair, HarnessLink] = {}

    # The start

    async def _wait_until_started(self) -> None:
        """Wait until the deployment serves; a fault before that would hit nobody.

        In virtual time a start takes no processor time, so that a fixed time is enough.
        """
        await super()._wait_until_started()
        if not self.virtual:
            await self._wait_until_all_serve()
            self.startup_seconds = self.record.now()
        self.record.note("serving")
        self.serving.set()

    async def _wait_until_all_serve(self) -> None:
        planned = self.startup_seconds
        while not await self._all_serve():
            late = self.record.now() - planned
            if late > MAX_STARTUP_SECONDS:
                raise StartTimeoutError(MAX_STARTUP_SECONDS)
            self.release_controller.delay_releases(late + START_POLL_SECONDS)
            await anyio.sleep(START_POLL_SECONDS)
        self.release_controller.delay_releases(self.record.now() - planned)

    async def _all_serve(self) -> bool:
        """Whether the lease is held and all proxies listen, which they do once lists are in force."""
        if LEADER_WORK not in self.receiver.lease_holders:
            return False
        return all([await self._listens(number) for number in range(self.script.umpires.count)])

    async def _listens(self, number: int) -> bool:
        try:
            stream = await TcpNet().connect(f"{self.proxy_host(number)}:{PROXY_PORT}")
        except OSError:
            return False
        await anyio.aclose_forcefully(stream)
        return True

    # Parties

    def _start_proxy(self, config: ProxyConfig, **arguments: Any) -> Any:
        proxy = self.proxy(config.number)
        assert isinstance(proxy, VirtualProxy)
        clocks = {"clock": proxy.clocks.lease.now, "wall": proxy.clocks.wall.now}
        return LeasingProxy(self.leasing_config(config), **arguments | clocks)

    def proxy(self, number: int) -> ProxyUnderFaults:
        """Return a proxy instance."""
        proxy = self.proxies[number]
        assert isinstance(proxy, ProxyProcess | VirtualProxy)
        return proxy

    @property
    def replica_names(self) -> list[str]:
        """The names of all replicas, with the spare ones."""
        return [replica_name(number) for number in self.replicas]

    async def learn(self, job: str) -> int | None:
        """Read the token that a lease's register holds, for a receiver that has just started.

        None where no replica answers.
        """
        client = RegisterClient(
            self.direct_network(RECEIVER),
            self.founder_addresses(),
            self._client_random,
            self.script.leases.answer_timeout,
        )
        try:
            return lease_state_from((await client.read(job)).value).token
        except NoReplicaError:
            return None

    def group_client(self) -> ReplicaGroupClient:
        """Return an operator's client of the group."""
        addresses = [self.replica_address(number) for number in self.replicas]
        return ReplicaGroupClient(self.direct_network(OPERATOR), addresses, GROUP_CHANGE_TIMEOUT_SECONDS)

    def start_parties(self) -> None:
        """Start the receiver, the first replicas and the probes."""
        self.tasks.start_soon(self.receiver.serve_calls)
        for number in self.founders:
            self.replicas[number].begin(bootstrap=True)
        for number in range(1, self.script.probes + 1):
            seed = self.random.getrandbits(SEED_BITS)
            network = self.direct_network(probe_name(number))
            addresses, interval = self.founder_addresses(), self.script.probe_interval
            probe = RegisterProbe(number, network, addresses, self.record, seed, interval)
            self.tasks.start_soon(probe.run)

    # Links

    async def add_links(self) -> None:
        """Put a switch before each replica and the receiver, and links between the proxies."""
        proxies, replicas = self.proxy_names, self.replica_names
        probes = [probe_name(number) for number in range(1, self.script.probes + 1)]
        for number, name in zip(self.replicas, replicas, strict=True):
            own_address = f"{self.host_named(name)}:{REPLICA_PORT}"
            parties = [*replicas, *proxies, *probes, RECEIVER, OPERATOR]
            sources = [source for source in parties if source != name]
            self._add_switch(name, self.replica_address(number), own_address, sources)
        address = f"{self.host_named(RECEIVER)}:{RECEIVER_SWITCH_PORT}"
        self._add_switch(RECEIVER, address, self.receiver.address, proxies)
        if self.script.umpires.may_tell:
            await self._add_datagram_links(proxies)

    def _add_switch(self, target: str, address: str, own_address: str, sources: list[str]) -> None:
        switch = LinkSwitch(own_address)
        for source in sources:
            link = self._harness_links[source, target] = HarnessLink(source, target, self.tasks)
            switch.add_link(self.host_named(source), link, self.direct_network(source))
        self.tasks.start_soon(switch.run, self.direct_network(target), address)

    async def _add_datagram_links(self, proxies: list[str]) -> None:
        pairs = [(source, target) for source in proxies for target in proxies if source != target]
        sockets = {}
        for source, target in pairs:
            self._harness_links[source, target] = HarnessLink(source, target, self.tasks)
            network = self.direct_network(target)
            sockets[source, target] = await network.datagrams(self.peer_address(source, target))
        chance = Random(self.random.getrandbits(SEED_BITS)).random
        for source, target in pairs:
            forwarder = DatagramForwarder(self._harness_links[source, target], chance)
            near, far = sockets[source, target], sockets[target, source]
            target_address = f"{self.host_named(target)}:{PEER_PORT}"
            self.tasks.start_soon(forwarder.run, near, far, target_address)

    def links_between(self) -> Iterator[tuple[PartyPair, PartyLink]]:
        """Yield the links by source and target: of the harness, and of proxies to emulated services."""
        yield from self._harness_links.items()
        hosts = {
            DISCOVERY: self.discovery.network.host,
            RELEASE_CONTROLLER: self.release_controller.network.host,
            SERVERS: SERVERS,
        }
        for proxy in self.proxy_names:
            for service, host in hosts.items():
                yield (proxy, service), self.links.party_links[self.host_named(proxy), host]
