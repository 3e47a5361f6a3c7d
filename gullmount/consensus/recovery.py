"""How a replica that starts comes to a state in which nothing is missing. No I/O, clock or randomness.

A start asks the others for its next incarnation. It takes part once enough of them have written the
incarnation down and sent their whole state, which is merged in: the higher promise, the later accepted value.
Those others (`ReplicaGroup.meets_every_majority`) meet every majority that ever counted this replica, so
nothing that it promised or accepted is missing afterwards. What others answered before they wrote the
incarnation down is in the merged state; what they answer later takes the former incarnation's answers out of
the count. A storage that is lost while another's is also incomplete is one loss more than three replicas
bear.
"""

from __future__ import annotations

from dataclasses import dataclass

from gullmount.consensus.acceptor import AcceptorState, RegisterState, register_from
from gullmount.consensus.membership import group_from
from gullmount.consensus.messages import JoinAnswer, PeerAnswer


@dataclass(frozen=True)
class ReceivedState:
    """The state that one replica sent.

    Attributes:
        requested_incarnation: the newest one that it ever asked for itself.
        registers: by name.
    """

    requested_incarnation: int
    registers: dict[str, RegisterState]


class Recovery:
    """A start under way; it lives until the replica is admitted."""

    def __init__(self, state: AcceptorState) -> None:
        self.state = state
        self.received: dict[int, ReceivedState] = {}
        self.request_incarnation(max(state.incarnation, state.requested_incarnation) + 1)

    def request_incarnation(self, incarnation: int) -> None:
        """Begin to ask for an incarnation; the state is to be stored before others are asked."""
        self.state.requested_incarnation = incarnation
        self.state.note_replica()
        self.received = {}

    def receive(self, replica: int, answer: PeerAnswer) -> bool:
        """Take an answer; return whether the replica is admitted now.

        Then its state is complete, and is to be stored before anything else. Raises InvalidMessageError.
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
        if answer.complete:  # else it is asked again, for a later incarnation: by then it may be admitted
            registers = {message.register: register_from(message) for message in answer.registers}
            self.received[replica] = ReceivedState(answer.requested_incarnation, registers)
        self._drop_replicas_that_lost_their_state()
        if not state.group.meets_every_majority(state.number, self.received):
            return False
        self._complete()
        return True

    def _drop_replicas_that_lost_their_state(self) -> None:
        """Leave out who never asked for an incarnation that others know it by, whatever it says."""
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
