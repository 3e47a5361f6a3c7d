"""The errors of the package, in two families.

`InvalidMessageError` means that a message arrived complete but its content is invalid, so its sender is at
fault. `CallError` means that a call got no usable response. Each of its subclasses names the step at which
the call failed, since a caller may only repeat a change that was never sent.
"""

from __future__ import annotations

from enum import StrEnum

from gullmount.errors import GullmountError


class RpcError(GullmountError):
    """Base of the errors in calls between the program's processes."""


class InvalidMessageError(RpcError):
    """A received message does not follow docs/protocols.md.

    Attributes:
        detail: What is wrong with the message.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class NotJsonError(InvalidMessageError):
    """A received message is not JSON, or is nested too deeply."""

    def __init__(self) -> None:
        super().__init__("not JSON")


class NotAnObjectError(InvalidMessageError):
    """A received message is JSON, but not an object."""

    def __init__(self) -> None:
        super().__init__("no object")


class MessageVersionError(InvalidMessageError):
    """A received message has a version that this program does not support."""

    def __init__(self, version: int) -> None:
        super().__init__(f"version {version}")


class InvalidFieldError(InvalidMessageError):
    """A field of a received message is missing or invalid.

    Attributes:
        field: The name of the field on the wire.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"field {field} {problem}")
        self.field = field


class TargetProblem(StrEnum):
    """What is wrong with a request target."""

    NOT_A_URL = "is no URL"
    NO_PATH = "has neither a path nor a host"
    TOO_MANY_FIELDS = "has a query of too many fields"


class InvalidTargetError(InvalidMessageError):
    """A request target is not a path with an optional query."""

    def __init__(self, problem: TargetProblem) -> None:
        super().__init__(f"the target {problem}")


class CallError(RpcError):
    """A call got no usable response.

    Attributes:
        status: The HTTP status of the response, 0 if there was none.
        retry_after_seconds: The delay after which the server accepts another call, None if it gave none.
    """

    status: int = 0
    retry_after_seconds: float | None = None


class ConnectError(CallError):
    """The connection could not be established, so nothing was sent."""

    def __init__(self, cause: OSError) -> None:
        super().__init__(f"no connection: {cause}")


class ConnectionLostError(CallError):
    """The connection broke before the response was complete."""

    def __init__(self, cause: BaseException) -> None:
        super().__init__(f"connection lost: {type(cause).__name__}")


class ConnectionClosedError(CallError):
    """The server closed the connection before the response was complete."""

    def __init__(self) -> None:
        super().__init__("the server closed the connection before the response was complete")


class HttpProtocolError(CallError):
    """The server's response violates HTTP/1.1."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"the server violated HTTP/1.1: {cause}")


class StatusError(CallError):
    """The server responded with a status other than 200."""

    def __init__(self, status: int, retry_after_seconds: float | None = None) -> None:
        super().__init__(f"status {status}")
        self.status = status
        self.retry_after_seconds = retry_after_seconds


class ResponseTooLongError(CallError):
    """The response is longer than a call accepts."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the server's response is longer than {max_bytes} bytes")


class LineTooLongError(CallError):
    """The server sent a line longer than the client accepts."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the server sent a line longer than {max_bytes} bytes")


class StreamEndedError(CallError):
    """The server ended a stream that is meant to stay open."""

    def __init__(self) -> None:
        super().__init__("the server ended the stream")


class SilentPeerError(CallError):
    """The server sent no data within the time limit."""

    def __init__(self) -> None:
        super().__init__("the server was silent for too long")
