"""One router instance in the simulator: events become calls on the router, and its calls become actions.

Only names and units are converted here. The router makes every decision.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, ClassVar

from gullmount.decisions.model import Endpoint, EndpointUpdateKind, InstanceSettings, Vote
from gullmount.decisions.requests import Request
from gullmount.decisions.router import Router
from gullmount.settings import decode_peer_vote, seconds_from_microseconds
from gullmount.simulator import wire
from gullmount.simulator.errors import InvalidFieldError
from gullmount.simulator.wire import look_up


class Instance:
    """A router with its timers and open requests. The instance is the router's runtime.

    Args:
        number: The number of the instance.
        settings: The settings of the router.
        clock: Returns the current time in seconds.
        pages: The pages of servers that endpoint updates refer to.
        emit: Called with each action, in the order in which they are to be sent.
    """

    def __init__(
        self,
        number: int,
        settings: InstanceSettings,
        *,
        clock: Callable[[], float],
        pages: Mapping[int, Sequence[Endpoint]],
        emit: Callable[[wire.Action], None],
    ) -> None:
        self.number = number
        self.now = clock
        self.emit = emit
        self.pages = pages
        self.routes = settings.routes
        self.requests: dict[str, Request] = {}
        self.timer_count = 0
        self.timer_callbacks: dict[int, Callable[[], None]] = {}
        self.router = Router(self, settings)

    # Calls of the router

    def forward(self, request_id: str, server_id: str, timeout: float) -> None:
        """Start an attempt with a timeout in seconds."""
        self.emit(wire.Forward(self.number, request_id, server_id, wire.microseconds(timeout)))

    def reject(self, request_id: str, retry_after: float) -> None:
        """Reject a request. The client may retry it after `retry_after` seconds."""
        self.emit(wire.Reject(self.number, request_id, wire.microseconds(retry_after)))

    def fail(self, request_id: str) -> None:
        """Fail a request."""
        self.emit(wire.Fail(self.number, request_id))

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call the callback once after a delay in seconds."""
        self.timer_count += 1
        self.timer_callbacks[self.timer_count] = callback
        self.emit(wire.SetTimer(self.number, self.timer_count, wire.microseconds(delay)))

    def vote(self, build: int, stage: int, vote: Vote) -> None:
        """Cast a vote on a build."""
        self.emit(wire.cast_vote(self.number, build, stage, vote))

    def gossip_vote(self, peer: int, build: int, stage: int, vote: Vote) -> None:
        """Send a vote to a peer."""
        self.emit(wire.gossip_vote(self.number, peer, build, stage, vote))

    def watch_endpoints(self) -> None:
        """Subscribe to the endpoint list."""
        self.emit(wire.WatchEndpoints(self.number))

    def log(self, text: str) -> None:
        """Log a message for operators."""
        self.emit(wire.LogMessage(self.number, text))

    # Events of the simulator

    def handle(self, event: wire.InstanceEvent) -> None:
        """Pass an event to the router.

        Raises:
            MalformedLineError: The event refers to something that does not exist.
        """
        self.HANDLERS[type(event)](self, event)

    def _on_new_request(self, event: wire.NewRequest) -> None:
        look_up(self.routes, "NewRequest", "Grade", event.route)
        request = self.router.accept(
            event.request_id, event.route, seconds_from_microseconds(event.deadline_us), event.key
        )
        if not request.settled:
            self.requests[event.request_id] = request

    def _on_attempt_result(self, event: wire.AttemptResult) -> None:
        request = self.requests.get(event.request_id)
        if request is None or event.attempt not in request.attempts_in_flight:
            problem = f"no attempt in flight has Id {event.request_id} and Hop {event.attempt}"
            raise InvalidFieldError("Result", problem)
        outcome = look_up(wire.OUTCOMES, "Result", "Disposition", event.outcome)
        request.attempt_ended(
            event.attempt, outcome, seconds_from_microseconds(event.latency_us), event.final
        )
        self._remove_if_finished(event.request_id, request)

    def _on_response_start(self, event: wire.ResponseStart) -> None:
        request = self.requests.get(event.request_id)
        if request is not None:
            request.response_started(event.attempt)

    def _on_client_left(self, event: wire.ClientLeft) -> None:
        request = self.requests.get(event.request_id)
        if request is not None:
            request.client_left()
            self._remove_if_finished(event.request_id, request)

    def _remove_if_finished(self, request_id: str, request: Request) -> None:
        if request.settled and not request.attempts_in_flight:
            del self.requests[request_id]

    def _on_timer_due(self, event: wire.TimerDue) -> None:
        if event.timer not in self.timer_callbacks:
            raise InvalidFieldError("Due", f"no timer is set with Name {event.timer}")
        self.timer_callbacks.pop(event.timer)()

    def _on_endpoint_update(self, event: wire.EndpointUpdate) -> None:
        kind = look_up(wire.UPDATE_KINDS, "Fleet", "Kind", event.kind)
        endpoints: Sequence[Endpoint] = ()
        if kind is not EndpointUpdateKind.REFUSED:
            endpoints = look_up(self.pages, "Fleet", "Buffer", event.page)
        self.router.update_endpoints(kind, endpoints)

    def _on_vote_failed(self, _event: wire.VoteFailed) -> None:
        self.router.vote_failed()

    def _on_release_update(self, event: wire.ReleaseUpdate) -> None:
        phase = look_up(wire.PHASES, "RolloutState", "WhereAt", event.phase)
        self.router.update_release(event.build, event.stage, phase, event.exposure_limit)

    def _on_peer_message(self, event: wire.PeerMessage) -> None:
        """Record a peer's vote, and ignore any other text.

        An invalid message must not terminate this instance, whoever sent it.
        """
        vote = decode_peer_vote(event.text)
        if vote is not None:
            self.router.receive_vote(event.peer, vote.build, vote.stage, vote.vote)

    def _on_metrics(self, event: wire.Metrics) -> None:
        look_up(self.routes, "Tally", "Grade", event.route)
        self.router.record_metrics(
            event.build,
            event.route,
            event.attempts,
            event.lost,
            seconds_from_microseconds(event.latency_us),
            seconds_from_microseconds(event.age_us),
        )

    def _on_ignored(self, _event: wire.InstanceEvent) -> None:
        """Ignore an event that no decision uses."""

    HANDLERS: ClassVar[Mapping[type[wire.InstanceEvent], Callable[[Any, Any], None]]] = {
        wire.NewRequest: _on_new_request,
        wire.AttemptResult: _on_attempt_result,
        wire.TimerDue: _on_timer_due,
        wire.EndpointUpdate: _on_endpoint_update,
        wire.VoteFailed: _on_vote_failed,
        wire.ReleaseUpdate: _on_release_update,
        wire.Metrics: _on_metrics,
        wire.ClientLeft: _on_client_left,
        wire.ResponseStart: _on_response_start,
        wire.PeerMessage: _on_peer_message,
        wire.ProbeResult: _on_ignored,
        wire.FaultReport: _on_ignored,
    }
