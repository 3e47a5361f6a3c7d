"""A subscription on a network: keeps one stream open, at the relay that is selected, and reports on it.

A proxy subscribes to relays by it, a relay to the origin. Two tasks each: one reads, one reports. Neither
wakes unless something came or is due.
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
from gullmount.distribution.encoding import encode, extension
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

REPORT_DELAY_SECONDS = 0.2  # in which what came into force is gathered before it is reported
REPORT_RETRY_SECONDS = 2.0  # before a failed report is repeated, up to twice that by chance
CALL_TIMEOUT_SECONDS = 4.0
NO_RESPONSE = 0  # in place of a status
NEVER = -1e9  # seconds, as a time of the past

Log = Callable[..., None]


def no_log(event: str, **fields: Any) -> None:
    """Log nothing."""


class SubscriptionClient:
    """What a proxy's and a relay's subscription share; `on_updates` and `on_stream_ended` are theirs."""

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
        """Subscribe as `name` to the topics of `store`, at one of `relays`.

        `clock`: seconds, monotonic; `wall`: seconds of the wall clock, for epochs.
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
        self.connected_relay: RelayEndpoint | None = None  # whose stream is open
        self.last_line_at = NEVER
        self.report_due = anyio.Event()
        self.topics_to_remove: set[str] = set()
        self.stream_scope: anyio.CancelScope | None = None
        self.streams_started = 0

    @property
    def counters(self) -> SubscriberCounters:
        """Counts from its start."""
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
        """Give the stream up and open another at once."""
        if self.stream_scope is not None:
            self.stream_scope.cancel()

    async def run_stream(self, relay: RelayEndpoint) -> None:
        """One stream, until it breaks or is left."""
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
        """The stream broke, or the relay turned it down."""
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
        """The relay's first line came."""
        self.connected_relay = relay
        self.selector.connected(relay, self.last_line_at)
        self.counters.moves = self.selector.moves
        self.log(LogEvent.SUBSCRIBED, relay=relay.address)
        self.report_due.set()

    def receive(self, relay: RelayEndpoint, line: bytes) -> bool:
        """Take in a line; whether to leave the relay."""
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
        """A line came, and its updates are in the store."""

    def on_stream_ended(self) -> None:
        """The stream is over, or none could be opened."""

    # Reports

    def remove_topics(self, topics: Sequence[str]) -> None:
        """Unsubscribe from topics on the stream there is; a later one does not ask for them."""
        self.topics_to_remove.update(topics)
        self.report_due.set()

    async def report_loop(self) -> None:
        """Report what is due until cancelled."""
        pool, relay = ConnectionPool(self.network), None
        try:
            while True:
                await self.report_due.wait()
                await anyio.sleep(REPORT_DELAY_SECONDS)
                self.report_due = anyio.Event()
                if relay is not self.connected_relay:
                    await pool.aclose()  # of a relay that was left
                    relay = self.connected_relay
                if relay is None:
                    continue  # until a stream is open
                if not await self.send_reports(pool, relay):
                    self.report_due.set()
                    await anyio.sleep(REPORT_RETRY_SECONDS * (1 + self.random.random()))
        finally:
            await pool.aclose()

    async def send_reports(self, pool: ConnectionPool, relay: RelayEndpoint) -> bool:
        """Request missing topics and report what is in force; whether all was accepted."""
        due_topics, removed_topics = self.receiver.due_requests(self.clock()), self.topics_to_remove
        self.topics_to_remove = set()
        if due_topics or removed_topics:
            request = extension(self.name, due_topics, sorted(removed_topics))
            if await self.post(pool, relay, SUBSCRIBE_PATH, encode(request)) != OK:
                self.reconnect()  # no such stream there, or a lost call: a new stream requests all
                return True
        while (report := self.acknowledgements.next_report()) is not None:
            status = await self.post(pool, relay, IN_FORCE_PATH, encode(report))
            if status == NOT_FOUND:
                self.reconnect()  # a new stream tells the relay what is in force
                return True
            if status != OK:
                return False
            self.acknowledgements.confirm(report)
        return not self.store.gaps

    async def post(self, pool: ConnectionPool, relay: RelayEndpoint, path: str, body: bytes) -> int:
        """The status of a call to the relay, or NO_ANSWER."""
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
