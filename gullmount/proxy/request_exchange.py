"""Tracks one accepted request between its client and the servers until its last attempt has ended."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from enum import Enum
from math import inf
from typing import Protocol

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from gullmount.decisions.requests import Request
from gullmount.proxy.counters import AttemptRecord
from gullmount.proxy.messages import RequestHead, Response
from gullmount.proxy.outcomes import AttemptEnd

# Chunks of a relayed response that wait for the client before the proxy stops reading from the server.
MAX_QUEUED_RESPONSE_CHUNKS = 4


class ClientPresence(Enum):
    """Whether the client still waits for its response, as far as its connection tells."""

    PRESENT = "present"
    """All that the client sent was read, and its end is not among it."""
    LEFT = "left"
    """The client has closed or reset its connection."""
    UNKNOWN = "unknown"
    """The client has sent more than was read; its end may follow."""


def always_present() -> ClientPresence:
    """Return PRESENT, for a request that came by no connection."""
    return ClientPresence.PRESENT


class OpenAttempt(Protocol):
    """An attempt in flight, as seen by its request.

    Attributes:
        deadline: when the attempt times out, in seconds of the attempt's clock.
    """

    deadline: float

    def cancel(self) -> None:
        """Cancel the attempt because its client has disconnected."""


class RequestExchange:
    """A request with its attempts and its one final response, which is the first one passed to `settle`.

    Attributes:
        id: the proxy instance's own id of the request.
        client_request_id: the client's own id; empty if the protocol has none.
        body: the request body, or its buffered first part if `remaining_body` is set.
        remaining_body: reads the rest of the body; it can be called once.
        remaining_body_read: whether reading the rest has begun; the body then cannot be sent again.
        streams_response: whether the response is relayed as it arrives.
        arrived_at: the earliest time at which the request can have arrived, in seconds of the runtime's
            clock; None stands for the time at which the router accepts it.
        deadline: when the client expects its response at the latest, in seconds of the runtime's clock.
        reserved_bytes: about the memory that the request takes, as counted in the memory budget.
        request: the router's request; None until the router has accepted it.
        failure_response: the response to send if the router gives up the request.
        response_body: the rest of a response that is being relayed.
        response_truncated: whether a relayed response ended prematurely.
        settled: whether the request needs no further response.
        on_settled: called when the request becomes settled.
        client_presence: returns whether the client still waits. It may query the kernel.
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
        self.reserved_bytes = len(body) + head.held_bytes
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
        self.client_presence: Callable[[], ClientPresence] = always_present

    def begin_attempt(self, server_id: str) -> int:
        """Record a new attempt and return its number."""
        attempt_number = self.attempt_count
        self.attempt_count += 1
        self.attempts_in_flight += 1
        self.attempt_records.append(AttemptRecord(server_id))
        return attempt_number

    def settle(self, response: Response) -> None:
        """Set the final response unless the request is already settled."""
        if not self.settled:
            self.response = response
            self.mark_settled()

    def mark_settled(self) -> None:
        """Mark the request as needing no further response and notify `on_settled`."""
        if not self.settled:
            self.settled = True
            if self.on_settled is not None:
                self.on_settled()

    def begin_response(self, response: Response, attempt_number: int) -> MemoryObjectSendStream[bytes]:
        """Settle with a response whose body is still arriving; return the stream to write the body to."""
        send_stream, self.response_body = anyio.create_memory_object_stream[bytes](MAX_QUEUED_RESPONSE_CHUNKS)
        self.open_attempts[attempt_number].deadline = inf
        self.settle(response)
        if self.request is not None:
            self.request.response_started(attempt_number)
        return send_stream

    def client_disconnected(self) -> None:
        """Cancel the attempts of a client that has disconnected; it needs no response."""
        if self.client_left:
            return
        self.client_left = True
        self.mark_settled()
        if self.request is not None:
            self.request.client_left()
        for attempt in list(self.open_attempts.values()):
            attempt.cancel()


AttemptEndCallback = Callable[[RequestExchange, int, AttemptEnd, Response | None, float], None]
"""Called with exchange, attempt number, attempt end, response if complete, and duration in seconds."""
