"""Defects that can be planted into the core; an exploration must find each of them."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from gullmount.consensus.acceptor import AcceptorState, RegisterState
from gullmount.consensus.membership import GroupTransition
from gullmount.consensus.messages import Ballot, PeerAnswer, PeerRequest, RejectedAnswer
from gullmount.consensus.registers import RegisterValue
from gullmount.leases.lease import Lease
from gullmount.leases.messages import LeaseValue, lease_state_from


class PlantedDefect(StrEnum):
    """A defect by the name that `gullmount rig explore --plant` takes."""

    PROMISE_NOT_STORED = "promise not on disk"
    EMPTY_DISK_TAKEN_FOR_NEW = "empty disk taken for new"
    TOKEN_NOT_RAISED = "token not raised"
    TERM_FROM_ANSWER = "term counted from the answer"
    OLD_EFFECT_ACCEPTED = "old effect believed"
    OLDER_GROUP_ACCEPTED = "older group not refused"
    EMPTY_DISK_OF_FIVE_TAKEN_FOR_NEW = "empty disk of five taken for new"
    LEARNED_TAKEN_FOR_ACCEPTED = "what was learnt taken for accepted"
    REGISTERS_NOT_REWRITTEN = "registers not written again"


BALLOT_DEFECTS = (PlantedDefect.PROMISE_NOT_STORED, PlantedDefect.EMPTY_DISK_TAKEN_FOR_NEW)
LEASE_DEFECTS = (
    PlantedDefect.TOKEN_NOT_RAISED,
    PlantedDefect.TERM_FROM_ANSWER,
    PlantedDefect.OLD_EFFECT_ACCEPTED,
)
GROUP_DEFECTS = (
    PlantedDefect.OLDER_GROUP_ACCEPTED,
    PlantedDefect.EMPTY_DISK_OF_FIVE_TAKEN_FOR_NEW,
    PlantedDefect.LEARNED_TAKEN_FOR_ACCEPTED,
    PlantedDefect.REGISTERS_NOT_REWRITTEN,
)


class ForgetfulAcceptor(AcceptorState):
    """Keeps a promise in memory without storing it."""

    def prepare(self, register: str, ballot: Ballot) -> PeerAnswer:
        """Answer as the acceptor does, and leave the promise out of the rows to store."""
        answer = super().prepare(register, ballot)
        self.unsaved_rows.pop(f"slot/{register}", None)
        return answer


class OlderGroupAcceptor(AcceptorState):
    """Answers requests that were sent over an older group."""

    def check_group(self, request: PeerRequest) -> RejectedAnswer | None:
        """Adopt a newer group, and reject nothing."""
        super().check_group(request)
        return None


class LearnedAsAcceptedAcceptor(AcceptorState):
    """Counts what it learned from others as accepted by itself."""

    def merge(self, registers: dict[str, RegisterState]) -> None:
        """Take the registers of others, marked as its own."""
        super().merge(registers)
        for register in self.registers.values():
            register.learned = False


class NoRewriteTransition(GroupTransition):
    """Lets the new members take over without the registers being written once more."""

    def registers_to_rewrite(self) -> list[str] | None:
        """Return no register once the transition knows which there are."""
        return None if super().registers_to_rewrite() is None else []


class SameTokenLease(Lease):
    """Claims without raising the token."""

    def claim(self, now: float) -> LeaseValue:
        """Return a claim with the token that was seen last."""
        return msgspec.structs.replace(super().claim(now), token=max(1, self.state.token))


class TermFromAnswerLease(Lease):
    """Counts a term from when the answer came instead of from when it was requested."""

    def observe(self, now: float, chosen: RegisterValue) -> bool:
        """Observe the register as the lease does, with the later begin of the term."""
        state = lease_state_from(chosen.value)
        mine = state.holder == self.instance_number and state.renewal in self.requested_at
        if chosen.version > self.version and mine:
            self.requested_at[state.renewal] = now
        return super().observe(now, chosen)


ACCEPTORS: dict[PlantedDefect, type[AcceptorState]] = {
    PlantedDefect.PROMISE_NOT_STORED: ForgetfulAcceptor,
    PlantedDefect.OLDER_GROUP_ACCEPTED: OlderGroupAcceptor,
    PlantedDefect.LEARNED_TAKEN_FOR_ACCEPTED: LearnedAsAcceptedAcceptor,
}
LEASES: dict[PlantedDefect, type[Lease]] = {
    PlantedDefect.TOKEN_NOT_RAISED: SameTokenLease,
    PlantedDefect.TERM_FROM_ANSWER: TermFromAnswerLease,
}


def acceptor_type(defect: PlantedDefect | None) -> type[AcceptorState]:
    """Return the acceptor with the defect, or the sound one where it lies elsewhere."""
    return AcceptorState if defect is None else ACCEPTORS.get(defect, AcceptorState)


def lease_type(defect: PlantedDefect | None) -> type[Lease]:
    """Return the lease with the defect, or the sound one where it lies elsewhere."""
    return Lease if defect is None else LEASES.get(defect, Lease)


def transition_type(defect: PlantedDefect | None) -> type[GroupTransition]:
    """Return the group's transition with the defect, or the sound one where it lies elsewhere."""
    return NoRewriteTransition if defect is PlantedDefect.REGISTERS_NOT_REWRITTEN else GroupTransition
