"""Keeps the chosen values that this replica knows and sends them to watches."""

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

# Interval between the lines of a watch whose register does not change.
HEARTBEAT_INTERVAL_SECONDS = 5.0
# A watched register is read after this time without an update, because a notice may be lost.
REFRESH_INTERVAL_SECONDS = 2.0
MIN_WAIT_SECONDS = 0.01


class ChosenValue(NamedTuple):
    """Holds the chosen version and value of a register."""

    version: int
    value: Any


UNSET_VALUE = ChosenValue(0, None)
UNKNOWN_VALUE = ChosenValue(-1, None)


class ChosenValues:
    """Keeps the newest known chosen value of each register.

    Attributes:
        tasks: Task group that sends notices to the other replicas. `Replica.run` sets it.
    """

    tasks: TaskGroup

    def __init__(self, acceptor: LocalAcceptor, peers: PeerClient) -> None:
        self.acceptor = acceptor
        self.peers = peers
        self._known: dict[str, ChosenValue] = {}
        self._refreshed_at: dict[str, float] = {}
        self._changed = anyio.Event()

    async def learn(self, register: str, version: int, value: Any) -> bool:
        """Record a chosen value; return whether it is newer than the known one.

        Raises InvalidMessageError if the register is that of the group and its value is no valid group.
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
        """Record a chosen value and, if it is newer than the known one, notify the other replicas."""
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
        """Yield the chosen value of a register, then its changes as encoded lines.

        A change that another one follows quickly may be skipped; the last change never is. `read` reads the
        register from a majority. The watch ends if that fails, because another replica may know more.
        """
        version = UNKNOWN_VALUE.version
        line_sent_at = anyio.current_time()
        while True:
            if anyio.current_time() >= self._refresh_due(register):
                # One read serves all watches of the register. The next read makes up for one that fails.
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
