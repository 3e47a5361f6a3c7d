"""A register in memory, without replicas, and the connections of proxy instances to it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import anyio

from gullmount.consensus.errors import OutcomeUnknownError
from gullmount.consensus.registers import RegisterValue


class InMemoryRegister:
    """A register without replicas whose responses may be lost, delayed or withheld."""

    def __init__(self) -> None:
        self.current = RegisterValue(0, None)
        self.changed = anyio.Event()
        # Number of next changes that are applied but whose responses are lost.
        self.responses_to_lose = 0
        # Numbers of the instances whose calls are blocked.
        self.disconnected: set[int] = set()
        self.delay_seconds = 0.0

    def connect(self, number: int) -> RegisterConnection:
        return RegisterConnection(self, number)

    def write(self, value: Any) -> None:
        self.current = RegisterValue(self.current.version + 1, value)
        self.changed.set()
        self.changed = anyio.Event()


class RegisterConnection:
    """The connection of one proxy instance to the register; it accepts any register name."""

    def __init__(self, shared_register: InMemoryRegister, number: int) -> None:
        self.shared_register = shared_register
        self.number = number

    async def wait_for_network(self) -> None:
        await anyio.sleep(0.005 + self.shared_register.delay_seconds)
        while self.number in self.shared_register.disconnected:
            await anyio.sleep(0.05)

    async def read(self, register: str) -> RegisterValue:
        await self.wait_for_network()
        return self.shared_register.current

    async def change(self, register: str, expected_version: int, value: Any) -> tuple[bool, RegisterValue]:
        await self.wait_for_network()
        if self.shared_register.current.version != expected_version:
            return False, self.shared_register.current
        self.shared_register.write(value)
        current = self.shared_register.current
        if self.shared_register.responses_to_lose:
            self.shared_register.responses_to_lose -= 1
            raise OutcomeUnknownError
        await self.wait_for_network()
        return True, current

    async def watch(self, register: str) -> AsyncIterator[RegisterValue]:
        while True:
            await self.wait_for_network()
            yield self.shared_register.current
            changed = self.shared_register.changed
            if self.shared_register.current.version == self.shared_register.current.version:
                await changed.wait()
