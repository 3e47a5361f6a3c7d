"""Which versions one client applied and when, and whether it has reached those that it should."""

from __future__ import annotations

import time
from array import array
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from gullmount.scale.fleet.process_messages import ClientReport

COLUMNS = 4  # of a row: index of the topic in `topics`, epoch, revision, seconds of the monotonic clock
COMPLETE_LIST = "list"  # the one topic where complete lists are delivered


@dataclass
class AppliedVersions:
    """Lives as long as the run; some 32 bytes for each update that the client applied."""

    name: str
    zone: str
    topics: list[str]
    rows: array[float] = field(default_factory=lambda: array("d"))
    not_subscribed: int = 0  # updates of topics that it did not subscribe to
    synced_at: float = 0.0  # seconds of the monotonic clock; 0: never

    def __post_init__(self) -> None:
        self.index = {topic: number for number, topic in enumerate(self.topics)}
        self.newest: dict[str, tuple[int, int]] = {}  # by topic, the version that was applied last

    def note(self, topic: str, epoch: int, revision: int) -> None:
        """Note that the version is in force from now on."""
        number = self.index.get(topic)
        if number is None:
            self.not_subscribed += 1
            return
        self.newest[topic] = epoch, revision
        self.rows.extend((number, epoch, revision, time.monotonic()))

    def note_synced(self) -> None:
        """Note that the client has received all that it subscribes to, if this is the first time."""
        self.synced_at = self.synced_at or time.monotonic()

    def is_behind(self, expected: Mapping[str, Sequence[int]]) -> bool:
        """Whether a topic's version is older than `expected` has it: versions by topic."""
        return any(
            self.newest.get(topic, (0, 0)) < tuple(expected[topic])
            for topic in self.topics
            if topic in expected
        )

    def report(self, held: dict[str, str]) -> ClientReport:
        """The client's report; `held`: by topic the digest of what it holds."""
        return ClientReport(
            name=self.name,
            zone=self.zone,
            topics=self.topics,
            not_subscribed=self.not_subscribed,
            synced_at=self.synced_at,
            held=held,
            applied_count=len(self.rows) // COLUMNS,
        )
