"""The results of a fleet's run as its reports read them: `results.json`, or a summary of it.

The keys of the file keep the words of the users' pages; here they are turned into the field's terms. Fields
that no report reads are left out.
"""

from __future__ import annotations

import json
from enum import StrEnum
from typing import Any

import msgspec

from gullmount.errors import GullmountError

JsonObject = dict[str, Any]
Number = int | float  # as it stands in the file, so that it is stored again alike


class InvalidResultsError(GullmountError):
    """A file does not hold the results of a run; the text names the field."""


class Mechanism(StrEnum):
    """How changes reach the proxies; the values are the words of the results."""

    COMPLETE_LISTS = "whole"
    RELAYS = "relays"


class RoleName(StrEnum):
    """Whose usage results tell; the values are the words of the results."""

    HOLLOW_PROXY = "hollow umpire"
    HOLLOW_SUBSCRIBER = "hollow follower"
    REAL_PROXY = "real"
    RELAY = "relay"
    ORIGIN = "source"
    DISCOVERY = "lists"


class TimeDistribution(msgspec.Struct, frozen=True):
    """Seconds; None of nothing."""

    count: int
    median: Number | None = None
    p99: Number | None = None
    last: Number | None = None

    @property
    def figures(self) -> tuple[Number | None, Number | None, Number | None]:
        """Return median, 99th percentile and maximum."""
        return self.median, self.p99, self.last


class Usage(msgspec.Struct, frozen=True):
    """Of one resource over a time: of one process or proxy, per second."""

    mean: Number | None = None
    highest: Number | None = None


NOT_COUNTED = Usage()


class RoleUsage(msgspec.Struct, frozen=True):
    """What one process or proxy of a role used.

    Attributes:
        resident: bytes of memory.
        bytes_in_a_second: in single seconds of single proxies.
        bytes_in_a_punctual_second: likewise where the hollow process kept time.
    """

    cores: Usage = NOT_COUNTED
    resident: Usage = NOT_COUNTED
    bytes_a_second: Usage | None = None
    bytes_in_a_second: Usage | None = msgspec.field(default=None, name="bytes_of_one_umpire_in_a_second")
    bytes_in_a_punctual_second: Usage | None = msgspec.field(
        default=None, name="the_same_where_its_process_kept_time"
    )


NOT_RUN = RoleUsage()


class ColdStart(msgspec.Struct, frozen=True):
    """The cold start of all: how many proxies got all they need, when, and what it took."""

    proxies: int = msgspec.field(name="umpires")
    synced: int
    times: TimeDistribution
    total_bytes: Number = msgspec.field(name="bytes")
    bytes_per_proxy: Number = msgspec.field(name="bytes_an_umpire")
    roles: dict[str, RoleUsage]


class Phase(msgspec.Struct, frozen=True):
    """A time with a rate of changes.

    Attributes:
        change_counts: by kind of change.
        all_times: from a change until a proxy has it in force, over all pairs of them.
        endpoint_times: likewise for endpoints.
        configuration_times: likewise for configuration.
    """

    name: str = msgspec.field(name="phase")
    change_counts: dict[str, int] = msgspec.field(name="changes")
    all_times: TimeDistribution = msgspec.field(name="all")
    endpoint_times: TimeDistribution = msgspec.field(name="boxes")
    configuration_times: TimeDistribution = msgspec.field(name="config")
    roles: dict[str, RoleUsage]

    def usage(self, role: RoleName) -> RoleUsage:
        """Return a role's usage, or an empty one if it did not run."""
        return self.roles.get(role, NOT_RUN)


class RelayDeath(msgspec.Struct, frozen=True):
    """What the end of a relay's process cost its subscribers."""

    relay: int
    subscribers: int = msgspec.field(name="followers")
    reconnect_times: TimeDistribution = msgspec.field(name="until_heard_at_another")
    total_bytes: Number = msgspec.field(name="bytes")


class ChangeCost(msgspec.Struct, frozen=True):
    """What one change more costs all processes of a role, and a subscriber without changes."""

    processor_seconds: Number = msgspec.field(name="cpu_s_a_change_more")
    total_bytes: Number = msgspec.field(name="bytes_a_change_more")
    idle_bytes_per_subscriber_second: Number = msgspec.field(name="bytes_a_follower_and_second_without")


class HollowAndReal(msgspec.Struct, frozen=True):
    """One figure of hollow clients and of real proxies.

    Attributes:
        differs: by more than a fifth of the real figure; None where one of them is missing.
    """

    hollow: Number | None
    real: Number | None
    differs: bool | None = msgspec.field(default=None, name="apart")


class Check(msgspec.Struct, frozen=True):
    """One rule that the run's record was checked by; `omitted` breaches are not listed."""

    name: str
    held: bool
    checked: int = msgspec.field(name="on")
    breaches: list[str] = msgspec.field(name="faults")
    omitted: int = msgspec.field(name="more")


class MechanismRun(msgspec.Struct, frozen=True):
    """What the fleet showed by one mechanism.

    Attributes:
        phases: the first is the mean rate's, the second that of ten times as many changes.
        comparison: of hollow clients with real proxies, by the figure's name; `real` is the number of these.
        seconds: figures by second; empty in a summary.
    """

    mechanism: Mechanism = msgspec.field(name="way")
    start: ColdStart
    phases: list[Phase]
    deaths: list[RelayDeath]
    comparison: dict[str, HollowAndReal | Number] = msgspec.field(name="hollow_and_real")
    logged_faults: dict[str, int] = msgspec.field(name="troubles")
    checks: list[Check]
    change_costs: dict[str, ChangeCost] = msgspec.field(default_factory=dict, name="slopes")
    seconds: list[dict[str, Number | None]] = msgspec.field(default_factory=list)

    @property
    def mean_phase(self) -> Phase | None:
        """Return the phase with the mean rate of changes, if it was reached."""
        return self.phases[0] if self.phases else None

    @property
    def burst_phase(self) -> Phase | None:
        """Return the phase with ten times as many changes, if it was reached."""
        return self.phases[1] if len(self.phases) > 1 else None

    @property
    def checks_held(self) -> bool:
        """Return whether all checks held."""
        return all(check.held for check in self.checks)

    def compare(self, figure: str) -> HollowAndReal | None:
        """Return a figure of hollow clients and real proxies, if it was compared."""
        found = self.comparison.get(figure)
        return found if isinstance(found, HollowAndReal) else None


class Fleet(msgspec.Struct, frozen=True):
    """The fleet that was run."""

    name: str
    proxies: int = msgspec.field(name="umpires")


class FleetResults(msgspec.Struct, frozen=True):
    """A fleet's run, by each of its mechanisms."""

    fleet: Fleet
    runs: list[MechanismRun]

    @property
    def checks_held(self) -> bool:
        """Return whether all checks held by all mechanisms."""
        return all(run.checks_held for run in self.runs)


def decode_results(results: JsonObject) -> FleetResults:
    """Return the typed form of decoded JSON, or of results that a run has just made.

    Raises:
        InvalidResultsError: if a field is missing or of another type.
    """
    plain = json.loads(json.dumps(results))  # a run's own hold numpy's floats, which msgspec takes for none
    try:
        return msgspec.convert(plain, FleetResults)
    except msgspec.ValidationError as error:
        raise InvalidResultsError(str(error)) from None
