"""Checks over a run's record. No I/O, and none depends on how fast the machine is.

Names and texts are stored in results.
"""

from __future__ import annotations

from typing import Any

import msgspec
import numpy as np

from gullmount.scale.fleet.applied_versions import COMPLETE_LIST
from gullmount.scale.fleet.config import Delivery
from gullmount.scale.fleet.drawn_fleet import DrawnFleet
from gullmount.scale.fleet.propagation import sortable_versions
from gullmount.scale.fleet.run_record import RunRecord

MAX_LISTED_FAULTS = 5  # of a check; the others are counted


class Check(msgspec.Struct):
    """One rule, and where the record breaks it. One that was compared with nothing is not held."""

    name: str
    compared: int = msgspec.field(name="on", default=0)  # things that it was held against
    faults: list[str] = []
    unlisted_faults: int = msgspec.field(name="more", default=0)

    def add_fault(self, text: str) -> None:
        """Add a fault, or count it where enough are listed."""
        if len(self.faults) < MAX_LISTED_FAULTS:
            self.faults.append(text)
        else:
            self.unlisted_faults += 1

    @property
    def held(self) -> bool:
        """Whether the record keeps the rule."""
        return self.compared > 0 and not self.faults

    def as_json(self) -> dict[str, Any]:
        """The check as results store it."""
        return {**msgspec.to_builtins(self), "held": self.held}


def run_checks(record: RunRecord, drawn: DrawnFleet) -> list[Check]:
    """All checks that the run's delivery allows."""
    return [
        check_all_synced(record, drawn),
        check_changes_as_drawn(record, drawn),
        check_nothing_lost(record, drawn),
        check_versions_ascend(record),
        check_nothing_unrequested(record, drawn),
        *([check_summary(record, drawn)] if record.delivery is Delivery.RELAYS else []),
        check_processes_ended(record),
        check_nothing_left(record),
    ]


def check_all_synced(record: RunRecord, drawn: DrawnFleet) -> Check:
    """Each hollow client of the file received all that it subscribes to."""
    check = Check("every umpire heard all it follows", len(record.clients))
    for client in record.clients:
        if not client.synced_at:
            check.add_fault(f"{client.name} never did")
    expected = drawn.config.hollow_clients
    if len(record.clients) != expected:
        check.add_fault(f"{len(record.clients)} hollow umpires reported, not {expected}")
    if record.broken_off:
        check.add_fault(f"broken off: {record.broken_off}")
    return check


def check_changes_as_drawn(record: RunRecord, drawn: DrawnFleet) -> Check:
    """Each drawn change was made, once, in its order, and nothing else."""
    check = Check("changes made as drawn", len(record.changes))
    for made, change in zip(record.changes, drawn.changes, strict=False):
        if (made.topic, made.key) != (change.topic, change.key):
            check.add_fault(f"change {made.index} was of {made.topic} {made.key}, not {change.topic}")
    if len(record.changes) != len(drawn.changes):
        check.add_fault(f"{len(record.changes)} changes made, {len(drawn.changes)} drawn")
    versions = [version for _, version in record.delivered_changes()]
    if versions != sorted(versions):
        check.add_fault("the source's versions fell")
    return check


def check_nothing_lost(record: RunRecord, drawn: DrawnFleet) -> Check:
    """At the end each client holds the newest of all that it subscribes to, entry by entry."""
    check = Check("newest of all held at the end")
    if record.delivery is Delivery.COMPLETE_LISTS:
        expected = {COMPLETE_LIST: drawn.expected_list_digest()}
    else:
        expected = drawn.expected_topic_digests()
    for client in record.clients:
        for topic in client.topics:
            check.compared += 1
            if topic not in expected or client.held.get(topic) != expected[topic]:
                check.add_fault(f"{client.name} holds another {topic} than was told last")
    return check


def check_versions_ascend(record: RunRecord) -> Check:
    """No version of a topic was applied after a higher one."""
    check = Check("no older version over a newer")
    for client, rows in zip(record.clients, record.applied, strict=True):
        epochs = np.unique(rows[:, 1]).tolist()
        versions = sortable_versions(rows[:, 1], rows[:, 2], epochs)
        order = np.lexsort((np.arange(len(rows)), rows[:, 0]))
        topics, held = rows[order, 0], versions[order]
        fell = (topics[1:] == topics[:-1]) & (held[1:] < held[:-1])
        check.compared += len(rows)
        for place in np.flatnonzero(fell):
            topic = client.topics[int(topics[place + 1])]
            check.add_fault(f"{client.name}: {topic} fell at its {place + 1}th")
    return check


def check_nothing_unrequested(record: RunRecord, drawn: DrawnFleet) -> Check:
    """Each client received the topics that it subscribes to and no others."""
    check = Check("nothing told that was not asked for")
    proxies = {proxy.name: proxy for proxy in drawn.proxies}
    for client in record.clients:
        check.compared += 1
        if client.not_subscribed:
            check.add_fault(f"{client.name} was told {client.not_subscribed} topics that it did not ask for")
        complete_list = record.delivery is Delivery.COMPLETE_LISTS
        expected = [COMPLETE_LIST] if complete_list else proxies[client.name].topics
        if sorted(client.topics) != sorted(expected):
            check.add_fault(f"{client.name} follows other topics than were drawn")
    return check


def check_summary(record: RunRecord, drawn: DrawnFleet) -> Check:
    """The origin's summary agrees with the run: all drawn proxies are there and have all."""
    check = Check("the source's sum agrees")
    zones: dict[str, Any] = (record.in_force_summary or {}).get("zones", {})
    versions = [version for _, version in record.delivered_changes()]
    last = max(versions, default=record.loaded_version or ())
    for zone in drawn.zones:
        check.compared += 1
        subscribers = sum(proxy.zone == zone for proxy in drawn.proxies)
        summary = zones.get(zone, {})
        if summary.get("followers", 0) != subscribers:
            check.add_fault(f"zone {zone}: {summary.get('followers', 0)} followers told, {subscribers} there")
        if tuple(summary.get("lowest") or ()) < last:
            check.add_fault(
                f"zone {zone}: in force up to {summary.get('lowest')}, though all hold {list(last)}"
            )
        for state in ("starting", "behind", "unable", "gone"):
            if summary.get(state, 0):
                check.add_fault(f"zone {zone}: {summary[state]} told as {state}, though all hold the newest")
    for zone in zones.keys() - set(drawn.zones):
        check.add_fault(f"zone {zone} in the sum is not there")
    return check


def check_processes_ended(record: RunRecord) -> Check:
    """Each process ended by itself when told to, except for relays that the file has killed."""
    check = Check("all processes ended", len(record.exit_codes))
    killed = {f"relay-{loss.relay}" for loss in record.relay_losses}
    for name, exit_code in record.exit_codes.items():
        if exit_code != 0 and name not in killed:
            check.add_fault(f"{name} ended with {exit_code}")
    started = {name for processes in record.usage.values() for name in processes}
    for name in sorted(started - record.exit_codes.keys()):
        check.add_fault(f"{name} was not seen to end")
    return check


def check_nothing_left(record: RunRecord) -> Check:
    """No process or socket is left, and no file outside the run's folder."""
    check = Check("nothing left behind", 1)
    for left in record.left_behind:
        check.add_fault(left)
    return check
