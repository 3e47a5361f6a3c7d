"""Defines the messages between replicas, clients and operators, and the rows that replicas store.

This module alone maps the names on the wire and on disk to the names in the code; docs/protocols.md describes
the formats. Fields are declared in the order in which they are encoded. The module uses no I/O, clock or
randomness.
"""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

from gullmount.rpc.messages import MESSAGE_VERSION

# Limits the counter of a ballot and the version of a register. At 1000 rounds per second it takes 35000
# years to reach.
MAX_COUNTER = 1 << 50
# Length in characters.
MAX_REGISTER_NAME_LENGTH = 100
MAX_REPLICA_NUMBER = 1000
# Lengths in characters.
MAX_ADDRESS_LENGTH = 300
MAX_JOIN_MARK_LENGTH = 32

Counter = Annotated[int, Meta(ge=0, le=MAX_COUNTER)]
RegisterName = Annotated[str, Meta(min_length=1, max_length=MAX_REGISTER_NAME_LENGTH)]
Revision = Annotated[int, Meta(ge=0)]
Member = tuple[
    Annotated[int, Meta(ge=1, le=MAX_REPLICA_NUMBER)], Annotated[str, Meta(max_length=MAX_ADDRESS_LENGTH)]
]
Members = tuple[Member, ...]
KnownIncarnations = tuple[tuple[int, int], ...]


class Ballot(NamedTuple):
    """Identifies a round. Ballots are totally ordered, and no two rounds share one.

    Attributes:
        counter: Number above every counter that the proposer has seen.
        replica: Number of the proposer's replica.
        incarnation: Incarnation of the proposer's replica.
    """

    counter: Counter
    replica: Counter
    incarnation: Counter


NO_BALLOT = Ballot(0, 0, 0)


class MarkedValue(Struct, frozen=True):
    """Holds a register's value as a proposer writes it.

    Attributes:
        mark: Random identifier of the proposal. It distinguishes equal values of different proposals.
        value: Value that the client wrote.
    """

    mark: str
    value: Any


# Groups and registers


class GroupValue(Struct, frozen=True):
    """Holds the value of the group's register. The version of that register is the group's revision."""

    current: Members = field(name="now")
    next: Members
    highest_number: int = field(name="highest")
    join_mark: Annotated[str, Meta(max_length=MAX_JOIN_MARK_LENGTH)] = field(name="born")


class GroupMessage(Struct, frozen=True):
    """Encodes a group for messages and storage."""

    revision: Revision
    current: Members = field(name="now")
    next: Members
    highest_number: int = field(name="highest")
    join_mark: Annotated[str, Meta(max_length=MAX_JOIN_MARK_LENGTH)] = field(name="born")


class RegisterMessage(Struct, frozen=True):
    """Encodes one register of an acceptor for messages and storage."""

    register: RegisterName
    promised: Ballot
    accepted: Ballot
    version: Counter
    value: MarkedValue | None = None
    learned: bool = field(name="learnt", default=False)


class ReplicaMessage(Struct, frozen=True):
    """Encodes the row that a replica stores about itself."""

    number: int
    incarnation: int = field(name="life")
    requested_incarnation: int = field(name="asked")
    complete: bool = field(name="whole")


# Requests between replicas


class RequestHead(Struct, frozen=True):
    """Holds the fields that identify the sender, group and kind of a request between replicas."""

    sender: int = field(name="from")
    group_name: str = field(name="group")
    kind: str = field(name="do")


class PeerRequest(Struct, frozen=True, kw_only=True):
    """Base class of requests between replicas. The sender's client sets `sender` and `group_name`.

    Attributes:
        group: Group that the sender uses. None means the group of the configuration files.
    """

    v: int = MESSAGE_VERSION
    sender: int = field(name="from", default=0)
    group_name: str = field(name="group", default="")
    group: GroupMessage | None = field(name="group_now", default=None)


class PrepareRequest(PeerRequest, frozen=True, kw_only=True):
    """Asks an acceptor, in the first phase of a round, to promise to accept nothing below `ballot`."""

    kind: str = field(name="do", default="prepare")
    ballot: Ballot
    register: RegisterName


class AcceptRequest(PeerRequest, frozen=True, kw_only=True):
    """Asks an acceptor, in the second phase of a round, to accept a version and a value."""

    kind: str = field(name="do", default="accept")
    ballot: Ballot
    register: RegisterName
    version: Counter
    value: MarkedValue | None = None


class JoinRequest(PeerRequest, frozen=True, kw_only=True):
    """Announces the next incarnation of a starting replica and asks the receiver for its whole state."""

    kind: str = field(name="do", default="join")
    incarnation: int = field(name="life")


class AdoptRequest(PeerRequest, frozen=True, kw_only=True):
    """Asks the receiver to adopt the group in the request."""

    kind: str = field(name="do", default="adopt")


class ChosenRequest(PeerRequest, frozen=True, kw_only=True):
    """Notifies the receiver of the chosen version and value of a register."""

    kind: str = field(name="do", default="chosen")
    register: str
    version: int
    value: Any = None


