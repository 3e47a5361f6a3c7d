"""Client of a subscription: keeps one stream open to the selected relay and reports what is in force.

A proxy uses it to subscribe to relays, a relay to subscribe to the origin. A client has two tasks, one that
reads and one that reports. They wake only when data arrives or a report is due.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from contextlib import aclosing
from random import Random
from typing import Any

import anyio

from gullmount.distribution.acknowledgements import Acknowledgements
from gullmount.distribution.decoding import MAX_LINE_BYTES
from gullmount.distribution.encoding import encode, extension_request
from gullmount.distribution.http_interface import IN_FORCE_PATH, NOT_FOUND, OK, SUBSCRIBE_PATH
from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.relay_selection import (
    LINE_TIMEOUT_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    SILENCE_TIMEOUT_SECONDS,
    RelayEndpoint,
    RelaySelector,
)
from gullmount.distribution.streams import CountedNetwork
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.update_receiver import LineResult, SubscriberCounters, UpdateReceiver
from gullmount.net import StreamNet
from gullmount.rpc import CallError, ConnectionPool, SilentPeerError, stream_lines

# Changes that come into force within this time are reported together.
REPORT_DELAY_SECONDS = 0.2
# A failed report is repeated after a random time between this and twice this.
REPORT_RETRY_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 4.0
# Stands for the status of a call without a response.
NO_RESPONSE = 0
# A time in seconds that is earlier than any other.
NEVER = -1e9

Log = Callable[..., None]


def no_log(event: str, **fields: Any) -> None:
    """Log nothing."""


class SubscriptionClient:
    """Base of the subscriptions of a proxy and of a relay.

    Subclasses override `on_updates` and `on_stream_ended`.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        relays: Sequence[RelayEndpoint],
        store: TopicStore,
        network: StreamNet,
        random: Random,
        log: Log = no_log,
        clock: Callable[[], float] = anyio.current_time,
        wall: Callable[[], float] = time.time,
        decode_values: bool = True,
        with_history: bool = False,
    ) -> None:
        """Create a client that subscribes to the topics of `store` at one of `relays`.

        Args:
            name: The name of the subscriber.
            zone: The zone of the subscriber.
            relays: The relays to choose from.
            store: The topics, to which updates are applied.
            network: The network on which relays are reached.
            random: The source of random numbers.
            log: The log function.
            clock: Returns the monotonic time in seconds.
            wall: Returns the wall clock time in seconds, for epochs.
            decode_values: Whether the values of updates are decoded.
            with_history: Whether the history of topics is requested.
        """
        self.name = name
        self.store = store
        self.random = random
        self.log = log
        self.clock = clock
        self.wall = wall
        self.with_history = with_history
        self.selector = RelaySelector(relays, zone, random)
        self.receiver = UpdateReceiver(store, decode_values=decode_values)
        self.acknowledgements = Acknowledgements(name, zone)
        self.network = CountedNetwork(network, self.counters)
        # The relay of the open stream, from its first line on.
        self.connected_relay: RelayEndpoint | None = None
        self.last_line_at = NEVER
        self.report_due = anyio.Event()
        self.topics_to_remove: set[str] = set()
        self.stream_scope: anyio.CancelScope | None = None
        self.streams_started = 0

    @property
    def counters(self) -> SubscriberCounters:
        """The counters of this client since its start."""
        return self.receiver.counters

    async def run(self) -> None:
        """Keep a stream open until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.report_loop)
            while True:
                plan = self.selector.next_connection(self.clock())
                await anyio.sleep(max(0.0, plan.not_before - self.clock()))
                await self.run_stream(plan.relay)

    def reconnect(self) -> None:
        """Close the stream and open another one."""
        if self.stream_scope is not None:
            self.stream_scope.cancel()

    async def run_stream(self, relay: RelayEndpoint) -> None:
        """Open a stream and read it until it breaks or is left."""
        self.streams_started += 1
        self.topics_to_remove = set()
        body = encode(self.acknowledgements.subscribe_request(self.store, self.with_history))
        self.receiver.stream_started(self.clock())
        with anyio.CancelScope() as self.stream_scope:
            try:
                await self.read_lines(relay, body)
            except CallError as error:
                self.note_failure(relay, error)
        self.stream_scope = None
        self.connected_relay = None
        self.on_stream_ended()

    def note_failure(self, relay: RelayEndpoint, error: CallError) -> None:
        """Record and log that the stream broke, or that the relay refused it."""
        if error.status:
            self.selector.refused(relay, self.clock(), error.retry_after_seconds)
        else:
            self.selector.failed(relay, self.clock(), hung=isinstance(error, SilentPeerError))
        self.log(LogEvent.SUBSCRIPTION_ENDED, relay=relay.address, reason=str(error))

    async def read_lines(self, relay: RelayEndpoint, body: bytes) -> None:
        """Read the relay's stream until it is left. Raises CallError."""
        stream = stream_lines(
            self.network,
            relay.address,
            SUBSCRIBE_PATH,
            body,
            max_silence_seconds=SILENCE_TIMEOUT_SECONDS,
            max_line_bytes=MAX_LINE_BYTES,
            line_timeout_seconds=LINE_TIMEOUT_SECONDS,
            response_timeout_seconds=RESPONSE_TIMEOUT_SECONDS,
        )
        async with aclosing(stream) as lines:
            async for line in lines:
                self.last_line_at = self.clock()
                if self.connected_relay is None:
                    self.note_connected(relay)
                if self.receive(relay, line):
                    return

    def note_connected(self, relay: RelayEndpoint) -> None:
        """Record and log that the first line of the relay's stream was received."""
        self.connected_relay = relay
        self.selector.connected(relay, self.last_line_at)
        self.counters.moves = self.selector.moves
        self.log(LogEvent.SUBSCRIBED, relay=relay.address)
        self.report_due.set()

    def receive(self, relay: RelayEndpoint, line: bytes) -> bool:
        """Process a line and return whether to leave the relay."""
        result = self.receiver.receive(line, self.wall())
        for problem in result.errors:
            self.log(LogEvent.UPDATE_MALFORMED, relay=relay.address, reason=problem)
        self.on_updates(result)
        if self.store.gaps:
            self.report_due.set()
        now = self.last_line_at
        self.selector.note_lag(result.sender_is_behind, now)
        if not self.selector.should_leave(now):
            return False
        self.selector.left(now)
        self.log(LogEvent.LEAVING_RELAY, relay=relay.address, behind=result.sender_is_behind)
        return True

    def on_updates(self, result: LineResult) -> None:
        """Called after a line was received and its updates were stored."""

    def on_stream_ended(self) -> None:
        """Called when the stream has ended or could not be opened."""

    # Reports

    def remove_topics(self, topics: Sequence[str]) -> None:
        """Unsubscribe from topics on the open stream; later streams do not request them."""
        self.topics_to_remove.update(topics)
        self.report_due.set()

    async def report_loop(self) -> None:
        """Send reports when they are due, until cancelled."""
        pool, relay = ConnectionPool(self.network), None
        try:
            while True:
                await self.report_due.wait()
                await anyio.sleep(REPORT_DELAY_SECONDS)
                self.report_due = anyio.Event()
                if relay is not self.connected_relay:
                    # Closes the connections to the previous relay.
                    await pool.aclose()
                    relay = self.connected_relay
                if relay is None:
                    # There is nobody to report to until a stream is open.
                    continue
                if not await self.send_reports(pool, relay):
                    self.report_due.set()
                    await anyio.sleep(REPORT_RETRY_SECONDS * (1 + self.random.random()))
        finally:
            await pool.aclose()

    async def send_reports(self, pool: ConnectionPool, relay: RelayEndpoint) -> bool:
        """Request missing topics and report what is in force; return False if it must be repeated."""
        due_topics, removed_topics = self.receiver.due_requests(self.clock()), self.topics_to_remove
        self.topics_to_remove = set()
        if due_topics or removed_topics:
            request = extension_request(self.name, due_topics, sorted(removed_topics))
            if await self.post(pool, relay, SUBSCRIBE_PATH, encode(request)) != OK:
                # The relay has no such stream, or the call was lost. A new stream requests all topics.
                self.reconnect()
                return True
        while (report := self.acknowledgements.next_report()) is not None:
            status = await self.post(pool, relay, IN_FORCE_PATH, encode(report))
            if status == NOT_FOUND:
                # The subscribe request of a new stream tells the relay what is in force.
                self.reconnect()
                return True
            if status != OK:
                return False
            self.acknowledgements.confirm(report)
        return not self.store.gaps

    async def post(self, pool: ConnectionPool, relay: RelayEndpoint, path: str, body: bytes) -> int:
        """Send a POST request to the relay and return the status, or NO_RESPONSE if the call failed."""
        try:
            with anyio.fail_after(CALL_TIMEOUT_SECONDS):
                status, _ = await pool.call(relay.address, "POST", path, body)
        except (CallError, TimeoutError) as error:
            reason = str(error) or "no answer in time"
            self.log(LogEvent.SUBSCRIBER_CALL_FAILED, relay=relay.address, reason=reason)
            return NO_RESPONSE
        if status != OK:
            self.log(LogEvent.SUBSCRIBER_CALL_FAILED, relay=relay.address, reason=f"status {status}")
        return status
