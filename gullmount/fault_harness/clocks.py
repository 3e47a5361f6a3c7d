"""The clocks of a process, which faults step and speed up. No I/O: the true clocks are handed in."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

from gullmount.errors import GullmountError


class ClockCommand(StrEnum):
    """The first word of a line that sets a clock."""

    STEP_WALL = "wall"
    LEASE_SPEED = "speed"


class UnknownClockError(GullmountError, ValueError):
    """A line sets no clock that there is."""

    def __init__(self, word: str) -> None:
        super().__init__(f"no such clock: {word!r}")


class SettableClock:
    """A clock that runs at a speed and is stepped; in seconds."""

    def __init__(self, true_clock: Callable[[], float]) -> None:
        """Build a clock that agrees with the true one."""
        self._true_clock = true_clock
        self._speed = 1.0  # seconds of this clock a true second
        # Both clocks at the last change of speed or step.
        self._base_true = self._base = true_clock()

    def now(self) -> float:
        """Return the time."""
        return self._base + (self._true_clock() - self._base_true) * self._speed

    def set_speed(self, speed: float) -> None:
        """Run this many times as fast as the true clock from now on."""
        self.step(0.0)
        self._speed = speed

    def step(self, seconds: float) -> None:
        """Step forward, or back if negative."""
        true_now = self._true_clock()
        self._base += (true_now - self._base_true) * self._speed + seconds
        self._base_true = true_now


class ProcessClocks:
    """The clocks of one process.

    Attributes:
        lease: counts terms of leases.
        wall: its time outlives the process.
    """

    def __init__(self, true_lease_clock: Callable[[], float], true_wall_clock: Callable[[], float]) -> None:
        """Build clocks that agree with the true ones."""
        self.lease = SettableClock(true_lease_clock)
        self.wall = SettableClock(true_wall_clock)

    def obey(self, line: str) -> None:
        """Step the wall clock, or set the speed of the other, as the line says.

        The lines are `wall SECONDS` and `speed TIMES`. Raises ValueError.
        """
        word, _, number = line.partition(" ")
        if word == ClockCommand.STEP_WALL:
            self.wall.step(float(number))
        elif word == ClockCommand.LEASE_SPEED:
            self.lease.set_speed(float(number))
        else:
            raise UnknownClockError(word)
