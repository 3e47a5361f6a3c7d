"""A subscriber that puts in force what it receives: endpoints and configuration of the services it fronts."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

import anyio
import msgspec

from gullmount.distribution.errors import UnusableUpdateError
from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.messages import ENDPOINTS_KIND, TOPIC_KINDS
from gullmount.distribution.relay_selection import RelayEndpoint
from gullmount.distribution.subscription_client import Log, SubscriptionClient, no_log
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.topic_update import TopicUpdate
from gullmount.distribution.update_receiver import AppliedUpdate, LineResult
from gullmount.distribution.versions import NO_VERSION, Version
from gullmount.net import StreamNet


class UpdateHandler(Protocol):
    """Puts in force what a subscriber receives. The order of calls is that of versions."""

    def apply_endpoints(self, service: str, is_snapshot: bool, entries: Mapping[str, Any | None]) -> None:
        """Endpoints by address: all there are, or changes with None for one that was removed."""

    def apply_configuration(self, service: str, entries: Mapping[str, Any | None]) -> None:
        """All entries of a configuration; a change may have left them as they were.

        Raises UnusableUpdateError: what was in force before stays.
        """


@dataclass(frozen=True)
class RememberedTopic:
    """A topic that an earlier process had in force."""

    version: Version
    entries: Mapping[str, Any]


class Subscriber(SubscriptionClient):
    """A proxy's subscription. `run` it in a task; any number share a process."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        relays: Sequence[RelayEndpoint],
        services: Sequence[str],
        network: StreamNet,
        random: Random,
        handler: UpdateHandler,
        log: Log = no_log,
        clock: Callable[[], float] = anyio.current_time,
        wall: Callable[[], float] = time.time,
        remembered: Mapping[str, RememberedTopic] | None = None,
    ) -> None:
        """Subscribe to all topics of `services`; `remembered` by topic is in force already."""
        super().__init__(
            name=name,
            zone=zone,
            relays=relays,
            store=TopicStore(f"{kind}/{service}" for service in services for kind in TOPIC_KINDS),
            network=network,
            random=random,
            log=log,
            clock=clock,
            wall=wall,
        )
        self.handler = handler
        self.synced = anyio.Event()  # all topics were received once
        self.restore(remembered or {})

    def restore(self, remembered: Mapping[str, RememberedTopic]) -> None:
        """Hold what is in force from an earlier process; the first request says so."""
        for topic, known in remembered.items():
            entries = {key: msgspec.Raw(msgspec.json.encode(value)) for key, value in known.entries.items()}
            update = TopicUpdate(topic, known.version, entries, is_snapshot=True)
            self.store.apply(update, known.version)
            if self.store.version(topic) == known.version:
                self.acknowledgements.record_applied(topic, known.version)
        self.acknowledgements.unconfirmed.clear()

    def on_updates(self, result: LineResult) -> None:
        """Put the updates in force."""
        for update in result.updates:
            self.put_in_force(update)
        if result.updates:
            self.report_due.set()
        self.note_if_synced()

    def put_in_force(self, update: AppliedUpdate) -> None:
        """Hand an update to the handler; one that it can't use is reported as rejected."""
        kind, _, service = update.topic.partition("/")
        try:
            if kind == ENDPOINTS_KIND:
                self.handler.apply_endpoints(service, update.is_snapshot, update.entries)
            else:
                self.handler.apply_configuration(service, self.entries_of(update.topic))
        except UnusableUpdateError as error:
            self.acknowledgements.record_rejected(update.topic, update.version, error.reason)
            self.log(
                LogEvent.CONFIGURATION_UNUSABLE,
                service=service,
                revision=update.version,
                reason=error.reason,
            )
        else:
            self.acknowledgements.record_applied(update.topic, update.version)

    def entries_of(self, topic: str) -> dict[str, Any]:
        """All entries of a topic.

        An origin's new epoch brings changes without any entry: taken for everything, these would end a
        configuration.
        """
        snapshot = self.store.logs[topic].snapshot()
        return {key: msgspec.json.decode(raw) for key, raw in snapshot.items()}

    def note_if_synced(self) -> None:
        """Set `synced` once all topics were received."""
        if not self.synced.is_set() and self.store.as_of != NO_VERSION and not self.store.never_received():
            self.synced.set()
