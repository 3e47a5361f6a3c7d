"""One proposal on one register, and the rounds it takes. No I/O, clock or randomness.

A round reads what may have been chosen, writes the change, and counts: `request` says what to ask every
replica, `receive` takes an answer. Two phases as in CASPaxos; where a majority accepted the same ballot, that
value is chosen already, and a read, or a change that expects another version, ends there.
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
    """What is to become of a register.

    Attributes:
        register: its name.
        expected_version: the change is made over this version only; None for a read.
        value: what is written.
        rewrite: whether what is chosen is written once more, unchanged.
    """

    register: str
    expected_version: int | None = None
    value: MarkedValue | None = None
    rewrite: bool = False


class Phase(Enum):
    """Where a round is; the first two are names on the wire too."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    CHOSEN = "chosen"
    SUPERSEDED = "superseded"  # by a higher ballot or a newer group


TRANSITIONS: dict[Phase, frozenset[Phase]] = {
    Phase.PREPARE: frozenset({Phase.ACCEPT, Phase.CHOSEN, Phase.SUPERSEDED}),
    Phase.ACCEPT: frozenset({Phase.CHOSEN, Phase.SUPERSEDED}),
    Phase.CHOSEN: frozenset(),
    Phase.SUPERSEDED: frozenset(),
}


class Promise(NamedTuple):
    """One replica's promise.

    Attributes:
        incarnation: in which it was made.
        register: what the replica had accepted.
    """

    incarnation: int
    register: RegisterState


class BallotRound:
    """One round; it lives until it is chosen, superseded or given up.

    Attributes:
        change: what is to become of the register.
        ballot: the round's number.
        group: whose majorities count.
        newer_group: the one that the round was rejected for.
        known_incarnations: the acceptor's own table, which grows while the round runs.
        reported_incarnations: by replica, as answers tell them.
        phase: where the round is.
        promises: by replica.
        accepts: by replica, the incarnation that accepted.
        current: the register as read in the first phase.
        result: what is or becomes chosen.
        includes_change: whether the change itself is part of `result`.
        highest_ballot: the one that superseded it.
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
        """Return the request of the phase, for each replica."""
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
        """Take an answer to the request of a phase; return whether the round's phase changed.

        Raises InvalidMessageError where the answer carries no proper group.
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
        """Return the replicas whose answer is of the newest incarnation known of them."""
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
        """Return whether a majority accepted the current value by one ballot, and nothing is to be written.

        Only who accepted it itself counts: a replica that recovers takes over values that too few had
        accepted.
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
    """How a proposal ended.

    Attributes:
        changed: whether the change was made.
        register: what is chosen.
        unknown: whether the change may have been made all the same, and another followed.
    """

    changed: bool
    register: RegisterState
    unknown: bool = False


class Proposal:
    """One change over as many rounds as it takes.

    `mark` tells its value from the same one of another proposal; the last of `rounds` is the one under way.
    """

    def __init__(
        self, register: str, expected_version: int | None, value: Any, mark: str, rewrite: bool = False
    ) -> None:
        self.change = RegisterChange(register, expected_version, MarkedValue(mark, value), rewrite)
        self.mark = mark
        self.rounds: list[BallotRound] = []

    @property
    def may_be_accepted(self) -> bool:
        """Whether a replica may have accepted the change, also in a round that is broken off just now."""
        return any(earlier_round.includes_change for earlier_round in self.rounds)

    def start_round(
        self, ballot: Ballot, group: ReplicaGroup, known_incarnations: dict[int, int]
    ) -> BallotRound:
        """Return the next round; earlier ones that never came to write the change are forgotten."""
        self.rounds = [earlier_round for earlier_round in self.rounds if earlier_round.includes_change][:1]
        self.rounds.append(BallotRound(self.change, ballot, group, known_incarnations))
        return self.rounds[-1]

    def outcome(self, last_round: BallotRound) -> ProposalOutcome | None:
        """Return how the proposal ended by its last round; None where another round is needed."""
        if last_round.phase is not Phase.CHOSEN:
            return None
        register = last_round.result
        changed = register.value is not None and register.value.mark == self.mark
        # Another's change stands over the version that ours may have made, or stands in its place.
        overwritten = register.version > (self.change.expected_version or 0) + 1
        return ProposalOutcome(changed, register, self.may_be_accepted and not changed and overwritten)
