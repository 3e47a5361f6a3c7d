"""Runs the rounds of a proposal on one register, without I/O, clock or randomness.

- A round has two phases, as in CASPaxos: it reads what may have been chosen, then writes the change.
- `request` returns the request for every replica, and `receive` counts an answer.
- If a majority accepted the same ballot, its value is already chosen. In that case a read, or a change that
  expects another version, ends after the first phase.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from gullmount.consensus.acceptor import RegisterState, register_from
from gullmount.consensus.membership import ReplicaGroup, group_from
from gullmount.consensus.messages import (
    NO_BALLOT,
    AcceptedAnswer,
    AcceptRequest,
    Ballot,
    GroupMessage,
    MarkedValue,
    PeerAnswer,
    PrepareRequest,
    PromiseAnswer,
    RejectedAnswer,
)


@dataclass(frozen=True)
class RegisterChange:
    """Describes a change or a read of a register.

    Attributes:
        register: Name of the register.
        expected_version: Version at which the change is made; at any other it is not. None means a read.
        value: Value to write.
        rewrite: Whether the chosen value is written again, unchanged.
    """

    register: str
    expected_version: int | None = None
    value: MarkedValue | None = None
    rewrite: bool = False


class Phase(Enum):
    """State of a round. The first two values are also names on the wire."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    CHOSEN = "chosen"
    # A higher ballot or a newer group has ended the round.
    SUPERSEDED = "superseded"


TRANSITIONS: dict[Phase, frozenset[Phase]] = {
    Phase.PREPARE: frozenset({Phase.ACCEPT, Phase.CHOSEN, Phase.SUPERSEDED}),
    Phase.ACCEPT: frozenset({Phase.CHOSEN, Phase.SUPERSEDED}),
    Phase.CHOSEN: frozenset(),
    Phase.SUPERSEDED: frozenset(),
}


class Promise(NamedTuple):
    """Holds the promise of one replica.

    Attributes:
        incarnation: Incarnation of the replica that made the promise.
        register: Register state that the replica had accepted.
    """

    incarnation: int
    register: RegisterState


