"""When senders handed over bytes that the links delayed: a server learns how late a request comes to it."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import NamedTuple

import anyio

SHORTEST_DELAY_SECONDS = 0.005  # of a delivery that is noted
READ_SECONDS = 0.25  # within which delivered bytes are read; what was delivered before is of another request
MAX_HANDOVERS = 64  # noted for two parties

ConnectionEnds = tuple[str, str]
"""The host that connects, and the address that it connects to."""


class Handover(NamedTuple):
    """A delivery; both times are seconds on anyio's clock."""

    handed_over_at: float
    delivered_at: float


class Handovers:
    """The latest delayed deliveries between any two parties."""

    def __init__(self) -> None:
        self._waiting: dict[ConnectionEnds, deque[Handover]] = defaultdict(
            lambda: deque(maxlen=MAX_HANDOVERS)
        )

    def note(self, ends: ConnectionEnds, handed_over_at: float) -> None:
        """Note that bytes are delivered now, if they were on their way for long."""
        now = anyio.current_time()
        if now - handed_over_at > SHORTEST_DELAY_SECONDS:
            self._waiting[ends].append(Handover(handed_over_at, now))

    def take(self, ends: ConnectionEnds) -> float | None:
        """Return when the bytes that have just been delivered were handed over; None if not long before."""
        waiting = self._waiting.get(ends)
        while waiting:
            handover = waiting.popleft()
            if anyio.current_time() - handover.delivered_at < READ_SECONDS:
                return handover.handed_over_at
        return None
