"""Visits every state that a small model can reach."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol, Self

import msgspec


class ExplorationResult(msgspec.Struct, frozen=True):
    """What an exploration found; the command's JSON has it under the names given here.

    Attributes:
        states: how many were visited; of drawn interleavings, how many operations were answered.
        violation: what was broken first, empty if nothing was.
        complete: whether every state was visited.
    """

    states: int
    violation: str = msgspec.field(name="broken")
    complete: bool = msgspec.field(name="whole")


class ModelState(Protocol):
    """One state of a model."""

    @property
    def violation(self) -> str:
        """Return the promise that is broken in this state, empty if none is."""

    def key(self) -> int:
        """Return a hash of everything that the states after this one depend on."""

    def next_states(self) -> Iterator[Self]:
        """Yield the state after each step that is possible now."""


def explore_states(initial: ModelState, max_states: int | None = None) -> ExplorationResult:
    """Visit every state that can be reached from the initial one.

    Ends at the first that breaks a promise, or once `max_states` were seen.
    """
    seen, waiting = {initial.key()}, [initial]
    while waiting and (max_states is None or len(seen) < max_states):
        for state in waiting.pop().next_states():
            if state.violation:
                return ExplorationResult(len(seen), state.violation, False)
            key = state.key()
            if key not in seen:
                seen.add(key)
                waiting.append(state)
    return ExplorationResult(len(seen), "", not waiting)
