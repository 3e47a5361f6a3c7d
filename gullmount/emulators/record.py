"""The record of a scenario: what was seen on the sockets of clients and servers, and what proxies were sent.

Records are kept and read again by later versions, so their words stay. Only here is a term of the code turned
into the word of a record.
"""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path
from typing import Any

import anyio
import msgspec

from gullmount.errors import GullmountError

SECONDS_DIGITS = 6  # finer times are noise
HEAD_FILE_NAME = "day.json"
EVENTS_FILE_NAME = "record.jsonl"


class RecordEvent(StrEnum):
    """The kinds of events that emulators record, with the word in `ev`."""

    REQUEST_BEGUN = "asked"
    ATTEMPT_SENT = "sent"
    RESPONSE_RECEIVED = "got"
    UNEXPECTED_BYTES = "extra"
    REQUEST_ENDED = "ended"
    SERVER_STARTED = "box_up"
    SERVER_STOPPED = "box_down"
    SERVER_OVERLOADED = "box_fell"
    ATTEMPT_RECEIVED = "box_got"
    ATTEMPT_STARTED = "box_began"
    ATTEMPT_DEDUPLICATED = "box_deduped"
    ATTEMPT_CANCELLED = "box_stopped"
    ATTEMPT_ANSWERED = "box_answered"
    ANSWER_LOST = "box_lost"
    ENDPOINTS_SENT = "told_boxes"
    RELEASE_CHANGED = "build"
    RELEASE_STATUS_SENT = "told_build"
    ROLLBACK_BEGUN = "sent_back"
    VOTE_COUNTED = "vote"
    VOTE_OUTDATED = "stale_vote"
    ANNOUNCEMENT_RECEIVED = "effect"


# Words of a record for terms of the code; a field that is not here keeps its name.
STORED_NAMES = {
    "proxy": "umpire",
    "server": "box",
    "request_id": "req",
    "first_request_id": "first",
    "idempotency_key": "mark",
    "timeout": "patience",
    "outcome": "answer",
    "latency": "time",
    "cold_capacity": "cold_from",
    "warm_up_time": "cold_time",
    "handed_over_at": "handed",
    "failure": "how",
    "endpoints": "boxes",
    "reason": "why",
    "vote": "verdict",
    "lease": "job",
    "holder": "owner",
    "accepted": "taken",
}


class RecordDamagedError(GullmountError, ValueError):
    """A line of a record is no event."""

    def __init__(self, line_number: int, error: msgspec.DecodeError) -> None:
        super().__init__(f"{EVENTS_FILE_NAME}:{line_number}: {error}")


class Record:
    """Events in the order in which they happened.

    Attributes:
        events: each an object with `t`, in seconds since the start, and `ev`, the kind.
        started: the start on anyio's clock, in seconds.
    """

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.started = anyio.current_time()

    def now(self) -> float:
        """Return the seconds since the start."""
        return anyio.current_time() - self.started

    def note(self, kind: str, /, **fields: Any) -> None:
        """Add an event in the words of the record."""
        self.events.append({"t": round(self.now(), SECONDS_DIGITS), "ev": kind, **fields})

    def note_event(self, event: RecordEvent, /, **fields: Any) -> None:
        """Add an event of an emulator; `STORED_NAMES` turns the names of its fields into the record's."""
        self.note(event, **{STORED_NAMES.get(name, name): value for name, value in fields.items()})

    def lines(self) -> bytes:
        """Return the events as lines of JSON."""
        return b"".join(msgspec.json.encode(event) + b"\n" for event in self.events)


def write(folder: Path, about: dict[str, Any], lines: bytes) -> None:
    """Write what the record is about and its events into the folder. Raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    head = msgspec.json.format(msgspec.json.encode(about), indent=1)
    (folder / HEAD_FILE_NAME).write_bytes(head + b"\n")
    (folder / EVENTS_FILE_NAME).write_bytes(lines)


def read(folder: Path) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Return what the record is about and its events; raises OSError or ValueError, which names the line."""
    about = msgspec.json.decode((folder / HEAD_FILE_NAME).read_bytes(), type=dict[str, Any])
    events = []
    for number, line in enumerate((folder / EVENTS_FILE_NAME).read_bytes().splitlines(), 1):
        try:
            events.append(msgspec.json.decode(line, type=dict[str, Any]))
        except msgspec.DecodeError as error:
            raise RecordDamagedError(number, error) from None
    return about, events
