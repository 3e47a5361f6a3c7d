"""A proxy instance that receives endpoints and routes from relays, not from a discovery service and a file.

It accepts no request until every topic that it subscribes to is in force. The topics come from a relay or, if
no relay can be reached for a while, from the state that an earlier process stored.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from random import Random
from types import TracebackType
from typing import Any, Protocol, Self, cast

import anyio
from anyio.abc import TaskGroup

from gullmount.decisions.model import Route
from gullmount.distribution.config import SubscribedProxyConfig
from gullmount.distribution.endpoint_table import EndpointTable
from gullmount.distribution.errors import UnknownKeyError, UnusableUpdateError
from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.messages import ENDPOINTS_KIND, TOPIC_KINDS
from gullmount.distribution.relay_selection import RelayEndpoint
from gullmount.distribution.remembered_state import StoredTopic, decode_topics, encode_topics
from gullmount.distribution.route_table import RouteTable, parse_routes
from gullmount.distribution.subscriber import RememberedTopic, Subscriber
from gullmount.distribution.subscription_client import Log, no_log
from gullmount.net import StreamNet
from gullmount.proxy import NullStateStore, ProxyInstance, StateStore
from gullmount.proxy.generic_adapter import GenericAdapter
from gullmount.rpc import InvalidMessageError

# Minimum time between two writes of the remembered state.
SAVE_SECONDS = 1.0
MAX_MISSING_LOGGED = 5
MAX_PROBLEMS_LOGGED = 3
# Added to the instance's seed, so that the subscriber draws other random numbers than the instance.
SEED_OFFSET = 2


class WrappedProxy(Protocol):
    """The proxy instance that is wrapped: a plain one, or one that also owns leased work."""

    async def __aenter__(self) -> Any: ...

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool | None: ...

    async def stop(self) -> None:
        """Shut down gracefully."""


class SubscribedProxy:
    """A proxy instance that subscribes to relays. Use it with `async with`, like a `ProxyInstance`."""

    def __init__(
        self,
        config: SubscribedProxyConfig,
        inner: WrappedProxy,
        running: ProxyInstance,
        *,
        network: StreamNet,
        state_store: StateStore | None = None,
        wall: Callable[[], float] = time.time,
        log: Log = no_log,
    ) -> None:
        """Wrap `inner`.

        Args:
            config: The configuration of the proxy.
            inner: The proxy instance to wrap.
            running: The instance that `inner` runs on. It is created with `config.without_discovery()` and
                not entered yet.
            network: The network on which relays are reached.
            state_store: Stores what was in force, for the next process.
            wall: Returns the wall clock time in seconds.
            log: The log function.
        """
        assert config.relays is not None
        self.config = config
        self.subscription = config.relays
        self.inner = inner
        self.running = running
        self.network = network
        self.state_store = state_store or NullStateStore()
        self.wall = wall
        self.log = log
        self.endpoints = EndpointTable(self.subscription.services, wall)
        self.routes = RouteTable(config, self.subscription.services)
        self.discovery_index = 0
        # Whether the router has received all endpoints once.
        self.router_informed = False
        self.save_due = anyio.Event()
        self.may_listen = anyio.Event()
        self.listen = running.listen
        running.listen = self.listen_when_ready  # type: ignore[method-assign]
        self.tasks: TaskGroup

    async def __aenter__(self) -> Self:
        await self.inner.__aenter__()
        remembered = self.restore()
        self.subscriber = Subscriber(
            name=f"umpire-{self.config.number}",
            zone=self.config.zone,
            relays=[RelayEndpoint(relay.address, relay.zone) for relay in self.subscription.at],
            services=self.subscription.services,
            network=self.network,
            random=Random(self.running.seed + SEED_OFFSET),
            handler=self,
            log=self.log,
            wall=self.wall,
            remembered=remembered,
        )
        self.all_remembered = len(remembered) == len(TOPIC_KINDS) * len(self.subscription.services)
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        for task in (self.subscriber.run, self.start, self.save_loop):
            self.tasks.start_soon(task)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool | None:
        self.tasks.cancel_scope.cancel()
        try:
            await self.tasks.__aexit__(kind, error, trace)
        finally:
            await self.inner.__aexit__(kind, error, trace)
        return None

    async def stop(self) -> None:
        """Accept no more requests and wait until all accepted requests have their responses."""
        await self.inner.stop()

    @property
    def listening(self) -> anyio.Event:
        """Set once requests are accepted."""
        return self.running.listening

    # Start

    async def listen_when_ready(self) -> None:
        """Start to listen once all topics are in force."""
        await self.may_listen.wait()
        await self.listen()

    async def start(self) -> None:
        """Wait until all topics are in force, then accept requests.

        After `start_within` seconds without them, the remembered state is used if it has all topics.
        """
        synced = self.subscriber.synced
        with anyio.move_on_after(self.subscription.start_within):
            await synced.wait()
        if not synced.is_set():
            wait_seconds = self.subscription.start_within
            if self.all_remembered:
                self.log(LogEvent.STARTED_FROM_REMEMBERED_STATE, waited_seconds=wait_seconds)
            else:
                missing = sorted(self.subscriber.store.never_received())[:MAX_MISSING_LOGGED]
                self.log(LogEvent.WAITING_FOR_RELAY, waited_seconds=wait_seconds, missing=missing)
                await synced.wait()
        self.inform_router("full", self.endpoints.listed_by)
        self.router_informed = True
        self.may_listen.set()

    # Updates

    def apply_endpoints(self, service: str, is_snapshot: bool, entries: Mapping[str, Any | None]) -> None:
        """Put a service's endpoints in force; malformed ones are skipped and logged."""
        result = self.endpoints.apply(service, is_snapshot, entries)
        if result.problems:
            self.log(
                LogEvent.ENDPOINTS_MALFORMED,
                service=service,
                reason=sorted(result.problems)[:MAX_PROBLEMS_LOGGED],
                count=self.endpoints.malformed_entries,
            )
        if self.router_informed and result.changed:
            self.inform_router("changes", result.changed)
        self.save_due.set()

    def inform_router(self, kind: str, addresses: Mapping[str, Any]) -> None:
        """Send these endpoints to the router as a message of a discovery service."""
        self.discovery_index += 1
        message = self.endpoints.discovery_message(kind, self.discovery_index, addresses)
        self.running.discovery.handle_message(message)

    def apply_configuration(self, service: str, entries: Mapping[str, Any | None]) -> None:
        """Replace the routes of a service; raise UnusableUpdateError if they are invalid."""
        unknown = sorted(entries.keys() - {"routes"})
        if unknown:
            raise UnknownKeyError(unknown[0])
        value = entries.get("routes")
        configuration = {} if value is None else {"routes": value}
        if self.routes.is_in_force(service, configuration):
            return
        routes = [] if value is None else parse_routes(value)
        self.routes.check_names(service, routes)
        proxy_runtime = self.running.runtime
        routes_by_name = cast(dict[str, Route], proxy_runtime.router.settings.routes)
        matchers = self.routes.replace(service, configuration, routes, routes_by_name, proxy_runtime.now())
        cast(GenericAdapter, proxy_runtime.adapter).routes = matchers
        self.save_due.set()

    # State that survives a restart

    def restore(self) -> dict[str, RememberedTopic]:
        """Put the state of an earlier process in force until newer updates arrive, and return its topics."""
        restored: dict[str, RememberedTopic] = {}
        for topic, stored in self.stored_topics().items():
            _, _, service = topic.partition("/")
            if service not in self.endpoints.by_service:
                # The earlier process subscribed to a service that this one does not.
                continue
            try:
                self.restore_topic(topic, stored)
            except UnusableUpdateError as error:
                self.log(LogEvent.REMEMBERED_CONFIGURATION_DROPPED, service=service, reason=error.reason)
            else:
                restored[topic] = RememberedTopic(stored.version, stored.entries)
        return restored

    def stored_topics(self) -> dict[str, StoredTopic]:
        """Load the topics from the state store; return none if it cannot be read."""
        try:
            data = self.state_store.load()
            return {} if data is None else decode_topics(data)
        except (OSError, InvalidMessageError) as error:
            self.log(LogEvent.REMEMBERED_STATE_UNREADABLE, reason=str(error))
            return {}

    def restore_topic(self, topic: str, stored: StoredTopic) -> None:
        """Put a remembered topic in force; raise UnusableUpdateError if its configuration is invalid."""
        kind, _, service = topic.partition("/")
        if kind == ENDPOINTS_KIND:
            self.apply_endpoints(service, True, stored.entries)
        else:
            self.apply_configuration(service, stored.entries)

    async def save_loop(self) -> None:
        """Save what is in force after each change, until cancelled."""
        while True:
            await self.save_due.wait()
            self.save_due = anyio.Event()
            topics = {
                topic: StoredTopic(version, self.entries_of(topic))
                for topic, version in self.subscriber.acknowledgements.in_force.items()
            }
            try:
                await self.state_store.save(encode_topics(topics))
            except OSError as error:
                self.log(LogEvent.REMEMBERED_STATE_NOT_SAVED, reason=error.strerror)
            await anyio.sleep(SAVE_SECONDS)

    def entries_of(self, topic: str) -> dict[str, Any]:
        """Return the entries of a topic that are in force."""
        kind, _, service = topic.partition("/")
        if kind == ENDPOINTS_KIND:
            return self.endpoints.by_service[service]
        return self.routes.configurations.get(service, {})
