"""Log lines as JSON on standard error, limited by event so that one that floods hides no other.

structlog has no place here: it takes a tenth of the memory that the smallest instance has.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from typing import Any

import msgspec

MAX_LINES_PER_SECOND = 10  # of one event; further ones are only counted


class JsonLog:
    """Callable as `log(event, **fields)`; events are named by the code, so that memory is bounded.

    Each line has `at`, the wall clock in seconds, which may be stepped, and `up`, seconds on the monotonic
    clock since the process began: differences between lines are taken from `up`.
    """

    def __init__(self, instance_name: str) -> None:
        self.instance_name = instance_name
        self.started_at = time.monotonic()
        self.current_second = 0
        self.written_this_second: Counter[str] = Counter()  # in the current second, by event
        self.dropped_since_last_line: Counter[str] = Counter()  # since the event's last line

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line, or count it as dropped."""
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
        """Write a line to standard error; where nobody reads, it is lost and routing goes on."""
        try:
            sys.stderr.buffer.write(line + b"\n")
            sys.stderr.buffer.flush()
        except (OSError, ValueError):
            pass
