"""Log lines as JSON on standard error, at most so many a second. structlog has no room here: it takes a
tenth of the memory that the smallest umpire has."""

from __future__ import annotations

import sys
import time
from typing import Any

import msgspec

LINES_A_S = 30  # lines a second; the rest is counted: a flood of bad clients must not cost the usual ones


class Log:
    def __init__(self, name: str) -> None:
        self.name = name
        self.second = 0
        self.lines = 0
        self.dropped = 0

    def __call__(self, event: str, **fields: Any) -> None:
        now = time.time()
        if int(now) != self.second:
            self.second, self.lines = int(now), 0
        self.lines += 1
        if self.lines > LINES_A_S:
            self.dropped += 1
            return
        line = {"at": round(now, 4), "umpire": self.name, "event": event, **fields}
        if self.dropped:
            line["dropped_before"], self.dropped = self.dropped, 0
        try:
            sys.stderr.buffer.write(msgspec.json.encode(line) + b"\n")
            sys.stderr.buffer.flush()
        except (OSError, ValueError):
            pass  # nobody reads: routing goes on
