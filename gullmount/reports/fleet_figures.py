"""The figures of a fleet's run that sizes are compared by, and how each is read from the results."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from gullmount.reports.fleet_budgets import (
    MAX_BYTES_PER_SECOND,
    MAX_CORES,
    MAX_RESIDENT_BYTES,
    MAX_SECONDS_UNTIL_IN_FORCE,
)
from gullmount.reports.fleet_format import Unit
from gullmount.reports.fleet_results import (
    NOT_COUNTED,
    NOT_RUN,
    Mechanism,
    MechanismRun,
    Phase,
    RoleName,
    RoleUsage,
    Usage,
)


class FigureRole(StrEnum):
    """Whose figure it is; the values are the words of the capacity page."""

    PROXY = "umpire"
    RELAY = "relay"
    ORIGIN = "source"
    DISCOVERY = "list service"


FigureReader = Callable[[MechanismRun], float | None]


@dataclass(frozen=True)
class Figure:
    """One figure of a run.

    Attributes:
        read: returns the figure, or None where it was not reached.
        budget: in `unit`.
        charted: whether the chart over the fleets' sizes shows it.
    """

    description: str
    unit: Unit
    read: FigureReader
    budget: float | None = None
    role: FigureRole = FigureRole.PROXY
    charted: bool = False


def _time(phase_of: Callable[[MechanismRun], Phase | None], index: int) -> FigureReader:
    def read(run: MechanismRun) -> float | None:
        phase = phase_of(run)
        return phase.all_times.figures[index] if phase else None

    return read


def _mean_phase(run: MechanismRun) -> Phase | None:
    return run.mean_phase


def _burst_phase(run: MechanismRun) -> Phase | None:
    return run.burst_phase


def _usage(phase: Phase | None, role: RoleName) -> RoleUsage:
    return phase.usage(role) if phase else NOT_RUN


def _hollow(run: MechanismRun) -> RoleUsage:
    """Return the usage of the hollow clients that hold most, at the mean rate."""
    phase = run.mean_phase
    if phase is None:
        return NOT_RUN
    return phase.roles.get(RoleName.HOLLOW_PROXY) or phase.usage(RoleName.HOLLOW_SUBSCRIBER)


def _origin(run: MechanismRun) -> RoleUsage:
    """Return the usage of the process that all endpoints come from, in the burst."""
    by_relays = run.mechanism is Mechanism.RELAYS
    return _usage(run.burst_phase, RoleName.ORIGIN if by_relays else RoleName.DISCOVERY)


def _relay(run: MechanismRun) -> RoleUsage:
    return _usage(run.burst_phase, RoleName.RELAY)


def _bytes_a_second(usage: RoleUsage) -> float | None:
    return (usage.bytes_a_second or NOT_COUNTED).mean


def _highest_second(run: MechanismRun, read: Callable[[RoleUsage], Usage | None]) -> float | None:
    """Return the highest second of one proxy over all phases."""
    found: Iterator[Usage | None] = (
        read(phase.usage(role))
        for phase in run.phases
        for role in (RoleName.HOLLOW_PROXY, RoleName.HOLLOW_SUBSCRIBER)
    )
    highest = [usage.highest for usage in found if usage is not None and usage.highest is not None]
    return max(highest, default=None)


def _last_start(run: MechanismRun) -> float | None:
    start = run.start
    return start.times.last if start.synced == start.proxies else None


def _last_reconnect(run: MechanismRun) -> float | None:
    last = [death.reconnect_times.last for death in run.deaths]
    return max((seconds for seconds in last if seconds is not None), default=None)


# The descriptions are words of stored files and pages. Usage is that of the phase with the mean rate but
# where "ten times" is said.
FIGURES = (
    Figure("in force, median, mean rate", Unit.SECONDS, _time(_mean_phase, 0)),
    Figure("in force, 99th, mean rate", Unit.SECONDS, _time(_mean_phase, 1)),
    Figure(
        "in force, last umpire, mean rate", Unit.SECONDS, _time(_mean_phase, 2),
        MAX_SECONDS_UNTIL_IN_FORCE, charted=True,
    ),
    Figure("in force, median, ten times", Unit.SECONDS, _time(_burst_phase, 0)),
    Figure("in force, 99th, ten times", Unit.SECONDS, _time(_burst_phase, 1)),
    Figure(
        "in force, last umpire, ten times", Unit.SECONDS, _time(_burst_phase, 2),
        MAX_SECONDS_UNTIL_IN_FORCE, charted=True,
    ),
    Figure(
        "an umpire's bytes a second", Unit.BYTES, lambda run: _bytes_a_second(_hollow(run)),
        MAX_BYTES_PER_SECOND,
    ),
    Figure(
        "an umpire's bytes in the highest second after the start", Unit.BYTES,
        lambda run: _highest_second(run, lambda usage: usage.bytes_in_a_second),
        MAX_BYTES_PER_SECOND, charted=True,
    ),
    Figure(
        "that second where its process kept time", Unit.BYTES,
        lambda run: _highest_second(run, lambda usage: usage.bytes_in_a_punctual_second),
        MAX_BYTES_PER_SECOND,
    ),
    Figure("an umpire's cores", Unit.CORES, lambda run: _hollow(run).cores.mean, MAX_CORES),
    Figure(
        "an umpire's memory beside interpreter and modules", Unit.BYTES,
        lambda run: _hollow(run).resident.highest,
    ),
    Figure(
        "a real umpire's memory, all of it", Unit.BYTES,
        lambda run: _usage(run.mean_phase, RoleName.REAL_PROXY).resident.highest, MAX_RESIDENT_BYTES,
    ),
    Figure(
        "a relay's cores, ten times", Unit.CORES, lambda run: _relay(run).cores.mean,
        role=FigureRole.RELAY, charted=True,
    ),
    Figure(
        "a relay's bytes a second, ten times", Unit.BYTES, lambda run: _bytes_a_second(_relay(run)),
        role=FigureRole.RELAY,
    ),
    Figure(
        "a relay's memory", Unit.BYTES, lambda run: _relay(run).resident.highest, role=FigureRole.RELAY
    ),
    Figure(
        "the source's cores, ten times", Unit.CORES, lambda run: _origin(run).cores.mean,
        role=FigureRole.ORIGIN, charted=True,
    ),
    Figure(
        "the source's bytes a second, ten times", Unit.BYTES, lambda run: _bytes_a_second(_origin(run)),
        role=FigureRole.ORIGIN,
    ),
    Figure(
        "the source's memory", Unit.BYTES, lambda run: _origin(run).resident.highest,
        role=FigureRole.ORIGIN,
    ),
    Figure("cold start, last umpire", Unit.SECONDS, _last_start, charted=True),
    Figure("cold start, bytes an umpire", Unit.BYTES, lambda run: run.start.bytes_per_proxy),
    Figure("relay's death, last follower at another", Unit.SECONDS, _last_reconnect),
)  # fmt: skip
