"""Defines the interface through which the decisions call the program around them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gullmount.decisions.model import Vote


class Runtime(Protocol):
    """The operations that the surrounding program provides; every method returns at once."""

    def now(self) -> float:
        """Return the time in seconds on a clock that never goes back."""
        ...

    def forward(self, request_id: str, server_id: str, timeout: float) -> None:
        """Start an attempt at the server, which is abandoned after `timeout` seconds."""
        ...

    def reject(self, request_id: str, retry_after: float) -> None:
        """Reject the request: it had no effect and may be sent again after `retry_after` seconds."""
        ...

    def fail(self, request_id: str) -> None:
        """Respond with an error: the request may have had an effect."""
        ...

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` once, `delay` seconds from now."""
        ...

    def vote(self, build: int, stage: int, vote: Vote) -> None:
        """Send a vote to the release controller; a failure is reported to `Router.vote_failed`."""
        ...

    def gossip_vote(self, peer: int, build: int, stage: int, vote: Vote) -> None:
        """Send a vote to the instance with number `peer`; the message may be lost."""
        ...

    def watch_endpoints(self) -> None:
        """Ask discovery to send the endpoints and their changes."""
        ...

    def log(self, text: str) -> None:
        """Write one log line."""
        ...
