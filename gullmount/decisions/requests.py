"""Holds the state of a request and of its attempts."""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple, Protocol

from gullmount.decisions.endpoints import Server
from gullmount.decisions.model import Outcome, Route


class DeduplicationGroup(NamedTuple):
    """Place of the first attempt that may have run; servers there recognise a second one."""

    zone: str
    cell: int


class AttemptListener(Protocol):
    """Receives the ends of the attempts of requests that it accepted."""

    def attempt_ended(
        self, request: Request, number: int, outcome: Outcome, latency: float, final: bool
    ) -> None:
        """Handle the end of attempt `number`, `latency` seconds after it was sent."""
        ...


class Attempt:
    """One attempt of a request at a server."""

    __slots__ = ("build", "counted_at", "deduplication_group", "reused_connection", "sent_at", "server")

    def __init__(self, server: Server, sent_at: float) -> None:
        self.server = server
        self.build = server.build
        """The build of the server when the attempt began."""
        self.deduplication_group = DeduplicationGroup(server.zone, server.cell)
        self.sent_at = sent_at
        """When the attempt began, in seconds on the runtime's clock; it was sent no earlier."""
        self.counted_at = sent_at
        """When the attempt counts as sent for the exposure limit, no earlier than it was sent."""
        self.reused_connection = server.connected_until > sent_at
        """Whether a connection to the server was believed to be open when the attempt began."""


class Request:
    """An accepted request; exists until its last attempt has ended."""

    def __init__(
        self,
        listener: AttemptListener,
        request_id: str,
        route: Route,
        deadline: float,
        key: str | None,
        hash_position: float,
    ) -> None:
        self.listener = listener
        self.id = request_id
        self.route = route
        self.deadline = deadline
        """Time in seconds on the runtime's clock after which nobody waits for the response."""
        self.key = key
        """Affinity key that related requests share, such as a user; None if there is none."""
        self.hash_position = hash_position
        """Hash of the key, or of the request id if there is no key, as a number from 0 to 1."""
        self.attempts: list[Attempt] = []
        self.attempts_in_flight: set[int] = set()
        """Numbers of the attempts that have not ended."""
        self.settled = False
        """Whether the client has its response or none is due any more."""
        self.deduplication_group: DeduplicationGroup | None = None
        """The group of the first attempt that may have run; None if none may have run."""
        self.deduplicated_until = 0.0
        """Time in seconds on the runtime's clock until which that group drops a second run."""

    def attempt_ended(self, number: int, outcome: Outcome, latency: float, final: bool) -> None:
        """Report that an attempt ended, `latency` seconds after it was sent.

        `final` says that the client has its response, from this attempt or an earlier one.
        """
        self.listener.attempt_ended(self, number, outcome, latency, final)

    def response_started(self, number: int) -> None:
        """Report that a streamed response has begun and is passed on to the client."""

    def client_left(self) -> None:
        """Report that the client disconnected, so that no response is due any more."""
        self.settled = True


def hash_position(key: str) -> float:
    """Return the key's hash from 0 to 1, the same at every instance and after every restart."""
    return int.from_bytes(blake2b(key.encode(), digest_size=8).digest()) / 2**64
