"""One accepted request between its client and the servers, until its last attempt has ended."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from math import inf
from typing import Protocol

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from gullmount.decisions.requests import Request
from gullmount.proxy.counters import AttemptRecord
from gullmount.proxy.messages import RequestHead, Response
from gullmount.proxy.outcomes import AttemptEnd

MAX_QUEUED_RESPONSE_CHUNKS = (
    4  # of a response that wait for the client before the server's connection fills up
)


class OpenAttempt(Protocol):
    """An attempt in flight, as far as its request may end it; `deadline` in seconds of its clock."""

    deadline: float

    def cancel(self) -> None:
        """End the attempt: its client has left."""


class RequestExchange:
    """Holds the one final response; the first one given to `settle` counts.

    Attributes:
        id: the instance's own id of the request.
        client_request_id: the client's own id, where the protocol has one.
        body: the request's body, or its first part where `remaining_body` is set.
        remaining_body: reads the rest of the body, once.
        remaining_body_read: whether that has begun; the body cannot be sent again then.
        streams_response: whether a response is relayed as it comes.
        arrived_at: the earliest time at which it can have arrived, in seconds of the runtime's clock; None
            for the time at which the router accepts it.
        deadline: by which the client wants its response, in seconds of the runtime's clock.
        request: the router's view; None until the router has accepted it.
        failure_response: what the client gets if the router gives the request up.
        response_body: the rest of a response that is being relayed.
        response_truncated: whether a relayed response broke off.
    """

    def __init__(
        self,
        request_id: str,
        head: RequestHead,
        body: bytes,
        deadline: float,
        client_request_id: str = "",
        arrived_at: float | None = None,
    ) -> None:
        self.id = request_id
        self.client_request_id = client_request_id
        self.head = head
        self.body = body
        self.remaining_body: Callable[[], AsyncIterator[bytes]] | None = None
        self.remaining_body_read = False
        self.streams_response = False
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.request: Request | None = None
        self.attempt_count = 0
        self.attempt_records: list[AttemptRecord] = []
        self.attempts_in_flight = 0
        self.open_attempts: dict[int, OpenAttempt] = {}
        self.failure_response: Response | None = None
        self.response: Response | None = None
        self.response_body: MemoryObjectReceiveStream[bytes] | None = None
        self.response_truncated = False
        self.client_left = False
        self.settled = False
        self.on_settled: Callable[[], None] | None = None

    def begin_attempt(self, server_id: str) -> int:
        """Count a new attempt and return its number."""
        attempt_number = self.attempt_count
        self.attempt_count += 1
        self.attempts_in_flight += 1
        self.attempt_records.append(AttemptRecord(server_id))
        return attempt_number

    def settle(self, response: Response) -> None:
        """Give the final response; a later one changes nothing."""
        if not self.settled:
            self.response = response
            self.mark_settled()

    def mark_settled(self) -> None:
        """The request needs no other response."""
        if not self.settled:
            self.settled = True
            if self.on_settled is not None:
                self.on_settled()

    def begin_response(self, response: Response, attempt_number: int) -> MemoryObjectSendStream[bytes]:
        """Settle with a response that attempt `number` has begun; return the stream that takes its body."""
        send_stream, self.response_body = anyio.create_memory_object_stream[bytes](MAX_QUEUED_RESPONSE_CHUNKS)
        self.open_attempts[attempt_number].deadline = inf
        self.settle(response)
        if self.request is not None:
            self.request.response_started(attempt_number)
        return send_stream

    def client_disconnected(self) -> None:
        """The client left: its attempts are cancelled and no response is owed."""
        if self.client_left:
            return
        self.client_left = True
        self.mark_settled()
        if self.request is not None:
            self.request.client_left()
        for attempt in list(self.open_attempts.values()):
            attempt.cancel()


AttemptEndCallback = Callable[[RequestExchange, int, AttemptEnd, Response | None, float], None]
"""Takes the request, the attempt's number, how it ended, its response if complete, and its seconds."""
