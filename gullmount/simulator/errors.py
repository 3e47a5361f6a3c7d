"""Errors in the lines that the simulator sends. The simulator is at fault for each of them."""

from __future__ import annotations

from gullmount.errors import GullmountError

# Length in characters to which a message is truncated.
MAX_MESSAGE_LENGTH = 200


class MalformedLineError(GullmountError):
    """Base class of the errors of a line that does not follow the protocol."""


class NotJsonError(MalformedLineError):
    """A line is not JSON, or is nested too deep to be parsed."""

    def __init__(self, cause: ValueError | RecursionError) -> None:
        reason = "nested too deep" if isinstance(cause, RecursionError) else cause
        super().__init__(f"cannot parse line as JSON: {reason}"[:MAX_MESSAGE_LENGTH])


class MissingVerbError(MalformedLineError):
    """A line is not an object with a string in the field `verb`."""

    def __init__(self) -> None:
        super().__init__("line is not an object with a string in the field verb")


class UnknownVerbError(MalformedLineError):
    """The verb of a line names no event."""

    def __init__(self, verb: str) -> None:
        super().__init__(f"{verb}: unknown verb"[:MAX_MESSAGE_LENGTH])


class InvalidFieldError(MalformedLineError):
    """A field is missing, has the wrong type, or holds a value that is not accepted."""

    def __init__(self, verb: str, problem: str) -> None:
        super().__init__(f"{verb}: {problem}"[:MAX_MESSAGE_LENGTH])


class UnknownValueError(MalformedLineError):
    """A field has the right type, but its value is not one of the known ones."""

    def __init__(self, verb: str, field: str, value: object) -> None:
        super().__init__(f"{verb}: field {field} has no such value: {value!r}"[:MAX_MESSAGE_LENGTH])