class BallotRound:
    """Counts the answers of one round until its value is chosen or it is superseded or abandoned.

    Attributes:
        change: Change or read that the round carries out.
        ballot: Ballot of the round.
        group: Group whose majorities decide the round.
        newer_group: Group that caused a rejection of the round.
        known_incarnations: The acceptor's own table, which may grow while the round runs.
        reported_incarnations: Newest incarnations reported in answers, by replica number.
        phase: Current phase.
        promises: Promises by replica number.
        accepts: Incarnation that accepted the value, by replica number.
        current: Register state that the first phase read.
        result: Register state that is chosen or proposed.
        includes_change: Whether `result` includes the change.
        highest_ballot: Highest ballot named in a rejection.
    """

    def __init__(
        self, change: RegisterChange, ballot: Ballot, group: ReplicaGroup, known_incarnations: dict[int, int]
    ) -> None:
        self.change = change
        self.ballot = ballot
        self.group = group
        self.newer_group: ReplicaGroup | None = None
        self.known_incarnations = known_incarnations
        self.reported_incarnations: dict[int, int] = {}
        self.phase = Phase.PREPARE
        self.promises: dict[int, Promise] = {}
        self.accepts: dict[int, int] = {}
        self.current = RegisterState()
        self.result = RegisterState()
        self.includes_change = False
        self.highest_ballot = NO_BALLOT

    def request(self) -> PrepareRequest | AcceptRequest:
        """Return the request of the current phase, the same for each replica."""
        group = self.group.message() if self.group.revision else None
        register = self.change.register
        if self.phase is Phase.ACCEPT:
            return AcceptRequest(
                group=group,
                ballot=self.ballot,
                register=register,
                version=self.result.version,
                value=self.result.value,
            )
        return PrepareRequest(group=group, ballot=self.ballot, register=register)

    def receive(self, replica: int, phase: Phase, answer: PeerAnswer) -> bool:
        """Count an answer to the request of a phase; return whether the phase of the round changed.

        Raises InvalidMessageError if the answer carries an invalid group.
        """
        for reported_replica, incarnation in answer.known_incarnations:
            reported = self.reported_incarnations.get(reported_replica, 0)
            self.reported_incarnations[reported_replica] = max(reported, incarnation)
        if phase is not self.phase:
            return False
        if isinstance(answer, RejectedAnswer):
            return self._receive_rejection(answer)
        if isinstance(answer, PromiseAnswer):
            self.promises[replica] = Promise(answer.incarnation, register_from(answer))
            return self._count_promises()
        if isinstance(answer, AcceptedAnswer):
            self.accepts[replica] = answer.incarnation
            return self._count_accepts()
        return False

    def _enter(self, phase: Phase) -> None:
        assert phase in TRANSITIONS[self.phase], (self.phase, phase)
        self.phase = phase

    def _receive_rejection(self, answer: RejectedAnswer) -> bool:
        if isinstance(answer.group, GroupMessage):
            group = group_from(answer.group)
            if group.revision > self.group.revision:
                self.newer_group = group
                self._enter(Phase.SUPERSEDED)
                return True
        if isinstance(answer.promised, Ballot):
            self.highest_ballot = max(self.highest_ballot, answer.promised)
        if self.highest_ballot <= self.ballot:
            return False
        self._enter(Phase.SUPERSEDED)
        return True

    def _replicas_to_count(self, incarnations: Iterable[tuple[int, int]]) -> list[int]:
        """Return the replicas whose answer comes from their newest known incarnation."""
        return [
            replica
            for replica, incarnation in sorted(incarnations)
            if incarnation
            >= max(self.reported_incarnations.get(replica, 0), self.known_incarnations.get(replica, 0))
        ]

    def _count_promises(self) -> bool:
        promise_incarnations = [(replica, promise.incarnation) for replica, promise in self.promises.items()]
        counted = self._replicas_to_count(promise_incarnations)
        if not self.group.has_majority(counted):
            return False
        registers = {replica: self.promises[replica].register for replica in counted}
        self.current = max(registers.values(), key=lambda register: register.accepted)
        self.includes_change = self.change.expected_version == self.current.version
        self.result = self._changed_register() if self.includes_change else self.current
        self._enter(Phase.CHOSEN if self._is_chosen_already(registers) else Phase.ACCEPT)
        return True

    def _changed_register(self) -> RegisterState:
        return RegisterState(self.ballot, self.ballot, self.current.version + 1, self.change.value)

    def _is_chosen_already(self, registers: dict[int, RegisterState]) -> bool:
        """Return whether a majority accepted the current value with one ballot, and nothing is to be written.

        Only replicas that accepted the value themselves count, because a recovering replica also copies
        values that fewer than a majority had accepted.
        """
        if self.includes_change or self.change.rewrite:
            return False
        accepted_by = [
            replica
            for replica, register in registers.items()
            if not register.learned and register.accepted == self.current.accepted
        ]
        return self.group.has_majority(accepted_by)

    def _count_accepts(self) -> bool:
        if not self.group.has_majority(self._replicas_to_count(self.accepts.items())):
            return False
        self._enter(Phase.CHOSEN)
        return True


@dataclass(frozen=True)
class ProposalOutcome:
    """Holds the result of a proposal.

    Attributes:
        changed: Whether the chosen value is that of the proposal.
        register: Chosen register state.
        unknown: Whether the change may have been made and then overwritten by another.
    """

    changed: bool
    register: RegisterState
    unknown: bool = False


class Proposal:
    """Carries out one change or read in as many rounds as it needs.

    `mark` distinguishes the value from an equal one of another proposal. The last item of `rounds` is the
    current round.
    """

    def __init__(
        self, register: str, expected_version: int | None, value: Any, mark: str, rewrite: bool = False
    ) -> None:
        self.change = RegisterChange(register, expected_version, MarkedValue(mark, value), rewrite)
        self.mark = mark
        self.rounds: list[BallotRound] = []

    @property
    def may_be_accepted(self) -> bool:
        """Whether a replica may have accepted the change, even if the current round is cancelled."""
        return any(earlier_round.includes_change for earlier_round in self.rounds)

    def start_round(
        self, ballot: Ballot, group: ReplicaGroup, known_incarnations: dict[int, int]
    ) -> BallotRound:
        """Start the next round; keep of the earlier ones only the first that proposed the change."""
        self.rounds = [earlier_round for earlier_round in self.rounds if earlier_round.includes_change][:1]
        self.rounds.append(BallotRound(self.change, ballot, group, known_incarnations))
        return self.rounds[-1]

    def outcome(self, last_round: BallotRound) -> ProposalOutcome | None:
        """Return the result of the proposal after its last round, or None if another round is needed."""
        if last_round.phase is not Phase.CHOSEN:
            return None
        register = last_round.result
        changed = register.value is not None and register.value.mark == self.mark
        # Another change follows the version that this one may have made, or has replaced it.
        overwritten = register.version > (self.change.expected_version or 0) + 1
        return ProposalOutcome(changed, register, self.may_be_accepted and not changed and overwritten)
