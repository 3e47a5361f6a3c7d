"""Remembers the ids of recent requests and of requests in flight, in bounded memory. No I/O."""

from __future__ import annotations

from collections.abc import Callable

# Minimum time for which an id is remembered, unless more than `MAX_IDS_PER_GENERATION` ids arrive in it.
MIN_REMEMBERED_SECONDS = 4.0
# Maximum number of ids in one generation, which take about 2 MB.
MAX_IDS_PER_GENERATION = 20_000


class RequestIds:
    """Detects repeated request ids.

    A client may send the id of another client's request, which must not reach a server a second time. Recent
    ids are kept in two generations; the older one is dropped as a whole.

    Attributes:
        now: returns the current time in seconds.
        in_flight: ids of requests in flight.
        current_ids: ids of the current generation.
        previous_ids: ids of the previous generation.
        generation_started_at: start time of the current generation in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.in_flight: set[str] = set()
        self.current_ids: set[str] = set()
        self.previous_ids: set[str] = set()
        self.generation_started_at = 0.0

    def claim(self, request_id: str) -> bool:
        """Return whether the id is new, and register a new id as in flight."""
        now = self.now()
        if (
            now - self.generation_started_at > MIN_REMEMBERED_SECONDS
            or len(self.current_ids) > MAX_IDS_PER_GENERATION
        ):
            self.current_ids, self.previous_ids, self.generation_started_at = (
                set(),
                self.current_ids,
                now,
            )
        if request_id in self.in_flight or request_id in self.current_ids or request_id in self.previous_ids:
            return False
        self.in_flight.add(request_id)
        self.current_ids.add(request_id)
        return True

    def release(self, request_id: str) -> None:
        """Remove the id of an ended request from those in flight. It stays a recent id for a while."""
        self.in_flight.discard(request_id)
