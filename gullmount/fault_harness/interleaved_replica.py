"""One replica of a drawn interleaving: the acceptor, rounds and transitions of the core without a network.

It does no I/O and reads no clock. `Environment` takes what it sends and what it draws.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any, NamedTuple, Protocol, TypeVar

import msgspec

from gullmount.consensus.acceptor import AcceptorState
from gullmount.consensus.ballot_round import BallotRound, Phase, Proposal, ProposalOutcome
from gullmount.consensus.membership import GROUP, GroupTransition, ReplicaGroup, group_from_register
from gullmount.consensus.messages import (
    AcceptRequest,
    AdoptAnswer,
    AdoptRequest,
    Ballot,
    JoinRequest,
    PeerAnswer,
    PeerRequest,
    PrepareRequest,
)
from gullmount.consensus.recovery import Recovery

PHASES: dict[type[PeerRequest], Phase] = {PrepareRequest: Phase.PREPARE, AcceptRequest: Phase.ACCEPT}
MAX_COUNTER_STEP = 2  # by which a round's counter is drawn above the promised one

WireMessage = TypeVar("WireMessage", bound=msgspec.Struct)


class OperationKind(Enum):
    """Who an operation is for."""

    CLIENT = "client"
    REWRITE = "rewrite"  # of a register, once more by the joint group
    GROUP_CHANGE = "group change"


@dataclass(eq=False)
class Operation:
    """A read, change or rewrite under way at a replica.

    Attributes:
        name: as the history knows it; empty for what is no client's.
        proposal: what is proposed.
        kind: who it is for.
        round: the newest one.
    """

    name: str
    proposal: Proposal
    kind: OperationKind
    round: BallotRound | None = None


@dataclass(eq=False)
class OngoingTransition:
    """A change of the group that a replica completes.

    Attributes:
        transition: who has adopted the joint group.
        rewritten: how many registers are written once more.
    """

    transition: GroupTransition
    rewritten: int = 0


class OperationRound(NamedTuple):
    """What a round's messages belong to."""

    operation: Operation
    round: BallotRound


MessageContext = OperationRound | OngoingTransition | Recovery


@dataclass(frozen=True)
class AnswerInFlight:
    """An answer, and the type of the request that it answers."""

    request: type[PeerRequest]
    answer: PeerAnswer


class Environment(Protocol):
    """What a replica needs of the interleaving.

    Attributes:
        random: draws the counters of ballots.
    """

    random: Random

    def send(
        self, source: int, targets: Iterable[int], message: PeerRequest | AnswerInFlight, of: MessageContext
    ) -> None:
        """Put a message to each target in flight."""

    def unique_name(self, prefix: str = "") -> str:
        """Return a name that no other operation has."""

    def begin_transition(self, group: ReplicaGroup) -> GroupTransition:
        """Return a new transition of a joint group."""

    def operation_ended(self, operation: Operation, outcome: ProposalOutcome) -> None:
        """Note how a client's operation ended."""

    def group_change_completed(self) -> None:
        """Note that the change of a group is over."""


