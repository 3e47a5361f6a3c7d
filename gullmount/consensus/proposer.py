"""Changes and reads registers for clients, as the proposer of the replica."""

from __future__ import annotations

from collections import defaultdict
from random import Random
from typing import Any

import anyio

from gullmount.consensus.acceptor import RegisterState
from gullmount.consensus.ballot_round import BallotRound, Phase, Proposal, ProposalOutcome
from gullmount.consensus.chosen_values import ChosenValues
from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.errors import (
    ChangeOverwrittenError,
    MajorityTimeoutError,
    ProposalTimeoutError,
    QueueFullError,
)
from gullmount.consensus.local_acceptor import LocalAcceptor
from gullmount.consensus.log_events import Log, LogEvent
from gullmount.consensus.messages import AcceptRequest, Ballot, PrepareRequest
from gullmount.consensus.peers import PeerClient
from gullmount.rpc import InvalidMessageError

# Limits the queue of each register. Further proposals are rejected immediately.
MAX_WAITING_PROPOSALS = 256
# Upper bound of the random delay after the first superseded round. It doubles after each further one.
INITIAL_BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 0.2
MARK_BITS = 62


class Proposer:
    """Runs proposals, one at a time for each register."""

    def __init__(
        self,
        config: ReplicaConfig,
        acceptor: LocalAcceptor,
        peers: PeerClient,
        chosen_values: ChosenValues,
        random: Random,
        log: Log,
    ) -> None:
        self.config = config
        self.acceptor = acceptor
        self.peers = peers
        self.chosen_values = chosen_values
        self.random = random
        self.log = log
        self._proposal_locks: dict[str, anyio.Lock] = defaultdict(anyio.Lock)

    async def read(self, register: str) -> RegisterState:
        """Return the chosen register state; raise NoMajorityError."""
        return (await self.propose(register, None, None)).register

    async def propose(
        self, register: str, expected_version: int | None, value: Any, rewrite: bool = False
    ) -> ProposalOutcome:
        """Change the register if its version is the expected one, or read it if no version is given.

        With `rewrite` the chosen value is written again. Raises NoMajorityError if nothing was changed,
        OutcomeUnknownError if the change may have been made, and StorageWriteError if the storage fails.
        """
        proposal_lock = self._proposal_locks[register]
        if proposal_lock.statistics().tasks_waiting >= MAX_WAITING_PROPOSALS:
            raise QueueFullError
        mark = f"{self.random.getrandbits(MARK_BITS):x}"
        proposal = Proposal(register, expected_version, value, mark, rewrite)
        with anyio.move_on_after(self.config.settle_within):
            async with proposal_lock:
                return await self._run_rounds(proposal)
        if proposal.may_be_accepted:
            raise ProposalTimeoutError
        raise MajorityTimeoutError

    async def _run_rounds(self, proposal: Proposal) -> ProposalOutcome:
        backoff = INITIAL_BACKOFF_SECONDS
        while True:
            outcome = proposal.outcome(await self._run_round(proposal))
            if outcome is not None:
                await self.chosen_values.publish(proposal.change.register, outcome.register)
                if outcome.unknown:
                    raise ChangeOverwrittenError
                return outcome
            await anyio.sleep(self.random.random() * backoff)
            backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)

    async def _run_round(self, proposal: Proposal) -> BallotRound:
        """Run one round until it ends or no replica is left to answer."""
        state = self.acceptor.state
        counters = self.acceptor.highest_counters
        register = proposal.change.register
        promised = state.registers.get(register, RegisterState()).promised
        counter = max(counters[register], promised[0]) + 1
        counters[register] = counter
        ballot = Ballot(counter, self.acceptor.number, state.incarnation)
        ballot_round = proposal.start_round(ballot, state.group, state.known_incarnations)
        for phase in (Phase.PREPARE, Phase.ACCEPT):
            if ballot_round.phase is phase:
                await self._run_phase(ballot_round, phase)
        counters[register] = max(counters[register], ballot_round.highest_ballot.counter)
        if ballot_round.newer_group is not None:
            await self.acceptor.adopt(ballot_round.newer_group)
        return ballot_round

    async def _run_phase(self, ballot_round: BallotRound, phase: Phase) -> None:
        """Send the request of a phase to all replicas until the phase ends or none is left to answer.

        The replica's own acceptor answers first, because a ballot that is not stored could be used again.
        """
        request = ballot_round.request()
        own_number = self.acceptor.number
        if ballot_round.receive(own_number, phase, await self.acceptor.answer(own_number, request)):
            return
        async with anyio.create_task_group() as tasks:
            for replica in ballot_round.group.others(own_number):
                tasks.start_soon(self._ask, ballot_round, phase, request, replica, tasks.cancel_scope)

    async def _ask(
        self,
        ballot_round: BallotRound,
        phase: Phase,
        request: PrepareRequest | AcceptRequest,
        replica: int,
        phase_scope: anyio.CancelScope,
    ) -> None:
        answer = await self.peers.ask(replica, request)
        if answer is None:
            return
        try:
            if ballot_round.receive(replica, phase, answer):
                phase_scope.cancel()
        except InvalidMessageError as error:
            self.log(LogEvent.PEER_ANSWER_INVALID, replica=replica, reason=str(error))
