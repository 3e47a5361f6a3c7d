"""The value in a lease's register, and the leader's announcement.

This is the only module that maps the names on the wire to the terms of the code. docs/protocols.md describes
them. Fields are in the order in which they are written. The module has no I/O, clock or randomness.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from gullmount.rpc.messages import MESSAGE_VERSION


class LeaseValue(Struct, frozen=True):
    """Value that is written to the register of a lease; `LeaseState` describes the fields."""

    holder: int | None = field(name="owner")
    incarnation: str = field(name="life")
    token: int
    renewal: int = field(name="beat")
    term_seconds: float = field(name="term")
    pending_work: Any = field(name="work")
    requested_by: int | UnsetType = field(name="wanted", default=UNSET)
    handed_to: int | UnsetType | None = field(name="to", default=UNSET)

    def as_json(self) -> dict[str, Any]:
        """Return the value in the form that a register stores."""
        value: dict[str, Any] = msgspec.to_builtins(self)
        return value


@dataclass(frozen=True)
class LeaseState:
    """State of a lease, as read from its register.

    Attributes:
        holder: Number of the instance that holds the lease; None if it is free.
        incarnation: Identifies the holder's process; the instance's next process is another holder.
        token: Fencing token, which grows by one with each claim. Receivers of effects reject a lower token
            than they have seen.
        renewal: Grows by one with each renewal; 0 at a claim.
        term_seconds: How long the holder may go without a renewal.
        pending_work: Work that the holder was about to do; an earlier holder may have left it half finished.
        requested_by: Number of the instance that requests the lease from the holder.
        handed_to: Number of the instance that the lease was handed over to, while the lease is free.
    """

    holder: int | None
    incarnation: str
    token: int
    renewal: int
    term_seconds: float
    pending_work: Any
    requested_by: int | None = None
    handed_to: int | None = None


FREE = LeaseState(None, "", 0, 0, 0.0, None)


def lease_state_from(value: Any) -> LeaseState:
    """Return the lease state in a register's value; a value that is not a lease counts as free."""
    match value:
        case {
            "owner": int() | None as holder,
            "life": str(incarnation),
            "token": int(token),
            "beat": int(renewal),
            "term": int() | float() as term,
        }:
            return LeaseState(
                holder,
                incarnation,
                token,
                renewal,
                float(term),
                value.get("work"),
                _number_or_none(value.get("wanted")),
                _number_or_none(value.get("to")),
            )
    return FREE


def _number_or_none(value: Any) -> int | None:
    return value if type(value) is int else None


class LeaderAnnouncement(Struct, frozen=True, kw_only=True):
    """Announces the holder of a lease; the receiver rejects a lower token than it has seen.

    Attributes:
        v: Version of the message format.
        work: Name of the leased work.
        holder: Number of the instance that holds the lease.
        token: Fencing token of the lease.
        number: Sequence number among the announcements of one holder.
    """

    v: int = MESSAGE_VERSION
    work: str = field(name="job")
    holder: int = field(name="owner")
    token: int
    number: int
