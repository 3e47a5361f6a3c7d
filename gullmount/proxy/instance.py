"""Runs one proxy instance: starts it from its saved state, owns its tasks and shuts it down gracefully."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Collection, Sequence
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any, Self

import anyio
import msgspec

from gullmount.decisions.model import Endpoint, EndpointUpdateKind
from gullmount.net import Net
from gullmount.proxy.cached_state import CachedEndpoint, CachedState, SavedState, decode_state
from gullmount.proxy.config import ProxyConfig
from gullmount.proxy.discovery_client import DiscoveryClient, EndpointMessage
from gullmount.proxy.generic_adapter import GenericAdapter
from gullmount.proxy.listener import StreamingListener
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.peer_gossip import PeerGossip
from gullmount.proxy.release_controller_client import ReleaseControllerClient, ReleaseStatus
from gullmount.proxy.runtime import StreamingRuntime
from gullmount.proxy.state_store import NullStateStore, StateStore
from gullmount.proxy.streaming_downstream import StreamingDownstream
from gullmount.rpc import InvalidMessageError, convert

# Minimum time between two saves: changes that follow each other faster are saved together.
SAVE_INTERVAL_SECONDS = 0.1


def no_log(event: str, **fields: Any) -> None:
    """Discard a log event."""


class ProxyInstance:
    """One proxy instance, used as an asynchronous context manager.

    It listens once it knows endpoints and a release, and is cancelled when the context is left.

    Args:
        config: The configuration of the instance.
        net: The network that it listens on and connects through.
        seed: Seed of all random numbers. Defaults to the configured seed, or to a random one.
        state_store: Keeps state across restarts. By default nothing is kept.
        wall: Wall clock in seconds. Unlike the event loop's clock it goes on across restarts.
        log: Called with each event and its fields.
        analysis_leased: Whether the canary analysis runs under a lease. If so, `set_leader` names the
            instance that analyses; otherwise that follows from the instance numbers.
    """

    def __init__(
        self,
        config: ProxyConfig,
        *,
        net: Net,
        seed: int | None = None,
        state_store: StateStore | None = None,
        wall: Callable[[], float] = time.time,
        log: Callable[..., None] = no_log,
        analysis_leased: bool = False,
    ) -> None:
        self.analysis_leased = analysis_leased
        self.config = config
        self.net = net
        if seed is None:
            seed = config.seed if config.seed is not None else random.getrandbits(62)
        self.seed = seed
        self.state_store = state_store or NullStateStore()
        self.wall = wall
        self.log = log
        self.cached_state = CachedState()
        self.state_changed = anyio.Event()
        self.endpoints_known = anyio.Event()
        self.release_known = anyio.Event()

    async def __aenter__(self) -> Self:
        async with AsyncExitStack() as stack:
            self.task_group = await stack.enter_async_context(anyio.create_task_group())
            saved = self.load_state()
            self.create_components(restarted=saved is not None)
            if saved is not None:
                self.restore_state(saved)
            if self.config.peers is not None:
                datagrams = await self.net.datagrams(self.config.peers.listen)
                self.start_gossip(PeerGossip(self.runtime, datagrams, dict(self.config.peers.addresses)))
            self.start_tasks()
            self.exit_stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        self.task_group.cancel_scope.cancel()
        return await self.exit_stack.__aexit__(exception_type, exception, traceback)

    def create_components(self, restarted: bool) -> None:
        """Create the components and connect them to each other."""
        config, net = self.config, self.net
        settings = config.instance_settings(self.seed, restarted)
        self.runtime = StreamingRuntime(GenericAdapter(config), settings, net, self.task_group, self.log)
        if self.analysis_leased:
            self.set_leader(None, 0)
        self.listener = StreamingListener(self.runtime, net, self.task_group)
        self.discovery = DiscoveryClient(self.runtime, net, config.roster.address, self.cache_endpoints)
        self.release_controller = ReleaseControllerClient(
            self.runtime, net, config.launcher, self.cache_release
        )
        self.runtime.on_vote = self.release_controller.vote
        self.runtime.on_watch_endpoints = self.discovery.request_watch

    def start_gossip(self, gossip: PeerGossip) -> None:
        """Exchange votes, samples and assessments with the peers through `gossip`."""
        self.runtime.on_gossip_vote = gossip.gossip_vote
        attribution = self.runtime.router.attribution
        if attribution is not None:
            attribution.connect_peers(gossip.send_samples, gossip.send_assessment)
        self.task_group.start_soon(gossip.receive_forever)

    def start_tasks(self) -> None:
        """Start the tasks that run as long as the instance."""
        if self.runtime.watch_requested:
            self.discovery.request_watch()
        if self.config.roster.how == "push":
            self.task_group.start_soon(self.discovery.watch_forever)
        self.task_group.start_soon(self.release_controller.watch)
        self.task_group.start_soon(self.runtime.upstream.sweep)
        self.task_group.start_soon(self.save_state)
        self.task_group.start_soon(self.listen)

    async def stop(self) -> None:
        """Stop accepting requests and wait until each accepted one has its response."""
        await self.listener.stop()

    # The leased canary analysis.

    def set_leader(self, instance_number: int | None, token: int, reduced_build: int = 0) -> None:
        """Set the instance that analyses two candidates from now on; see `Attribution.set_leader`."""
        attribution = self.runtime.router.attribution
        if attribution is not None:
            attribution.set_leader(self.runtime.now(), instance_number, token, reduced_build)

    def on_traffic_reduction(self, callback: Callable[[int], None]) -> None:
        """Set the callback by which this instance requests to reduce a build's traffic.

        It is called with the build, and with 0 when the reduction is over. The reduction begins once
        `allow_traffic_reduction` is called.
        """
        if self.runtime.router.attribution is not None:
            self.runtime.router.attribution.set_reduction_request_callback(callback)

    def allow_traffic_reduction(self, build: int) -> None:
        """Start the traffic reduction that was requested for the build."""
        if self.runtime.router.attribution is not None:
            self.runtime.router.attribution.begin_traffic_reduction(self.runtime.now(), build)

    # Clients.

    async def listen(self) -> None:
        """Wait until endpoints and a release are known, then accept clients."""
        await self.endpoints_known.wait()
        await self.release_known.wait()
        self.log(LogEvent.LISTENING, address=self.config.listen)
        await self.listener.listen(self.config.listen)

    @property
    def listening(self) -> anyio.Event:
        """Event that is set once clients are accepted."""
        return self.listener.listening

    @property
    def connections(self) -> Collection[StreamingDownstream]:
        """The open client connections."""
        return self.listener.connections

    # State that is kept across restarts.

    def cache_endpoints(self, messages: Sequence[EndpointMessage], is_snapshot: bool) -> None:
        """Cache endpoints for the next start."""
        self.cached_state.update_endpoints(messages, is_snapshot, self.wall())
        self.endpoints_known.set()
        self.state_changed.set()

    def cache_release(self, status: ReleaseStatus) -> None:
        """Cache a release status for the next start."""
        if self.cached_state.update_release(status):
            self.state_changed.set()
        self.release_known.set()

    async def save_state(self) -> None:
        """Save the state after each change, until cancelled; a failed save is logged."""
        while True:
            await self.state_changed.wait()
            self.state_changed = anyio.Event()
            try:
                await self.state_store.save(self.cached_state.encode())
            except OSError as error:
                self.log(LogEvent.STATE_NOT_SAVED, reason=error.strerror)
            await anyio.sleep(SAVE_INTERVAL_SECONDS)

    def load_state(self) -> SavedState | None:
        """Return the saved state, or None if nothing was saved.

        A state that cannot be read or decoded is logged and counts as empty.
        """
        try:
            data = self.state_store.load()
            return None if data is None else decode_state(data)
        except (OSError, InvalidMessageError) as error:
            self.log(LogEvent.CACHED_STATE_INVALID, reason=str(error))
            return SavedState([], [])

    def restore_state(self, saved: SavedState) -> None:
        """Apply the saved endpoints and releases.

        If an exposure limit was lowered since then, the lower one applies from the release controller's
        first message on.
        """
        now, wall_time = self.runtime.now(), self.wall()
        restored = [self.restore_endpoint(fields, now, wall_time) for fields in saved.endpoints]
        endpoints = [endpoint for endpoint in restored if endpoint is not None]
        if endpoints:
            self.runtime.router.update_endpoints(EndpointUpdateKind.CACHED, endpoints)
            self.endpoints_known.set()
        for fields in saved.releases:
            try:
                self.release_controller.apply_status(fields)
            except InvalidMessageError as error:
                self.log(LogEvent.CACHED_RELEASE_INVALID, reason=str(error))

    def restore_endpoint(self, fields: Any, now: float, wall_time: float) -> Endpoint | None:
        """Return a saved endpoint with its current age, or None after logging that it is invalid."""
        try:
            cached = convert(fields, CachedEndpoint)
        except InvalidMessageError as error:
            self.log(LogEvent.CACHED_ENDPOINT_INVALID, reason=str(error))
            return None
        self.cached_state.endpoints[cached.server_id] = cached
        age = None if cached.since is None else max(0.0, wall_time - cached.since)
        return self.discovery.start_times.to_endpoint(msgspec.structs.replace(cached, age=age), now)
