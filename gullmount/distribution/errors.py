"""The errors of distribution. Each makes its text from its fields and says which side is at fault."""

from __future__ import annotations

import errno
from pathlib import Path

from gullmount.errors import GullmountError
from gullmount.rpc.errors import InvalidMessageError

MAX_REPORTED_KEY_CHARACTERS = 40  # of an unknown key that is reported


class DistributionError(GullmountError):
    """Base of all errors of distribution."""


class MalformedMessageError(DistributionError, InvalidMessageError):
    """The sender's fault: a message does not follow docs/protocols.md.

    `part` names the field or the struct, `problem` says what is wrong with it; neither holds a body.
    """

    def __init__(self, part: str, problem: str = "") -> None:
        self.part = part
        self.problem = problem
        super().__init__(f"{part}: {problem}" if problem else part)


class TopicTooLargeError(DistributionError):
    """The fault of who sent the change: it would make a topic larger than allowed. Nothing was changed."""

    def __init__(self, topic: str, size_bytes: int, limit_bytes: int) -> None:
        self.topic = topic
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes
        super().__init__(f"{topic}: {size_bytes} bytes, at most {limit_bytes}")


class IncompleteTopicError(DistributionError):
    """The fault of who sent the change: the origin doesn't have all entries of the topic yet."""

    def __init__(self, topic: str) -> None:
        self.topic = topic
        super().__init__(f"{topic}: this origin has not received all of its entries yet")


class UnavailableError(DistributionError):
    """Nobody's fault: a subscriber can't be served now, and may come back."""


class OriginNotReachedError(UnavailableError):
    """A relay has heard nothing from the origin yet, so that it has nothing to send."""

    def __init__(self) -> None:
        super().__init__("the origin was not reached yet")


class RefreshInProgressError(UnavailableError):
    """A relay was paused and checks with the origin that what it holds is current."""

    def __init__(self) -> None:
        super().__init__("the relay checks with the origin whether its state is current")


class TooManySubscribersError(UnavailableError):
    """As many subscribers as allowed are subscribed already."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        super().__init__(f"too many subscribers, at most {limit}")


class TooManyTopicsError(UnavailableError):
    """The subscribers of a relay ask for more topics together than it may hold."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        super().__init__(f"too many topics, at most {limit}")


class UnusableUpdateError(DistributionError):
    """The fault of who sent the change to the origin: a proxy can't put it in force.

    `reason` is reported to the origin: a few words, without the body.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class UnknownKeyError(UnusableUpdateError):
    """A configuration has a key that is not known."""

    def __init__(self, key: str) -> None:
        super().__init__(f"unknown key {key[:MAX_REPORTED_KEY_CHARACTERS]}")


class RoutesNotAListError(UnusableUpdateError):
    """A configuration's routes are no list."""

    def __init__(self) -> None:
        super().__init__("expected a mapping with the one key routes, a list")


class RouteCountError(UnusableUpdateError):
    """A configuration has no routes, or too many."""

    def __init__(self, count: int, limit: int) -> None:
        super().__init__(f"routes: {count} of them, expected 1 to {limit}")


class DuplicateRouteError(UnusableUpdateError):
    """A route's name is there twice, or is another service's."""

    def __init__(self, route: str) -> None:
        super().__init__(f"route named twice: {route}")


class StateFileDamagedError(DistributionError):
    """The operator's to repair: without the origin's state file, an epoch could be used a second time."""

    def __init__(self, path: Path, problem: str) -> None:
        self.path = path
        self.problem = problem
        super().__init__(f"{path} is damaged: {problem}")


class ChangeLogUnusableError(OSError, DistributionError):
    """The disk's fault: an earlier write failed and could not be undone, so that half a line may be there."""

    def __init__(self, path: Path) -> None:
        super().__init__(errno.EIO, "an earlier write to the change log failed", str(path))
