"""Hollow clients that subscribe to relays, on real sockets.

A full one is a real proxy with all that it holds, but for its listener and traffic; a light one is its
subscriber alone with the entries received, as no machine holds all proxies in full.
"""

from __future__ import annotations

from abc import abstractmethod
from collections import Counter
from collections.abc import Mapping
from random import Random
from typing import Any, ClassVar

import anyio
from anyio.abc import TaskGroup

from gullmount.distribution.config import SubscribedProxyConfig
from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.relay_selection import RelayEndpoint
from gullmount.distribution.subscribed_proxy import SubscribedProxy
from gullmount.distribution.subscriber import Subscriber
from gullmount.distribution.update_receiver import LineResult
from gullmount.proxy import ProxyInstance
from gullmount.proxy.log_events import LogEvent as ProxyLogEvent
from gullmount.scale.fleet.applied_versions import AppliedVersions
from gullmount.scale.fleet.config import FleetConfig
from gullmount.scale.fleet.counting_network import CountingNetwork
from gullmount.scale.fleet.digests import digest
from gullmount.scale.fleet.drawn_elements import ChangeKind, DrawnProxy, ServerState
from gullmount.scale.fleet.hollow_client import HollowClient
from gullmount.scale.fleet.process_messages import ClientReport, HollowProcessFile
from gullmount.scale.fleet.proxy_settings import subscribed_proxy_file

COUNTERS = (  # of a subscriber, by which samples and reports name them
    "snapshots",
    "changes",
    "moves",
    "old",
    "gaps",
    "not_understood",
    "unasked",
    "lower_epoch",
    "messages",
)
UNUSED_LISTEN_ADDRESS = "127.0.0.1:1"  # the file needs one
SEED_BITS = 60  # of a proxy's random draws

Entries = dict[str, Any]


def note_updates(subscriber: Subscriber, applied: AppliedVersions) -> None:
    """Note from now on what the subscriber receives, once that is in force."""
    on_updates = subscriber.on_updates

    def on_updates_noted(result: LineResult) -> None:
        on_updates(result)
        for update in result.updates:
            if subscriber.acknowledgements.in_force.get(update.topic) == update.version:
                applied.note(update.topic, *update.version)
        if subscriber.synced.is_set():
            applied.note_synced()

    subscriber.on_updates = on_updates_noted  # type: ignore[method-assign]


class HollowRelayClient(HollowClient):
    """What full and light clients of relays share."""

    NOT_PROBLEMS: ClassVar[frozenset[str]] = frozenset(
        {LogEvent.SUBSCRIBED, LogEvent.LEAVING_RELAY, ProxyLogEvent.CANARY_ANALYSIS}
    )
    subscriber: Subscriber | None = None  # there once it has begun

    def __init__(self, proxy: DrawnProxy, network: CountingNetwork, problems: Counter[str]) -> None:
        super().__init__(proxy, proxy.topics, network, problems)

    def start(self, tasks: TaskGroup) -> None:
        """Begin to subscribe, in a task of the group."""
        tasks.start_soon(self.run)

    @abstractmethod
    async def run(self) -> None:
        """Subscribe until cancelled."""

    @abstractmethod
    def held(self) -> dict[str, Entries]:
        """By topic the entries that it holds."""

    def counters(self) -> dict[str, int]:
        """What its subscriber counted so far."""
        subscriber = self.subscriber
        return {name: getattr(subscriber.counters, name) if subscriber else 0 for name in COUNTERS}

    def report(self) -> ClientReport:
        """What it saw, with digests of what it holds."""
        return self.applied.report({topic: digest(entries) for topic, entries in self.held().items()})


