"""What a run and its own processes write to each other: files, commands, replies, counter samples, reports.

A run writes each process a file, then commands on its standard input; processes write JSON lines on their
standard output, and files of what they saw. Field names differ from keys where a key has another word.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from gullmount.scale.fleet.config import Delivery, FleetConfig
from gullmount.scale.fleet.counting_network import ByteCounts, ConnectionTimes
from gullmount.scale.fleet.drawn_fleet import DrawnFleet

CHANGES_FILE = "changes.jsonl"  # the changes made, a `MadeChange` a line
EXPECTED_FILE = "expected.json"  # by topic, the version that all clients must reach
ACKNOWLEDGEMENTS_FILE = "acks.json"  # what discovery noted of the callers that it tells apart

SAMPLE_INTERVAL_SECONDS = 1.0  # between samples of counters, of usage and of sockets

Number = int | float  # bytes are whole where they were counted, not where they were interpolated


class Command(StrEnum):
    """A line of a process's standard input."""

    LOAD = "load"  # write the state before the first change
    GO = "go"  # begin
    EXPECT = "expect"  # read which versions all clients must reach
    REPORT = "report"  # write what was seen
    QUIT = "quit"


class Reply(StrEnum):
    """A key of a process's lines that the run waits for."""

    READY = "ready"
    LOADED = "loaded"  # the version after the state before the first change
    BEGAN = "began"  # when the first phase started, in seconds of the monotonic clock
    DONE = "done"
    REPORTED = "reported"
    FAILED = "failed"  # why
    PROXIES = "umpires"  # how many a hollow process plays
    LIST_BYTES = "bytes_of_list"  # size of the complete list as one response


class RelayLocation(NamedTuple):
    """A relay's address and zone."""

    address: str
    zone: str


class ProcessFile(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What every process of the package is told of the run."""

    fleet: dict[str, Any] = msgspec.field(name="terms")
    seed: int
    delivery: Delivery = msgspec.field(name="way")
    folder: str  # of what the run writes

    def fleet_config(self) -> FleetConfig:
        """The fleet's file, decoded."""
        return FleetConfig.model_validate(self.fleet)

    def drawn_fleet(self) -> DrawnFleet:
        """The fleet, drawn anew."""
        return DrawnFleet(self.fleet_config(), self.seed)


class ChangeWriterFile(ProcessFile, kw_only=True):
    """Of the process that makes the scheduled changes; `origin` is the address that it makes them at."""

    origin: str = msgspec.field(name="source")


class HollowProcessFile(ProcessFile, kw_only=True):
    """Of one process of hollow clients: which part of the fleet, and the addresses that they connect to."""

    part: int
    relays: list[RelayLocation] = []
    release_controller: str = msgspec.field(name="launcher", default="")
    discovery: str = ""
    control: str = ""  # the platform's control service
    own_discovery: dict[str, str] = msgspec.field(name="labelled", default_factory=dict)
    """By name of a proxy that discovery counts by itself, the address it does so at."""


class DiscoveryFile(ProcessFile, kw_only=True):
    """Of the emulator of discovery. `counted_hosts` are those of `hosts` whose callers are told apart."""

    port: int
    hosts: list[str]
    counted_hosts: list[str] = msgspec.field(name="labelled")


class ReleaseStatusFile(ProcessFile, kw_only=True):
    """Of the emulator of what tells release status, in the protocol that the fleet's proxies speak."""

    host: str
    port: int


class CounterSample(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What a process counted so far, at one time. Fields have their default where it doesn't count them."""

    at: float = msgspec.field(name="t")  # seconds of the monotonic clock
    bytes_in: Number
    bytes_out: Number

    # Of hollow processes
    highest_rate: float = msgspec.field(name="most", default=0.0)  # bytes a second of one client, since last
    highest_rate_client: str = msgspec.field(name="most_at", default="")
    lateness: float = msgspec.field(name="late", default=0.0)  # s: the process was busy or kept from running
    synced: int = 0  # clients that received all they subscribe to
    behind: int | None = None  # clients that have not reached the expected versions; None: none expected yet
    problems: dict[str, int] = msgspec.field(name="troubles", default_factory=dict)  # logged by clients
    by_address: dict[str, ByteCounts] = {}
    snapshots: int = 0
    moves: int = 0  # of clients to another relay

    # Of discovery
    calls: int = 0
    connections: int = 0
    by_host: dict[str, ByteCounts] = msgspec.field(name="by_label", default_factory=dict)

    @property
    def bytes_moved(self) -> Number:
        """Bytes in and out."""
        return self.bytes_in + self.bytes_out


class ClientReport(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What one client saw in the run; its applied versions are in a file of their own."""

    name: str
    zone: str
    topics: list[str]
    not_subscribed: int = msgspec.field(name="unasked")  # updates of topics that it did not subscribe to
    synced_at: float  # seconds of the monotonic clock; 0: never
    held: dict[str, str]  # by topic, the digest of what it holds
    applied_count: int = msgspec.field(name="applied")
    connections: list[ConnectionTimes] = msgspec.field(name="marks", default_factory=list)
    process: str = ""  # where it ran


class MadeChange(msgspec.Struct, kw_only=True):
    """A change as it was made; a line of `CHANGES_FILE`. Times are seconds of the monotonic clock."""

    index: int = msgspec.field(name="change")  # in the drawn schedule
    topic: str
    key: str
    sent_at: float = msgspec.field(name="sent")
    answered_at: float = msgspec.field(name="answered")
    version: tuple[int, int] | None  # epoch and revision; None: this delivery carries no such change


class Acknowledgement(NamedTuple):
    """A call of discovery from a host that is told apart: the revision that its caller holds."""

    host: str
    revision: int
    at: float  # seconds of the monotonic clock


class DiscoveryReport(msgspec.Struct, kw_only=True):
    """What discovery saw in the run; the content of `ACKNOWLEDGEMENTS_FILE`."""

    revision: int
    acknowledgements: list[Acknowledgement] = msgspec.field(name="acks")
