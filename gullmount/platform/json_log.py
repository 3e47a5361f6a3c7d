"""Writes log lines as JSON to standard error, with a rate limit for each event.

The limit is per event so that a flood of one event does not suppress the others. structlog is not used
because it takes a tenth of the memory of the smallest instance.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from typing import Any

import msgspec

# Maximum number of lines of one event per second. Further lines are counted but not written.
MAX_LINES_PER_SECOND = 10


class JsonLog:
    """Writes one JSON line for each call `log(event, **fields)`.

    Each line has two timestamps. `at` is the wall clock in seconds, which may be stepped. `up` is the number
    of seconds since the start of the process on the monotonic clock; use it for differences between lines.

    The counters are kept by event. Their memory is bounded because event names come only from the code.

    Attributes:
        instance_name: name of the instance, written to each line.
        started_at: time of the monotonic clock at which the log was created, in seconds.
        current_second: the second since then that `written_this_second` refers to.
        written_this_second: number of calls in the current second, by event.
        dropped_since_last_line: number of lines dropped since the event's last line, by event.
    """

    def __init__(self, instance_name: str) -> None:
        self.instance_name = instance_name
        self.started_at = time.monotonic()
        self.current_second = 0
        self.written_this_second: Counter[str] = Counter()
        self.dropped_since_last_line: Counter[str] = Counter()

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line, or count it as dropped if the event has reached its rate limit."""
        uptime = time.monotonic() - self.started_at
        if int(uptime) != self.current_second:
            self.current_second = int(uptime)
            self.written_this_second.clear()
        self.written_this_second[event] += 1
        if self.written_this_second[event] > MAX_LINES_PER_SECOND:
            self.dropped_since_last_line[event] += 1
            return
        timestamps = {"at": round(time.time(), 4), "up": round(uptime, 4)}
        line = {**timestamps, "proxy": self.instance_name, "event": event, **fields}
        if self.dropped_since_last_line[event]:
            line["dropped_before"] = self.dropped_since_last_line.pop(event)
        self.write(msgspec.json.encode(line))

    def write(self, line: bytes) -> None:
        """Write a line to standard error. A line that cannot be written is lost, and routing continues."""
        try:
            sys.stderr.buffer.write(line + b"\n")
            sys.stderr.buffer.flush()
        except (OSError, ValueError):
            pass
