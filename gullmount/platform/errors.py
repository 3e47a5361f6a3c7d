"""Defines the errors raised for invalid data from discovery and the release controller.

The sender of the data is at fault. An error ends only the call or connection that carried the data.
"""

from __future__ import annotations

from enum import StrEnum

from gullmount.errors import GullmountError

# Maximum number of characters of an invalid text that an error message quotes.
MAX_SHOWN_CHARACTERS = 20


class InvalidPlatformMessageError(GullmountError):
    """Base class of errors in messages from discovery and the release controller."""


class LineProblem(StrEnum):
    """The reason why a line from the release controller is invalid."""

    TOO_LONG = "too long"
    BAD_END = "too long or not ended by CR LF"
    NOT_ASCII = "not ASCII text"


class InvalidLineError(InvalidPlatformMessageError):
    """The release controller sent bytes that are not a valid line of its protocol."""

    def __init__(self, problem: LineProblem) -> None:
        super().__init__(f"line from the release controller is {problem}")
        self.problem = problem


class InvalidReleaseStatusError(InvalidPlatformMessageError):
    """A text is not a valid release status: build, stage, phase, exposure limit and age."""

    def __init__(self, text: str) -> None:
        super().__init__(f"not a release status: {text[:MAX_SHOWN_CHARACTERS]!r}")
        self.text = text


class MissingStatusFieldError(InvalidPlatformMessageError):
    """The release status in the configuration file has a missing field."""

    def __init__(self, field: str) -> None:
        super().__init__(f"platform.news: no {field!r}")
        self.field = field


class UnexpectedReplyError(InvalidPlatformMessageError):
    """The release controller sent a line that is not a valid reply, or a reply that refuses the vote."""

    def __init__(self, reply: str) -> None:
        super().__init__(f"unexpected reply {reply[:MAX_SHOWN_CHARACTERS]!r}")
        self.reply = reply


class InvalidEndpointPageError(InvalidPlatformMessageError):
    """An endpoint list from discovery or the configuration file is not JSON of the expected form."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class InvalidEndpointFieldError(InvalidPlatformMessageError):
    """An entry of the endpoint list has a field with an unusable value."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"field {field} {problem}")
        self.field = field
        self.problem = problem


class EndpointListTooLongError(InvalidPlatformMessageError):
    """The body of a response from discovery exceeds the maximum size."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"list too long: more than {max_bytes} bytes")
        self.max_bytes = max_bytes
