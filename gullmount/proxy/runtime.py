"""The runtime of one router: sockets and timers in, what the router asks for out. Decides nothing.

`StreamingRuntime` relays what is too large to be buffered, in a task per attempt; `BufferedRuntime` works by
callbacks, for adapters whose messages are buffered whole.
"""

from __future__ import annotations

from collections.abc import Callable
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
from gullmount.proxy.messages import RequestHead, Response
from gullmount.proxy.outcomes import AttemptEnd
from gullmount.proxy.protocol_adapter import ProtocolAdapter, RequestMetadata
from gullmount.proxy.request_exchange import RequestExchange
from gullmount.proxy.streaming_upstream import StreamingUpstream
from gullmount.proxy.timers import Timers

GATEWAY_TIMEOUT = 504
CLOCK_OFFSET_SECONDS = 1e6  # so that a server of unknown start time, 0, is older than any warm-up

LogFunction = Callable[..., None]
"""Called with an event and its fields by name."""
VoteCallback = Callable[[int, int, Vote], None]
"""Takes build, stage and vote."""
GossipVoteCallback = Callable[[int, int, int, Vote], None]
"""Takes peer, build, stage and vote."""


def read_clock() -> float:
    """Return the event loop's time in seconds, which is virtual where the loop's is."""
    return anyio.current_time() + CLOCK_OFFSET_SECONDS


class ProxyRuntime:
    """What both runtimes share of `gullmount.decisions.runtime.Runtime`; lives as long as the instance.

    Attributes:
        shutting_down: responses end their connections.
        refuses_requests: no connection is served any more.
        random: jitter of the clients of other services; the router has its own.
        stalls: when the event loop did not run.
        handler_errors: what went wrong unexpectedly while a peer was served.
        watch_requested: the router asked for endpoints before there was a client to ask.
    """

    def __init__(
        self,
        adapter: ProtocolAdapter,
        settings: InstanceSettings,
        task_group: TaskGroup,
        log: LogFunction,
    ) -> None:
        self.adapter = adapter
        self.task_group = task_group
        self.log_event = log
        self.handler_errors = HandlerErrors(log)
        self.stalls = EventLoopStalls(self.now, task_group, log, self.handler_errors)
        self.instance_number = settings.instance_number
        self.random = Random(settings.seed)
        self.shutting_down = False
        self.refuses_requests = False
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
        """Return the time in seconds."""
        return read_clock()

    def forward(self, request_id: str, server_id: str, timeout: float) -> None:
        """Send the request to the server, for `timeout` seconds at most."""
        exchange = self.exchanges[request_id]
        number = exchange.begin_attempt(server_id)
        self.start_attempt(exchange, number, server_id, timeout)

    def start_attempt(self, exchange: RequestExchange, number: int, server_id: str, timeout: float) -> None:
        """Start attempt `number`; its end is reported later to `attempt_ended`."""
        raise NotImplementedError

    def reject(self, request_id: str, retry_after: float) -> None:
        """Answer that the request was not served and may be sent again in `retry_after` seconds."""
        exchange = self.exchanges[request_id]
        self.record_unserved(exchange, RequestEnd.REJECTED)
        exchange.settle(self.adapter.rejection_response(retry_after))

    def fail(self, request_id: str) -> None:
        """Answer that the request failed and may have run."""
        exchange = self.exchanges[request_id]
        self.record_unserved(exchange, RequestEnd.FAILED)
        exchange.settle(exchange.failure_response or self.adapter.failure_response(BAD_GATEWAY))

    def record_unserved(self, exchange: RequestExchange, end: RequestEnd) -> None:
        """Count a request that is given up, and log why, with its attempts."""
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
        """Send a vote to the release controller."""
        if self.on_vote is not None:
            self.on_vote(build, stage, vote)

    def gossip_vote(self, peer: int, build: int, stage: int, vote: Vote) -> None:
        """Send a vote to a peer."""
        if self.on_gossip_vote is not None:
            self.on_gossip_vote(peer, build, stage, vote)

    def watch_endpoints(self) -> None:
        """Ask discovery for the endpoints."""
        if self.on_watch_endpoints is not None:
            self.on_watch_endpoints()
        else:
            self.watch_requested = True

    def log(self, text: str) -> None:
        """Log what the canary analysis has found."""
        self.log_event(LogEvent.CANARY_ANALYSIS, message=text)

    def log_finding(self, finding: Finding) -> None:
        """Log which of two candidates is to blame."""
        self.log_event(LogEvent.RELEASE_ATTRIBUTION, **finding.log_fields())

    # Requests.

    def new_exchange(
        self, head: RequestHead, body: bytes, arrived_at: float, metadata: RequestMetadata
    ) -> RequestExchange:
        """Return the exchange of a request that arrived at `arrived_at` and has not been accepted yet."""
        self.request_count += 1
        request_id = f"{self.request_id_prefix}-{self.request_count}"
        deadline = arrived_at + metadata.timeout
        exchange = RequestExchange(request_id, head, body, deadline, metadata.client_request_id, arrived_at)
        exchange.streams_response = metadata.streams_response
        return exchange

    def accept(self, exchange: RequestExchange, metadata: RequestMetadata, at_most_once: bool) -> None:
        """Give the request to the router; `at_most_once` if its body cannot be sent twice.

        Raises ProtocolError.
        """
        self.adapter.claim_request_id(metadata)
        route = metadata.at_most_once_route if at_most_once else metadata.route
        self.exchanges[exchange.id] = exchange
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
        """An attempt ended `latency` seconds after it began."""
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
        """The request is settled and its last attempt has ended."""
        self.counters.requests[RequestEnd.CLIENT_LEFT] += exchange.client_left
        if self.exchanges.pop(exchange.id, None) is not None:
            self.adapter.request_ended(exchange)
        if not self.exchanges:
            self.became_idle.set()

    def attempt_still_allowed(self, exchange: RequestExchange, number: int) -> bool:
        """Whether an attempt that waited for its connection may still be sent; it counts as sent then."""
        assert exchange.request is not None
        return self.router.attempt_still_allowed(exchange.request, number)

    async def wait_until_idle(self) -> None:
        """Wait until each accepted request has its response."""
        while self.exchanges:
            self.became_idle = anyio.Event()
            await self.became_idle.wait()


