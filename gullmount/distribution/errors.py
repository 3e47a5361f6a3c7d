"""Defines the errors of distribution.

Each error builds its text from its fields. Its docstring states which side is at fault.
"""

from __future__ import annotations

import errno
from pathlib import Path

from gullmount.errors import GullmountError
from gullmount.rpc.errors import InvalidMessageError

# An unknown key is cut to this length in error messages.
MAX_REPORTED_KEY_CHARACTERS = 40


class DistributionError(GullmountError):
    """Base class of all errors of distribution."""


class MalformedMessageError(DistributionError, InvalidMessageError):
    """A message does not follow docs/protocols.md. The sender is at fault.

    Attributes:
        part: Name of the field or struct, never a message body.
        problem: What is wrong with it, never a message body.
    """

    def __init__(self, part: str, problem: str = "") -> None:
        self.part = part
        self.problem = problem
        super().__init__(f"{part}: {problem}" if problem else part)


class TopicTooLargeError(DistributionError):
    """A change would make a topic larger than allowed. The sender of the change is at fault.

    Nothing was changed.
    """

    def __init__(self, topic: str, size_bytes: int, limit_bytes: int) -> None:
        self.topic = topic
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes
        super().__init__(f"{topic}: {size_bytes} bytes, at most {limit_bytes}")


class IncompleteTopicError(DistributionError):
    """The origin does not have all entries of the topic yet. The sender of the change is at fault."""

    def __init__(self, topic: str) -> None:
        self.topic = topic
        super().__init__(f"{topic}: this origin has not received all of its entries yet")


class UnavailableError(DistributionError):
    """A subscriber cannot be served now and may retry later. Neither side is at fault."""


class OriginNotReachedError(UnavailableError):
    """A relay has received nothing from the origin yet and therefore has nothing to send."""

    def __init__(self) -> None:
        super().__init__("the origin was not reached yet")


class RefreshInProgressError(UnavailableError):
    """A relay was paused and is checking with the origin whether its state is current."""

    def __init__(self) -> None:
        super().__init__("the relay checks with the origin whether its state is current")


class TooManySubscribersError(UnavailableError):
    """The limit of subscribers is reached."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        super().__init__(f"too many subscribers, at most {limit}")


class TooManyTopicsError(UnavailableError):
    """The subscribers of a relay together request more topics than it may hold."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        super().__init__(f"too many topics, at most {limit}")


class UnusableUpdateError(DistributionError):
    """A proxy cannot put an update in force. The sender of the change to the origin is at fault.

    Attributes:
        reason: A few words that are reported to the origin, without the body.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class UnknownKeyError(UnusableUpdateError):
    """A configuration has an unknown key."""

    def __init__(self, key: str) -> None:
        super().__init__(f"unknown key {key[:MAX_REPORTED_KEY_CHARACTERS]}")


class RoutesNotAListError(UnusableUpdateError):
    """The routes of a configuration are not a list."""

    def __init__(self) -> None:
        super().__init__("expected a mapping with the one key routes, a list")


class RouteCountError(UnusableUpdateError):
    """A configuration has no routes or too many."""

    def __init__(self, count: int, limit: int) -> None:
        super().__init__(f"routes: {count} of them, expected 1 to {limit}")


class DuplicateRouteError(UnusableUpdateError):
    """A route name occurs twice or belongs to another service."""

    def __init__(self, route: str) -> None:
        super().__init__(f"route named twice: {route}")


class StateFileDamagedError(DistributionError):
    """The state file of the origin is damaged. The operator must repair it.

    Without the state file, an epoch could be used a second time.
    """

    def __init__(self, path: Path, problem: str) -> None:
        self.path = path
        self.problem = problem
        super().__init__(f"{path} is damaged: {problem}")


class ChangeLogUnusableError(OSError, DistributionError):
    """An earlier write to the change log failed and could not be undone. The disk is at fault.

    The change log may end in a partial line.
    """

    def __init__(self, path: Path) -> None:
        super().__init__(errno.EIO, "an earlier write to the change log failed", str(path))
