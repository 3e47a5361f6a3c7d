"""What this replica knows to be chosen, and the watches that get it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from gullmount.consensus.acceptor import RegisterState
from gullmount.consensus.errors import NoMajorityError, OutcomeUnknownError
from gullmount.consensus.local_acceptor import LocalAcceptor
from gullmount.consensus.membership import GROUP, group_from_register
from gullmount.consensus.messages import ChosenRequest, HeartbeatLine, RegisterLine, encode_line
from gullmount.consensus.peers import PeerClient

HEARTBEAT_INTERVAL_SECONDS = 5.0  # between lines of a watch on which nothing changes
REFRESH_INTERVAL_SECONDS = (
    2.0  # without an update, after which a watched register is read: a notice may be lost
)
MIN_WAIT_SECONDS = 0.01


class ChosenValue(NamedTuple):
    """A register's version and its value."""

    version: int
    value: Any


UNSET_VALUE = ChosenValue(0, None)
UNKNOWN_VALUE = ChosenValue(-1, None)


class ChosenValues:
    """The newest chosen value of each register that came by.

    Attributes:
        tasks: where the other replicas are told of a value; `Replica.run` sets it.
    """

    tasks: TaskGroup

    def __init__(self, acceptor: LocalAcceptor, peers: PeerClient) -> None:
        self.acceptor = acceptor
        self.peers = peers
        self._known: dict[str, ChosenValue] = {}
        self._refreshed_at: dict[str, float] = {}
        self._changed = anyio.Event()

    async def learn(self, register: str, version: int, value: Any) -> bool:
        """Take note of what is chosen; return whether it is news.

        Raises InvalidMessageError where it is the register of the group and holds none.
        """
        if register == GROUP and version > 0:
            await self.acceptor.adopt(group_from_register(version, value))
        self._refreshed_at[register] = anyio.current_time()
        if version <= self._known.get(register, UNSET_VALUE).version:
            return False
        self._known[register] = ChosenValue(version, value)
        self._changed.set()
        self._changed = anyio.Event()
        return True

    async def publish(self, register: str, state: RegisterState) -> None:
        """Take note of what is chosen, and tell the other replicas where it is news."""
        value = state.client_value
        if not await self.learn(register, state.version, value):
            return
        for replica in self.acceptor.others:
            notice = ChosenRequest(
                group=self.acceptor.state.group.message(),
                register=register,
                version=state.version,
                value=value,
            )
            self.tasks.start_soon(self.peers.ask, replica, notice)

    async def watch(self, register: str, read: Callable[[str], Awaitable[object]]) -> AsyncIterator[bytes]:
        """Yield the register as it is chosen now, then each change that comes in time.

        The last change is never missed. `read` reads the register by a majority; the watch ends where that
        fails, as another replica may know more.
        """
        version = UNKNOWN_VALUE.version
        line_sent_at = anyio.current_time()
        while True:
            if anyio.current_time() >= self._refresh_due(register):
                # One read serves all watches of the register; one that fails is made up for by the next.
                self._refreshed_at[register] = anyio.current_time()
                try:
                    await read(register)
                except (NoMajorityError, OutcomeUnknownError):
                    return
                self._known.setdefault(register, UNSET_VALUE)
            chosen = self._known.get(register, UNKNOWN_VALUE)
            if chosen.version > version:
                version, line_sent_at = chosen.version, anyio.current_time()
                yield encode_line(RegisterLine(register=register, version=version, value=chosen.value))
                continue
            if anyio.current_time() - line_sent_at >= HEARTBEAT_INTERVAL_SECONDS:
                line_sent_at = anyio.current_time()
                yield encode_line(HeartbeatLine())
            changed = self._changed
            refresh_in = self._refresh_due(register) - anyio.current_time()
            with anyio.move_on_after(max(MIN_WAIT_SECONDS, refresh_in)):
                await changed.wait()

    def _refresh_due(self, register: str) -> float:
        return self._refreshed_at.get(register, -REFRESH_INTERVAL_SECONDS) + REFRESH_INTERVAL_SECONDS
