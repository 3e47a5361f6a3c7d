"""The clock that leases use."""

from __future__ import annotations

import time


def boot_time_seconds() -> float:
    """Return seconds of a clock that keeps running while the machine sleeps, if the system has one.

    On other systems the seconds are those of the monotonic clock.
    """
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return time.monotonic()
