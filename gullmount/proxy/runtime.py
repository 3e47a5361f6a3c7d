"""Connects a router to the network: reports events to it and carries out what it decides.

The runtime makes no routing decisions itself. There are two implementations:

- `StreamingRuntime` runs a task per attempt and relays messages that are too large to buffer.
- `BufferedRuntime` uses callbacks and serves adapters that buffer every message whole.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random

import anyio
from anyio.abc import TaskGroup

from gullmount.decisions.attribution import Finding
from gullmount.decisions.model import InstanceSettings, Outcome, Vote
from gullmount.decisions.router import Router
from gullmount.net import HandlerErrors, Net
from gullmount.proxy.buffered_upstream import BufferedUpstream
from gullmount.proxy.counters import Counters, RequestEnd
from gullmount.proxy.event_loop_stalls import EventLoopStalls
from gullmount.proxy.http1 import BAD_GATEWAY
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.memory_budget import MemoryBudget
from gullmount.proxy.messages import RequestHead, Response
from gullmount.proxy.outcomes import AttemptEnd
from gullmount.proxy.protocol_adapter import ProtocolAdapter, RequestMetadata
from gullmount.proxy.request_exchange import ClientPresence, RequestExchange
from gullmount.proxy.streaming_upstream import StreamingUpstream
from gullmount.proxy.timers import Timers
from gullmount.proxy.work_scheduler import WorkScheduler

GATEWAY_TIMEOUT = 504
# Added to the clock so that an unknown start time, stored as 0, lies further back than any warm-up time.
CLOCK_OFFSET_SECONDS = 1e6

# Arguments: the event, then its fields as keywords.
LogFunction = Callable[..., None]
# Arguments: build, stage, vote.
VoteCallback = Callable[[int, int, Vote], None]
# Arguments: number of the peer, build, stage, vote.
GossipVoteCallback = Callable[[int, int, int, Vote], None]


def read_clock() -> float:
    """Return the event loop's time plus `CLOCK_OFFSET_SECONDS`; it is virtual if the loop's clock is."""
    return anyio.current_time() + CLOCK_OFFSET_SECONDS


class ProxyRuntime:
    """Base of both runtimes; implements `gullmount.decisions.runtime.Runtime` for one instance.

    Attributes:
        shutting_down: Whether each response ends its connection.
        refuses_requests: Whether new connections are no longer served.
        latest_deadline: Time at which a request that arrives from now on has its response at the latest; it
            is infinite unless a shutdown has to end by then.
        upstream: The connections to servers.
        random: Source of jitter for the clients of other services. The router has its own.
        stalls: Detects the times in which the event loop did not run.
        memory: Limits what requests and responses in progress hold in sum.
        handler_errors: Contains and logs unexpected exceptions of connection and message handlers.
        watch_requested: Whether the router asked for endpoints before `on_watch_endpoints` was set.
    """

    upstream: BufferedUpstream | StreamingUpstream

    def __init__(
        self,
        adapter: ProtocolAdapter,
        settings: InstanceSettings,
        task_group: TaskGroup,
        log: LogFunction,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.adapter = adapter
        self.memory = memory or MemoryBudget()
        self.task_group = task_group
        self.log_event = log
        self.handler_errors = HandlerErrors(log)
        self.stalls = EventLoopStalls(self.now, task_group, log, self.handler_errors)
        self.instance_number = settings.instance_number
        self.random = Random(settings.seed)
        self.shutting_down = False
        self.refuses_requests = False
        self.latest_deadline = inf
        self.exchanges: dict[str, RequestExchange] = {}
        self.became_idle = anyio.Event()
        self.request_count = 0
        self.counters = Counters()
        self.on_vote: VoteCallback | None = None
        self.on_gossip_vote: GossipVoteCallback | None = None
        self.on_watch_endpoints: Callable[[], None] | None = None
        self.watch_requested = False
        self.request_id_prefix = f"{settings.instance_number}-{self.random.getrandbits(32):08x}"
        self.router = Router(self, settings)
        if self.router.attribution is not None:
            self.router.attribution.on_finding = self.log_finding

    # Called by the router.

    def now(self) -> float:
        """Return the current time in seconds."""
        return read_clock()

    def forward(self, request_id: str, server_id: str, timeout: float) -> None:
        """Start an attempt at the server; it ends after `timeout` seconds at the latest.

        A retry ends at once if its client has left or may have. The presence of the client was checked when
        its request was accepted, so a first attempt needs no further check.
        """
        exchange = self.exchanges[request_id]
        number = exchange.begin_attempt(server_id)
        end = self.end_without_client(exchange) if number else None
        if end is None:
            self.start_attempt(exchange, number, server_id, timeout)
        else:
            self.call_after(0.0, lambda: self.attempt_ended(exchange, number, end, None, 0.0))

    def end_without_client(self, exchange: RequestExchange) -> AttemptEnd | None:
        """Return how an attempt ends that must not be sent for want of its client; None if it may be sent."""
        presence = exchange.client_presence()
        if presence is ClientPresence.PRESENT:
            return None
        if presence is ClientPresence.UNKNOWN:
            return AttemptEnd.CLIENT_PRESENCE_UNKNOWN
        exchange.client_disconnected()
        return AttemptEnd.CLIENT_DISCONNECTED

    def start_attempt(self, exchange: RequestExchange, number: int, server_id: str, timeout: float) -> None:
        """Start attempt `number`; its end is reported to `attempt_ended`."""
        raise NotImplementedError

    def reject(self, request_id: str, retry_after: float) -> None:
        """Respond that the request was not served and may be sent again in `retry_after` seconds."""
        exchange = self.exchanges[request_id]
        self.record_unserved(exchange, RequestEnd.REJECTED)
        exchange.settle(self.adapter.rejection_response(retry_after))

    def fail(self, request_id: str) -> None:
        """Respond that the request failed and may have been executed."""
        exchange = self.exchanges[request_id]
        self.record_unserved(exchange, RequestEnd.FAILED)
        exchange.settle(exchange.failure_response or self.adapter.failure_response(BAD_GATEWAY))

    def record_unserved(self, exchange: RequestExchange, end: RequestEnd) -> None:
        """Count a request that was not served and log the reason and the attempts."""
        reason = self.router.rejection_reason
        self.counters.requests[end] += 1
        self.counters.rejections[reason] += 1
        self.log_event(
            LogEvent.REQUEST_NOT_SERVED,
            request=exchange.client_request_id or exchange.id,
            end=end.value,
            reason=reason.value,
            seconds_left=round(exchange.deadline - self.now(), 3),
            attempts=[attempt.log_fields() for attempt in exchange.attempt_records],
        )

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` in `delay` seconds."""
        raise NotImplementedError

    def vote(self, build: int, stage: int, vote: Vote) -> None:
        """Send a vote to the release controller, if there is a client for it."""
        if self.on_vote is not None:
            self.on_vote(build, stage, vote)

    def gossip_vote(self, peer: int, build: int, stage: int, vote: Vote) -> None:
        """Send a vote to a peer, if gossip is enabled."""
        if self.on_gossip_vote is not None:
            self.on_gossip_vote(peer, build, stage, vote)

    def watch_endpoints(self) -> None:
        """Ask discovery for the endpoints, or record the request until there is a client."""
        if self.on_watch_endpoints is not None:
            self.on_watch_endpoints()
        else:
            self.watch_requested = True

    def log(self, text: str) -> None:
        """Log a result of the canary analysis."""
        self.log_event(LogEvent.CANARY_ANALYSIS, message=text)

    def log_finding(self, finding: Finding) -> None:
        """Log an attribution finding: which of two candidates is to blame."""
        self.log_event(LogEvent.RELEASE_ATTRIBUTION, **finding.log_fields())

    # Requests.

    def new_exchange(
        self, head: RequestHead, body: bytes, arrived_at: float, metadata: RequestMetadata
    ) -> RequestExchange:
        """Return the exchange of a request that has not been accepted yet.

        Args:
            head: Head of the request.
            body: Body of the request, or its first part if the rest is streamed.
            arrived_at: Time of arrival in seconds of the runtime's clock; the timeout starts here. It ends at
                `latest_deadline` at the latest.
            metadata: What the adapter read from the head.
        """
        self.request_count += 1
        request_id = f"{self.request_id_prefix}-{self.request_count}"
        deadline = min(arrived_at + metadata.timeout, self.latest_deadline)
        exchange = RequestExchange(request_id, head, body, deadline, metadata.client_request_id, arrived_at)
        exchange.streams_response = metadata.streams_response
        return exchange

    def accept(self, exchange: RequestExchange, metadata: RequestMetadata, at_most_once: bool) -> None:
        """Hand the request to the router.

        Args:
            exchange: The request.
            metadata: What the adapter read from the head.
            at_most_once: Whether the body cannot be sent twice.

        Raises:
            ProtocolError: The adapter has seen the request id before.
        """
        self.adapter.claim_request_id(metadata)
        route = metadata.at_most_once_route if at_most_once else metadata.route
        self.exchanges[exchange.id] = exchange
        self.memory.reserve(exchange.reserved_bytes)
        request = self.router.accept(
            exchange.id, route, exchange.deadline, metadata.affinity_key, exchange.arrived_at
        )
        exchange.request = request
        if exchange.settled and not request.attempts_in_flight:
            self.end_exchange(exchange)

    def attempt_ended(
        self,
        exchange: RequestExchange,
        number: int,
        end: AttemptEnd,
        response: Response | None,
        latency: float,
    ) -> None:
        """Record the end of an attempt and report its outcome to the router.

        Args:
            exchange: The request that the attempt belongs to.
            number: Number of the attempt within the request.
            end: How the attempt ended at its socket.
            response: The response, if one was read.
            latency: Seconds from the start of the attempt to its end.
        """
        outcome = self.adapter.outcome(end, response)
        exchange.attempts_in_flight -= 1
        record = exchange.attempt_records[number]
        record.end, record.duration = end, latency
        self.counters.attempts[end] += 1
        if outcome is Outcome.COMPLETED and response is not None:
            self.counters.requests[RequestEnd.SERVED] += not exchange.settled
            exchange.settle(response)
        elif outcome is Outcome.ERROR and response is not None and end is AttemptEnd.RESPONSE_COMPLETE:
            exchange.failure_response = self.adapter.server_error_response(response)
        elif outcome is Outcome.TIMEOUT:
            exchange.failure_response = self.adapter.failure_response(GATEWAY_TIMEOUT)
        assert exchange.request is not None
        exchange.request.attempt_ended(number, outcome, latency, exchange.settled)
        if exchange.settled and not exchange.attempts_in_flight:
            self.end_exchange(exchange)

    def end_exchange(self, exchange: RequestExchange) -> None:
        """Remove a request that has its response and whose last attempt has ended."""
        self.counters.requests[RequestEnd.CLIENT_LEFT] += exchange.client_left
        if self.exchanges.pop(exchange.id, None) is not None:
            self.memory.release(exchange.reserved_bytes)
            self.adapter.request_ended(exchange)
        if not self.exchanges:
            self.became_idle.set()

    def attempt_still_allowed(self, exchange: RequestExchange, number: int) -> bool:
        """Return whether an attempt that waited for its connection may still be sent.

        If so, the router counts it as sent.
        """
        assert exchange.request is not None
        if self.end_without_client(exchange) is not None:
            return False
        return self.router.attempt_still_allowed(exchange.request, number)

    async def wait_until_idle(self) -> None:
        """Wait until each accepted request has its response and all its attempts have ended."""
        while self.exchanges:
            self.became_idle = anyio.Event()
            await self.became_idle.wait()


