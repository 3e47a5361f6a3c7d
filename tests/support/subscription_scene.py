"""An origin's subscriptions with subscribers that receive and report by encoded messages."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from hypothesis import strategies as st

from gullmount.distribution import (
    decoding,
    encoding,
)
from gullmount.distribution.acknowledgements import Acknowledgements
from gullmount.distribution.subscriptions import DISCONNECT_GRACE_SECONDS, Subscriptions
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.topic_update import TopicUpdate
from gullmount.distribution.update_receiver import UpdateReceiver
from gullmount.distribution.versions import Version

# The time of the wall clock, in seconds.
WALL = 1e6

# The epoch of the origin, in milliseconds: 1e5 s before WALL.
EPOCH = 900_000_000

PAY = "boxes/pay"
CONFIG = "config/pay"


def topic_update(topic: str, version: Version, entries: dict[str, Any], **fields: Any) -> TopicUpdate:
    raw_entries = {key: msgspec.Raw(msgspec.json.encode(value)) for key, value in entries.items()}
    return TopicUpdate(topic, version, raw_entries, **fields)


def entries_of(topics: TopicStore, name: str) -> dict[str, Any]:
    return {key: msgspec.json.decode(value) for key, value in topics.logs[name].snapshot().items()}


def update_line(topics: list[dict[str, Any]], as_of: Version, **fields: Any) -> bytes:
    return json.dumps({"v": 1, "kind": "told", "as_of": as_of, "topics": topics, **fields}).encode()


def update_over_wire(
    origin: TopicStore, subscriber: TopicStore, name: str = PAY, history: bool = False
) -> TopicUpdate:
    """Encodes and decodes the origin's update for the version that the subscriber holds."""
    raw = origin.encoded_update(name, subscriber.version(name), history)
    return decoding.parse_topic_update(msgspec.Raw(raw), origin.as_of, WALL)


# The changes of one commit: keys with their new values, None for a removed key.
steps = st.lists(
    st.tuples(st.sampled_from("abcdef"), st.one_of(st.none(), st.integers(0, 3))), min_size=1, max_size=4
)


# Updates that are malformed in a line as of revision 3 of EPOCH.
MALFORMED_TOPICS: list[dict[str, Any]] = [
    # The version is newer than the sender's own, which is revision 3.
    {"topic": PAY, "version": [EPOCH, 4], "whole": True, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 2**60], "whole": True, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH + 1, 1], "whole": True, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "from": 4, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "from": -1, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "whole": True, "from": 1, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "whole": True, "from_epoch": EPOCH, "from": 1, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "from_epoch": EPOCH, "from": 3, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "from_epoch": EPOCH + 1, "from": 1, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "from_epoch": EPOCH - 1, "from": -1, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "from_epoch": -1, "from": 1, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "whole": True, "entries": {"": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "whole": True, "entries": {"b" * 301: 1}},
    {"topic": PAY, "version": [EPOCH, 3], "whole": True, "entries": []},
    {"topic": PAY, "version": "3", "whole": True, "entries": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "entries": {"b": 1}, "changed": {"b": 1}},
    {"topic": PAY, "version": [EPOCH, 3], "whole": True, "entries": {"b": 1}, "changed": {}},
    {"topic": PAY, "version": [EPOCH, 3], "whole": True, "entries": {"b": 1}, "changed": {"b": 4}},
    {"topic": PAY, "version": [EPOCH, 3], "whole": True, "entries": {}, "changed": {}, "floor": 4},
]


class Scene:
    """An origin's subscriptions, with subscribers that receive and report by messages."""

    def __init__(self, services: int = 1, grace: float = DISCONNECT_GRACE_SECONDS) -> None:
        self.topics = TopicStore(epoch=EPOCH)
        self.subscriptions = Subscriptions(self.topics, grace_seconds=grace)
        self.receivers: dict[str, UpdateReceiver] = {}
        self.acknowledgements: dict[str, Acknowledgements] = {}
        self.sessions: dict[str, int] = {}
        self.names = [f"{kind}/{n}" for n in range(services) for kind in ("config", "boxes")]
        self.change(*((name, "k", 0) for name in self.names))

    def change(self, *changes: tuple[str, str, Any]) -> Version:
        version, names = self.topics.commit(changes)
        for name in names:
            self.subscriptions.topics_changed(name)
        return version

    def join(self, name: str, zone: str = "a", topics: list[str] | None = None, now: float = 0.0) -> None:
        if name not in self.receivers:
            self.receivers[name] = UpdateReceiver(TopicStore(self.names if topics is None else topics))
            self.acknowledgements[name] = Acknowledgements(name, zone)
        request = self.acknowledgements[name].subscribe_request(self.receivers[name].store)
        request = decoding.parse_subscribe_request(encoding.encode(request), WALL)
        self.sessions[name] = self.subscriptions.subscribe(
            name, request.zone, request.held, now,
            in_force=request.in_force, rejections=request.rejections, as_of=request.as_of,
        )  # fmt: skip

    def batch(self, name: str, max_bytes: int = 10**6) -> list[str]:
        """Delivers the subscriber's next batch as applied, and returns its topics in their order."""
        batch = self.subscriptions.next_batch(name, self.sessions[name], max_bytes)
        if batch is None:
            return []
        result = self.receivers[name].receive(batch.line, WALL)
        for update in result.updates:
            self.acknowledgements[name].record_applied(update.topic, update.version)
        return [sent_topic["topic"] for sent_topic in json.loads(batch.line)["topics"]]

    def report(self, name: str) -> None:
        """Sends the subscriber's reports until all its topics are confirmed."""
        while (pending_report := self.acknowledgements[name].next_report()) is not None:
            pending_report = decoding.parse_acknowledgement(encoding.encode(pending_report), WALL)
            assert self.subscriptions.acknowledge(name, pending_report.in_force, pending_report.rejections)
            self.acknowledgements[name].confirm(pending_report)

    def settle(self, *names: str) -> None:
        """Delivers all batches of these subscribers and sends their reports."""
        for name in names:
            while self.batch(name):
                pass
            self.report(name)
