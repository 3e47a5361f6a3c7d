"""Keeps the endpoint list up to date by calls of discovery.

`decisions.endpoint_freshness` makes the decisions: it is told how each call ended, plans the next call, and
says whether requests may still be routed by the list. A response that cannot be decoded ends its call, and
the list in force stays.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from gullmount.decisions.endpoint_freshness import CallFailure, EndpointFreshness, EndpointListState
from gullmount.decisions.model import EndpointUpdateKind
from gullmount.net import Net
from gullmount.platform.discovery_client import DiscoveryCall, DiscoveryCallError, DiscoveryClient
from gullmount.platform.endpoint_cache import EndpointCache
from gullmount.platform.endpoint_codec import EndpointPage, convert_page
from gullmount.platform.errors import InvalidPlatformMessageError
from gullmount.platform.log_events import LogEvent
from gullmount.platform.server_start_times import ServerStartTimes
from gullmount.platform.service_watch import ServiceWatch
from gullmount.proxy.runtime import BufferedRuntime


class DiscoveryWatch(ServiceWatch):
    """Calls discovery for as long as the instance runs and applies each response.

    Args:
        runtime: The router, clock, log and task group of the instance.
        addresses: The address of each server by id, shared with the protocol adapter.
        net: Opens connections.
        address: The address of discovery, of the form host:port.
        wall_clock: Returns the Unix time in seconds; servers' start times are given in Unix time.
        instance_count: The number of proxy instances in the fleet, 1 by default.
        lists_are_pushed: Whether what discovery has counts as notified without a call, False by default.
    """

    def __init__(
        self,
        runtime: BufferedRuntime,
        addresses: dict[str, str],
        net: Net,
        address: str,
        wall_clock: Callable[[], float],
        instance_count: int = 1,
        lists_are_pushed: bool = False,
    ) -> None:
        super().__init__(address)
        self.runtime = runtime
        self.client = DiscoveryClient(net, runtime.now, runtime.stalls)
        self.freshness = EndpointFreshness(
            instance_count, runtime.random, runtime.now(), lists_are_pushed=lists_are_pushed
        )
        self.logged_state = EndpointListState.SUSPECT
        start_times = ServerStartTimes(runtime.now, wall_clock)
        self.endpoints = EndpointCache(runtime, addresses, self.freshness, start_times)
        # Set by the first usable response, or once discovery could not be reached.
        self.first_call_ended = anyio.Event()
        self.call_count = 0
        self.running = False
        runtime.router.endpoints_are_stale = self.freshness.is_stale

    def apply_configured_list(self, fields: dict[str, Any]) -> None:
        """Apply the list from the configuration file.

        Raises:
            InvalidPlatformMessageError: The list is invalid; no entry of it is applied.
        """
        self.apply_page(convert_page(fields), EndpointUpdateKind.CACHED)

    def apply_page(self, page: EndpointPage, kind: EndpointUpdateKind) -> None:
        """Apply a page.

        Raises:
            InvalidPlatformMessageError: The page is invalid; no entry of it is applied.
        """
        self.endpoints.apply(page, kind)

    def start(self) -> None:
        """Start calling discovery in the background; has no effect if already started."""
        if not self.running:
            self.running = True
            self.runtime.task_group.start_soon(self.run)

    def change_address(self, address: str) -> None:
        """Call discovery at another address; the same address changes nothing.

        The new service is asked for the complete list, because its revisions may be numbered independently.
        """
        if address != self.address:
            self.endpoints.forget_revision()
            self.freshness.discovery_address_changed(self.runtime.now())
        super().change_address(address)

    async def run(self) -> None:
        """Call discovery until cancelled; a change of the address cancels the current call or delay."""
        while True:
            address = self.address
            with anyio.CancelScope() as self.watch_scope:
                while True:
                    await self.call_when_due()
            await self.client.disconnect()
            if self.address != address:
                # A response of the old service may have been applied after the address changed.
                self.endpoints.forget_revision()

    async def call_when_due(self) -> None:
        """Wait until the planned call is due, make it, and record how it ended."""
        planned = self.freshness.next_call
        delay = planned.not_before - self.runtime.now()
        if delay > 0:
            await anyio.sleep(delay)
        self.call_count += 1
        call = DiscoveryCall(self.call_count, planned, self.runtime.now())
        try:
            await self.make_call(call)
        except DiscoveryCallError as error:
            await self.client.disconnect()
            self.record_failure(call, error)
        except Exception as error:
            self.runtime.handler_errors.record("discovery answer", error)
            await self.client.disconnect()
            self.record_failure(call, DiscoveryCallError(CallFailure.BROKEN, "not handled"))
        self.log_state_change()

    async def make_call(self, call: DiscoveryCall) -> None:
        """Make one call and apply its response.

        Raises:
            DiscoveryCallError: The call failed, or its response cannot be applied.
        """
        stream = await self.client.connect(self.address)
        response = await self.client.get_page(stream, self.address, self.endpoints.revision, call)
        try:
            self.apply_page(response.page, response.page.kind)
        except InvalidPlatformMessageError as error:
            raise DiscoveryCallError(CallFailure.BROKEN, f"{type(error).__name__} {error}") from None
        self.record_success(call, response.page)
        if not response.reusable:
            await self.client.disconnect()

    def record_success(self, call: DiscoveryCall, page: EndpointPage) -> None:
        """Report the call to `freshness`, which renews the list's age, and log it."""
        now = self.runtime.now()
        self.freshness.call_succeeded(call.began_at, now, call.earliest_arrival_at)
        self.first_call_ended.set()
        self.runtime.log_event(
            LogEvent.DISCOVERY_CALL_SUCCEEDED,
            call=call.number,
            wait_seconds=round(call.planned.wait, 2),
            duration_seconds=round(now - call.began_at, 3),
            body_bytes=call.body_bytes,
            revision=page.revision,
            entries=len(page.entries),
            complete=page.complete,
        )

    def record_failure(self, call: DiscoveryCall, error: DiscoveryCallError) -> None:
        """Report the failure to `freshness`, which plans the next call, and log it."""
        now = self.runtime.now()
        self.freshness.call_failed(error.failure, call.began_at, now)
        if error.failure is CallFailure.UNREACHABLE:
            self.first_call_ended.set()
        self.runtime.log_event(
            LogEvent.DISCOVERY_CALL_FAILED,
            call=call.number,
            failure=error.failure.value,
            reason=error.detail,
            wait_seconds=round(call.planned.wait, 2),
            duration_seconds=round(now - call.began_at, 3),
            body_bytes=call.body_bytes,
            revision=self.endpoints.revision,
            next_in_seconds=round(self.freshness.next_call.not_before - now, 2),
            stale_in_seconds=round(self.freshness.stale_at - now, 2),
        )

    def log_state_change(self) -> None:
        """Log the state of the list if it changed since it was last logged."""
        state = self.freshness.state(self.runtime.now())
        if state is self.logged_state:
            return
        self.runtime.log_event(
            LogEvent.ENDPOINT_LIST_STATE_CHANGED,
            before=self.logged_state.value,
            now=state.value,
            revision=self.endpoints.revision,
        )
        self.logged_state = state
