"""Derives the limits on what an instance remembers and holds from the memory that it has. Does no I/O."""

from __future__ import annotations

from gullmount.decisions.affinity import MAX_TRACKED_KEYS

BYTES_PER_MEGABYTE = 1_000_000
# Share of the memory that is free at the start for requests and responses in progress. The rest is for what
# connections cost, for garbage that was not collected yet and for the growth of the process.
REQUEST_MEMORY_SHARE = 0.15
MIN_REQUEST_MEMORY_BYTES = 262_144
# Share of that memory for the builds of affinity keys, and what one key takes.
KEY_MEMORY_SHARE = 0.1
BYTES_PER_TRACKED_KEY = 100
MIN_TRACKED_KEYS = 2_000
# Resident memory after the start where the system does not tell it.
USUAL_RESIDENT_BYTES = 32 * BYTES_PER_MEGABYTE


def request_memory_bytes(memory_megabytes: float, resident_bytes: int | None) -> int:
    """Return the memory for requests and responses in progress.

    Args:
        memory_megabytes: limit on the memory of the process.
        resident_bytes: memory that the process has in use at its start; None if unknown.
    """
    free_bytes = free_memory_bytes(memory_megabytes, resident_bytes)
    return max(MIN_REQUEST_MEMORY_BYTES, round(REQUEST_MEMORY_SHARE * free_bytes))


def max_tracked_keys(memory_megabytes: float, resident_bytes: int | None) -> int:
    """Return how many affinity keys are remembered; the arguments are those of `request_memory_bytes`."""
    key_count = KEY_MEMORY_SHARE * free_memory_bytes(memory_megabytes, resident_bytes) / BYTES_PER_TRACKED_KEY
    return min(MAX_TRACKED_KEYS, max(MIN_TRACKED_KEYS, round(key_count)))


def free_memory_bytes(memory_megabytes: float, resident_bytes: int | None) -> float:
    """Return the memory that the process may use beyond what it has in use; it may be negative."""
    used_bytes = USUAL_RESIDENT_BYTES if resident_bytes is None else resident_bytes
    return memory_megabytes * BYTES_PER_MEGABYTE - used_bytes
