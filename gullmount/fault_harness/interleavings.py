"""Draws interleavings of messages, crashes and group changes, on the real code of the core.

It covers what `ballot_exploration.py` can't visit completely: five replicas, rounds that supersede each other
and are retried, replicas that crash again and again, and a group that changes meanwhile. An interleaving
draws each step by its seed. What must hold is what users of the register were told: their history is
linearizable (`checker/histories.py`). A defect can be planted; some interleaving must then break this.

The commonest step is a message's arrival; messages arrive in any order, twice, or never. At most one replica
at a time is without its state, which is what three replicas bear.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from random import Random
from typing import Any, NamedTuple

from gullmount.checker.histories import check_history
from gullmount.consensus.acceptor import AcceptorState
from gullmount.consensus.ballot_round import Proposal, ProposalOutcome
from gullmount.consensus.errors import GroupChangeError
from gullmount.consensus.membership import GroupTransition, ReplicaGroup
from gullmount.consensus.messages import AdoptRequest, JoinRequest, PeerRequest
from gullmount.fault_harness.exploration import ExplorationResult
from gullmount.fault_harness.interleaved_replica import (
    AnswerInFlight,
    InterleavedReplica,
    MessageContext,
    Operation,
    OperationKind,
    as_received,
)
from gullmount.fault_harness.planted_defects import PlantedDefect, acceptor_type, transition_type
from gullmount.rpc import InvalidMessageError

REGISTER = "job"
STEPS = 1500  # of one interleaving
MAX_IN_FLIGHT = 60  # messages; beyond it some are lost
MAX_JOINS = 20  # replicas that are started to join in one interleaving
MAX_CLIENT_OPERATIONS = 3  # under way; more only supersede each other
MAX_PARTITIONED = 3  # replicas that are cut off together
MAX_MEMBERS_KEPT = 4  # a change that would leave more removes one

DELIVERED_ONCE_SHARE = 0.9  # of arrivals; the others arrive again
CHANGE_SHARE = 0.6  # of client operations, the others are reads
JOIN_SHARE = 0.8  # of group changes that bring in a new replica
REPLACE_SHARE = 0.8  # of these, those in which it takes another's place
NEW_TRANSITION_SHARE = 0.2  # of the steps that complete a change: begins it anew

FIXED_GROUP_SIZE = 5
CHANGING_GROUP_SIZE = 3


class Step(Enum):
    """A kind of step."""

    ARRIVE = "arrive"
    PARTITION = "partition"
    HEAL = "heal"
    LOSE = "lose"
    BEGIN_OPERATION = "begin operation"
    RETRY = "retry"
    CRASH = "crash"
    CHANGE_GROUP = "change group"
    COMPLETE_CHANGE = "complete change"
    REVERT_CHANGE = "revert change"


# How often each step is drawn, relative to the others that are possible then.
WEIGHTS = {
    Step.ARRIVE: 80,
    Step.LOSE: 3,
    Step.BEGIN_OPERATION: 4,
    Step.RETRY: 2,
    Step.CRASH: 0.5,
    Step.CHANGE_GROUP: 0.3,
    Step.COMPLETE_CHANGE: 3,
    Step.REVERT_CHANGE: 0.1,
    Step.PARTITION: 1.5,
    Step.HEAL: 0.5,
}
# A crash makes a replica learn what the others know: where the group changes there are fewer.
CHANGING_GROUP_CRASH_WEIGHT = 0.05


class MessageInFlight(NamedTuple):
    """A message on its way, and what it belongs to."""

    source: int
    target: int
    message: PeerRequest | AnswerInFlight
    of: MessageContext


class Interleaving:
    """One interleaving.

    Attributes:
        random: draws everything.
        events: the clients' history, as a record has it.
        group_changes: begun.
        completed_changes: of these.
        crashes: so far.
    """

    def __init__(
        self, seed: int, replicas: int, changes_group: bool, defect: PlantedDefect | None = None
    ) -> None:
        """Build the initial state.

        Args:
            seed: of all that is drawn.
            replicas: in the first group.
            changes_group: whether the group changes.
            defect: planted into the core.
        """
        self.random = Random(seed)
        self.events: list[dict[str, Any]] = []
        self.group_changes = 0
        self.completed_changes = 0
        self.crashes = 0
        self._defect = defect
        self._changes_group = changes_group
        self._weights: dict[Step, float] = dict(WEIGHTS)
        if changes_group:
            self._weights[Step.CRASH] = CHANGING_GROUP_CRASH_WEIGHT
        members = {number: str(number) for number in range(1, replicas + 1)}
        self._first_group = ReplicaGroup(0, members, {})
        self._replicas = {
            number: InterleavedReplica(number, self._new_acceptor(number, bootstrap=True), self)
            for number in members
        }
        self._in_flight: list[MessageInFlight] = []
        self._partitioned: set[int] = set()  # replicas that only reach each other
        self._names = 0
        self._step = 0
        self._known_version = 0  # that some client has seen
        self._joins = 0
        self._actions: dict[Step, Callable[[Any], None]] = {
            Step.ARRIVE: self._arrive,
            Step.PARTITION: self._partition,
            Step.HEAL: self._heal,
            Step.LOSE: self._lose,
            Step.BEGIN_OPERATION: self._begin_operation,
            Step.RETRY: self._retry,
            Step.CRASH: self._crash,
            Step.CHANGE_GROUP: self._change_group,
            Step.COMPLETE_CHANGE: self._complete_change,
            Step.REVERT_CHANGE: self._revert_change,
        }

    def _new_acceptor(self, number: int, bootstrap: bool = False) -> AcceptorState:
        acceptor = acceptor_type(self._defect)(number, self._first_group)
        if bootstrap:
            acceptor.bootstrap()
        acceptor.join_mark = str(self.random.random())
        return acceptor

    def run(self) -> list[str]:
        """Take all steps and return what was broken, in words."""
        for self._step in range(STEPS):
            possible = {step: options for step, options in self._options().items() if options}
            step = self.random.choices(list(possible), [self._weights[one] for one in possible])[0]
            self._actions[step](possible[step])
        return [breach.what for breach in check_history(self.events).breaches]

    def _options(self) -> dict[Step, Sequence[Any]]:
        """Return what each step can be taken with now; a step without any isn't possible."""
        replicas = list(self._replicas.values())
        admitted = [replica for replica in replicas if replica.is_admitted]
        members = [one for one in admitted if one.number in one.acceptor.group.addresses]
        operations = [(replica, operation) for replica in admitted for operation in replica.operations]
        clients = sum(operation.kind is OperationKind.CLIENT for _, operation in operations)
        joint = [replica for replica in members if replica.acceptor.group.next]
        stable = [one for one in members if self._changes_group and not one.acceptor.group.next]
        recovering = [
            (replica, None)
            for replica in replicas
            if replica.number in replica.acceptor.group.addresses and replica.recovery is not None
        ]
        return {
            Step.ARRIVE: [one for one in self._in_flight if self._is_connected(one)],
            Step.PARTITION: list(self._replicas),
            Step.HEAL: list(self._partitioned),
            Step.LOSE: self._in_flight if len(self._in_flight) > MAX_IN_FLIGHT else [],
            Step.BEGIN_OPERATION: admitted if clients < MAX_CLIENT_OPERATIONS else [],
            Step.RETRY: [*operations, *recovering],
            # A second disk may only be lost once the last one's state is complete again.
            Step.CRASH: [] if recovering else members,
            Step.CHANGE_GROUP: stable,
            Step.COMPLETE_CHANGE: joint,
            Step.REVERT_CHANGE: joint,
        }

    # The environment of the replicas

    def send(
        self, source: int, targets: Iterable[int], message: PeerRequest | AnswerInFlight, of: MessageContext
    ) -> None:
        """Put a message to each target that is there in flight."""
        self._in_flight += [
            MessageInFlight(source, target, message, of) for target in targets if target in self._replicas
        ]

    def unique_name(self, prefix: str = "") -> str:
        """Return a name that no other operation has."""
        self._names += 1
        return f"{prefix}{self._names}"

    def begin_transition(self, group: ReplicaGroup) -> GroupTransition:
        """Return a new transition of a joint group, with the defect that is planted there."""
        return transition_type(self._defect)(group)

    def operation_ended(self, operation: Operation, outcome: ProposalOutcome) -> None:
        """Note how a client's operation ended."""
        register = outcome.register
        self._known_version = max(self._known_version, register.version)
        if outcome.changed or operation.proposal.change.expected_version is None:
            end = "done"
        else:
            end = "unknown" if outcome.unknown else "other"
        self._note(
            "op_end", op=operation.name, end=end, version=register.version, value=register.client_value
        )

    def group_change_completed(self) -> None:
        """Note that the change of a group is over."""
        self.completed_changes += 1

    def _note(self, event: str, **fields: Any) -> None:
        self.events.append({"t": float(self._step), "ev": event, **fields})

    # Messages

    def _is_connected(self, message: MessageInFlight) -> bool:
        return (message.source in self._partitioned) == (message.target in self._partitioned)

    def _arrive(self, messages: Sequence[MessageInFlight]) -> None:
        chosen = self.random.choice(messages)
        if self.random.random() < DELIVERED_ONCE_SHARE:
            self._in_flight.remove(chosen)
        source, target, message, of = chosen
        replica = self._replicas[target]
        try:
            if isinstance(message, AnswerInFlight):
                replica.receive_answer(source, message, of)
            elif replica.is_admitted or isinstance(message, JoinRequest | AdoptRequest):
                answer = replica.answer(source, as_received(message))
                if answer is not None:
                    self.send(target, [source], AnswerInFlight(type(message), as_received(answer)), of)
        except InvalidMessageError:
            pass  # rejected, as by the server

    def _lose(self, in_flight: list[MessageInFlight]) -> None:
        in_flight.pop(self.random.randrange(len(in_flight)))

    def _partition(self, numbers: Sequence[int]) -> None:
        self._partitioned = set(self.random.sample(numbers, self.random.randint(1, MAX_PARTITIONED)))

    def _heal(self, _: Sequence[int]) -> None:
        self._partitioned = set()

    # Operations

    def _begin_operation(self, replicas: Sequence[InterleavedReplica]) -> None:
        replica = self.random.choice(replicas)
        name = self.unique_name()
        if self.random.random() < CHANGE_SHARE:
            expected_version = self._known_version
            self._note("op", op=name, register=REGISTER, expect=expected_version, value=name)
            proposal = Proposal(REGISTER, expected_version, name, name)
        else:
            self._note("op", op=name, register=REGISTER)
            proposal = Proposal(REGISTER, None, None, name)
        replica.begin_operation(Operation(name, proposal, OperationKind.CLIENT))

    def _retry(self, waiting: Sequence[tuple[InterleavedReplica, Operation | None]]) -> None:
        replica, operation = self.random.choice(waiting)
        if operation is None:
            replica.request_join()
        else:
            replica.begin_round(operation)

    # Crashes

    def _crash(self, replicas: Sequence[InterleavedReplica]) -> None:
        replica = self.random.choice(replicas)
        self.crashes += 1
        disk = self.random.choice((replica.disk, replica.older_disk, {}))
        replica.restart(self._new_acceptor(replica.number), disk)
        if self._defect is PlantedDefect.EMPTY_DISK_OF_FIVE_TAKEN_FOR_NEW:
            replica.take_part_unrecovered()
        else:
            replica.begin_recovery()
            replica.request_join()

    # Changes of the group

    def _change_group(self, replicas: Sequence[InterleavedReplica]) -> None:
        replica = self.random.choice(replicas)
        group = replica.acceptor.group
        members, join_mark = dict(group.current), ""
        if self.random.random() < JOIN_SHARE and self._joins < MAX_JOINS:
            joining = self._start_replica()
            members[joining.number], join_mark = str(joining.number), joining.acceptor.join_mark
        grows = len(members) > len(group.current)
        if (grows and self.random.random() < REPLACE_SHARE) or len(members) > MAX_MEMBERS_KEPT:
            del members[self.random.choice(sorted(group.current))]
        try:
            value = group.changed(members, join_mark).register_value()
        except GroupChangeError:
            return
        self.group_changes += 1
        replica.write_group(value)

    def _start_replica(self) -> InterleavedReplica:
        """Start a replica that waits to join, as an operator does."""
        self._joins += 1
        number = max(self._replicas) + 1
        replica = InterleavedReplica(number, self._new_acceptor(number), self)
        self._replicas[number] = replica
        replica.begin_recovery()
        return replica

    def _complete_change(self, replicas: Sequence[InterleavedReplica]) -> None:
        replica = self.random.choice(replicas)
        if replica.ongoing_transition is None or self.random.random() < NEW_TRANSITION_SHARE:
            replica.begin_transition()
        replica.announce_group()

    def _revert_change(self, replicas: Sequence[InterleavedReplica]) -> None:
        replica = self.random.choice(replicas)
        replica.write_group(replica.acceptor.group.reverted().register_value())


def explore_interleavings(defect: PlantedDefect | None, seeds: Iterable[int]) -> ExplorationResult:
    """Play an interleaving of each seed, up to the first that is broken; count the operations answered.

    Odd seeds have five replicas and no changes of the group, even ones three and a group that changes.
    """
    answered = 0
    for seed in seeds:
        changes_group = seed % 2 == 0
        replicas = CHANGING_GROUP_SIZE if changes_group else FIXED_GROUP_SIZE
        interleaving = Interleaving(seed, replicas, changes_group, defect)
        violations = interleaving.run()
        answered += sum(event["ev"] == "op_end" for event in interleaving.events)
        if violations:
            return ExplorationResult(answered, f"seed {seed}: {violations[0]}", False)
    return ExplorationResult(answered, "", True)
