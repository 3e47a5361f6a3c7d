"""Runs all explorations, each in a process of its own, and names what each one looked at."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from gullmount.fault_harness.ballot_exploration import Restart, explore_ballots
from gullmount.fault_harness.exploration import ExplorationResult
from gullmount.fault_harness.interleavings import explore_interleavings
from gullmount.fault_harness.lease_exploration import CLOCK_SPEEDS, explore_leases
from gullmount.fault_harness.planted_defects import (
    BALLOT_DEFECTS,
    GROUP_DEFECTS,
    LEASE_DEFECTS,
    PlantedDefect,
)

INTERLEAVINGS = 2000  # drawn in all
INTERLEAVINGS_PER_PROCESS = 250

Exploration = Callable[[], ExplorationResult]


def explorations(defect: PlantedDefect | None = None) -> dict[str, Exploration]:
    """Return the explorations by what they look at; with a defect only those that it can be planted into."""
    made: dict[str, Exploration] = {}
    if defect is None or defect in BALLOT_DEFECTS:
        for restart in Restart:
            name = f"keeper 2 comes back {restart}" if restart else "no keeper dies"
            made[name] = partial(explore_ballots, defect, restart)
    if defect is None or defect in LEASE_DEFECTS:
        for speeds in CLOCK_SPEEDS:
            name = f"clocks that run {speeds[0]:g} and {speeds[1]:g} times as fast"
            made[name] = partial(explore_leases, defect, speeds)
    if defect is None or defect in GROUP_DEFECTS:
        for first in range(1, INTERLEAVINGS, INTERLEAVINGS_PER_PROCESS):
            seeds = range(first, first + INTERLEAVINGS_PER_PROCESS)
            name = f"drawn orders, five keepers and a group that changes, seeds {seeds[0]} to {seeds[-1]}"
            made[name] = partial(explore_interleavings, defect, seeds)
    return made


def explore_all(defect: PlantedDefect | None = None) -> dict[str, ExplorationResult]:
    """Run the explorations side by side and return their results by what they looked at."""
    with ProcessPoolExecutor() as pool:
        futures = {name: pool.submit(explore) for name, explore in explorations(defect).items()}
        return {name: future.result() for name, future in futures.items()}
