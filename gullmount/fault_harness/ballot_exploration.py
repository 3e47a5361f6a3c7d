"""Explores every order of messages among three replicas and two proposers, on the real code of the core.

Two proposers ask replicas 1 and 3 to write different values over the same version. Any message may arrive at
any time or never; once, at any moment, replica 2 crashes and restarts, with its disk as it was, as it was
before its last write, empty, or as it was and vouched for. What must hold: not both are told that they wrote,
and nobody is told another value. A defect can be planted; then an order that breaks this must be found. A
ballot that was beaten is not followed by another here.
"""

from __future__ import annotations

from collections.abc import Iterator
from copy import copy
from dataclasses import replace
from enum import StrEnum
from typing import Any

import msgspec

from gullmount.consensus.acceptor import AcceptorState
from gullmount.consensus.ballot_round import BallotRound, Phase, Proposal, ProposalOutcome
from gullmount.consensus.membership import ReplicaGroup
from gullmount.consensus.messages import AcceptRequest, Ballot, PeerAnswer, PrepareRequest
from gullmount.consensus.recovery import Recovery
from gullmount.fault_harness.exploration import ExplorationResult, explore_states
from gullmount.fault_harness.explored_messages import (
    BallotMessage,
    JoinMessage,
    Message,
    MessageTable,
    encode_body,
)
from gullmount.fault_harness.planted_defects import PlantedDefect, acceptor_type

MEMBERS = (1, 2, 3)
GROUP = ReplicaGroup(0, {number: str(number) for number in MEMBERS}, {})
PROPOSERS = (1, 3)  # each at the replica of that number
CRASHING = 2  # the replica that crashes: it is in both majorities
REGISTER = "job"
MAX_STATES = 5_000_000


class Restart(StrEnum):
    """How the crashed replica comes back."""

    NEVER_CRASHES = ""
    INTACT = "intact"
    OLDER = "older"
    BLANK = "blank"
    VOUCHED = "vouched"


