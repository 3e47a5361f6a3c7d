"""The record of a run: what was sent, answered and run, with the time of each."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Keeps the events of a run, and writes each to the file `record.txt` of the case."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.events: list[dict[str, Any]] = []
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self.started_at

    def add(self, event: str, **fields: Any) -> dict[str, Any]:
        """Add an event with the present time, and return it."""
        entry = {"at": round(self.now(), 4), "event": event, **fields}
        self.events.append(entry)
        self.file.write(json.dumps(entry) + "\n")
        return entry

    def find(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the events of this name that have these fields, in order."""
        return [
            entry
            for entry in self.events
            if entry["event"] == event and all(entry.get(name) == value for name, value in fields.items())
        ]

    def close(self) -> None:
        """Close the file."""
        self.file.close()
