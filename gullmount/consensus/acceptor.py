"""What one replica promised and accepted of each register, and which incarnations of the others it knows.

Only what a replica must not forget lives here; no I/O, clock or randomness. The algorithm is CASPaxos
(Rystsov 2018, arXiv:1802.07000): single-decree Paxos whose proposers read the value in the first phase and
write a change of it in the second, without a log or a leader. The caller stores `unsaved_rows` before it lets
an answer leave.

Disks are lost, torn or restored from an earlier copy, and a replica can't see that by itself. So each start
is a new incarnation, numbered upward, and takes part only after recovery (`recovery.py`). Answers carry the
incarnations that their sender knows; a proposer does not count an answer from an incarnation that another one
has followed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from gullmount.consensus.errors import ForeignStorageError, RegisterLimitError, RegisterNameError
from gullmount.consensus.membership import ReplicaGroup, group_from
from gullmount.consensus.messages import (
    MAX_REGISTER_NAME,
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

MAX_REGISTERS = 256  # one for each leased work and some for policy


@dataclass
class RegisterState:
    """One register as this acceptor knows it.

    Attributes:
        promised: nothing below this ballot is accepted.
        accepted: the ballot by which the value was accepted.
        version: grows by one with each change; 0 is never set.
        value: None while the register was never set.
        learned: taken over from another replica; this one never accepted it itself.
    """

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    version: int = 0
    value: MarkedValue | None = None
    learned: bool = False

    def message(self, register: str) -> RegisterMessage:
        """Return the register as messages and the storage carry it."""
        return RegisterMessage(register, self.promised, self.accepted, self.version, self.value, self.learned)

    @property
    def client_value(self) -> Any:
        """What a client wrote, without the mark of the proposal."""
        return None if self.value is None else self.value.value


def register_from(message: RegisterMessage | PromiseAnswer) -> RegisterState:
    """Return the register's state of a message."""
    return RegisterState(message.promised, message.accepted, message.version, message.value, message.learned)


class AcceptorState:
    """The state of one acceptor; it outlives the process through `unsaved_rows`.

    Attributes:
        number: the replica's own.
        group: the newest group known.
        join_mark: of this process; never stored.
        incarnation: of this process, 0 before it has one.
        requested_incarnation: the newest that others were asked for; none of them knows a later one.
        complete: whether nothing is missing; a blank storage's state isn't complete.
        registers: by name.
        known_incarnations: by replica, the newest.
        unsaved_rows: what is to be stored, by key of the storage.
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
        """Return what is to be stored now; each row is returned once."""
        rows, self.unsaved_rows = self.unsaved_rows, {}
        return rows

    def note_replica(self) -> None:
        """Have the replica's own row stored."""
        self.unsaved_rows["self"] = ReplicaMessage(
            self.number, self.incarnation, self.requested_incarnation, self.complete
        )

    def note_register(self, register: str) -> None:
        """Have a register's row stored."""
        self.unsaved_rows[f"slot/{register}"] = self.registers[register].message(register)

    def note_incarnation(self, replica: int, incarnation: int) -> None:
        """Learn of a replica's incarnation, and have it stored where it is news."""
        if incarnation > self.known_incarnations.get(replica, 0):
            self.known_incarnations[replica] = incarnation
            self.unsaved_rows[f"life/{replica}"] = incarnation

    def restore(self, rows: dict[str, Any]) -> None:
        """Take over what an earlier process stored.

        Raises InvalidMessageError where it is not this replica's, or not what a replica stores.
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
        """Begin as a new replica, which has promised nothing."""
        self.complete = True
        self.note_replica()

    # Group

    def adopt_group(self, group: ReplicaGroup) -> bool:
        """Adopt a newer group; return whether it was one."""
        if group.revision <= self.group.revision:
            return False
        self.group = group
        self.unsaved_rows["group"] = group.message()
        if group.admits_as_new(self.number, self.join_mark) and not self.complete:
            self.incarnation = self.requested_incarnation
            self.bootstrap()
        return True

    def check_group(self, request: PeerRequest) -> RejectedAnswer | None:
        """Adopt the group that a request goes by; return what is answered where it is older than ours.

        Raises InvalidMessageError where it is no group.
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
        """Tell which group is adopted and which registers are known."""
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
        """Return a register's state; raise InvalidMessageError where it can't be there."""
        if register not in self.registers:
            if len(self.registers) >= MAX_REGISTERS:
                raise RegisterLimitError(MAX_REGISTERS)
            if not 0 < len(register) <= MAX_REGISTER_NAME:
                raise RegisterNameError(MAX_REGISTER_NAME)
            self.registers[register] = RegisterState()
        return self.registers[register]

    def incarnation_pairs(self) -> KnownIncarnations:
        """Return the newest known incarnation of each replica, as answers carry them."""
        return tuple(sorted(self.known_incarnations.items()))

    def rejected(self, promised: Ballot) -> RejectedAnswer:
        """Return the answer to a ballot below the promised one."""
        return RejectedAnswer(
            incarnation=self.incarnation,
            known_incarnations=self.incarnation_pairs(),
            ok=False,
            promised=promised,
        )

    def prepare(self, register: str, ballot: Ballot) -> PeerAnswer:
        """Promise to accept nothing below `ballot`, and tell what was accepted."""
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
        """Accept a version and value unless a higher ballot was promised."""
        state = self.register_state(register)
        if ballot < state.promised:
            return self.rejected(state.promised)
        self.registers[register] = RegisterState(ballot, ballot, version, value)
        self.note_register(register)
        return AcceptedAnswer(
            incarnation=self.incarnation, known_incarnations=self.incarnation_pairs(), ok=True
        )

    # Other replicas' starts

    def answer_join(self, replica: int, incarnation: int) -> PeerAnswer:
        """Write down that another replica begins an incarnation, and tell it the whole state."""
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
        """Take in another replica's registers: nothing that either had answered is taken back."""
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
