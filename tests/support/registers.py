"""A register without replicas, and what each of its users sees of it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import anyio

from gullmount.consensus.errors import OutcomeUnknownError
from gullmount.consensus.registers import RegisterValue


class InMemoryRegister:
    """Registers without replicas; an answer may be lost, late, or not given at all."""

    def __init__(self) -> None:
        self.current = RegisterValue(0, None)
        self.changed = anyio.Event()
        self.responses_to_lose = 0  # answers to changes that are made, but not told
        self.disconnected: set[int] = set()  # of whom nothing comes through
        self.delay_seconds = 0.0

    def connect(self, number: int) -> RegisterConnection:
        return RegisterConnection(self, number)

    def write(self, value: Any) -> None:
        self.current = RegisterValue(self.current.version + 1, value)
        self.changed.set()
        self.changed = anyio.Event()


class RegisterConnection:
    """The register as one proxy instance sees it."""

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
