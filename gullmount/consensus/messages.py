"""The messages between replicas, clients and operators, and what is stored of them.

Only here is a name on the wire or on disk turned into the term that the code uses; docs/protocols.md
describes them. Fields stand in the order in which they are written. No I/O, clock or randomness.
"""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field

from gullmount.rpc.messages import MESSAGE_VERSION

MAX_COUNTER = 1 << 50  # of a ballot or a version: at 1000 rounds a second it takes 35000 years
MAX_REGISTER_NAME = 100  # characters
MAX_REPLICA_NUMBER = 1000
MAX_ADDRESS_LENGTH = 300  # characters
MAX_JOIN_MARK_LENGTH = 32  # characters

Counter = Annotated[int, Meta(ge=0, le=MAX_COUNTER)]
RegisterName = Annotated[str, Meta(min_length=1, max_length=MAX_REGISTER_NAME)]
Revision = Annotated[int, Meta(ge=0)]
Member = tuple[
    Annotated[int, Meta(ge=1, le=MAX_REPLICA_NUMBER)], Annotated[str, Meta(max_length=MAX_ADDRESS_LENGTH)]
]
Members = tuple[Member, ...]
KnownIncarnations = tuple[tuple[int, int], ...]


class Ballot(NamedTuple):
    """The number of a round; ballots are ordered, and no two rounds share one.

    Attributes:
        counter: raised above every counter that the proposer has seen.
        replica: the proposer's number.
        incarnation: the proposer's incarnation.
    """

    counter: Counter
    replica: Counter
    incarnation: Counter


NO_BALLOT = Ballot(0, 0, 0)


class MarkedValue(Struct, frozen=True):
    """A register's value as proposers write it.

    Attributes:
        mark: drawn for each proposal: tells its value from an equal one of another proposal.
        value: what the client wrote.
    """

    mark: str
    value: Any


# Groups and registers


class GroupValue(Struct, frozen=True):
    """What the register of the group holds; the register's version is the group's revision."""

    current: Members = field(name="now")
    next: Members
    highest_number: int = field(name="highest")
    join_mark: Annotated[str, Meta(max_length=MAX_JOIN_MARK_LENGTH)] = field(name="born")


class GroupMessage(Struct, frozen=True):
    """A group as messages and the storage carry it."""

    revision: Revision
    current: Members = field(name="now")
    next: Members
    highest_number: int = field(name="highest")
    join_mark: Annotated[str, Meta(max_length=MAX_JOIN_MARK_LENGTH)] = field(name="born")


class RegisterMessage(Struct, frozen=True):
    """One register of an acceptor as messages and the storage carry it."""

    register: RegisterName
    promised: Ballot
    accepted: Ballot
    version: Counter
    value: MarkedValue | None = None
    learned: bool = field(name="learnt", default=False)


class ReplicaMessage(Struct, frozen=True):
    """What a replica stores of itself."""

    number: int
    incarnation: int = field(name="life")
    requested_incarnation: int = field(name="asked")
    complete: bool = field(name="whole")


# Requests between replicas


class RequestHead(Struct, frozen=True):
    """What each request between replicas begins with."""

    sender: int = field(name="from")
    group_name: str = field(name="group")
    kind: str = field(name="do")


class PeerRequest(Struct, frozen=True, kw_only=True):
    """Base of the requests between replicas. The sender's client fills in `sender` and `group_name`.

    Attributes:
        group: the group that the request goes by; None where that is the one of the configuration files.
    """

    v: int = MESSAGE_VERSION
    sender: int = field(name="from", default=0)
    group_name: str = field(name="group", default="")
    group: GroupMessage | None = field(name="group_now", default=None)


class PrepareRequest(PeerRequest, frozen=True, kw_only=True):
    """First phase of a round: promise to accept nothing below `ballot`."""

    kind: str = field(name="do", default="prepare")
    ballot: Ballot
    register: RegisterName


class AcceptRequest(PeerRequest, frozen=True, kw_only=True):
    """Second phase of a round: accept this version and value."""

    kind: str = field(name="do", default="accept")
    ballot: Ballot
    register: RegisterName
    version: Counter
    value: MarkedValue | None = None


class JoinRequest(PeerRequest, frozen=True, kw_only=True):
    """A replica that starts asks for its next incarnation, and for the whole state of the other."""

    kind: str = field(name="do", default="join")
    incarnation: int = field(name="life")


