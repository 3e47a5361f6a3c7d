"""A subscriber that puts the endpoints and configuration of its services in force as it receives them."""

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
    """Puts the updates of a subscriber in force. Calls come in the order of versions."""

    def apply_endpoints(self, service: str, is_snapshot: bool, entries: Mapping[str, Any | None]) -> None:
        """Put a service's endpoints in force.

        Args:
            service: The name of the service.
            is_snapshot: Whether `entries` contains all endpoints, or only changes.
            entries: The endpoints by address; None for one that was removed.
        """

    def apply_configuration(self, service: str, entries: Mapping[str, Any | None]) -> None:
        """Put a service's configuration in force.

        Args:
            service: The name of the service.
            entries: All entries of the configuration, which may be the same as before.

        Raises:
            UnusableUpdateError: The configuration is invalid; the previous one stays in force.
        """


@dataclass(frozen=True)
class RememberedTopic:
    """The version and entries of a topic that an earlier process had in force."""

    version: Version
    entries: Mapping[str, Any]


class Subscriber(SubscriptionClient):
    """The subscription of a proxy. Call `run` in a task; a process may have any number of them."""

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
        """Create a subscriber to all topics of `services`.

        Args:
            name: The name of the subscriber.
            zone: The zone of the subscriber.
            relays: The relays to choose from.
            services: The names of the services.
            network: The network on which relays are reached.
            random: The source of random numbers.
            handler: Puts updates in force.
            log: The log function.
            clock: Returns the monotonic time in seconds.
            wall: Returns the wall clock time in seconds.
            remembered: The topics that are in force already, by name.
        """
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
        # Set once every topic was received.
        self.synced = anyio.Event()
        self.restore(remembered or {})

    def restore(self, remembered: Mapping[str, RememberedTopic]) -> None:
        """Store the topics of an earlier process; the first subscribe request reports them as in force."""
        for topic, known in remembered.items():
            entries = {key: msgspec.Raw(msgspec.json.encode(value)) for key, value in known.entries.items()}
            update = TopicUpdate(topic, known.version, entries, is_snapshot=True)
            self.store.apply(update, known.version)
            if self.store.version(topic) == known.version:
                self.acknowledgements.record_applied(topic, known.version)
        self.acknowledgements.unconfirmed.clear()

    def on_updates(self, result: LineResult) -> None:
        """Put the updates of a line in force."""
        for update in result.updates:
            self.put_in_force(update)
        if result.updates:
            self.report_due.set()
        self.note_if_synced()

    def put_in_force(self, update: AppliedUpdate) -> None:
        """Pass an update to the handler; report it as rejected if it is unusable."""
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
        """Return all entries of a topic, decoded from the store.

        The entries of an update do not suffice: a new epoch of the origin sends changes without entries,
        which would remove the configuration if they were taken for all of it.
        """
        snapshot = self.store.logs[topic].snapshot()
        return {key: msgspec.json.decode(raw) for key, raw in snapshot.items()}

    def note_if_synced(self) -> None:
        """Set `synced` once all topics were received."""
        if not self.synced.is_set() and self.store.as_of != NO_VERSION and not self.store.never_received():
            self.synced.set()
