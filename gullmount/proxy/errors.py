"""Errors in configuration files and in messages of other services.

Errors of HTTP clients and servers are in `http1.py`. Each class builds its message from its arguments.
"""

from __future__ import annotations

from collections.abc import Sequence

from gullmount.errors import GullmountError
from gullmount.rpc import InvalidMessageError, StatusError


class ConfigError(GullmountError, ValueError):
    """The operator configured a value that cannot be used."""


class HeaderNameError(ConfigError):
    """The operator configured an invalid header name."""

    def __init__(self) -> None:
        super().__init__("not a valid header name")


class ReservedRouteNameError(ConfigError):
    """The operator named a route with the suffix that is reserved for internal variants."""

    def __init__(self, suffix: str) -> None:
        super().__init__(f"the name of a route must not end with {suffix!r}")


class DeduplicationUnconfiguredError(ConfigError):
    """The operator configured a deduplicated route without its window or its header."""

    def __init__(self) -> None:
        super().__init__("a route with repeats: deduped requires dedupe_window and dedupe_mark")


class LatencyObjectiveError(ConfigError):
    """The operator configured a latency objective that is longer than the route's timeout."""

    def __init__(self) -> None:
        super().__init__("objective must not be longer than timeout")


class DuplicateRouteError(ConfigError):
    """The operator gave several routes the same name."""

    def __init__(self, names: Sequence[str]) -> None:
        super().__init__(f"duplicate route names: {', '.join(names)}")


class InstanceNumberError(ConfigError):
    """The operator configured an instance number that is not below the number of instances."""

    def __init__(self, number: int, count: int) -> None:
        super().__init__(
            f"number is {number}, but must be at least 0 and less than {count}, the number of instances"
        )


class UnknownMessageError(InvalidMessageError):
    """The release controller sent neither a status nor metrics."""

    def __init__(self) -> None:
        super().__init__("the message has neither news nor tally")


class ReleaseStatusRangeError(InvalidMessageError):
    """The release controller sent an exposure limit or a stage out of range."""

    def __init__(self) -> None:
        super().__init__("field cap or stage is out of range")


class PeerMessageSizeError(InvalidMessageError):
    """A peer sent a datagram that is longer than allowed."""

    def __init__(self) -> None:
        super().__init__("too long")


class PeerAddressError(InvalidMessageError):
    """A datagram came from an address other than that of the peer it names as its sender."""

    def __init__(self) -> None:
        super().__init__("the source address does not belong to the peer in field from")


class VoteRefusedError(StatusError):
    """The release controller responded to a vote with a status other than 200."""
