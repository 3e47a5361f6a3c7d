"""A proxy instance that claims leases for work of the whole fleet.

The holder of the leader's lease runs the canary analysis of releases for all instances.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from types import TracebackType
from typing import Self

import anyio
import msgspec
from anyio.abc import TaskGroup

from gullmount.consensus.client import RegisterClient
from gullmount.consensus.log_events import Log, no_log
from gullmount.leases.clock import boot_time_seconds
from gullmount.leases.config import AnnouncementConfig, LeasingProxyConfig
from gullmount.leases.errors import LeaseLostError
from gullmount.leases.held_lease import HeldLease
from gullmount.leases.lease_manager import LeaseManager
from gullmount.leases.log_events import LogEvent
from gullmount.leases.messages import LeaderAnnouncement, LeaseState
from gullmount.net import Net
from gullmount.proxy import ProxyInstance, StateStore
from gullmount.rpc import CallError, call

# Name of the leader's lease in configuration files and registers.
LEADER_LEASE = "judge"
# An announcement that arrives late is rejected by its token.
ANNOUNCEMENT_TIMEOUT_SECONDS = 2.0
INCARNATION_BITS = 62


class LeasingProxy:
    """A `ProxyInstance` that claims the leases in its file and does the work of those that it holds.

    Attributes:
        proxy_instance: The wrapped proxy instance.
        leases: Manager of the instance's leases.
        released: Event that is set once the leader's lease is released and will not be claimed again.
    """

    def __init__(
        self,
        config: LeasingProxyConfig,
        *,
        net: Net,
        seed: int | None = None,
        state_store: StateStore | None = None,
        wall: Callable[[], float] | None = None,
        clock: Callable[[], float] = boot_time_seconds,
        log: Log = no_log,
    ) -> None:
        """Build the instance.

        Args:
            config: Configuration with the section `ownership`.
            net: Network on which the instance listens and connects.
            seed: Seed of its random draws.
            state_store: Store of the state that outlives a restart.
            wall: Wall clock, in seconds.
            clock: Clock of the leases, in seconds.
            log: Called with an event and its fields.
        """
        lease_config = config.ownership
        assert lease_config is not None
        self.lease_config = lease_config
        self.config = config
        self.net = net
        self.log = log
        clock_arguments = {} if wall is None else {"wall": wall}
        analysis_leased = LEADER_LEASE in lease_config.jobs
        self.proxy_instance = ProxyInstance(
            config,
            net=net,
            seed=seed,
            state_store=state_store,
            log=log,
            analysis_leased=analysis_leased,
            **clock_arguments,
        )
        self.random = Random(self.proxy_instance.seed + 1)
        replicas = [lease_config.keepers[number] for number in sorted(lease_config.keepers)]
        self.registers = RegisterClient(net, replicas, self.random, lease_config.answer_within, log)
        self.leases = LeaseManager(
            self.registers,
            config.number,
            f"{self.random.getrandbits(INCARNATION_BITS):x}",
            list(lease_config.jobs),
            term_seconds=lease_config.term,
            margin_seconds=lease_config.margin,
            random=self.random,
            clock=clock,
            log=log,
        )
        self.tasks: TaskGroup
        self.stopping = anyio.Event()
        self.released = anyio.Event()

    async def __aenter__(self) -> Self:
        await self.proxy_instance.__aenter__()
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        if LEADER_LEASE in self.leases.views:
            self.leases.views[LEADER_LEASE].listeners.append(self._update_leader)
            self.tasks.start_soon(self._lead_until_stopped)
        self.tasks.start_soon(self.leases.run)
        self.tasks.start_soon(self.registers.follow_group)
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        self.tasks.cancel_scope.cancel()
        try:
            await self.tasks.__aexit__(exception_type, exception, traceback)
        finally:
            await self.proxy_instance.__aexit__(exception_type, exception, traceback)
        return None

    async def stop(self) -> None:
        """Release the leases, accept no more requests, and wait until all accepted ones are answered."""
        self.stopping.set()
        if LEADER_LEASE in self.leases.views:
            await self.released.wait()
        await self.proxy_instance.stop()

    # The leader.

    def _update_leader(self, state: LeaseState) -> None:
        pending = state.pending_work
        build = pending.get("lessened", 0) if isinstance(pending, dict) else 0
        self.proxy_instance.set_leader(state.holder, state.token, build if state.renewal == 0 else 0)

    async def _lead_until_stopped(self) -> None:
        """Do the leader's work whenever the lease is held, until the instance stops."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_when_stopping, tasks.cancel_scope)
            while True:
                try:
                    async with self.leases.hold(LEADER_LEASE) as held:
                        await self._lead_while_held(held)
                except* LeaseLostError:
                    self.proxy_instance.set_leader(None, self.leases.views[LEADER_LEASE].lease.state.token)
        self.released.set()

    async def _cancel_when_stopping(self, scope: anyio.CancelScope) -> None:
        await self.stopping.wait()
        scope.cancel()

    async def _lead_while_held(self, held: HeldLease) -> None:
        """Reduce the traffic of builds on request.

        Each build is stored in the register before its traffic reduction starts. Build 0 stands for the end
        of a reduction.
        """
        requested_builds: list[int] = []
        build_requested = anyio.Event()

        def request_reduction(build: int) -> None:
            if not requested_builds:
                requested_builds.append(build)
                build_requested.set()

        self.proxy_instance.on_traffic_reduction(request_reduction)
        async with anyio.create_task_group() as tasks:
            if self.lease_config.announce is not None:
                tasks.start_soon(self._announce, held, self.lease_config.announce)
            while True:
                await build_requested.wait()
                build_requested = anyio.Event()
                build = requested_builds[0]
                await held.write({"lessened": build})
                requested_builds.clear()
                if build:
                    self.proxy_instance.allow_traffic_reduction(build)

    async def _announce(self, held: HeldLease, receiver: AnnouncementConfig) -> None:
        """Announce the leader to the configured receiver at regular intervals.

        Raises:
            LeaseLostError: This instance no longer holds the lease.
        """
        sequence_number = 0
        while True:
            held.check()
            sequence_number += 1
            announcement = LeaderAnnouncement(
                work=held.name, holder=self.config.number, token=held.token, number=sequence_number
            )
            body = msgspec.json.encode(announcement)
            try:
                with anyio.fail_after(ANNOUNCEMENT_TIMEOUT_SECONDS):
                    await call(self.net, receiver.address, "POST", "/v1/owner", body)
            except (CallError, TimeoutError) as error:
                reason = str(error) or "no answer in time"
                self.log(LogEvent.LEADER_ANNOUNCEMENT_FAILED, reason=reason)
            await anyio.sleep(receiver.every)
