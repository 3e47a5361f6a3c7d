"""One proxy instance: its tasks, its start from what it remembers, its graceful shutdown."""

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

SAVE_INTERVAL_SECONDS = 0.1  # endpoints that change more often are written less


def no_log(event: str, **fields: Any) -> None:
    """Log nothing."""


class ProxyInstance:
    """A context manager: it listens once it knows endpoints and a release, and stops when left.

    `seed` starts all randomness; `state_store` outlives the process, and so does the clock `wall`, in
    seconds. Where the analysis of candidates is a leased job, `analysis_leased` is set and `set_leader` says
    which instance has it; else that follows from the instance numbers.
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
        self.cached = CachedState()
        self.state_changed = anyio.Event()
        self.endpoints_known = anyio.Event()
        self.release_known = anyio.Event()

    async def __aenter__(self) -> Self:
        async with AsyncExitStack() as stack:
            self.task_group = await stack.enter_async_context(anyio.create_task_group())
            saved = self.load_state()
            self.build(restarted=saved is not None)
            if saved is not None:
                self.restore_state(saved)
            if self.config.peers is not None:
                datagrams = await self.net.datagrams(self.config.peers.listen)
                self.join_peers(PeerGossip(self.runtime, datagrams, dict(self.config.peers.addresses)))
            self.start_tasks()
            self.stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        self.task_group.cancel_scope.cancel()
        return await self.stack.__aexit__(exception_type, exception, traceback)

    def build(self, restarted: bool) -> None:
        """Make all parts and connect them."""
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

    def join_peers(self, peers: PeerGossip) -> None:
        """Exchange votes, evidence and findings with the peers."""
        self.runtime.on_gossip_vote = peers.gossip_vote
        attribution = self.runtime.router.attribution
        if attribution is not None:
            attribution.connect_peers(peers.send_samples, peers.send_assessment)
        self.task_group.start_soon(peers.receive_forever)

    def start_tasks(self) -> None:
        """Start all that runs as long as the instance."""
        if self.runtime.watch_requested:
            self.discovery.request_watch()
        if self.config.roster.how == "push":
            self.task_group.start_soon(self.discovery.watch_forever)
        self.task_group.start_soon(self.release_controller.watch)
        self.task_group.start_soon(self.runtime.upstream.sweep)
        self.task_group.start_soon(self.save_state)
        self.task_group.start_soon(self.listen)

    async def stop(self) -> None:
        """Accept nothing more and wait until each accepted request has its response."""
        await self.listener.stop()

    # The leased canary analysis.

    def set_leader(self, instance_number: int | None, token: int, reduced_build: int = 0) -> None:
        """Say which instance analyses two candidates from now on; see `Attribution.set_leader`."""
        attribution = self.runtime.router.attribution
        if attribution is not None:
            attribution.set_leader(self.runtime.now(), instance_number, token, reduced_build)

    def on_traffic_reduction(self, ask: Callable[[int], None]) -> None:
        """Set what is called when this instance would reduce a build's traffic, with 0 when that is over.

        `allow_traffic_reduction` answers it.
        """
        if self.runtime.router.attribution is not None:
            self.runtime.router.attribution.set_reduction_request_callback(ask)

    def allow_traffic_reduction(self, build: int) -> None:
        """Begin to reduce the build's traffic."""
        if self.runtime.router.attribution is not None:
            self.runtime.router.attribution.begin_traffic_reduction(self.runtime.now(), build)

    # Clients.

    async def listen(self) -> None:
        """Listen once endpoints and a release are known."""
        await self.endpoints_known.wait()
        await self.release_known.wait()
        self.log(LogEvent.LISTENING, address=self.config.listen)
        await self.listener.listen(self.config.listen)

    @property
    def listening(self) -> anyio.Event:
        """Set once clients are accepted."""
        return self.listener.listening

    @property
    def connections(self) -> Collection[StreamingDownstream]:
        """The open client connections."""
        return self.listener.connections

    # The state that outlives the process.

    def cache_endpoints(self, messages: Sequence[EndpointMessage], is_snapshot: bool) -> None:
        """Remember endpoints for the next start."""
        self.cached.update_endpoints(messages, is_snapshot, self.wall())
        self.endpoints_known.set()
        self.state_changed.set()

    def cache_release(self, status: ReleaseStatus) -> None:
        """Remember a release's status for the next start."""
        if self.cached.update_release(status):
            self.state_changed.set()
        self.release_known.set()

    async def save_state(self) -> None:
        """Save the state whenever it has changed, until cancelled."""
        while True:
            await self.state_changed.wait()
            self.state_changed = anyio.Event()
            try:
                await self.state_store.save(self.cached.encode())
            except OSError as error:
                self.log(LogEvent.STATE_NOT_SAVED, reason=error.strerror)
            await anyio.sleep(SAVE_INTERVAL_SECONDS)

    def load_state(self) -> SavedState | None:
        """Return what was saved before this start, if anything; unreadable text counts as an empty state."""
        try:
            data = self.state_store.load()
            return None if data is None else decode_state(data)
        except (OSError, InvalidMessageError) as error:
            self.log(LogEvent.CACHED_STATE_INVALID, reason=str(error))
            return SavedState([], [])

    def restore_state(self, saved: SavedState) -> None:
        """Start from the saved endpoints and releases.

        An exposure limit that fell since then binds as soon as the release controller is heard.
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
        """Return a saved endpoint with its age as of now; an invalid one is logged and dropped."""
        try:
            cached = convert(fields, CachedEndpoint)
        except InvalidMessageError as error:
            self.log(LogEvent.CACHED_ENDPOINT_INVALID, reason=str(error))
            return None
        self.cached.endpoints[cached.server_id] = cached
        age = None if cached.since is None else max(0.0, wall_time - cached.since)
        return self.discovery.start_times.endpoint(msgspec.structs.replace(cached, age=age), now)
