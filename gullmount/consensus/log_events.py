"""The log events of replicas and of their clients."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any

Log = Callable[..., None]


class LogEvent(StrEnum):
    """Names of the log events. They are stable."""

    STORAGE_CORRUPTED = "storage_corrupted"
    STORAGE_LOADED = "storage_loaded"
    REPLICA_ADMITTED = "replica_admitted"
    GROUP_ADOPTED = "replica_group_adopted"
    PEER_ANSWER_INVALID = "peer_answer_invalid"
    REQUEST_INVALID = "request_invalid"
    CLIENT_STALLED = "client_stalled"
    REGISTER_WATCH_ENDED = "register_watch_ended"
    GROUP_REGISTER_INVALID = "group_register_invalid"


def no_log(event: str, **fields: Any) -> None:
    """Discard the event."""
