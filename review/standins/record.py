"""The record of one run: what was sent, answered and run, with times in seconds since its beginning."""

from __future__ import annotations

import time
from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes the lines of `record.txt`."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the beginning of the run."""
        return time.monotonic() - self.began_at

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line with the present time, or the time given."""
        moment = self.now() if at is None else at
        self.file.write(f"{moment:9.4f} {text}\n")
        self.file.flush()

    def conclude(self, code: int, text: str) -> int:
        """Write the conclusion as the last line, print it, and return the exit code."""
        self.write(f"result {code}: {text}")
        self.file.close()
        print(text)
        return code