class StreamingRuntime(ProxyRuntime):
    """A task per attempt, for an adapter that relays what is too large to be buffered."""

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
        """Start attempt `number`; its end is reported later to `attempt_ended`."""
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
    """Callbacks instead of tasks, for an adapter whose messages are buffered whole."""

    def __init__(
        self,
        adapter: ProtocolAdapter,
        settings: InstanceSettings,
        net: Net,
        task_group: TaskGroup,
        log: LogFunction,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self.now = clock  # type: ignore[method-assign]  # called a dozen times per request: no extra frame
        self.timers = Timers(clock, self.wait_until_resumed)
        super().__init__(adapter, settings, task_group, log)
        self.upstream = BufferedUpstream(
            adapter,
            net,
            task_group,
            self.timers,
            self.report_attempt_end_when_resumed,
            self.attempt_still_allowed,
            self.wait_until_resumed,
        )
        task_group.start_soon(self.stalls.run)
        task_group.start_soon(self.timers.run)
        task_group.start_soon(self.upstream.sweep)

    def start_attempt(self, exchange: RequestExchange, number: int, server_id: str, timeout: float) -> None:
        """Start attempt `number`; its end is reported later to `attempt_ended`."""
        self.upstream.start_attempt(exchange, number, server_id, timeout)

    async def wait_until_resumed(self) -> None:
        """Return at once, or once the loop has read what came during a stall."""
        await self.stalls.wait_until_resumed()

    def report_attempt_end_when_resumed(
        self,
        exchange: RequestExchange,
        number: int,
        end: AttemptEnd,
        response: Response | None,
        latency: float,
    ) -> None:
        """An attempt ended; what follows from it may have to wait, as its client may have left."""
        self.stalls.call_when_resumed(lambda: self.attempt_ended(exchange, number, end, response, latency))

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` in `delay` seconds."""
        self.timers.call_after(delay, callback)
