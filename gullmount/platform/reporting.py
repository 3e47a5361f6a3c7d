"""Logs the counters of an instance and the delay of its event loop at regular intervals."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from gullmount.net import count_open_descriptors, resident_bytes
from gullmount.platform.discovery_watch import DiscoveryWatch
from gullmount.platform.log_events import LogEvent
from gullmount.proxy.listener import BufferedListener
from gullmount.proxy.runtime import BufferedRuntime

REPORT_INTERVAL_SECONDS = 5.0
# Minimum event loop delay that is logged. It is a sixth of a usual latency objective; such a delay looks like
# slow servers.
MIN_REPORTED_DELAY_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Reporter:
    """Logs the counters of one instance.

    Attributes:
        runtime: provides the log, the clock and the counters of requests.
        discovery: provides the state of the endpoint list.
        listener: provides the number of client connections.
    """

    runtime: BufferedRuntime
    discovery: DiscoveryWatch
    listener: BufferedListener

    async def run(self) -> None:
        """Log both reports at each interval until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_SECONDS)
            self.report_event_loop_delay()
            self.report_counters()

    def report_event_loop_delay(self) -> None:
        """Log the maximum delay of timers since the last report if it exceeds the threshold."""
        delay = self.runtime.timers.take_max_delay()
        if delay > MIN_REPORTED_DELAY_SECONDS:
            self.runtime.log_event(LogEvent.EVENT_LOOP_DELAYED, max_seconds=round(delay, 3))

    def report_counters(self) -> None:
        """Log the counts since the last report, the open requests and connections, and the endpoint list."""
        runtime, discovery = self.runtime, self.discovery
        now = runtime.now()
        runtime.log_event(
            LogEvent.COUNTERS,
            **runtime.counters.take_report(),
            open_requests=len(runtime.exchanges),
            open_descriptors=count_open_descriptors(),
            resident_bytes=resident_bytes(),
            request_memory_bytes=runtime.memory.used_bytes,
            memory_reclaims_total=runtime.memory.reclaim_count,
            client_connections=len(self.listener.connections),
            closing_connections=len(self.listener.closing),
            server_connections=runtime.upstream.open_connections,
            stray_responses_total=runtime.upstream.stray_data_count,
            servers=len(runtime.router.endpoints.servers),
            servers_ready=runtime.router.endpoints.ready_count,
            endpoint_list_revision=discovery.endpoints.revision,
            endpoint_list_state=discovery.freshness.state(now).value,
            endpoint_list_stale_in_seconds=round(discovery.freshness.stale_at - now, 2),
        )
