"""Delivery by complete lists: one discovery service sends the fleet's list and its changes to everyone.

Configuration is a file that is read again at a signal, which nothing here carries to a proxy.
"""

from __future__ import annotations

from typing import ClassVar

from gullmount.scale.fleet.config import Delivery
from gullmount.scale.fleet.deployment import Deployment, HostGroup
from gullmount.scale.fleet.managed_process import READY_TIMEOUT_SECONDS
from gullmount.scale.fleet.process_messages import DiscoveryFile, HollowProcessFile, Reply
from gullmount.scale.fleet.proxy_settings import platform_proxy_file
from gullmount.scale.fleet.run_record import Role

DISCOVERY_PORT, PROXY_PORT = 7101, 7100


class CompleteListDeployment(Deployment):
    """A run of the emulator of the platform's discovery."""

    delivery: ClassVar[Delivery] = Delivery.COMPLETE_LISTS

    @property
    def origin(self) -> str:
        """Discovery's address, which changes are made at too."""
        return f"{self.host(HostGroup.SERVICES)}:{DISCOVERY_PORT}"

    def counted_hosts(self) -> dict[str, str]:
        """By proxy that discovery counts by itself, the host: the real ones and as many hollow ones."""
        hollow = self.drawn.hollow_proxies(0)[: len(self.real_proxies)]
        return {
            proxy.name: self.host(group, number)
            for group, proxies in (
                (HostGroup.REAL_PROXIES, self.real_proxies),
                (HostGroup.HOLLOW_CLIENTS, hollow),
            )
            for number, proxy in enumerate(proxies)
        }

    def own_discovery(self) -> dict[str, str]:
        """By proxy that discovery counts by itself, the address that it calls."""
        return {name: f"{host}:{DISCOVERY_PORT}" for host, name in self.record.proxy_by_host.items()}

    async def start_services(self) -> None:
        """Start discovery and release status."""
        self.record.proxy_by_host = {host: name for name, host in self.counted_hosts().items()}
        hosts = sorted(self.record.proxy_by_host)
        file = DiscoveryFile(
            **self.common_fields,
            port=DISCOVERY_PORT,
            hosts=[self.host(HostGroup.SERVICES), *hosts],
            counted_hosts=hosts,
        )
        discovery = self.start_child(Role.DISCOVERY, "lists", "discovery_emulator", file)
        await self.start_release_status()
        await discovery.wait_for_reply(Reply.READY, READY_TIMEOUT_SECONDS)
        self.record.list_bytes = discovery.replies[Reply.LIST_BYTES]

    def hollow_file(self, part: int) -> HollowProcessFile:
        """The file of one process of hollow clients: they call discovery and control service."""
        return HollowProcessFile(
            **self.common_fields,
            part=part,
            discovery=self.origin,
            control=self.control,
            own_discovery=self.own_discovery(),
        )

    def start_real_proxies(self) -> None:
        """Start the proxies that are processes of their own."""
        own_discovery = self.own_discovery()
        for number, proxy in enumerate(self.real_proxies):
            config = platform_proxy_file(
                proxy,
                self.fleet,
                listen=f"{self.host(HostGroup.SERVICES, 1 + number)}:{PROXY_PORT}",
                discovery=own_discovery[proxy.name],
                control=self.control,
                seed=self.seed,
            )
            path = self.write_file(f"real-{number}.json", config)
            environment = {"PROXY_CONFIG": str(path)}
            self.processes.start(
                Role.REAL, f"real-{number}", ["gullmount.platform"], environment, speaks=False
            )

    async def load(self) -> None:
        """Do nothing: discovery draws the servers itself."""

    def start_faults(self) -> None:
        """Do nothing: the file's faults are of relays."""

    async def read_summary(self) -> None:
        """Do nothing: discovery has no summary."""


DEPLOYMENT = CompleteListDeployment
