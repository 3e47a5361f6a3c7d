"""A script of faults as its YAML file holds it: a scenario, the replicas beside it, and the faults.

Fields have the field's terms, their aliases are the keys of the file and of stored records. Times in seconds.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Annotated, Literal, Self

from pydantic import Field, NonNegativeFloat, PositiveFloat, model_validator

from gullmount.errors import GullmountError
from gullmount.scenarios.config import ScenarioConfig
from gullmount.yamlfile import YamlModel

# What a fault may name: one proxy, one replica, or a word for several or for a service.
TARGET = re.compile(r"(umpire|keeper) (\d+)|(umpires|keepers|owner|receiver|roster|launcher|boxes)")
ONE_REPLICA = re.compile(r"keeper \d+")
PROXIES = re.compile(r"umpires?( \d+)?|owner")

LEADER_WORK = "judge"  # the leased work whose holder is the leader
MAX_FAULTS = 1000
MAX_DRAWN_FAULTS = 100
MAX_PROBES = 50

Direction = Literal["both", "out", "in"]


class FaultKind(StrEnum):
    """What happens, by the name that files and records have for it; `FaultConfig` says what each does."""

    KILL = "kill"
    TERMINATE = "term"
    PAUSE = "stop"
    BLANK_DISK = "blank"
    OLDER_DISK = "older"
    TORN_DISK = "torn"
    FULL_DISK = "full"
    STEP_WALL_CLOCK = "wall"
    CLOCK_SPEED = "speed"
    CUT_LINK = "cut"
    SLOW_LINK = "slow"
    RESET_CONNECTIONS = "reset"
    LOSE_DATAGRAMS = "lose"
    DUPLICATE_DATAGRAMS = "double"
    REORDER_DATAGRAMS = "reorder"
    JOIN_GROUP = "join"
    LEAVE_GROUP = "leave"


LINK_FAULTS = (
    FaultKind.CUT_LINK,
    FaultKind.SLOW_LINK,
    FaultKind.RESET_CONNECTIONS,
    FaultKind.LOSE_DATAGRAMS,
    FaultKind.DUPLICATE_DATAGRAMS,
    FaultKind.REORDER_DATAGRAMS,
)
DATAGRAM_FAULTS = (
    FaultKind.LOSE_DATAGRAMS,
    FaultKind.DUPLICATE_DATAGRAMS,
    FaultKind.REORDER_DATAGRAMS,
)
DISK_FAULTS = (FaultKind.BLANK_DISK, FaultKind.OLDER_DISK, FaultKind.TORN_DISK)  # cost a replica its state
CLOCK_FAULTS = (FaultKind.STEP_WALL_CLOCK, FaultKind.CLOCK_SPEED)
GROUP_FAULTS = (FaultKind.JOIN_GROUP, FaultKind.LEAVE_GROUP)
SERVICES = ("receiver", "roster", "launcher", "boxes")  # emulated: no processes of the program
UNKILLABLE_SERVICES = ("roster", "boxes")


class HarnessConfigError(GullmountError, ValueError):
    """Base of what is wrong with a script; its author is at fault."""


class UnknownTargetError(HarnessConfigError):
    """A key of a fault names something that no script has."""

    def __init__(self, key: str) -> None:
        super().__init__(
            f"{key}: expected umpire N, keeper N, umpires, keepers, owner, receiver, roster, launcher"
            " or boxes"
        )


class UnsuitableTargetError(HarnessConfigError):
    """A fault can't happen to what it names."""

    def __init__(self, kind: FaultKind, expected: str) -> None:
        super().__init__(f"{kind}: {expected}")


class NegativeSizeError(HarnessConfigError):
    """The size of a fault is negative."""

    def __init__(self, size: float) -> None:
        super().__init__(f"size is {size}, less than 0")


class LargeShareError(HarnessConfigError):
    """The size of a fault is a share, and more than all."""

    def __init__(self, kind: FaultKind, size: float) -> None:
        super().__init__(f"{kind}: size is {size}, more than a share of 1")


class DrawnCountError(HarnessConfigError):
    """The range of how many faults are drawn is empty."""

    def __init__(self) -> None:
        super().__init__("count: the first is more than the second")


class MissingTargetError(HarnessConfigError):
    """A fault names a proxy or replica that the script doesn't have."""

    def __init__(self, index: int, name: str) -> None:
        super().__init__(f"faults.{index}: there is no {name}")


class ReplicasConfig(YamlModel):
    """How many replicas there are.

    Attributes:
        count: from the start.
        spares: more that a fault `join` starts.
    """

    count: Literal[3, 4, 5] = 3
    spares: Annotated[int, Field(ge=0, le=4, alias="spare")] = 0


class LeaseTimesConfig(YamlModel):
    """The times of leases, as in a proxy instance's file.

    Attributes:
        term: for how long a lease lasts without a renewal.
        margin: by how much a holder stops earlier.
        answer_timeout: for one call of a replica.
        announcement_interval: between the leader's announcements.
    """

    term: PositiveFloat = 2.0
    margin: PositiveFloat = 0.3
    answer_timeout: Annotated[PositiveFloat, Field(alias="answer_within")] = 0.6
    announcement_interval: Annotated[PositiveFloat, Field(alias="announce_every")] = 0.2


def split_names(text: str) -> list[str]:
    """Return the names in a list such as `umpire 2, keepers`."""
    return [name.strip() for name in text.split(",") if name.strip()]


