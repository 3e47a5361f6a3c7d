"""Contains unexpected errors of handlers.

An error ends the connection or datagram that the handler served, not the process.
"""

from __future__ import annotations

import sys
import traceback
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from gullmount.errors import ProcessFatalError

# Name of the log event.
HANDLER_FAILED = "handler_failed"

Log = Callable[..., None]
"""A log function, called with an event name and its fields as keyword arguments."""


def log_to_standard_error(event: str, **fields: Any) -> None:
    """Write one line of JSON to standard error. The line is lost if standard error can't be written."""
    try:
        sys.stderr.write(msgspec.json.encode({"event": event, **fields}).decode() + "\n")
    except (OSError, ValueError):
        pass


class HandlerErrors:
    """Contains, counts and logs the unexpected errors of handlers.

    It does not contain cancellation, nor `ProcessFatalError`, after which the process must exit.

    Attributes:
        log: The log function.
        count: The number of errors contained so far.
    """

    def __init__(self, log: Log = log_to_standard_error) -> None:
        self.log = log
        self.count = 0
        # Its size is bounded by the number of source lines of the program.
        self._count_by_location: Counter[str] = Counter()

    @contextmanager
    def contained(self, handler: str, expected_errors: tuple[type[Exception], ...] = ()) -> Iterator[None]:
        """Contain an error of the with block, unless the caller expects it and handles it itself.

        Args:
            handler: What the block serves, for the log.
            expected_errors: The error types that propagate to the caller.
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
        """Count an error, and log the 1st, 2nd, 4th, 8th and so on from the same source line.

        The log thus stays small when one error repeats very often.
        """
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
    """Return whether the error, or an error of the group, is a `ProcessFatalError`."""
    if isinstance(error, BaseExceptionGroup):
        return error.subgroup(ProcessFatalError) is not None
    return isinstance(error, ProcessFatalError)


def raise_location(error: BaseException) -> str:
    """Return the type of an error, and the file and line that raised it.

    For a group it describes the first error.
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return type(error).__name__
    return f"{type(error).__name__} {frames[-1].filename}:{frames[-1].lineno}"
