"""One proxy instance on the platform: creates its components, starts them and shuts them down."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

import anyio
from anyio.abc import TaskGroup

from gullmount.net import Net, resident_bytes
from gullmount.platform.configuration import Configuration
from gullmount.platform.discovery_watch import DiscoveryWatch
from gullmount.platform.errors import InvalidPlatformMessageError
from gullmount.platform.http_adapter import PlatformAdapter
from gullmount.platform.log_events import LogEvent
from gullmount.platform.memory_limits import max_tracked_keys, request_memory_bytes
from gullmount.platform.release_controller import ReleaseControllerClient
from gullmount.platform.reporting import Reporter
from gullmount.platform.vote_gossip import VoteGossip
from gullmount.proxy.listener import BufferedListener
from gullmount.proxy.memory_budget import MemoryBudget
from gullmount.proxy.runtime import BufferedRuntime, LogFunction, read_clock

# How long the first endpoint list is awaited before clients are accepted. Longer than the random delay of the
# first call plus the wait that it asks discovery for.
FIRST_LIST_TIMEOUT_SECONDS = 6.2
# Clients still connect until 0.4 s after SIGTERM.
ACCEPT_AFTER_SIGTERM_SECONDS = 0.55
# The drain deadline after SIGTERM is the longest route timeout, but no more than this.
MAX_DRAIN_DEADLINE_SECONDS = 3.0
# The time from the drain deadline to SIGKILL.
KILL_MARGIN_SECONDS = 0.7
# Requests that are still being read are rejected this long before SIGKILL, which would cut them off.
REJECT_MARGIN_SECONDS = 0.4


class PlatformInstance:
    """Serves until it is stopped; addresses may change while it serves.

    Args:
        configuration: The configuration file and its decoded settings.
        net: Opens and accepts connections.
        log: Writes one log line.
        wall_clock: Returns the Unix time in seconds.
        clock: Returns the monotonic time in seconds.
        first_list_timeout: How long to wait for the first endpoint list before clients are accepted, in
            seconds, 6.2 by default.
    """

    def __init__(
        self,
        configuration: Configuration,
        net: Net,
        log: LogFunction,
        *,
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = read_clock,
        first_list_timeout: float = FIRST_LIST_TIMEOUT_SECONDS,
    ) -> None:
        self.configuration = configuration
        self.net = net
        self.log = log
        self.wall_clock = wall_clock
        self.clock = clock
        self.first_list_timeout = first_list_timeout
        self.accepts_clients = False
        self.stopping = False

    async def serve(self, task_group: TaskGroup) -> None:
        """Start the instance and return once clients are accepted; `task_group` runs its background tasks."""
        self.create_components(task_group)
        await self.start_services(task_group)

    def create_components(self, task_group: TaskGroup) -> None:
        """Create all components; `apply_configuration` and `stop` may be called from then on."""
        file, sockets = self.configuration.file, self.configuration.sockets
        memory = file.limits.memory_megabytes, resident_bytes()
        settings = replace(self.configuration.instance, max_tracked_keys=max_tracked_keys(*memory))
        self.adapter = PlatformAdapter(settings, sockets, file.limits.sockets, self.clock)
        self.runtime = BufferedRuntime(
            self.adapter,
            settings,
            self.net,
            task_group,
            self.log,
            self.clock,
            MemoryBudget(request_memory_bytes(*memory)),
        )
        self.discovery = DiscoveryWatch(
            self.runtime,
            self.adapter.addresses,
            self.net,
            file.discovery_address,
            self.wall_clock,
            settings.instance_count,
            lists_are_pushed=not settings.may_watch_endpoints,
        )
        self.release_controller = ReleaseControllerClient(
            self.runtime, self.net, file.release_controller.address, sockets.vote_timeout
        )
        self.listener = BufferedListener(self.runtime, self.net, task_group)
        self.runtime.on_vote = self.release_controller.vote
        self.runtime.on_watch_endpoints = self.discovery.start
        self.apply_starting_state()

    def apply_starting_state(self) -> None:
        """Apply the endpoint list and the release status from the configuration file.

        The first invalid one is logged, and the instance starts without it and without what follows it.
        """
        file = self.configuration.file
        try:
            if file.endpoint_list_fields is not None:
                self.discovery.apply_configured_list(file.endpoint_list_fields)
            if file.release_controller.status_fields is not None:
                self.release_controller.apply_configured_status(file.release_controller.status_fields)
        except InvalidPlatformMessageError as error:
            self.log(LogEvent.STARTING_STATE_INVALID, reason=str(error))

    async def start_services(self, task_group: TaskGroup) -> None:
        """Start all components and return once clients are accepted or the instance was stopped."""
        await self.start_gossip(task_group)
        self.discovery.start()
        task_group.start_soon(self.release_controller.run)
        with anyio.move_on_after(self.first_list_timeout):
            await self.discovery.first_call_ended.wait()
        if self.stopping:
            return
        self.accepts_clients = True
        address = self.configuration.file.listen_address
        task_group.start_soon(self.listener.listen, address)
        await self.listener.listening.wait()
        task_group.start_soon(Reporter(self.runtime, self.discovery, self.listener).run)
        self.log(LogEvent.LISTENING, address=address)

    async def start_gossip(self, task_group: TaskGroup) -> None:
        """Start to exchange votes with peers, if the settings enable gossip."""
        file = self.configuration.file
        if file.gossip_address is None or not self.configuration.instance.gossip_enabled:
            return
        gossip = VoteGossip(self.runtime, await self.net.datagrams(file.gossip_address), file.peer_addresses)
        self.runtime.on_gossip_vote = gossip.gossip_vote
        task_group.start_soon(gossip.receive_forever)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Switch to the service addresses of a new configuration; the settings are not changed."""
        self.discovery.change_address(configuration.file.discovery_address)
        self.release_controller.change_address(configuration.file.release_controller.address)

    async def stop(self) -> None:
        """Shut down gracefully: respond to all accepted requests, then return.

        Returns at once if clients were not accepted yet.
        """
        self.stopping = True
        if not self.accepts_clients:
            self.log(LogEvent.STOPPED_BEFORE_LISTENING)
            return
        longest_route_timeout = max(self.configuration.sockets.route_timeouts.values())
        reject_after_seconds = (
            min(MAX_DRAIN_DEADLINE_SECONDS, longest_route_timeout)
            + KILL_MARGIN_SECONDS
            - REJECT_MARGIN_SECONDS
        )
        read_seconds = max(0.0, reject_after_seconds - ACCEPT_AFTER_SIGTERM_SECONDS)
        await self.listener.stop(ACCEPT_AFTER_SIGTERM_SECONDS, read_seconds)
