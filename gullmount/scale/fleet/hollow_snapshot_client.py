"""A hollow client of complete lists, on real sockets.

The platform's own clients of discovery and control service with a router behind them; no listener and no
traffic.
"""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

from anyio.abc import TaskGroup

from gullmount.decisions.model import EndpointUpdateKind
from gullmount.platform.discovery_watch import DiscoveryWatch
from gullmount.platform.endpoint_codec import EndpointPage
from gullmount.platform.http_adapter import PlatformAdapter
from gullmount.platform.release_controller import ReleaseControllerClient
from gullmount.platform.runner import read_monotonic_clock
from gullmount.proxy.runtime import BufferedRuntime
from gullmount.scale.fleet.applied_versions import COMPLETE_LIST, AppliedVersions
from gullmount.scale.fleet.config import FleetConfig
from gullmount.scale.fleet.counting_network import CountingNetwork
from gullmount.scale.fleet.digests import digest_servers
from gullmount.scale.fleet.drawn_elements import BUILD, DrawnProxy, ServerRow
from gullmount.scale.fleet.hollow_client import HollowClient
from gullmount.scale.fleet.process_messages import ClientReport, HollowProcessFile
from gullmount.scale.fleet.proxy_settings import MAX_SOCKETS, platform_settings
from gullmount.settings import decode_instance_settings, decode_socket_settings

SEED_FACTOR = 1_000_003  # by which seeds of runs are apart, so that proxies of two runs draw differently


class NotedDiscoveryWatch(DiscoveryWatch):
    """The platform's own watch, which notes what it received once that is in force."""

    def __init__(self, applied: AppliedVersions, *arguments: Any) -> None:
        self.applied = applied
        super().__init__(*arguments)

    def apply_page(self, page: EndpointPage, kind: EndpointUpdateKind) -> None:
        """Apply a page as the platform does, and note its revision."""
        super().apply_page(page, kind)
        if kind is EndpointUpdateKind.SNAPSHOT or page.entries:
            self.applied.note(COMPLETE_LIST, 0, page.revision)
        self.applied.note_synced()


class HollowSnapshotClient(HollowClient):
    """One client; all it has beside its settings is made when it starts."""

    def __init__(
        self,
        proxy: DrawnProxy,
        fleet: FleetConfig,
        network: CountingNetwork,
        file: HollowProcessFile,
        problems: Counter[str],
    ) -> None:
        super().__init__(proxy, [COMPLETE_LIST], network, problems)
        self.settings = platform_settings(proxy, fleet)
        self.discovery_address = file.own_discovery.get(proxy.name, file.discovery)
        self.control_address = file.control
        self.seed = file.seed * SEED_FACTOR + proxy.number

    def start(self, tasks: TaskGroup) -> None:
        """Begin to watch discovery and the control service, in tasks of the group."""
        instance = decode_instance_settings(self.seed, self.settings)
        sockets = decode_socket_settings(self.settings)
        adapter = PlatformAdapter(instance, sockets, MAX_SOCKETS, read_monotonic_clock)
        self.runtime = BufferedRuntime(adapter, instance, self.network, tasks, self.log, read_monotonic_clock)
        self.discovery = NotedDiscoveryWatch(
            self.applied, self.runtime, adapter.addresses, self.network, self.discovery_address, time.time
        )
        control = ReleaseControllerClient(
            self.runtime, self.network, self.control_address, sockets.vote_timeout
        )
        self.runtime.on_vote = control.vote
        self.runtime.on_watch_endpoints = self.discovery.start
        self.discovery.start()
        tasks.start_soon(control.run)

    def report(self) -> ClientReport:
        """What it saw, with the digest of the servers that its router has."""
        endpoints = self.discovery.endpoints
        rows = [
            ServerRow(
                server.id,
                endpoints.addresses[server.id],
                server.zone,
                server.cell,
                server.ready,
                server.build,
                round(endpoints.processes[server.id].started_at_ms or 0),
            )
            for server in self.runtime.router.endpoints.servers.values()
        ]
        assert all(row.build == BUILD for row in rows)
        return self.applied.report({COMPLETE_LIST: digest_servers(rows)})

    def report_details(self) -> dict[str, int]:
        """The revision that it holds."""
        return {"revision": self.discovery.endpoints.revision}


make_client = HollowSnapshotClient
