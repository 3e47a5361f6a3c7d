"""The time unit of the settings and the bounds of their numbers."""

from __future__ import annotations

MICROSECONDS_PER_SECOND = 1e6
# Lower bound of the numbers that the decisions divide by.
MIN_DIVISOR = 1e-6
# Upper bound of all numbers, since JSON integers may have any length. As microseconds it is 30,000 years.
MAX_NUMBER = 1e18


def seconds_from_microseconds(microseconds: float | None) -> float:
    """Convert microseconds to seconds; None counts as 0."""
    return (microseconds or 0) / MICROSECONDS_PER_SECOND