class FaultConfig(YamlModel):
    """One fault.

    kill, term, stop: the process is killed, stopped gracefully, or paused, and comes back after `duration`
    (receiver and launcher can only be killed). blank: as kill, and its disk is lost. older: as kill, with its
    disk as it was `size` seconds before. torn: as kill, and the part of its disk after `size` of it is not
    what was written. full: for `duration` nothing can be written. wall: its wall clock is `size` seconds
    ahead for `duration`. speed: the clock that it counts its terms by runs `size` times as fast.

    join: a spare replica starts and joins the group, in place of the replica that `peers` names, if any,
    which is stopped then. leave: a replica leaves the group, and is stopped then.

    cut, slow: its links to `peers` pass nothing, or delay by `size` seconds, for `duration`. reset: the
    connections to `peers` are reset. lose, double, reorder: what share of the datagrams between proxies.

    Attributes:
        at: when it begins, in seconds after the deployment serves (the event `serving` of the record): all
            proxies listen, which they do once lists are in force, and the lease is held.
        kind: what happens.
        targets: whom it happens to: `umpire 2`, `keeper 1`, `umpires`, `keepers`, `owner` (whoever leads
            then), `receiver`, whom leaders announce themselves to, or `launcher`; several after commas.
        peers: of links, the other ends, also `roster` and `boxes`; all if empty.
        direction: of links: what the target sends, what it receives, or both.
        duration: until it is over.
        size: how hard it is, in the unit of the kind.
    """

    at: NonNegativeFloat
    kind: Annotated[FaultKind, Field(alias="do")]
    targets: Annotated[str, Field(alias="who")]
    peers: Annotated[str, Field(alias="where")] = ""
    direction: Annotated[Direction, Field(alias="way")] = "both"
    duration: Annotated[NonNegativeFloat, Field(alias="length")] = 2.0
    size: float = 1.0

    @model_validator(mode="after")
    def _validate(self) -> Self:
        names = split_names(self.targets)
        if not self.targets or not all(map(TARGET.fullmatch, names)):
            raise UnknownTargetError("who")
        if not all(map(TARGET.fullmatch, split_names(self.peers))):
            raise UnknownTargetError("where")
        if self.kind in GROUP_FAULTS and not ONE_REPLICA.fullmatch(self.targets):
            raise UnsuitableTargetError(self.kind, "who: expected keeper N")
        if self.kind in DISK_FAULTS and not all(map(ONE_REPLICA.fullmatch, names)):
            raise UnsuitableTargetError(self.kind, "only a keeper's disk can be told apart")
        if self.kind in CLOCK_FAULTS and not all(map(PROXIES.fullmatch, names)):
            raise UnsuitableTargetError(self.kind, "only an umpire's clocks can be set")
        if self.kind not in LINK_FAULTS:
            for service in SERVICES:
                if service in names and (self.kind != FaultKind.KILL or service in UNKILLABLE_SERVICES):
                    raise UnsuitableTargetError(self.kind, f"{service} is no process of the program")
        if self.size < 0 and self.kind != FaultKind.STEP_WALL_CLOCK:
            raise NegativeSizeError(self.size)
        if self.kind in DATAGRAM_FAULTS and self.size > 1:
            raise LargeShareError(self.kind, self.size)
        return self


class DrawnFaultsConfig(YamlModel):
    """Faults that the seed draws, besides those of the file.

    Attributes:
        count: range of how many.
        kinds: to draw from.
        durations: range.
        sizes: range.
    """

    count: tuple[Annotated[int, Field(ge=0)], Annotated[int, Field(le=MAX_DRAWN_FAULTS)]]
    kinds: Annotated[list[FaultKind], Field(min_length=1)]
    durations: Annotated[tuple[NonNegativeFloat, NonNegativeFloat], Field(alias="lengths")] = (0.2, 6.0)
    sizes: tuple[NonNegativeFloat, NonNegativeFloat] = (0.05, 2.0)

    @model_validator(mode="after")
    def _validate(self) -> Self:
        if self.count[0] > self.count[1]:
            raise DrawnCountError
        return self


class HarnessConfig(ScenarioConfig):
    """A script.

    Attributes:
        replicas: beside the scenario's proxies.
        leases: their times.
        faults: of the script.
        drawn_faults: besides these, by the seed.
        probes: clients that read and change a register all the time.
        probe_interval: between the operations of one, on average.
    """

    replicas: Annotated[ReplicasConfig, Field(alias="keepers")] = ReplicasConfig()
    leases: Annotated[LeaseTimesConfig, Field(alias="ownership")] = LeaseTimesConfig()
    faults: Annotated[list[FaultConfig], Field(max_length=MAX_FAULTS)] = []
    drawn_faults: Annotated[DrawnFaultsConfig | None, Field(alias="drawn")] = None
    probes: Annotated[int, Field(ge=0, le=MAX_PROBES, alias="probers")] = 0
    probe_interval: Annotated[PositiveFloat, Field(alias="probe_every")] = 0.1

    @model_validator(mode="after")
    def _validate_targets(self) -> Self:
        for index, fault in enumerate(self.faults):
            for name in split_names(fault.targets) + split_names(fault.peers):
                if not self._has_target(name):
                    raise MissingTargetError(index, name)
        return self

    def _has_target(self, name: str) -> bool:
        match = TARGET.fullmatch(name)
        if match is None or not match[1]:
            return True
        number = int(match[2])
        if match[1] == "umpire":
            return number < self.umpires.count
        return 1 <= number <= self.replicas.count + self.replicas.spares
