"""Admits a replica after its start: it recovers its state from the others, or it is a new member."""

from __future__ import annotations

from random import Random

import anyio

from gullmount.consensus.local_acceptor import LocalAcceptor
from gullmount.consensus.log_events import Log, LogEvent
from gullmount.consensus.messages import JoinRequest
from gullmount.consensus.peers import PeerClient
from gullmount.consensus.recovery import Recovery
from gullmount.rpc import InvalidMessageError

# Minimum wait between rounds of requests to the other replicas. The wait is drawn at random from one to two
# times this.
JOIN_RETRY_SECONDS = 0.25
JOIN_MARK_BITS = 62


class Admission:
    """Admits a replica once per start. `run` is run in a task that ends when the replica is admitted.

    Attributes:
        acceptor: Acceptor of the replica itself.
        peers: Client for the other replicas.
        random: Draws waits and the join mark.
        vouched: Whether the replica takes part without recovery if its stored state is complete, because the
            operator vouches for the storage.
        log: Receives an event and its fields.
    """

    def __init__(
        self, acceptor: LocalAcceptor, peers: PeerClient, random: Random, vouched: bool, log: Log
    ) -> None:
        self.acceptor = acceptor
        self.peers = peers
        self.random = random
        self.vouched = vouched
        self.log = log

    async def run(self) -> None:
        """Ask the other replicas until this one is admitted.

        Raises:
            StorageWriteError: The state could not be stored.
        """
        acceptor = self.acceptor
        if self.vouched and acceptor.state.complete:
            self._admit(vouched=True)
            return
        recovery = Recovery(acceptor.state)
        async with acceptor.write_lock:
            await acceptor.save()
        acceptor.state.join_mark = f"{self.random.getrandbits(JOIN_MARK_BITS):x}"
        while not acceptor.admitted.is_set():
            await self._wait_for_membership()
            state = acceptor.state
            if state.complete and state.group.admits_as_new(state.number, state.join_mark):
                self._admit(new=True)
                return
            await self._ask_others(recovery)
            if not acceptor.admitted.is_set():
                await anyio.sleep(JOIN_RETRY_SECONDS * (1 + self.random.random()))

    async def _wait_for_membership(self) -> None:
        acceptor = self.acceptor
        while acceptor.number not in acceptor.state.group.addresses:
            await acceptor.group_changed.wait()

    async def _ask_others(self, recovery: Recovery) -> None:
        async with anyio.create_task_group() as tasks:
            for replica in self.acceptor.others:
                tasks.start_soon(self._ask, recovery, replica)

    async def _ask(self, recovery: Recovery, replica: int) -> None:
        acceptor = self.acceptor
        if replica in recovery.received:
            return
        state = acceptor.state
        request = JoinRequest(group=state.group.message(), incarnation=state.requested_incarnation)
        answer = await self.peers.ask(replica, request)
        if answer is None or acceptor.admitted.is_set():
            return
        async with acceptor.write_lock:
            group_before = state.group
            try:
                recovered = recovery.receive(replica, answer)
            except InvalidMessageError as error:
                self.log(LogEvent.PEER_ANSWER_INVALID, replica=replica, reason=str(error))
                return
            await acceptor.save()
        acceptor.note_group(group_before)
        if recovered:
            self._admit()

    def _admit(self, **fields: bool) -> None:
        self.log(LogEvent.REPLICA_ADMITTED, incarnation=self.acceptor.state.incarnation, **fields)
        self.acceptor.admitted.set()
