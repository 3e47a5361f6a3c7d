"""A relay subscribes to the origin for its subscribers and reports what is in force at them.

It holds the newest state of the topics that its subscribers request. While the origin cannot be reached, it
keeps serving the state it has. After its process was paused, it refreshes from the origin before it sends
anything.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from random import Random

import anyio

from gullmount.distribution.config import RelayConfig
from gullmount.distribution.encoding import encode
from gullmount.distribution.errors import (
    OriginNotReachedError,
    RefreshInProgressError,
    TooManyTopicsError,
)
from gullmount.distribution.http_interface import IN_FORCE_PATH, OK, json_response
from gullmount.distribution.in_force_summary import InForceSummary
from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.messages import RelaySummaryReport, SubscribeRequest
from gullmount.distribution.relay_selection import RelayEndpoint
from gullmount.distribution.subscriber_server import SubscriberServer
from gullmount.distribution.subscription_client import NEVER, Log, SubscriptionClient, no_log
from gullmount.distribution.subscriptions import Subscriptions
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.update_receiver import LineResult
from gullmount.distribution.versions import NO_VERSION
from gullmount.net import StreamNet
from gullmount.rpc import CallError, ConnectionPool, Request, Response

# A third of the silence after which a subscriber gives up a stream.
HEARTBEAT_SECONDS = 2.0
# Interval between checks for a changed summary.
REPORT_CHECK_SECONDS = 0.5
# Interval between reports of an unchanged summary. The origin counts a relay for 5 s without a report.
REPORT_SECONDS = 2.0
REPORT_TIMEOUT_SECONDS = 2.0
# Silence of the origin after which subscribers are told about it.
ORIGIN_SILENCE_SECONDS = 5.0
# Time between two clock checks above which the process counts as paused.
PAUSE_SECONDS = 3.0
# Time that the origin has to respond after a pause; then the held state is sent without its response.
REFRESH_TIMEOUT_SECONDS = 5.0
# Maximum body size of a subscriber's request.
MAX_BODY_BYTES = 1 << 20
# Maximum number of topics of all subscribers together.
MAX_TOPICS = 40_000


class Relay(SubscriberServer):
    """Serves the state of the origin to subscribers. Run it in a task."""

    def __init__(
        self,
        config: RelayConfig,
        *,
        network: StreamNet,
        random: Random,
        log: Log = no_log,
        clock: Callable[[], float] = anyio.current_time,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Create the relay that `config` describes.

        Args:
            config: The configuration of the relay.
            network: The network on which it listens and connects.
            random: The source of random numbers.
            log: The log function.
            clock: Returns the monotonic time in seconds.
            wall: Returns the wall clock time in seconds.
        """
        self.config = config
        self.network = network
        self.store = TopicStore([])
        super().__init__(
            Subscriptions(self.store, max_subscribers=config.followers),
            zones=config.zones,
            max_connections=config.connections,
            heartbeat_seconds=HEARTBEAT_SECONDS,
            bytes_per_second=config.rate,
            max_body_bytes=MAX_BODY_BYTES,
            log=log,
            clock=clock,
            wall=wall,
        )
        self.upstream = OriginSubscription(self, random)
        self.clock_checked_at: float | None = None
        # Set while the held state is not older than this process believes.
        self.up_to_date = anyio.Event()
        self.up_to_date.set()
        # The time from which the held state is sent even if the origin has not responded.
        self.refresh_deadline = 0.0
        # The number of the first stream that confirms the held state. Later streams confirm it too.
        self.refresh_stream = 0

    async def run(self, started: anyio.Event | None = None) -> None:
        """Serve until cancelled. Cancellation ends all streams, so subscribers move at once."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.upstream.run)
            tasks.start_soon(self.cleanup_loop)
            tasks.start_soon(self.report_loop)
            await self.network.serve(self.config.listen, self.handle_connection, started)

    # Pauses of the process

    def check_clock(self) -> None:
        """Detect a pause of this process. Called before any update or response is sent."""
        now = self.clock()
        if self.clock_checked_at is not None and now - self.clock_checked_at > PAUSE_SECONDS:
            self.begin_refresh(now, paused_seconds=now - self.clock_checked_at)
        elif not self.up_to_date.is_set() and now >= self.refresh_deadline:
            self.resume_sending("no answer from the origin")
        self.clock_checked_at = now

    def begin_refresh(self, now: float, paused_seconds: float) -> None:
        """Hold back updates until a new stream from the origin has delivered the current state."""
        self.log(LogEvent.PROCESS_PAUSE_DETECTED, seconds=round(paused_seconds, 1))
        if self.up_to_date.is_set():
            self.up_to_date = anyio.Event()
        self.refresh_deadline = now + REFRESH_TIMEOUT_SECONDS
        self.refresh_stream = self.upstream.streams_started + 1
        self.upstream.reconnect()

    def resume_sending(self, reason: str) -> None:
        """Resume sending updates if it was suspended."""
        if not self.up_to_date.is_set():
            self.log(LogEvent.SENDING_RESUMED, reason=reason)
            self.up_to_date.set()

    async def wait_until_current(self) -> None:
        """Wait until the held state may be sent."""
        self.check_clock()
        while not self.up_to_date.is_set():
            await self.up_to_date.wait()

    # The origin

    def on_updates(self, result: LineResult) -> None:
        """Handle a line from the origin, whose updates are in the store already."""
        is_refreshed = self.upstream.streams_started >= self.refresh_stream
        if is_refreshed and self.store.as_of >= self.store.newest_seen:
            self.resume_sending("the origin was asked")
        self.topics_changed(result.touched_topics)

    def on_stream_ended(self) -> None:
        """Handle the end of the stream from the origin, or the failure to open one."""
        if self.upstream.streams_started >= self.refresh_stream:
            self.resume_sending("the origin cannot be reached")

    def origin_silent_seconds(self) -> float:
        """Return for how many seconds the origin was silent if subscribers are to be told, else 0."""
        silent_seconds = self.clock() - self.upstream.last_line_at
        return silent_seconds if silent_seconds > ORIGIN_SILENCE_SECONDS else 0.0

    async def report_loop(self) -> None:
        """Report the summary to the origin when it changes and every REPORT_SECONDS, until cancelled."""
        pool = ConnectionPool(self.network)
        last_summary: dict[str, InForceSummary] = {}
        reported_at = NEVER
        try:
            while True:
                await anyio.sleep(REPORT_CHECK_SECONDS)
                self.check_clock()
                if self.upstream.connected_relay is None:
                    continue
                zones = self.subscriptions.summary()
                if zones == last_summary and self.clock() - reported_at < REPORT_SECONDS:
                    continue
                if await self.send_summary(pool, zones):
                    last_summary, reported_at = zones, self.clock()
        finally:
            await pool.aclose()

    async def send_summary(self, pool: ConnectionPool, zones: dict[str, InForceSummary]) -> bool:
        """Send the summary to the origin and return whether the origin accepted it."""
        body = encode(RelaySummaryReport(self.config.name, zones))
        try:
            with anyio.fail_after(REPORT_TIMEOUT_SECONDS):
                status, _ = await pool.call(self.config.source, "POST", IN_FORCE_PATH, body)
        except (CallError, TimeoutError) as error:
            self.log(LogEvent.SUMMARY_REPORT_FAILED, reason=str(error) or "no answer in time")
            return False
        if status != OK:
            self.log(LogEvent.SUMMARY_REPORT_FAILED, reason=f"status {status}")
        return status == OK

    # Subscribers

    def check_ready(self) -> None:
        """Raise UnavailableError until the origin was reached once, and during a refresh after a pause."""
        if self.store.newest_seen == NO_VERSION:
            raise OriginNotReachedError
        if not self.up_to_date.is_set():
            raise RefreshInProgressError

    def check_admission(self, message: SubscribeRequest) -> None:
        """Raise TooManyTopicsError if the subscribers would have more than MAX_TOPICS topics together."""
        subscribed = self.store.subscribed or set()
        if len(subscribed) + len(message.held.keys() - subscribed) > MAX_TOPICS:
            self.log(LogEvent.TOPIC_LIMIT_REACHED, count=len(subscribed))
            raise TooManyTopicsError(MAX_TOPICS)

    def on_topics_requested(self, topics: Collection[str]) -> None:
        """Subscribe at the origin to those of the topics that are new."""
        subscribed = self.store.subscribed
        assert subscribed is not None
        new = [topic for topic in topics if topic not in subscribed]
        if new:
            self.store.subscribe(new)
            self.upstream.report_due.set()

    def may_drop_topics(self) -> bool:
        """Return whether the origin can be reached, and so could send the topics again."""
        return self.upstream.connected_relay is not None and not self.origin_silent_seconds()

    def on_topics_unused(self, topics: list[str]) -> None:
        """Unsubscribe from the topics at the origin."""
        self.store.unsubscribe(topics)
        self.upstream.remove_topics(topics)

    async def handle_other_request(self, request: Request, path: str) -> Response | None:
        """Return the summary of what is in force at the subscribers, or None for another request."""
        if request.method == "GET" and path == IN_FORCE_PATH:
            return json_response({"as_of": self.store.as_of, "zones": self.subscriptions.summary()})
        return None


class OriginSubscription(SubscriptionClient):
    """A relay's own subscription at the origin."""

    def __init__(self, relay: Relay, random: Random) -> None:
        """Subscribe to the topics in the store of `relay`."""
        super().__init__(
            name=relay.config.name,
            zone=relay.config.zone,
            relays=[RelayEndpoint(relay.config.source, relay.config.zone)],
            store=relay.store,
            network=relay.network,
            random=random,
            log=relay.log,
            clock=relay.clock,
            wall=relay.wall,
            decode_values=False,
            with_history=True,
        )
        self.relay = relay

    def on_updates(self, result: LineResult) -> None:
        """Pass the updates on to the relay."""
        self.relay.on_updates(result)

    def on_stream_ended(self) -> None:
        """Pass the end of the stream on to the relay."""
        self.relay.on_stream_ended()
