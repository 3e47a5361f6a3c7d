"""Ids of requests that are in flight or came lately, in bounded memory. No I/O."""

from __future__ import annotations

from collections.abc import Callable

MIN_REMEMBERED_SECONDS = 4.0  # at least, in which an id that comes again is known as such
MAX_IDS_PER_GENERATION = 20_000  # in that time, some 2 MB


class RequestIds:
    """Tells whether a request's id is new.

    Guards against a client that names another's request: it must not reach a server a second time. Recent ids
    stand in two generations, of which the older is dropped as a whole.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.in_flight: set[str] = set()
        self.current_ids: set[str] = set()
        self.previous_ids: set[str] = set()
        self.generation_started_at = 0.0

    def claim(self, request_id: str) -> bool:
        """Return whether the id is new, and note it as in flight if so."""
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
        """Note that the request has ended; its id stays known for a while."""
        self.in_flight.discard(request_id)
