"""All that a run left behind, as checks and figures read it. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

import numpy as np
from numpy.typing import NDArray

from gullmount.scale.fleet.applied_versions import COMPLETE_LIST
from gullmount.scale.fleet.config import Delivery
from gullmount.scale.fleet.process_messages import (
    Acknowledgement,
    ClientReport,
    CounterSample,
    MadeChange,
)

Floats = NDArray[np.float64]  # rows of applied versions: `applied_versions.COLUMNS` each
Figures = dict[str, Any]  # a part of the results, as stored in JSON


class Role(StrEnum):
    """What a process is for; a key of stored results."""

    HOLLOW = "hollow"
    REAL = "real"
    RELAY = "relay"
    ORIGIN = "source"
    DISCOVERY = "lists"
    RELEASE_STATUS = "control"
    CHANGE_WRITER = "changer"


class UsageSample(NamedTuple):
    """What the machine counted of a process, at a time in seconds of the monotonic clock."""

    at: float
    cpu_seconds: float  # since its start
    resident_bytes: int


@dataclass(frozen=True)
class RelayLoss:
    """A relay that was killed, as the fleet's file says; `at` in seconds of the monotonic clock."""

    relay: int
    address: str
    at: float


@dataclass
class RunRecord:
    """One run. Times are seconds of the monotonic clock, 0 for what never happened."""

    delivery: Delivery
    started_at: float = 0.0  # when clients began
    first_phase_at: float = 0.0
    all_synced_at: float = 0.0  # when all hollow clients had received all that they subscribe to
    broken_off: str = ""  # why it was broken off
    changes: list[MadeChange] = field(default_factory=list)
    clients: list[ClientReport] = field(default_factory=list)  # of hollow clients
    applied: list[Floats] = field(default_factory=list)  # by hollow client
    usage: dict[str, dict[str, list[UsageSample]]] = field(default_factory=dict)  # by role and process
    counters: dict[str, dict[str, list[CounterSample]]] = field(default_factory=dict)  # likewise
    clients_per_process: dict[str, int] = field(default_factory=dict)  # of hollow processes
    light_processes: set[str] = field(default_factory=set)  # hollow ones whose clients hold no router
    acknowledgements: list[Acknowledgement] = field(default_factory=list)
    proxy_by_host: dict[str, str] = field(default_factory=dict)  # whom discovery counts by which host
    real_proxies: list[str] = field(default_factory=list)  # names
    real_reports: list[ClientReport] = field(default_factory=list)  # of real proxies that write one
    real_applied: list[Floats] = field(default_factory=list)
    relay_losses: list[RelayLoss] = field(default_factory=list)
    in_force_summary: dict[str, Any] | None = None  # the origin's own, at the end
    exit_codes: dict[str, int] = field(default_factory=dict)  # by process
    left_behind: list[str] = field(default_factory=list)  # processes, sockets and files afterwards
    highest_memory: int = 0  # bytes resident of all processes at once
    list_bytes: int = 0  # of the complete list as one response of discovery
    loaded_version: tuple[int, int] | None = None  # of the state before the first change

    @property
    def proxies(self) -> int:
        """How many proxies were played, hollow and real."""
        return len(self.clients) + len(self.real_proxies)

    @property
    def has_full_clients(self) -> bool:
        """Whether hollow clients with a router were played."""
        return self.light_processes < self.clients_per_process.keys()

    def delivered_changes(self) -> Iterator[tuple[MadeChange, tuple[int, int]]]:
        """Changes that the run's delivery carries, with their versions."""
        for change in self.changes:
            if change.version is not None:
                yield change, change.version

    def subscribed_topic(self, change: MadeChange) -> str:
        """The topic by which clients receive the change."""
        return COMPLETE_LIST if self.delivery is Delivery.COMPLETE_LISTS else change.topic

    def hollow_counters(self) -> list[list[CounterSample]]:
        """The samples of each hollow process."""
        return list(self.counters.get(Role.HOLLOW, {}).values())