class AdoptRequest(PeerRequest, frozen=True, kw_only=True):
    """Adopt the group that the request carries."""

    kind: str = field(name="do", default="adopt")


class ChosenRequest(PeerRequest, frozen=True, kw_only=True):
    """Tells what is chosen of a register."""

    kind: str = field(name="do", default="chosen")
    register: str
    version: int
    value: Any = None


class JoinMarkRequest(Struct, frozen=True, kw_only=True):
    """An `AdoptRequest` to a replica outside the group, whose answer tells its join mark."""

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
    """Says that a request was taken."""

    v: int = MESSAGE_VERSION


class PeerAnswer(Struct, frozen=True, kw_only=True):
    """What each answer between replicas carries.

    Attributes:
        incarnation: the sender's own.
        known_incarnations: pairs of replica and newest incarnation, as the sender knows them.
        ok: whether the request was done.
    """

    v: int = MESSAGE_VERSION
    incarnation: int = field(name="life")
    known_incarnations: KnownIncarnations = field(name="lives")
    ok: bool


class RejectedAnswer(PeerAnswer, frozen=True, kw_only=True):
    """The request was not done.

    Attributes:
        promised: the ballot that a higher one is needed for.
        group: the newer group, where the request went by an older one.
    """

    promised: Ballot | UnsetType = UNSET
    group: GroupMessage | UnsetType | None = field(name="group_now", default=UNSET)


class PromiseAnswer(PeerAnswer, frozen=True, kw_only=True):
    """The promise was made; tells what was accepted so far."""

    register: RegisterName
    promised: Ballot
    accepted: Ballot
    version: Counter
    value: MarkedValue | None = None
    learned: bool = field(name="learnt", default=False)


class AcceptedAnswer(PeerAnswer, frozen=True, kw_only=True):
    """The value was accepted."""


class JoinAnswer(PeerAnswer, frozen=True, kw_only=True):
    """The incarnation was written down; carries the sender's whole state.

    Attributes:
        requested_incarnation: the newest one that the sender ever asked for itself.
        complete: whether the sender's own state is complete.
    """

    requested_incarnation: int = field(name="asked")
    complete: bool = field(name="whole")
    registers: tuple[RegisterMessage, ...] = field(name="slots")
    group: GroupMessage | None = field(name="group_now", default=None)


class AdoptAnswer(PeerAnswer, frozen=True, kw_only=True):
    """The group is adopted, or a newer one was.

    Attributes:
        admitted: whether the sender takes part.
        registers: the names of all that the sender knows.
        join_mark: of the sender's process.
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
    """A client's request: a change where `expected_version` is set, else a read."""

    v: int = MESSAGE_VERSION
    register: RegisterName
    expected_version: Revision | UnsetType | None = field(name="expect", default=UNSET)
    value: Any = UNSET


class RegisterLine(Struct, frozen=True, kw_only=True):
    """A line of a watch: what is chosen of the register."""

    v: int = MESSAGE_VERSION
    register: str = ""
    version: int
    value: Any = None


class RegisterAnswer(Struct, frozen=True, kw_only=True):
    """The answer to a client: what is chosen, and whether its change was made."""

    v: int = MESSAGE_VERSION
    register: str = ""
    version: int
    value: Any = None
    changed: bool = field(name="done")


class HeartbeatLine(Struct, frozen=True):
    """A line of a watch on which nothing changed."""

    v: int = MESSAGE_VERSION
    kind: str = "alive"


class GroupRequest(Struct, frozen=True, kw_only=True):
    """An operator's request: a change with `members`, a reversal with `undo`, else what the group is."""

    v: int = MESSAGE_VERSION
    revision: Revision | UnsetType = UNSET
    members: Members | UnsetType = UNSET
    undo: bool | UnsetType = UNSET


class GroupAnswer(Struct, frozen=True, kw_only=True):
    """The answer to an operator."""

    v: int = MESSAGE_VERSION
    group: GroupMessage = field(name="group_now")


def encode(message: Struct) -> bytes:
    """Return a message as it is sent."""
    return msgspec.json.encode(message)


def encode_line(message: Struct) -> bytes:
    """Return a message as one line of a stream."""
    return msgspec.json.encode(message) + b"\n"
