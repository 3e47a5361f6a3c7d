"""Keeps the promises and accepted values of one replica, and the incarnations that it knows of the others.

- The module holds only state that must survive a restart, and uses no I/O, clock or randomness.
- The algorithm is CASPaxos (Rystsov 2018, arXiv:1802.07000): single-decree Paxos whose proposers read the
  value in the first phase and write a changed value in the second, without a log or a leader.
- The caller must store `unsaved_rows` before it sends an answer.
- A disk may be lost, torn or restored from an earlier copy, and a replica can't detect that by itself. So
  each start is a new incarnation with a higher number, and takes part only after recovery (`recovery.py`).
- Answers carry the incarnations that their sender knows. A proposer does not count an answer from an
  incarnation that a newer one has superseded.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from gullmount.consensus.errors import ForeignStorageError, RegisterLimitError, RegisterNameError
from gullmount.consensus.membership import ReplicaGroup, group_from
from gullmount.consensus.messages import (
    MAX_REGISTER_NAME_LENGTH,
    NO_BALLOT,
    AcceptedAnswer,
    AdoptAnswer,
    Ballot,
    GroupMessage,
    JoinAnswer,
    KnownIncarnations,
    MarkedValue,
    PeerAnswer,
    PeerRequest,
    PromiseAnswer,
    RegisterMessage,
    RejectedAnswer,
    ReplicaMessage,
)
from gullmount.rpc.messages import convert

# Leaves room for one register per leased work and some for policy.
MAX_REGISTERS = 256


@dataclass
class RegisterState:
    """Holds the state of one register at this acceptor.

    Attributes:
        promised: Lowest ballot that the acceptor may still accept.
        accepted: Ballot with which the value was accepted.
        version: Number that grows by one with each change. 0 means that the register was never set.
        value: Accepted value, or None if the register was never set.
        learned: Whether the value was copied from another replica and never accepted by this one.
    """

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    version: int = 0
    value: MarkedValue | None = None
    learned: bool = False

    def message(self, register: str) -> RegisterMessage:
        """Return the encoded form of the register for messages and storage."""
        return RegisterMessage(register, self.promised, self.accepted, self.version, self.value, self.learned)

    @property
    def client_value(self) -> Any:
        """The value that a client wrote, without the mark of the proposal."""
        return None if self.value is None else self.value.value


def register_from(message: RegisterMessage | PromiseAnswer) -> RegisterState:
    """Return the register state that a message carries."""
    return RegisterState(message.promised, message.accepted, message.version, message.value, message.learned)


class AcceptorState:
    """Holds the state of one acceptor. The caller persists it by storing `unsaved_rows`.

    Attributes:
        number: Number of this replica.
        group: Newest known group.
        join_mark: Join mark of this process. It is never stored.
        incarnation: Incarnation of this process, or 0 before it has one.
        requested_incarnation: Newest incarnation requested from others. None of them knows a later one.
        complete: Whether no state is missing. The state of a blank storage is not complete.
        registers: Register states by name.
        known_incarnations: Newest known incarnation by replica number.
        unsaved_rows: Rows to be stored, by storage key.
    """

    def __init__(self, number: int, group: ReplicaGroup) -> None:
        self.number = number
        self.group = group
        self.join_mark = ""
        self.incarnation = 0
        self.requested_incarnation = 0
        self.complete = False
        self.registers: dict[str, RegisterState] = {}
        self.known_incarnations: dict[int, int] = {}
        self.unsaved_rows: dict[str, Any] = {}

    # Storage

    def take_unsaved_rows(self) -> dict[str, Any]:
        """Return the unsaved rows and clear them."""
        rows, self.unsaved_rows = self.unsaved_rows, {}
        return rows

    def note_replica(self) -> None:
        """Add the replica's own row to the unsaved rows."""
        self.unsaved_rows["self"] = ReplicaMessage(
            self.number, self.incarnation, self.requested_incarnation, self.complete
        )

    def note_register(self, register: str) -> None:
        """Add a register's row to the unsaved rows."""
        self.unsaved_rows[f"slot/{register}"] = self.registers[register].message(register)

    def note_incarnation(self, replica: int, incarnation: int) -> None:
        """Record a replica's incarnation, and add its row to the unsaved rows, if it is newer."""
        if incarnation > self.known_incarnations.get(replica, 0):
            self.known_incarnations[replica] = incarnation
            self.unsaved_rows[f"life/{replica}"] = incarnation

    def restore(self, rows: dict[str, Any]) -> None:
        """Load the rows that an earlier process stored.

        Raises InvalidMessageError if the rows belong to another replica or are malformed.
        """
        stored = convert(rows.get("self"), ReplicaMessage)
        if stored.number != self.number:
            raise ForeignStorageError(stored.number)
        self.incarnation = stored.incarnation
        self.requested_incarnation = stored.requested_incarnation
        self.complete = stored.complete
        for key, value in rows.items():
            kind, _, name = key.partition("/")
            if kind == "slot":
                register = convert(value, RegisterMessage)
                self.registers[register.register] = register_from(register)
            elif kind == "life":
                self.known_incarnations[int(name)] = convert(value, int)
            elif kind == "group":
                group = group_from(convert(value, GroupMessage))
                self.group = max(self.group, group, key=lambda known: known.revision)

    def bootstrap(self) -> None:
        """Mark the state as complete, because a new replica has promised nothing yet."""
        self.complete = True
        self.note_replica()

    # Group

    def adopt_group(self, group: ReplicaGroup) -> bool:
        """Adopt the group if it is newer than the known one; return whether it was."""
        if group.revision <= self.group.revision:
            return False
        self.group = group
        self.unsaved_rows["group"] = group.message()
        if group.admits_as_new(self.number, self.join_mark) and not self.complete:
            self.incarnation = self.requested_incarnation
            self.bootstrap()
        return True

    def check_group(self, request: PeerRequest) -> RejectedAnswer | None:
        """Adopt the group of a request if it is newer; return a rejection if it is outdated.

        Raises InvalidMessageError if the request carries an invalid group.
        """
        if request.group is not None:
            self.adopt_group(group_from(request.group))
        if self.group.revision > (0 if request.group is None else request.group.revision):
            return RejectedAnswer(
                incarnation=self.incarnation,
                known_incarnations=self.incarnation_pairs(),
                ok=False,
                promised=NO_BALLOT,
                group=self.group.message(),
            )
        return None

    def answer_adopt(self, admitted: bool) -> AdoptAnswer:
        """Return an answer with the adopted group's revision and the names of the known registers."""
        return AdoptAnswer(
            incarnation=self.incarnation,
            known_incarnations=self.incarnation_pairs(),
            ok=True,
            revision=self.group.revision,
            admitted=admitted,
            registers=tuple(sorted(self.registers)),
            join_mark=self.join_mark,
        )

    # The two phases of a round

    def register_state(self, register: str) -> RegisterState:
        """Return a register's state, created if absent.

        Raises InvalidMessageError if the name is invalid or the number of registers is at its limit.
        """
        if register not in self.registers:
            if len(self.registers) >= MAX_REGISTERS:
                raise RegisterLimitError(MAX_REGISTERS)
            if not 0 < len(register) <= MAX_REGISTER_NAME_LENGTH:
                raise RegisterNameError(MAX_REGISTER_NAME_LENGTH)
            self.registers[register] = RegisterState()
        return self.registers[register]

    def incarnation_pairs(self) -> KnownIncarnations:
        """Return the newest known incarnation of each replica as pairs sorted by replica number."""
        return tuple(sorted(self.known_incarnations.items()))

    def rejected(self, promised: Ballot) -> RejectedAnswer:
        """Return the rejection of a ballot that is too low."""
        return RejectedAnswer(
            incarnation=self.incarnation,
            known_incarnations=self.incarnation_pairs(),
            ok=False,
            promised=promised,
        )

    def prepare(self, register: str, ballot: Ballot) -> PeerAnswer:
        """Promise to accept nothing below `ballot` and return what was accepted, or reject the ballot."""
        state = self.register_state(register)
        if ballot <= state.promised:
            return self.rejected(state.promised)
        state.promised = ballot
        self.note_register(register)
        return PromiseAnswer(
            incarnation=self.incarnation,
            known_incarnations=self.incarnation_pairs(),
            ok=True,
            register=register,
            promised=state.promised,
            accepted=state.accepted,
            version=state.version,
            value=state.value,
            learned=state.learned,
        )

    def accept(self, register: str, ballot: Ballot, version: int, value: MarkedValue | None) -> PeerAnswer:
        """Accept a version and a value unless a higher ballot was promised."""
        state = self.register_state(register)
        if ballot < state.promised:
            return self.rejected(state.promised)
        self.registers[register] = RegisterState(ballot, ballot, version, value)
        self.note_register(register)
        return AcceptedAnswer(
            incarnation=self.incarnation, known_incarnations=self.incarnation_pairs(), ok=True
        )

    # Starts of other replicas

    def answer_join(self, replica: int, incarnation: int) -> PeerAnswer:
        """Record a new incarnation of another replica and return the whole state, or reject an old number."""
        if incarnation <= self.known_incarnations.get(replica, 0):
            return RejectedAnswer(
                incarnation=self.incarnation, known_incarnations=self.incarnation_pairs(), ok=False
            )
        self.note_incarnation(replica, incarnation)
        return JoinAnswer(
            incarnation=self.incarnation,
            known_incarnations=self.incarnation_pairs(),
            ok=True,
            requested_incarnation=self.requested_incarnation,
            complete=self.complete,
            registers=tuple(state.message(register) for register, state in sorted(self.registers.items())),
            group=self.group.message(),
        )

    def merge(self, registers: dict[str, RegisterState]) -> None:
        """Merge another replica's registers. The result honours every answer that either replica has sent."""
        for register, received in sorted(registers.items()):
            own_register = self.register_state(register)
            own_register.promised = max(own_register.promised, received.promised)
            if received.accepted > own_register.accepted:
                own_register.accepted, own_register.version, own_register.value = (
                    received.accepted,
                    received.version,
                    received.value,
                )
                own_register.learned = True
            self.note_register(register)
