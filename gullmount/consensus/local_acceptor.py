"""Answers requests as the acceptor of the replica, and stores its state before any answer is sent."""

from __future__ import annotations

from collections import defaultdict

import anyio

from gullmount.consensus.acceptor import AcceptorState
from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.errors import (
    StorageCorruptedError,
    StorageFailedBeforeError,
    StorageWriteError,
    UnknownRequestError,
)
from gullmount.consensus.log_events import Log, LogEvent
from gullmount.consensus.membership import ReplicaGroup
from gullmount.consensus.messages import (
    AcceptRequest,
    AdoptRequest,
    JoinRequest,
    PeerAnswer,
    PeerRequest,
    PrepareRequest,
)
from gullmount.consensus.storage import Storage
from gullmount.rpc import InvalidMessageError


class LocalAcceptor:
    """Answers one request at a time and stores the state before it processes the next.

    Attributes:
        state: State of the acceptor.
        write_lock: Lock held from a change of the state until it is stored.
        admitted: Event set once the state is complete and the replica takes part.
        group_changed: Event set, and replaced by a new one, each time another group is adopted.
        highest_counters: Highest ballot counter seen, by register.
        failed: Whether the storage failed. A failed replica answers nothing any more.
    """

    def __init__(self, config: ReplicaConfig, storage: Storage, log: Log) -> None:
        self.config = config
        self.storage = storage
        self.log = log
        self.state = self._new_state()
        self.write_lock = anyio.Lock()
        self.admitted = anyio.Event()
        self.group_changed = anyio.Event()
        self.highest_counters: dict[str, int] = defaultdict(int)
        self.failed = False

    def _new_state(self) -> AcceptorState:
        return AcceptorState(self.config.number, ReplicaGroup(0, self.config.members, {}))

    @property
    def number(self) -> int:
        """The number of this replica."""
        return self.config.number

    @property
    def others(self) -> list[int]:
        """The other replicas of the group."""
        return self.state.group.others(self.number)

    def load(self, bootstrap: bool) -> None:
        """Load what an earlier process stored; with `bootstrap` a blank storage starts a new group.

        A corrupted storage is set aside. Raises StorageWriteError.
        """
        rows = None
        try:
            rows = self.storage.load()
            if rows is not None:
                self.state.restore(rows)
        except (StorageCorruptedError, InvalidMessageError) as error:
            self.log(LogEvent.STORAGE_CORRUPTED, reason=str(error))
            self.state = self._new_state()
            self.storage.set_aside()
            rows = None
        if rows is None and bootstrap:
            self.state.bootstrap()
            self.storage.write(self.state.take_unsaved_rows())
        self.log(
            LogEvent.STORAGE_LOADED,
            blank=rows is None,
            incarnation=self.state.incarnation,
            complete=self.state.complete,
        )

    async def save(self) -> None:
        """Store the unsaved rows; the caller holds `write_lock`.

        Raises StorageWriteError, which ends the replica.
        """
        if self.failed:
            raise StorageFailedBeforeError
        rows = self.state.take_unsaved_rows()
        if not rows:
            return
        try:
            with anyio.CancelScope(shield=True):
                await self.storage.save(rows)
        except StorageWriteError:
            self.failed = True
            raise

    async def answer(self, sender: int, request: PeerRequest) -> PeerAnswer:
        """Return the answer to a request once the state is stored.

        Raises InvalidMessageError or StorageWriteError.
        """
        async with self.write_lock:
            previous_group = self.state.group
            answer = self._process(sender, request)
            await self.save()
        self.note_group(previous_group)
        return answer

    def _process(self, sender: int, request: PeerRequest) -> PeerAnswer:
        state = self.state
        if isinstance(request, JoinRequest):
            return state.answer_join(sender, request.incarnation)
        rejected = state.check_group(request)
        if rejected is not None:
            return rejected
        match request:
            case AdoptRequest():
                return state.answer_adopt(self.admitted.is_set())
            case PrepareRequest():
                self._note_counter(request.register, request.ballot.counter)
                return state.prepare(request.register, request.ballot)
            case AcceptRequest():
                self._note_counter(request.register, request.ballot.counter)
                return state.accept(request.register, request.ballot, request.version, request.value)
        raise UnknownRequestError(type(request).__name__)

    def _note_counter(self, register: str, counter: int) -> None:
        self.highest_counters[register] = max(self.highest_counters[register], counter)

    async def adopt(self, group: ReplicaGroup) -> None:
        """Adopt a newer group and store it; raise StorageWriteError."""
        async with self.write_lock:
            previous_group = self.state.group
            if self.state.adopt_group(group):
                await self.save()
        self.note_group(previous_group)

    def note_group(self, previous_group: ReplicaGroup) -> None:
        """Log the group and wake waiting tasks if the group is newer than `previous_group`."""
        group = self.state.group
        if group.revision <= previous_group.revision:
            return
        self.log(
            LogEvent.GROUP_ADOPTED,
            revision=group.revision,
            current=group.current,
            next=group.next,
            member=self.number in group.addresses,
        )
        self.group_changed.set()
        self.group_changed = anyio.Event()
