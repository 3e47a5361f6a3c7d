"""Reads the resident memory of this process."""

from __future__ import annotations

import resource
from pathlib import Path

STATM_PATH = Path("/proc/self/statm")
# Position of the number of resident pages in the file.
RESIDENT_FIELD = 1


def resident_bytes() -> int | None:
    """Return the bytes of this process that are in memory, shared ones included; None if unknown."""
    try:
        fields = STATM_PATH.read_text().split()
    except OSError:
        return None
    return int(fields[RESIDENT_FIELD]) * resource.getpagesize()
