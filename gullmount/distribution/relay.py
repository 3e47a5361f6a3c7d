"""A relay: subscribes to the origin for its subscribers, and reports what is in force at them.

It holds the newest of the topics that its subscribers ask for. Where the origin is gone it goes on with what
it has; where its process was paused, it checks with the origin before it sends on.
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

HEARTBEAT_SECONDS = 2.0  # a third of the silence after which a subscriber gives up
REPORT_CHECK_SECONDS = 0.5  # between looks whether the summary has changed
REPORT_SECONDS = 2.0  # between reports that have not changed: the origin counts a relay for 5 s without one
REPORT_TIMEOUT_SECONDS = 2.0
ORIGIN_SILENCE_SECONDS = 5.0  # without the origin, from which on subscribers are told so
PAUSE_SECONDS = 3.0  # between two looks at the clock, from which on this process counts as paused
REFRESH_TIMEOUT_SECONDS = 5.0  # for the origin's answer after a pause; then what is held is sent
MAX_BODY_BYTES = 1 << 20  # of a subscriber's request
MAX_TOPICS = 40_000  # of all subscribers


class Relay(SubscriberServer):
    """Run it in a task."""

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
        """The relay of `config`.

        `clock`: seconds, monotonic; `wall`: seconds of the wall clock.
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
        self.up_to_date = anyio.Event()  # what is held is not older than this process believes
        self.up_to_date.set()
        self.refresh_deadline = 0.0  # when what is held is sent whatever the origin says
        self.refresh_stream = 0  # number of the stream, or a later one, that proves what is held

    async def run(self, started: anyio.Event | None = None) -> None:
        """Serve until cancelled, which ends all streams: subscribers move at once."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.upstream.run)
            tasks.start_soon(self.cleanup_loop)
            tasks.start_soon(self.report_loop)
            await self.network.serve(self.config.listen, self.handle_connection, started)

    # Pauses of the process

    def check_clock(self) -> None:
        """Find out, before anything is sent or answered, whether this process was paused."""
        now = self.clock()
        if self.clock_checked_at is not None and now - self.clock_checked_at > PAUSE_SECONDS:
            self.begin_refresh(now, paused_seconds=now - self.clock_checked_at)
        elif not self.up_to_date.is_set() and now >= self.refresh_deadline:
            self.resume_sending("no answer from the origin")
        self.clock_checked_at = now

    def begin_refresh(self, now: float, paused_seconds: float) -> None:
        """Send nothing until a new stream of the origin has said what is current."""
        self.log(LogEvent.PROCESS_PAUSE_DETECTED, seconds=round(paused_seconds, 1))
        if self.up_to_date.is_set():
            self.up_to_date = anyio.Event()
        self.refresh_deadline = now + REFRESH_TIMEOUT_SECONDS
        self.refresh_stream = self.upstream.streams_started + 1
        self.upstream.reconnect()

    def resume_sending(self, reason: str) -> None:
        """Send what is held, if that was held up."""
        if not self.up_to_date.is_set():
            self.log(LogEvent.SENDING_RESUMED, reason=reason)
            self.up_to_date.set()

    async def wait_until_current(self) -> None:
        """Wait until what is held may be sent."""
        self.check_clock()
        while not self.up_to_date.is_set():
            await self.up_to_date.wait()

    # The origin

    def on_updates(self, result: LineResult) -> None:
        """A line of the origin came, and its updates are in the store."""
        is_refreshed = self.upstream.streams_started >= self.refresh_stream
        if is_refreshed and self.store.as_of >= self.store.newest_seen:
            self.resume_sending("the origin was asked")
        self.topics_changed(result.touched_topics)

    def on_stream_ended(self) -> None:
        """The stream from the origin is over, or could not be opened."""
        if self.upstream.streams_started >= self.refresh_stream:
            self.resume_sending("the origin cannot be reached")

    def origin_silent_seconds(self) -> float:
        """Since when the origin was not heard, where that is to be said; else 0."""
        silent_seconds = self.clock() - self.upstream.last_line_at
        return silent_seconds if silent_seconds > ORIGIN_SILENCE_SECONDS else 0.0

    async def report_loop(self) -> None:
        """Report the summary to the origin, if it changed or the last is old, until cancelled."""
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
        """Whether the origin accepted the summary."""
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
        """Raise UnavailableError before the origin was reached, and while its answer is awaited."""
        if self.store.newest_seen == NO_VERSION:
            raise OriginNotReachedError
        if not self.up_to_date.is_set():
            raise RefreshInProgressError

    def check_admission(self, message: SubscribeRequest) -> None:
        """Raise TooManyTopicsError if all subscribers' topics would be too many."""
        subscribed = self.store.subscribed or set()
        if len(subscribed) + len(message.held.keys() - subscribed) > MAX_TOPICS:
            self.log(LogEvent.TOPIC_LIMIT_REACHED, count=len(subscribed))
            raise TooManyTopicsError(MAX_TOPICS)

    def on_topics_requested(self, topics: Collection[str]) -> None:
        """Subscribe to them at the origin."""
        subscribed = self.store.subscribed
        assert subscribed is not None
        new = [topic for topic in topics if topic not in subscribed]
        if new:
            self.store.subscribe(new)
            self.upstream.report_due.set()

    def may_drop_topics(self) -> bool:
        """Only while the origin could send them again."""
        return self.upstream.connected_relay is not None and not self.origin_silent_seconds()

    def on_topics_unused(self, topics: list[str]) -> None:
        """Unsubscribe from them at the origin."""
        self.store.unsubscribe(topics)
        self.upstream.remove_topics(topics)

    async def handle_other_request(self, request: Request, path: str) -> Response | None:
        """What is in force at its subscribers."""
        if request.method == "GET" and path == IN_FORCE_PATH:
            return json_response({"as_of": self.store.as_of, "zones": self.subscriptions.summary()})
        return None


class OriginSubscription(SubscriptionClient):
    """A relay's own subscription at the origin."""

    def __init__(self, relay: Relay, random: Random) -> None:
        """Subscribe to what `relay` holds."""
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
        """As the relay's."""
        self.relay.on_updates(result)

    def on_stream_ended(self) -> None:
        """As the relay's."""
        self.relay.on_stream_ended()
