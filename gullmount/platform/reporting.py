"""Periodic log lines of one instance: its counters, and how late the event loop was."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from gullmount.platform.discovery_watch import DiscoveryWatch
from gullmount.platform.log_events import LogEvent
from gullmount.proxy.listener import BufferedListener
from gullmount.proxy.runtime import BufferedRuntime

REPORT_INTERVAL_SECONDS = 5.0
MIN_REPORTED_DELAY_SECONDS = 0.05  # a sixth of a usual objective, which then reads as slowness of servers


@dataclass(frozen=True, slots=True)
class Reporter:
    """Reports what the parts of one instance have counted, through the runtime's log and clock."""

    runtime: BufferedRuntime
    discovery: DiscoveryWatch
    listener: BufferedListener

    async def run(self) -> None:
        """Write the reports for ever."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_SECONDS)
            self.report_event_loop_delay()
            self.report_counters()

    def report_event_loop_delay(self) -> None:
        """Log by how much timers were late at most since the last report, where that is noticeable."""
        delay = self.runtime.timers.take_max_delay()
        if delay > MIN_REPORTED_DELAY_SECONDS:
            self.runtime.log_event(LogEvent.EVENT_LOOP_DELAYED, max_seconds=round(delay, 3))

    def report_counters(self) -> None:
        """Log what was counted since the last report, and what is open now."""
        runtime, discovery = self.runtime, self.discovery
        now = runtime.now()
        runtime.log_event(
            LogEvent.COUNTERS,
            **runtime.counters.take_report(),
            open_requests=len(runtime.exchanges),
            client_connections=len(self.listener.connections),
            server_connections=runtime.upstream.open_connections,
            servers=len(runtime.router.endpoints.servers),
            servers_ready=runtime.router.endpoints.ready_count,
            endpoint_list_revision=discovery.endpoints.revision,
            endpoint_list_state=discovery.freshness.state(now).value,
            endpoint_list_stale_in_seconds=round(discovery.freshness.stale_at - now, 2),
        )