class InterleavedReplica:
    """One replica.

    Attributes:
        number: the replica's own.
        acceptor: of the present incarnation.
        disk: what is stored; it outlives crashes.
        older_disk: what was stored before the last write.
        recovery: of a start that is not admitted yet.
        operations: under way.
        ongoing_transition: the change of the group that it completes.
    """

    def __init__(self, number: int, acceptor: AcceptorState, environment: Environment) -> None:
        """Build the replica.

        Args:
            number: the replica's own.
            acceptor: its first.
            environment: takes what it sends.
        """
        self.number = number
        self.acceptor = acceptor
        self.disk: dict[str, bytes] = {}
        self.older_disk: dict[str, bytes] = {}
        self.recovery: Recovery | None = None
        self.operations: list[Operation] = []
        self.ongoing_transition: OngoingTransition | None = None
        self._environment = environment
        self.save()

    def save(self) -> None:
        """Store what the acceptor wants stored."""
        rows = self.acceptor.take_unsaved_rows()
        if rows:
            self.older_disk = dict(self.disk)
            self.disk |= {key: msgspec.json.encode(value) for key, value in rows.items()}

    @property
    def is_admitted(self) -> bool:
        """Whether it takes part in rounds."""
        return self.acceptor.complete and self.recovery is None

    # Starts

    def restart(self, acceptor: AcceptorState, disk: dict[str, bytes]) -> None:
        """Lose everything in memory, and come up with a new acceptor and this disk."""
        self.disk = dict(disk)
        self.operations, self.ongoing_transition = [], None
        self.acceptor = acceptor
        if self.disk:
            acceptor.restore({key: msgspec.json.decode(value) for key, value in self.disk.items()})

    def take_part_unrecovered(self) -> None:
        """Take part without recovery, as if nothing had been promised before: a planted defect."""
        acceptor = self.acceptor
        acceptor.incarnation, acceptor.complete = acceptor.requested_incarnation + 1, True
        acceptor.note_replica()
        self.save()

    def begin_recovery(self) -> None:
        """Begin to recover from the others; they are asked by `request_join`."""
        self.recovery = Recovery(self.acceptor)
        self.save()

    def request_join(self) -> None:
        """Ask the others for the incarnation."""
        assert self.recovery is not None
        message = JoinRequest(incarnation=self.acceptor.requested_incarnation)
        self._environment.send(self.number, self.acceptor.group.others(self.number), message, self.recovery)

    # Messages

    def answer(self, source: int, request: PeerRequest) -> PeerAnswer | None:
        """Return the answer to a request; None where there is none. Raises InvalidMessageError."""
        acceptor = self.acceptor
        answer: PeerAnswer | None = None
        if isinstance(request, JoinRequest):
            # Another is answered once it is a member as far as is known here.
            if source in acceptor.group.addresses:
                answer = acceptor.answer_join(source, request.incarnation)
        elif (rejected := acceptor.check_group(request)) is not None:
            answer = rejected
        elif isinstance(request, AdoptRequest):
            answer = acceptor.answer_adopt(self.is_admitted)
        elif isinstance(request, PrepareRequest):
            answer = acceptor.prepare(request.register, request.ballot)
        elif isinstance(request, AcceptRequest):
            answer = acceptor.accept(request.register, request.ballot, request.version, request.value)
        self.save()
        self._follow_group()
        return answer

    def receive_answer(self, source: int, message: AnswerInFlight, of: MessageContext) -> None:
        """Take an answer; one to what is over by now has no effect. Raises InvalidMessageError."""
        answer = message.answer
        if isinstance(of, Recovery):
            if of is self.recovery:
                self._receive_join(of, source, answer)
        elif isinstance(of, OngoingTransition):
            if of is self.ongoing_transition and isinstance(answer, AdoptAnswer):
                of.transition.receive(source, answer.revision, answer.admitted, answer.registers)
                self._continue_transition()
        else:
            operation, ballot_round = of
            under_way = operation in self.operations and operation.round is ballot_round
            if under_way and ballot_round.receive(source, PHASES[message.request], answer):
                self._continue_round(operation)

    def _receive_join(self, recovery: Recovery, source: int, answer: PeerAnswer) -> None:
        requested = self.acceptor.requested_incarnation
        if recovery.receive(source, answer):
            self.recovery = None
        self.save()
        if self.acceptor.requested_incarnation != requested:
            self.request_join()

    def _follow_group(self) -> None:
        acceptor = self.acceptor
        if self.recovery is not None and acceptor.group.admits_as_new(self.number, acceptor.join_mark):
            self.recovery = None  # it is new, and its state complete by that
        ongoing = self.ongoing_transition
        if ongoing is not None and ongoing.transition.group.revision != acceptor.group.revision:
            self.ongoing_transition = None

    # Rounds

    def begin_operation(self, operation: Operation) -> None:
        """Take up an operation and begin its first round."""
        self.operations.append(operation)
        self.begin_round(operation)

    def begin_round(self, operation: Operation) -> None:
        """Begin a further round of an operation."""
        acceptor = self.acceptor
        register = acceptor.registers.get(operation.proposal.change.register)
        promised = register.promised.counter if register else 0
        counter = promised + 1 + self._environment.random.randrange(MAX_COUNTER_STEP)
        operation.round = operation.proposal.start_round(
            Ballot(counter, self.number, acceptor.incarnation), acceptor.group, acceptor.known_incarnations
        )
        self._begin_phase(operation)

    def _begin_phase(self, operation: Operation) -> None:
        """Ask the replica's own acceptor first, then the others."""
        ballot_round = operation.round
        assert ballot_round is not None
        request, phase = as_received(ballot_round.request()), ballot_round.phase
        answer = self.answer(self.number, request)
        changed = answer is not None and ballot_round.receive(self.number, phase, as_received(answer))
        others = ballot_round.group.others(self.number)
        self._environment.send(self.number, others, request, OperationRound(operation, ballot_round))
        if changed:
            self._continue_round(operation)

    def _continue_round(self, operation: Operation) -> None:
        ballot_round = operation.round
        assert ballot_round is not None
        if ballot_round.phase is Phase.ACCEPT:
            self._begin_phase(operation)
            return
        if ballot_round.newer_group is not None and self.acceptor.adopt_group(ballot_round.newer_group):
            self.save()
        outcome = operation.proposal.outcome(ballot_round)
        if outcome is None:
            return
        self.operations.remove(operation)
        if operation.proposal.change.register == GROUP and outcome.register.version:
            self._adopt_chosen_group(outcome)
        self._follow_group()
        if operation.kind is OperationKind.CLIENT:
            self._environment.operation_ended(operation, outcome)
        elif operation.kind is OperationKind.REWRITE:
            self._continue_transition()

    # Changes of the group

    def _adopt_chosen_group(self, outcome: ProposalOutcome) -> None:
        group = group_from_register(outcome.register.version, outcome.register.client_value)
        if outcome.changed and not group.next:
            self._environment.group_change_completed()
        self.acceptor.adopt_group(group)
        self.save()

    def write_group(self, value: dict[str, Any]) -> None:
        """Begin to change the group's register over the revision known here."""
        name = self._environment.unique_name("group ")
        proposal = Proposal(GROUP, self.acceptor.group.revision, value, name)
        self.begin_operation(Operation("", proposal, OperationKind.GROUP_CHANGE))

    def begin_transition(self) -> None:
        """Begin to complete the joint group; what it did for an earlier one is given up."""
        transition = self._environment.begin_transition(self.acceptor.group)
        self.ongoing_transition = OngoingTransition(transition)
        self.operations = [one for one in self.operations if one.kind is OperationKind.CLIENT]

    def announce_group(self) -> None:
        """Tell the joint group to all its members."""
        group = self.acceptor.group
        request = AdoptRequest(group=group.message())
        answer = self.answer(self.number, request)
        ongoing = self.ongoing_transition
        if ongoing is None:
            return  # the group is another by now
        if isinstance(answer, AdoptAnswer):
            ongoing.transition.receive(self.number, answer.revision, answer.admitted, answer.registers)
        self._environment.send(self.number, group.others(self.number), request, ongoing)

    def _continue_transition(self) -> None:
        """Rewrite the registers one after the other, then the group itself."""
        ongoing = self.ongoing_transition
        if ongoing is None or any(one.kind is not OperationKind.CLIENT for one in self.operations):
            return
        registers = ongoing.transition.registers_to_rewrite()
        if registers is None:
            return
        group = ongoing.transition.group
        if ongoing.rewritten < len(registers):
            register = registers[ongoing.rewritten]
            ongoing.rewritten += 1
            proposal = Proposal(register, None, None, self._environment.unique_name("rewrite "), rewrite=True)
            self.begin_operation(Operation("", proposal, OperationKind.REWRITE))
        elif self.acceptor.group.revision == group.revision:
            self.write_group(group.completed().register_value())


def as_received(message: WireMessage) -> WireMessage:
    """Return a message as its receiver decodes it."""
    return msgspec.json.decode(msgspec.json.encode(message), type=type(message))
