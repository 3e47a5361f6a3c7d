"""Begins changes of the replica group for an operator and completes those that any replica began."""

from __future__ import annotations

from random import Random

import anyio

from gullmount.consensus.errors import (
    ConcurrentChangeError,
    JoiningReplicaError,
    NoMajorityError,
    OutcomeUnknownError,
    StaleRevisionError,
)
from gullmount.consensus.local_acceptor import LocalAcceptor
from gullmount.consensus.membership import GROUP, GroupTransition, Members, ReplicaGroup, members_from
from gullmount.consensus.messages import (
    AdoptAnswer,
    AdoptRequest,
    GroupAnswer,
    GroupRequest,
    JoinMarkRequest,
)
from gullmount.consensus.peers import PeerClient
from gullmount.consensus.proposer import Proposer
from gullmount.rpc.errors import InvalidFieldError

# Minimum delay before a replica that did not begin a change completes it. A random part may double it.
TAKEOVER_DELAY_SECONDS = 3.0
# Minimum delay before a replica tries again to complete a change. A random part may double it.
RETRY_DELAY_SECONDS = 0.5


class GroupChanges:
    """Begins and completes changes of the group.

    Attributes:
        begun_revision: Revision of the joint group that this replica began last, or -1 if it began none.
    """

    def __init__(
        self, acceptor: LocalAcceptor, peers: PeerClient, proposer: Proposer, random: Random
    ) -> None:
        self.acceptor = acceptor
        self.peers = peers
        self.proposer = proposer
        self.random = random
        self.begun_revision = -1

    # Handling an operator's request

    async def handle(self, request: GroupRequest) -> GroupAnswer:
        """Return the group, after beginning or reverting a change if the request asks for one.

        Raises GroupChangeError if the change is invalid, NoMajorityError, OutcomeUnknownError or
        InvalidMessageError.
        """
        # The group may have changed while this replica was disconnected.
        await self.proposer.read(GROUP)
        group = self.acceptor.state.group
        if isinstance(request.members, tuple) or request.undo is True:
            if not isinstance(request.revision, int):
                raise InvalidFieldError("revision", "is missing or wrong")
            if request.revision != group.revision:
                raise StaleRevisionError(group.revision)
            await self._begin(group, await self._requested_group(group, request))
        return GroupAnswer(group=self.acceptor.state.group.message())

    async def _requested_group(self, group: ReplicaGroup, request: GroupRequest) -> ReplicaGroup:
        if request.undo is True or not isinstance(request.members, tuple):
            return group.reverted()
        members = members_from(request.members)
        joining_number = group.joining_member(members)
        join_mark = "" if joining_number is None else await self._join_mark(joining_number, members)
        return group.changed(members, join_mark)

    async def _join_mark(self, number: int, members: Members) -> str:
        """Ask the joining replica for its current join mark; raise JoiningReplicaError if it sends none."""
        request = JoinMarkRequest(group=self.acceptor.state.group.message())
        answer = await self.peers.ask_at(members[number], request)
        if not isinstance(answer, AdoptAnswer) or not answer.join_mark:
            raise JoiningReplicaError(number, members[number])
        return answer.join_mark

    async def _begin(self, group: ReplicaGroup, changed: ReplicaGroup) -> None:
        self.begun_revision = changed.revision
        outcome = await self.proposer.propose(GROUP, group.revision, changed.register_value())
        if not outcome.changed:
            raise ConcurrentChangeError(outcome.register.version)

    # Completing a change

    async def run(self) -> None:
        """Complete each change in progress, whichever replica began it, since that one may have failed."""
        await self.acceptor.admitted.wait()
        while True:
            group, group_changed = self.acceptor.state.group, self.acceptor.group_changed
            if not group.next:
                await group_changed.wait()
                continue
            if self.begun_revision != group.revision:
                with anyio.move_on_after(TAKEOVER_DELAY_SECONDS * (1 + self.random.random())):
                    await group_changed.wait()
                    continue
            if not await self._complete(group):
                await anyio.sleep(RETRY_DELAY_SECONDS * (1 + self.random.random()))

    async def _complete(self, group: ReplicaGroup) -> bool:
        """Try to complete the change; return whether that succeeded."""
        transition = GroupTransition(group)
        async with anyio.create_task_group() as tasks:
            for replica in sorted(group.addresses):
                tasks.start_soon(self._send_group, transition, replica)
        registers = transition.registers_to_rewrite()
        if registers is None:
            return False
        try:
            for register in registers:
                await self.proposer.propose(register, None, None, rewrite=True)
            value = group.completed().register_value()
            outcome = await self.proposer.propose(GROUP, group.revision, value)
        except (NoMajorityError, OutcomeUnknownError):
            return False
        return outcome.changed

    async def _send_group(self, transition: GroupTransition, replica: int) -> None:
        request = AdoptRequest(group=transition.group.message())
        if replica == self.acceptor.number:
            answer = await self.acceptor.answer(replica, request)
        else:
            peer_answer = await self.peers.ask(replica, request)
            if peer_answer is None:
                return
            answer = peer_answer
        if isinstance(answer, AdoptAnswer):
            transition.receive(replica, answer.revision, answer.admitted, answer.registers)
