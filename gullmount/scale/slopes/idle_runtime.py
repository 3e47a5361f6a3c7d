"""A runtime for one router that sends nothing: a clock that is set, and timers that wait to be called."""

from __future__ import annotations

from collections.abc import Callable

from gullmount.decisions.model import Vote

START_SECONDS = 1000.0  # of the clock


class IdleRuntime:
    """Keeps timers and ignores all else that a router asks for.

    Attributes:
        clock: seconds; goes only as it is set.
        timers: when each is due, and its callback, in the order they were asked for.
    """

    def __init__(self, clock: float = START_SECONDS) -> None:
        self.clock = clock
        self.timers: list[tuple[float, Callable[[], None]]] = []

    def now(self) -> float:
        """Return the clock's time."""
        return self.clock

    def forward(self, request_id: str, server_id: str, timeout: float) -> None:
        """Send nothing."""

    def reject(self, request_id: str, retry_after: float) -> None:
        """Answer nothing."""

    def fail(self, request_id: str) -> None:
        """Answer nothing."""

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        """Keep a timer for `take_due`."""
        self.timers.append((self.clock + delay, callback))

    def vote(self, build: int, stage: int, vote: Vote) -> None:
        """Send nothing."""

    def gossip_vote(self, peer: int, build: int, stage: int, vote: Vote) -> None:
        """Send nothing."""

    def watch_endpoints(self) -> None:
        """Ask for nothing."""

    def log(self, text: str) -> None:
        """Write nothing."""

    def take_due(self) -> list[Callable[[], None]]:
        """Return the callbacks whose time has come, and forget them."""
        due = [callback for at, callback in self.timers if at <= self.clock]
        self.timers = [timer for timer in self.timers if timer[0] > self.clock]
        return due
