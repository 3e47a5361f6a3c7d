"""Errors of the simulator's lines; the simulator is at fault for each of them."""

from __future__ import annotations

from gullmount.errors import GullmountError

MAX_MESSAGE_LENGTH = 200  # characters of a problem that are shown


class MalformedLineError(GullmountError):
    """A line that doesn't follow the wire."""


class NotJsonError(MalformedLineError):
    """A line that is not JSON, or that is nested too deep to be read."""

    def __init__(self, cause: ValueError | RecursionError) -> None:
        reason = "nested too deep" if isinstance(cause, RecursionError) else cause
        super().__init__(f"line is not JSON that can be read: {reason}"[:MAX_MESSAGE_LENGTH])


class MissingVerbError(MalformedLineError):
    """A line that is no object with a verb."""

    def __init__(self) -> None:
        super().__init__("line has no field verb")


class UnknownVerbError(MalformedLineError):
    """An event that the wire doesn't have."""

    def __init__(self, verb: str) -> None:
        super().__init__(f"{verb}: unknown verb"[:MAX_MESSAGE_LENGTH])


class InvalidFieldError(MalformedLineError):
    """A field that is missing, or of the wrong type, or that holds what its owner refuses."""

    def __init__(self, verb: str, problem: str) -> None:
        super().__init__(f"{verb}: {problem}"[:MAX_MESSAGE_LENGTH])


class UnknownValueError(MalformedLineError):
    """A field of the right type whose value names nothing."""

    def __init__(self, verb: str, field: str, value: object) -> None:
        super().__init__(f"{verb}: field {field} has no such value: {value!r}"[:MAX_MESSAGE_LENGTH])