class StreamingRuntime(ProxyRuntime):
    """Runs a task per attempt, for adapters that relay messages too large to buffer."""

    upstream: StreamingUpstream

    def __init__(
        self,
        adapter: ProtocolAdapter,
        settings: InstanceSettings,
        net: Net,
        task_group: TaskGroup,
        log: LogFunction,
    ) -> None:
        super().__init__(adapter, settings, task_group, log)
        self.upstream = StreamingUpstream(
            adapter, net, task_group, self.stalls.wait_until_resumed, self.attempt_still_allowed
        )
        task_group.start_soon(self.stalls.run)

    def start_attempt(self, exchange: RequestExchange, number: int, server_id: str, timeout: float) -> None:
        """Start attempt `number`; its end is reported to `attempt_ended`."""
        self.task_group.start_soon(self.run_attempt, exchange, number, server_id, timeout)

    async def run_attempt(
        self, exchange: RequestExchange, number: int, server_id: str, timeout: float
    ) -> None:
        """Run one attempt and report its end."""
        started_at = self.now()
        end, response = AttemptEnd.CLOSED_BEFORE_RESPONSE, None
        with self.handler_errors.contained("attempt"):
            end, response = await self.upstream.run_attempt(exchange, number, server_id, timeout)
        latency = self.now() - started_at
        await self.stalls.wait_until_resumed()
        self.attempt_ended(exchange, number, end, response, latency)

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` in `delay` seconds."""
        self.task_group.start_soon(self.call_after_delay, delay, callback)

    async def call_after_delay(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay` seconds."""
        await anyio.sleep(delay)
        await self.stalls.wait_until_resumed()
        callback()


class BufferedRuntime(ProxyRuntime):
    """Uses callbacks instead of tasks, for adapters that buffer every message whole.

    Attributes:
        scheduler: Shares the event loop's time among client connections.
    """

    upstream: BufferedUpstream

    def __init__(
        self,
        adapter: ProtocolAdapter,
        settings: InstanceSettings,
        net: Net,
        task_group: TaskGroup,
        log: LogFunction,
        clock: Callable[[], float] = read_clock,
        memory: MemoryBudget | None = None,
    ) -> None:
        # The method is replaced because it is called a dozen times per request: this saves a stack frame.
        self.now = clock  # type: ignore[method-assign]
        self.timers = Timers(clock, self.wait_until_resumed)
        super().__init__(adapter, settings, task_group, log, memory)
        self.scheduler = WorkScheduler(clock, self.handler_errors, self.wait_until_resumed)
        self.upstream = BufferedUpstream(
            adapter,
            net,
            task_group,
            self.timers,
            self.report_attempt_end_when_resumed,
            self.attempt_still_allowed,
            self.wait_until_resumed,
            self.memory,
        )
        task_group.start_soon(self.stalls.run)
        task_group.start_soon(self.timers.run)
        task_group.start_soon(self.scheduler.run)
        task_group.start_soon(self.upstream.sweep)

    def start_attempt(self, exchange: RequestExchange, number: int, server_id: str, timeout: float) -> None:
        """Start attempt `number`; its end is reported to `attempt_ended`."""
        self.upstream.start_attempt(exchange, number, server_id, timeout)

    async def wait_until_resumed(self) -> None:
        """Return at once, or after a stall once the loop has read the data that arrived during it."""
        await self.stalls.wait_until_resumed()

    def report_attempt_end_when_resumed(
        self,
        exchange: RequestExchange,
        number: int,
        end: AttemptEnd,
        response: Response | None,
        latency: float,
    ) -> None:
        """Report the end of an attempt, after a stall only once the loop has read the pending data.

        That data may say that the client has disconnected.
        """
        self.stalls.call_when_resumed(lambda: self.attempt_ended(exchange, number, end, response, latency))

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` in `delay` seconds."""
        self.timers.call_after(delay, callback)
