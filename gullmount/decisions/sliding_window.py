"""Operations on ascending queues of event times, for sliding windows."""

from __future__ import annotations

from collections import deque


def drop_before(times: deque[float], since: float) -> None:
    """Remove the times before `since` from an ascending queue of seconds."""
    while times and times[0] < since:
        times.popleft()


def insert_in_order(times: deque[float], at: float) -> None:
    """Insert a time into an ascending queue of seconds, searching from the end, where most belong."""
    index = len(times)
    while index and times[index - 1] > at:
        index -= 1
    times.insert(index, at)