class FullRelayClient(HollowRelayClient):
    """A client with router, routes and release status."""

    def __init__(
        self,
        proxy: DrawnProxy,
        fleet: FleetConfig,
        network: CountingNetwork,
        file: HollowProcessFile,
        problems: Counter[str],
    ) -> None:
        super().__init__(proxy, network, problems)
        config = SubscribedProxyConfig.model_validate(
            subscribed_proxy_file(
                proxy,
                fleet,
                listen=UNUSED_LISTEN_ADDRESS,
                relays=file.relays,
                release_controller=file.release_controller,
                seed=Random(f"{file.seed} {proxy.name}").getrandbits(SEED_BITS),
            )
        )
        instance = ProxyInstance(config.without_discovery(), net=network, log=self.log)
        self.proxy = SubscribedProxy(config, instance, instance, network=network, log=self.log)
        self.proxy.listen = anyio.sleep_forever

    async def run(self) -> None:
        """Run the proxy until cancelled."""
        async with self.proxy as proxy:
            self.subscriber = proxy.subscriber
            note_updates(proxy.subscriber, self.applied)
            await anyio.sleep_forever()

    def held(self) -> dict[str, Entries]:
        """By topic the entries that it holds; a server only where its router has the same of it."""
        held: dict[str, Entries] = {
            f"{ChangeKind.CONFIGURATION.value}/{service}": value
            for service, value in self.proxy.routes.configurations.items()
        }
        for service, entries in self.proxy.endpoints.by_service.items():
            held[f"{ChangeKind.SERVERS.value}/{service}"] = {
                address: value for address, value in entries.items() if self.router_agrees(address, value)
            }
        return held

    def router_agrees(self, address: str, value: Mapping[str, Any]) -> bool:
        """Whether the router has the server in the state and place of its entry."""
        server = self.proxy.running.runtime.router.endpoints.servers.get(address)
        return (
            server is not None
            and server.ready == (value["state"] == ServerState.READY)
            and (server.zone, server.cell) == (value["zone"], value["cell"])
        )


class LightRelayClient(HollowRelayClient):
    """A client of a subscriber alone and the entries that it received."""

    def __init__(
        self,
        proxy: DrawnProxy,
        network: CountingNetwork,
        file: HollowProcessFile,
        problems: Counter[str],
    ) -> None:
        super().__init__(proxy, network, problems)
        self.entries: dict[str, Entries] = {topic: {} for topic in proxy.topics}
        self.subscriber = Subscriber(
            name=proxy.name,
            zone=proxy.zone,
            relays=[RelayEndpoint(relay.address, relay.zone) for relay in file.relays],
            services=proxy.services,
            network=network,
            random=Random(f"{file.seed} {proxy.name}"),
            handler=self,
            log=self.log,
        )
        note_updates(self.subscriber, self.applied)

    async def run(self) -> None:
        """Run the subscriber until cancelled."""
        assert self.subscriber is not None
        await self.subscriber.run()

    def apply_endpoints(self, service: str, is_snapshot: bool, entries: Mapping[str, Any | None]) -> None:
        """Hold a service's servers; None removes one."""
        self.apply(f"{ChangeKind.SERVERS.value}/{service}", is_snapshot, entries)

    def apply_configuration(self, service: str, entries: Mapping[str, Any | None]) -> None:
        """Hold a service's configuration; None removes an entry."""
        self.apply(f"{ChangeKind.CONFIGURATION.value}/{service}", False, entries)

    def apply(self, topic: str, is_snapshot: bool, entries: Mapping[str, Any | None]) -> None:
        """Hold entries of a topic, in place of all others where they are a snapshot."""
        held = self.entries[topic]
        if is_snapshot:
            held.clear()
        for key, value in entries.items():
            if value is None:
                held.pop(key, None)
            else:
                held[key] = value

    def held(self) -> dict[str, Entries]:
        """By topic the entries that it holds."""
        return self.entries


def make_client(
    proxy: DrawnProxy,
    fleet: FleetConfig,
    network: CountingNetwork,
    file: HollowProcessFile,
    problems: Counter[str],
) -> HollowRelayClient:
    """Make the client that plays `proxy`: full in the first processes, light in the others."""
    if file.part < fleet.full_processes:
        return FullRelayClient(proxy, fleet, network, file, problems)
    return LightRelayClient(proxy, network, file, problems)
