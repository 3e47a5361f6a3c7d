"""What another process of this machine has used, from /proc."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Places of fields of /proc/PID/stat, counted after the process's name.
USER_TICKS, SYSTEM_TICKS, RESIDENT_PAGES = 11, 12, 21


class ProcessUsage(NamedTuple):
    """Seconds of processor time since the process's start, and resident memory now."""

    user_seconds: float
    system_seconds: float
    resident_bytes: int

    @property
    def processor_seconds(self) -> float:
        """Return processor time in both modes."""
        return self.user_seconds + self.system_seconds


def process_usage(pid: int) -> ProcessUsage:
    """Return what the process has used.

    Raises:
        OSError: if there is no such process.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return ProcessUsage(
        int(fields[USER_TICKS]) / TICKS_PER_SECOND,
        int(fields[SYSTEM_TICKS]) / TICKS_PER_SECOND,
        int(fields[RESIDENT_PAGES]) * PAGE_SIZE_BYTES,
    )