class JoinMarkRequest(Struct, frozen=True, kw_only=True):
    """Asks a replica outside the group for its join mark. It is sent as an `AdoptRequest`."""

    v: int = MESSAGE_VERSION
    sender: int = field(name="from", default=0)
    group_name: str = field(name="group", default="")
    kind: str = field(name="do", default="adopt")
    group: GroupMessage = field(name="group_now")


REQUESTS: dict[str, type[PeerRequest]] = {
    "prepare": PrepareRequest,
    "accept": AcceptRequest,
    "join": JoinRequest,
    "adopt": AdoptRequest,
    "chosen": ChosenRequest,
}


# Answers between replicas


class EmptyAnswer(Struct, frozen=True):
    """Confirms that a request was received."""

    v: int = MESSAGE_VERSION


class PeerAnswer(Struct, frozen=True, kw_only=True):
    """Base class of answers between replicas.

    Attributes:
        incarnation: Incarnation of the sender.
        known_incarnations: Pairs of a replica number and the newest incarnation that the sender knows of it.
        ok: Whether the request was carried out.
    """

    v: int = MESSAGE_VERSION
    incarnation: int = field(name="life")
    known_incarnations: KnownIncarnations = field(name="lives")
    ok: bool


class RejectedAnswer(PeerAnswer, frozen=True, kw_only=True):
    """Reports that the request was rejected.

    Attributes:
        promised: Ballot that the next ballot of the proposer must exceed.
        group: Group of the sender, set if the request used an older one.
    """

    promised: Ballot | UnsetType = UNSET
    group: GroupMessage | UnsetType | None = field(name="group_now", default=UNSET)


class PromiseAnswer(PeerAnswer, frozen=True, kw_only=True):
    """Confirms a promise and carries what the sender has accepted so far."""

    register: RegisterName
    promised: Ballot
    accepted: Ballot
    version: Counter
    value: MarkedValue | None = None
    learned: bool = field(name="learnt", default=False)


class AcceptedAnswer(PeerAnswer, frozen=True, kw_only=True):
    """Confirms that the value was accepted."""


class JoinAnswer(PeerAnswer, frozen=True, kw_only=True):
    """Confirms that the incarnation was recorded and carries the sender's whole state.

    Attributes:
        requested_incarnation: Newest incarnation that the sender ever requested for itself.
        complete: Whether the sender's own state is complete.
    """

    requested_incarnation: int = field(name="asked")
    complete: bool = field(name="whole")
    registers: tuple[RegisterMessage, ...] = field(name="slots")
    group: GroupMessage | None = field(name="group_now", default=None)


class AdoptAnswer(PeerAnswer, frozen=True, kw_only=True):
    """Confirms that the sender has adopted the group or a newer one.

    Attributes:
        admitted: Whether the sender takes part in rounds.
        registers: Names of all registers that the sender knows.
        join_mark: Join mark of the sender's process.
    """

    revision: int
    admitted: bool
    registers: tuple[str, ...]
    join_mark: str = field(name="mark", default="")


ANSWERS: dict[type[Struct], type[PeerAnswer]] = {
    PrepareRequest: PromiseAnswer,
    AcceptRequest: AcceptedAnswer,
    JoinRequest: JoinAnswer,
    AdoptRequest: AdoptAnswer,
    JoinMarkRequest: AdoptAnswer,
}


# Clients and operators


class RegisterRequest(Struct, frozen=True, kw_only=True):
    """Requests a change of a register if `expected_version` is set, and a read otherwise."""

    v: int = MESSAGE_VERSION
    register: RegisterName
    expected_version: Revision | UnsetType | None = field(name="expect", default=UNSET)
    value: Any = UNSET


class RegisterLine(Struct, frozen=True, kw_only=True):
    """Carries the chosen version and value of a register as one line of a watch."""

    v: int = MESSAGE_VERSION
    register: str = ""
    version: int
    value: Any = None


class RegisterAnswer(Struct, frozen=True, kw_only=True):
    """Answers a client with the chosen version and value, and whether its change was made."""

    v: int = MESSAGE_VERSION
    register: str = ""
    version: int
    value: Any = None
    changed: bool = field(name="done")


class HeartbeatLine(Struct, frozen=True):
    """Keeps a watch alive while its register does not change."""

    v: int = MESSAGE_VERSION
    kind: str = "alive"


class GroupRequest(Struct, frozen=True, kw_only=True):
    """Requests a group change (`members`), the reversal of one (`undo`) or, with neither, the group."""

    v: int = MESSAGE_VERSION
    revision: Revision | UnsetType = UNSET
    members: Members | UnsetType = UNSET
    undo: bool | UnsetType = UNSET


class GroupAnswer(Struct, frozen=True, kw_only=True):
    """Answers an operator with the current group."""

    v: int = MESSAGE_VERSION
    group: GroupMessage = field(name="group_now")


def encode(message: Struct) -> bytes:
    """Return the encoded message."""
    return msgspec.json.encode(message)


def encode_line(message: Struct) -> bytes:
    """Return the encoded message with a newline, as one line of a stream."""
    return msgspec.json.encode(message) + b"\n"
