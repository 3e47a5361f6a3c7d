"""The errors of the package, in two families.

`InvalidMessageError`: a message came whole, and its content is at fault, so its sender is. `CallError`: a
call got no usable answer; each subclass says at which step it ended, as a caller may only repeat a change
that was never sent.
"""

from __future__ import annotations

from enum import StrEnum

from gullmount.errors import GullmountError


class RpcError(GullmountError):
    """Base of the errors of calls between the program's processes."""


class InvalidMessageError(RpcError):
    """The sender's message does not follow docs/protocols.md.

    Attributes:
        detail: which field is wrong, and how.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class NotJsonError(InvalidMessageError):
    """The sender's message is not JSON, or nested too deep."""

    def __init__(self) -> None:
        super().__init__("not JSON")


class NotAnObjectError(InvalidMessageError):
    """The sender's message is JSON, but no object."""

    def __init__(self) -> None:
        super().__init__("no object")


class MessageVersionError(InvalidMessageError):
    """The sender's message is of a version that this program does not speak."""

    def __init__(self, version: int) -> None:
        super().__init__(f"version {version}")


class InvalidFieldError(InvalidMessageError):
    """One field of the sender's message is at fault.

    Attributes:
        field: the name of the field on the wire.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"field {field} {problem}")
        self.field = field


class TargetProblem(StrEnum):
    """What is wrong with the target of a request."""

    NOT_A_URL = "is no URL"
    NO_PATH = "has neither a path nor a host"
    TOO_MANY_FIELDS = "has a query of too many fields"


class InvalidTargetError(InvalidMessageError):
    """The target of the sender's request is no path with a query."""

    def __init__(self, problem: TargetProblem) -> None:
        super().__init__(f"the target {problem}")


class CallError(RpcError):
    """A call got no usable answer.

    Attributes:
        status: the HTTP status of the answer, 0 where there was none.
        retry_after_seconds: when the other side asked to be called again, None where it did not say.
    """

    status: int = 0
    retry_after_seconds: float | None = None


class ConnectError(CallError):
    """No connection came up, so nothing was sent."""

    def __init__(self, cause: OSError) -> None:
        super().__init__(f"no connection: {cause}")


class ConnectionLostError(CallError):
    """The connection broke before the answer was complete."""

    def __init__(self, cause: BaseException) -> None:
        super().__init__(f"connection lost: {type(cause).__name__}")


class ConnectionClosedError(CallError):
    """The server closed the connection before the answer was complete."""

    def __init__(self) -> None:
        super().__init__("the server closed the connection before the answer was complete")


class HttpProtocolError(CallError):
    """The server's bytes are not HTTP/1.1."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"the server broke HTTP: {cause}")


class StatusError(CallError):
    """The server answered with a status other than 200."""

    def __init__(self, status: int, retry_after_seconds: float | None = None) -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.retry_after_seconds = retry_after_seconds


class ResponseTooLongError(CallError):
    """The server's answer is longer than a call takes."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the server's answer is longer than {max_bytes} bytes")


class LineTooLongError(CallError):
    """The server sent a line longer than the stream takes."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the server sent a line longer than {max_bytes} bytes")


class StreamEndedError(CallError):
    """The server ended a stream that has no end of its own."""

    def __init__(self) -> None:
        super().__init__("the server ended the stream")


class SilentPeerError(CallError):
    """The server sent nothing for too long."""

    def __init__(self) -> None:
        super().__init__("the server was silent for too long")
