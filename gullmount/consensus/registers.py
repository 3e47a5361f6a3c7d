"""Defines the interface of registers for their users. The module uses no I/O, clock or randomness."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol


@dataclass(frozen=True)
class RegisterValue:
    """Holds the chosen version and value of a register. Version 0 means that it was never set."""

    version: int
    value: Any


class ChangeResult(NamedTuple):
    """Holds whether a change was made, and the value chosen now."""

    changed: bool
    chosen: RegisterValue


class Registers(Protocol):
    """Reads, changes and watches registers."""

    async def read(self, register: str) -> RegisterValue:
        """Return the chosen value; raise NoReplicaError."""

    async def change(self, register: str, expected_version: int, value: Any) -> tuple[bool, RegisterValue]:
        """Change the register if its version is the expected one.

        Returns whether the change was made, and the value chosen now. Raises NoReplicaError or
        OutcomeUnknownError.
        """

    def watch(self, register: str) -> AsyncIterator[RegisterValue]:
        """Yield each value that is seen, without end."""
