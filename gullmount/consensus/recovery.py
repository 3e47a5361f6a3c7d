"""Recovers the complete state of a replica that starts. No I/O, clock or randomness.

- The replica requests its next incarnation from the other replicas.
- It is admitted once enough of them have stored the incarnation and sent their complete state. The states are
  merged: the higher promise and the later accepted value are kept.
- Enough are those that intersect every majority that ever counted this replica
  (`ReplicaGroup.meets_every_majority`). So nothing that it promised or accepted is missing afterwards.
- Whatever another replica answered before it stored the incarnation is contained in the merged state. Its
  later answers exclude the answers of the former incarnation from the count.
- Three replicas do not tolerate that one loses its storage while the storage of another is also incomplete.
"""

from __future__ import annotations

from dataclasses import dataclass

from gullmount.consensus.acceptor import AcceptorState, RegisterState, register_from
from gullmount.consensus.membership import group_from
from gullmount.consensus.messages import JoinAnswer, PeerAnswer


@dataclass(frozen=True)
class ReceivedState:
    """The state that another replica sent.

    Attributes:
        requested_incarnation: Newest incarnation that the replica ever requested for itself.
        registers: States of the registers by name.
    """

    requested_incarnation: int
    registers: dict[str, RegisterState]


class Recovery:
    """The recovery of one start, used until the replica is admitted.

    Attributes:
        state: State of the replica that starts.
        received: States that other replicas sent for the requested incarnation, by replica number.
    """

    def __init__(self, state: AcceptorState) -> None:
        self.state = state
        self.received: dict[int, ReceivedState] = {}
        self.request_incarnation(max(state.incarnation, state.requested_incarnation) + 1)

    def request_incarnation(self, incarnation: int) -> None:
        """Begin to request an incarnation, and discard the states received for an earlier one.

        The caller stores the state before it asks the other replicas.
        """
        self.state.requested_incarnation = incarnation
        self.state.note_replica()
        self.received = {}

    def receive(self, replica: int, answer: PeerAnswer) -> bool:
        """Process the answer of another replica.

        Returns:
            Whether the replica is admitted now. Its state is complete then, and the caller stores it before
            anything else.

        Raises:
            InvalidMessageError: The answer contains an invalid group or register.
        """
        state = self.state
        if isinstance(answer, JoinAnswer) and answer.group is not None:
            state.adopt_group(group_from(answer.group))
        known = dict(answer.known_incarnations)
        for other, incarnation in known.items():
            if other != state.number:
                state.note_incarnation(other, incarnation)
        if not isinstance(answer, JoinAnswer):
            own_incarnation = known.get(state.number, 0)
            if own_incarnation >= state.requested_incarnation:
                self.request_incarnation(own_incarnation + 1)
            return False
        # A replica with an incomplete state is asked again for a later incarnation.
        # By then it may be admitted.
        if answer.complete:
            registers = {message.register: register_from(message) for message in answer.registers}
            self.received[replica] = ReceivedState(answer.requested_incarnation, registers)
        self._drop_replicas_that_lost_their_state()
        if not state.group.meets_every_majority(state.number, self.received):
            return False
        self._complete()
        return True

    def _drop_replicas_that_lost_their_state(self) -> None:
        """Drop the states of replicas that have lost their storage.

        Such a replica reports a requested incarnation older than the one that others know of it, so its state
        does not count even if it claims to be complete.
        """
        known = self.state.known_incarnations
        self.received = {
            replica: state
            for replica, state in self.received.items()
            if state.requested_incarnation >= known.get(replica, 0)
        }

    def _complete(self) -> None:
        state = self.state
        for _, sent_state in sorted(self.received.items(), key=lambda item: item[0]):
            state.merge(sent_state.registers)
        state.incarnation = state.requested_incarnation
        state.complete = True
        state.note_incarnation(state.number, state.incarnation)
        state.note_replica()
