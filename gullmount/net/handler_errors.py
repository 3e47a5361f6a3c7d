"""Unexpected errors of handlers: each ends the one connection or datagram it served, not the process."""

from __future__ import annotations

import sys
import traceback
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from gullmount.errors import ProcessFatalError

HANDLER_FAILED = "handler_failed"  # the log event

Log = Callable[..., None]
"""Called with an event and its fields by name."""


def log_to_standard_error(event: str, **fields: Any) -> None:
    """Write one line of JSON; where nobody reads, it is lost."""
    try:
        sys.stderr.write(msgspec.json.encode({"event": event, **fields}).decode() + "\n")
    except (OSError, ValueError):
        pass


class HandlerErrors:
    """Contains, counts and logs what handlers raise unexpectedly.

    Two kinds are not contained: cancellation, and `ProcessFatalError`, after which the process must end.

    Attributes:
        count: errors contained so far.
    """

    def __init__(self, log: Log = log_to_standard_error) -> None:
        self.log = log
        self.count = 0
        self._count_by_location: Counter[str] = Counter()  # bounded by the lines of the program

    @contextmanager
    def contained(self, handler: str, expected_errors: tuple[type[Exception], ...] = ()) -> Iterator[None]:
        """Contain an error of the body, unless it is one of `expected_errors`, which the caller expects.

        `handler` says in the log what was served.
        """
        try:
            yield
        except expected_errors:
            raise
        except Exception as error:
            if ends_process(error):
                raise
            self.record(handler, error)

    def record(self, handler: str, error: Exception) -> None:
        """Count an error, and log the 1st, 2nd, 4th and so on of its place: a flood must not fill the log."""
        self.count += 1
        location = raise_location(error)
        self._count_by_location[location] += 1
        count_here = self._count_by_location[location]
        if count_here & (count_here - 1):
            return
        self.log(
            HANDLER_FAILED,
            handler=handler,
            error=type(error).__name__,
            place=location,
            count_here=count_here,
            count=self.count,
            traceback="".join(traceback.format_exception(error)),
        )


def ends_process(error: BaseException) -> bool:
    """Whether the error, or one of a group, must end the process."""
    if isinstance(error, BaseExceptionGroup):
        return error.subgroup(ProcessFatalError) is not None
    return isinstance(error, ProcessFatalError)


def raise_location(error: BaseException) -> str:
    """Return type, file and line of what was raised; of the first one of a group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return type(error).__name__
    return f"{type(error).__name__} {frames[-1].filename}:{frames[-1].lineno}"
