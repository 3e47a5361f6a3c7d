"""Remembers the ids of recent requests and of requests in flight, in bounded memory. No I/O."""

from __future__ import annotations

from collections.abc import Callable

# Minimum time for which an id is remembered, unless the caller asks for more or more than
# `MAX_IDS_PER_GENERATION` requests are forwarded in it.
MIN_REMEMBERED_SECONDS = 4.0
# Maximum number of ids in one generation, which take about 2 MB.
MAX_IDS_PER_GENERATION = 20_000


class RequestIds:
    """Detects repeated request ids.

    A client may send the id of another client's request, which must not reach a server a second time. Recent
    ids are kept in two generations; the older one is dropped as a whole.

    An id whose request was not forwarded is forgotten at once. So requests that are refused, of which a
    client can send any number under ever new ids, neither use up memory nor push out the ids of requests that
    may have run. An id that comes again while it is remembered is remembered for as long again.

    Attributes:
        now: returns the current time in seconds.
        remembered_seconds: minimum time for which an id is remembered.
        in_flight: ids of requests in flight.
        current_ids: hashes of the ids of the current generation.
        previous_ids: hashes of the ids of the previous generation.
        generation_started_at: start time of the current generation in seconds.
    """

    def __init__(self, now: Callable[[], float], remembered_seconds: float = MIN_REMEMBERED_SECONDS) -> None:
        self.now = now
        self.remembered_seconds = max(remembered_seconds, MIN_REMEMBERED_SECONDS)
        self.in_flight: set[str] = set()
        self.current_ids: set[int] = set()
        self.previous_ids: set[int] = set()
        self.generation_started_at = 0.0

    def claim(self, request_id: str) -> bool:
        """Return whether the id is new, and register a new id as in flight."""
        self._begin_generation_if_due()
        key = hash(request_id)
        is_known = request_id in self.in_flight or key in self.current_ids or key in self.previous_ids
        self.current_ids.add(key)
        if not is_known:
            self.in_flight.add(request_id)
        return not is_known

    def release(self, request_id: str, was_forwarded: bool = True) -> None:
        """Remove the id of an ended request from those in flight.

        If the request was forwarded to a server, its id stays a recent one for a while.
        """
        self.in_flight.discard(request_id)
        if not was_forwarded:
            self.current_ids.discard(hash(request_id))
            self.previous_ids.discard(hash(request_id))

    def _begin_generation_if_due(self) -> None:
        now = self.now()
        is_old = now - self.generation_started_at > self.remembered_seconds
        if is_old or len(self.current_ids) > MAX_IDS_PER_GENERATION:
            self.previous_ids, self.current_ids = self.current_ids, set()
            self.generation_started_at = now