class BallotModelState:
    """Replicas, disks, ballots and messages in flight at one moment; copied before each step."""

    def __init__(self, defect: PlantedDefect | None, restart: Restart) -> None:
        """Build the initial state.

        Args:
            defect: planted into the replicas.
            restart: how replica 2 comes back.
        """
        self._defect = defect
        self._restart = restart
        self._table = MessageTable()
        self._acceptors: dict[int, AcceptorState] = {}
        for number in MEMBERS:
            acceptor = self._acceptors[number] = acceptor_type(defect)(number, GROUP)
            acceptor.bootstrap()
            acceptor.incarnation = acceptor.requested_incarnation = 1
            for member in MEMBERS:
                acceptor.note_incarnation(member, 1)
            acceptor.note_replica()
        self._disks = {number: acceptor.take_unsaved_rows() for number, acceptor in self._acceptors.items()}
        self._older_disk: dict[str, Any] = dict(self._disks[CRASHING])  # before the last write
        self._proposals = {number: Proposal(REGISTER, 0, number, str(number)) for number in PROPOSERS}
        self._rounds: dict[int, BallotRound] = {}
        self._outcomes: dict[int, ProposalOutcome] = {}
        self._recovery: Recovery | None = None
        self._crashed = Restart.NEVER_CRASHES  # how it came back, once it crashed
        self._in_flight: frozenset[int] = frozenset()

    def _copy(self) -> BallotModelState:
        state = copy(self)
        state._acceptors = {number: copy_acceptor(acceptor) for number, acceptor in self._acceptors.items()}
        state._disks = {number: dict(disk) for number, disk in self._disks.items()}
        state._proposals = {number: copy(proposal) for number, proposal in self._proposals.items()}
        for proposal in state._proposals.values():
            proposal.rounds = []
        state._rounds = {}
        for number, ballot_round in self._rounds.items():
            copied = state._rounds[number] = copy(ballot_round)
            copied.known_incarnations = state._acceptors[number].known_incarnations
            copied.reported_incarnations = dict(ballot_round.reported_incarnations)
            copied.promises = dict(ballot_round.promises)
            copied.accepts = dict(ballot_round.accepts)
            state._proposals[number].rounds = [copied]
        state._outcomes = dict(self._outcomes)
        if self._recovery is not None:
            state._recovery = copy(self._recovery)
            state._recovery.state = state._acceptors[CRASHING]
            state._recovery.received = dict(self._recovery.received)
        return state

    def key(self) -> int:
        """Return a hash of everything that the states after this one depend on."""
        acceptors = tuple(
            (
                acceptor.incarnation,
                acceptor.requested_incarnation,
                acceptor.complete,
                tuple(sorted(acceptor.known_incarnations.items())),
                register_key(acceptor),
            )
            for acceptor in self._acceptors.values()
        )
        rounds = tuple(
            (
                number,
                ballot_round.phase,
                tuple(
                    sorted(
                        (member, incarnation) for member, (incarnation, _) in ballot_round.promises.items()
                    )
                ),
                tuple(sorted(ballot_round.accepts.items())),
                tuple(sorted(ballot_round.reported_incarnations.items())),
                ballot_round.result.accepted,
                ballot_round.includes_change,
            )
            for number, ballot_round in sorted(self._rounds.items())
        )
        outcomes = tuple(
            (number, outcome.changed, outcome.register.version)
            for number, outcome in sorted(self._outcomes.items())
        )
        recovery = None if self._recovery is None else tuple(sorted(self._recovery.received))
        older = str(self._older_disk.get(f"slot/{REGISTER}")) if not self._crashed else ""
        return hash((acceptors, rounds, outcomes, recovery, self._crashed, self._in_flight, older))

    @property
    def violation(self) -> str:
        """Return the promise that is broken in this state, empty if none is."""
        writers = [number for number, outcome in self._outcomes.items() if outcome.changed]
        if len(writers) > 1:
            return f"both are told that they own it (keeper {CRASHING} came back {self._crashed or 'never'})"
        registers = [outcome.register for outcome in self._outcomes.values()]
        marks = {register.value.mark for register in registers if register.version == 1 and register.value}
        if len(marks) > 1:
            return f"two values are told (keeper {CRASHING} came back {self._crashed or 'never'})"
        return ""

    def next_states(self) -> Iterator[BallotModelState]:
        """Yield the state after each step that is possible now."""
        for number in PROPOSERS:
            if number not in self._rounds:
                after = self._copy()
                after._begin_round(number)
                yield after
        if self._restart and not self._crashed:
            after = self._copy()
            after._crash()
            yield after
        for number in sorted(self._in_flight):
            after = self._copy()
            after._in_flight -= {number}
            after._deliver(*self._table.message(number))
            after._drop_obsolete_messages()
            yield after

    # Messages

    def _send(self, message: Message) -> None:
        self._in_flight |= {self._table.number(message)}

    def _drop_obsolete_messages(self) -> None:
        """Drop the messages in flight that can't have an effect any more, as if they were lost for good.

        That is: a rejection, which only ends its round; a prepare request whose round is past that phase,
        which can only raise a promise; an answer to a round that has ended, or of a phase that is over,
        unless it reports an incarnation. What replica 2 would reject now may be taken by its next
        incarnation: that stays.
        """
        obsolete = [number for number in self._in_flight if self._is_obsolete(*self._table.message(number))]
        if obsolete:
            self._in_flight = self._in_flight.difference(obsolete)

    def _is_obsolete(self, message: Message, body: Any) -> bool:
        if isinstance(message, JoinMessage):
            return message.is_answer and (
                self._recovery is None or message.incarnation != self._recovery.state.requested_incarnation
            )
        if message.is_answer:
            if message.target in self._outcomes or not body.ok:
                return True
            ballot_round = self._rounds[message.target]
            reports_incarnation = any(
                incarnation > ballot_round.reported_incarnations.get(member, 0)
                for member, incarnation in body.known_incarnations
            )
            return not reports_incarnation and ballot_round.phase is not message.phase
        if message.phase is Phase.PREPARE and self._rounds[message.source].phase is not Phase.PREPARE:
            return True
        register = self._acceptors[message.target].registers.get(REGISTER)
        if register is None or (message.target == CRASHING and not self._crashed):
            return False
        if message.phase is Phase.PREPARE:
            return bool(register.promised >= message.ballot)
        return bool(register.promised > message.ballot)

    def _deliver(self, message: Message, body: Any) -> None:
        source, target = message.source, message.target
        if isinstance(message, JoinMessage):
            self._deliver_join(message, body)
        elif not message.is_answer:
            if target != CRASHING or self._recovery is None:
                answer = encode_body(self._answer(target, body))
                self._send(BallotMessage(target, source, message.phase, message.ballot, answer, True))
        else:
            ballot_round = self._rounds[target]
            if ballot_round.ballot == message.ballot and ballot_round.receive(source, message.phase, body):
                self._continue_round(target)

    # Rounds

    def _save(self, number: int) -> None:
        if number == CRASHING and self._acceptors[number].unsaved_rows:
            self._older_disk = dict(self._disks[number])
        self._disks[number] |= self._acceptors[number].take_unsaved_rows()

    def _begin_round(self, number: int) -> None:
        acceptor = self._acceptors[number]
        ballot = Ballot(1, number, acceptor.incarnation)
        self._rounds[number] = self._proposals[number].start_round(ballot, GROUP, acceptor.known_incarnations)
        self._begin_phase(number)

    def _begin_phase(self, number: int) -> None:
        """Ask the proposer's own acceptor first, then the others."""
        ballot_round = self._rounds[number]
        phase, request = ballot_round.phase, ballot_round.request()
        changed = ballot_round.receive(number, phase, self._answer(number, request))
        for member in MEMBERS:
            if member != number:
                self._send(BallotMessage(number, member, phase, ballot_round.ballot, encode_body(request)))
        if changed:
            self._continue_round(number)

    def _continue_round(self, number: int) -> None:
        ballot_round = self._rounds[number]
        if ballot_round.phase is Phase.ACCEPT:
            self._begin_phase(number)
        outcome = self._proposals[number].outcome(ballot_round)
        if outcome is not None:
            self._outcomes[number] = outcome

    def _answer(self, number: int, request: PrepareRequest | AcceptRequest) -> PeerAnswer:
        acceptor = self._acceptors[number]
        if isinstance(request, PrepareRequest):
            answer = acceptor.prepare(REGISTER, request.ballot)
        else:
            answer = acceptor.accept(REGISTER, request.ballot, request.version, request.value)
        self._save(number)
        return answer

    # The crash

    def _crash(self) -> None:
        self._crashed = self._restart
        disk: dict[str, Any] = {}
        if self._restart in (Restart.INTACT, Restart.VOUCHED):
            disk = self._disks[CRASHING]
        elif self._restart is Restart.OLDER:
            disk = self._older_disk
        acceptor = self._acceptors[CRASHING] = acceptor_type(self._defect)(CRASHING, GROUP)
        if disk:
            acceptor.restore(msgspec.json.decode(msgspec.json.encode(disk)))
        self._disks[CRASHING] = dict(disk)
        if self._restart is Restart.VOUCHED:
            return
        if self._defect is PlantedDefect.EMPTY_DISK_TAKEN_FOR_NEW:
            acceptor.incarnation, acceptor.complete = acceptor.requested_incarnation + 1, True
            acceptor.note_replica()
            self._save(CRASHING)
            return
        self._recovery = Recovery(acceptor)
        self._save(CRASHING)
        self._request_join()

    def _request_join(self) -> None:
        incarnation = self._acceptors[CRASHING].requested_incarnation
        for member in MEMBERS:
            if member != CRASHING:
                self._send(JoinMessage(CRASHING, member, incarnation))

    def _deliver_join(self, message: JoinMessage, body: Any) -> None:
        if not message.is_answer:
            answer = encode_body(self._acceptors[message.target].answer_join(CRASHING, message.incarnation))
            self._save(message.target)
            self._send(JoinMessage(message.target, CRASHING, message.incarnation, answer))
            return
        acceptor = self._acceptors[CRASHING]
        if self._recovery is None or message.incarnation != acceptor.requested_incarnation:
            return
        if self._recovery.receive(message.source, body):
            self._recovery = None
        elif acceptor.requested_incarnation != message.incarnation:
            self._request_join()
        self._save(CRASHING)


def copy_acceptor(acceptor: AcceptorState) -> AcceptorState:
    """Return a copy that shares nothing that changes."""
    copied = copy(acceptor)
    copied.registers = {name: replace(register) for name, register in acceptor.registers.items()}
    copied.known_incarnations = dict(acceptor.known_incarnations)
    copied.unsaved_rows = dict(acceptor.unsaved_rows)
    return copied


def register_key(acceptor: AcceptorState) -> tuple[Any, ...] | None:
    """Return what the acceptor holds of the register, as a part of a state's key."""
    register = acceptor.registers.get(REGISTER)
    if register is None:
        return None
    return register.promised, register.accepted, register.version, str(register.value)


def explore_ballots(
    defect: PlantedDefect | None = None,
    restart: Restart = Restart.NEVER_CRASHES,
    max_states: int = MAX_STATES,
) -> ExplorationResult:
    """Visit every state that can be reached, or end at the first that breaks a promise."""
    return explore_states(BallotModelState(defect, restart), max_states)
