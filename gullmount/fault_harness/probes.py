"""Clients that read and change one register all the time, at any replica, and record what they were told."""

from __future__ import annotations

from random import Random
from typing import Any, NamedTuple

import anyio

from gullmount.consensus.client import RegisterClient
from gullmount.consensus.errors import NoReplicaError, OutcomeUnknownError
from gullmount.consensus.registers import RegisterValue
from gullmount.emulators.record import Record
from gullmount.net import StreamNet

REGISTER = "probe"
ANSWER_TIMEOUT_SECONDS = 1.0
CHANGE_SHARE = 0.6  # of the operations, the others are reads
STALE_SHARE = 0.2  # of the changes, those over an older version than the probe knows


class RegisterProbe:
    """One client; it runs as long as the script."""

    def __init__(
        self,
        number: int,
        net: StreamNet,
        addresses: list[str],
        record: Record,
        seed: int,
        interval_seconds: float,
    ) -> None:
        """Build the probe.

        Args:
            number: names its operations.
            net: reaches the replicas.
            addresses: of the replicas at the start.
            record: takes its operations.
            seed: of what it draws.
            interval_seconds: between operations, on average.
        """
        self.number = number
        self.record = record
        self._random = Random(seed)
        self._client = RegisterClient(
            net, addresses, self._random, answer_timeout_seconds=ANSWER_TIMEOUT_SECONDS
        )
        self._interval_seconds = interval_seconds
        self._known_version = 0
        self._operations = 0

    async def run(self) -> None:
        """Follow the group and operate on the register, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._client.follow_group)
            while True:
                await anyio.sleep(self._interval_seconds * (0.5 + self._random.random()))
                await self._operate()

    async def _operate(self) -> None:
        self._client.preferred[REGISTER] = self._random.choice(self._client.addresses)
        self._operations += 1
        name = f"{self.number}.{self._operations}"
        change: dict[str, Any] = {}
        if self._random.random() < CHANGE_SHARE:
            stale = self._random.random() < STALE_SHARE
            change = {"expect": max(0, self._known_version - stale), "value": name}
        chosen = await record_operation(self._client, self.record, REGISTER, name, change)
        self._known_version = max(self._known_version, chosen.version)


class OperationEnd(NamedTuple):
    """How an operation ended, by the word in the record, and what the client was told."""

    word: str
    chosen: RegisterValue


async def record_operation(
    client: RegisterClient, record: Record, register: str, name: str, change: dict[str, Any]
) -> RegisterValue:
    """Do one operation and record its begin and end, as `checker/histories.py` reads them.

    Args:
        client: does it.
        record: takes both events.
        register: to operate on.
        name: of the operation.
        change: `expect` and `value` as the record has them; empty for a read.
    """
    record.note("op", op=name, register=register, **change)
    end = await _operate(client, register, change)
    record.note("op_end", op=name, end=end.word, version=end.chosen.version, value=end.chosen.value)
    return end.chosen


async def _operate(client: RegisterClient, register: str, change: dict[str, Any]) -> OperationEnd:
    try:
        if not change:
            return OperationEnd("done", await client.read(register))
        changed, chosen = await client.change(register, change["expect"], change["value"])
        return OperationEnd("done" if changed else "other", chosen)
    except NoReplicaError:
        return OperationEnd("none", RegisterValue(0, None))
    except OutcomeUnknownError:
        return OperationEnd("unknown", RegisterValue(0, None))
