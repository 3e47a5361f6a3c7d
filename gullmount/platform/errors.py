"""Errors of what the platform's services send.

The sender is at fault, and only its call or connection ends.
"""

from __future__ import annotations

from enum import StrEnum

from gullmount.errors import GullmountError

MAX_SHOWN_CHARACTERS = 20  # of a reply that was not expected


class InvalidPlatformMessageError(GullmountError):
    """Base of the errors of messages from discovery and from the release controller."""


class LineProblem(StrEnum):
    """What is wrong with a line."""

    TOO_LONG = "too long"
    BAD_END = "too long or not ended by CR LF"
    NOT_ASCII = "not ASCII text"


class InvalidLineError(InvalidPlatformMessageError):
    """The release controller sent what is no line of its protocol."""

    def __init__(self, problem: LineProblem) -> None:
        super().__init__(f"line from the release controller is {problem}")
        self.problem = problem


class InvalidReleaseStatusError(InvalidPlatformMessageError):
    """The text is no release status: build, stage, phase, exposure limit and age."""

    def __init__(self, text: str) -> None:
        super().__init__(f"not a release status: {text[:MAX_SHOWN_CHARACTERS]!r}")
        self.text = text


class MissingStatusFieldError(InvalidPlatformMessageError):
    """The release status in the configuration file lacks a field."""

    def __init__(self, field: str) -> None:
        super().__init__(f"platform.news: no {field!r}")
        self.field = field


class UnexpectedReplyError(InvalidPlatformMessageError):
    """The release controller sent a line that is no reply here, or one that refuses the vote."""

    def __init__(self, reply: str) -> None:
        super().__init__(f"unexpected reply {reply[:MAX_SHOWN_CHARACTERS]!r}")
        self.reply = reply


class InvalidEndpointPageError(InvalidPlatformMessageError):
    """Discovery's answer is not JSON of the form that its protocol gives."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class InvalidEndpointFieldError(InvalidPlatformMessageError):
    """A server on discovery's list has a field that cannot be used."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"field {field} {problem}")
        self.field = field
        self.problem = problem


class EndpointListTooLongError(InvalidPlatformMessageError):
    """Discovery's answer has more bytes than are accepted."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"list too long: more than {max_bytes} bytes")
        self.max_bytes = max_bytes
