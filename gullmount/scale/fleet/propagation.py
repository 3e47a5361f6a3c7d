"""How long changes took to be in force at the clients that they concern. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from gullmount.scale.fleet.drawn_elements import ChangeKind
from gullmount.scale.fleet.drawn_fleet import DrawnFleet
from gullmount.scale.fleet.process_messages import ClientReport
from gullmount.scale.fleet.run_record import Figures, Floats, RunRecord
from gullmount.scale.fleet.time_distribution import summarize_times

EPOCH_STEP = 1 << 44  # more than the revisions of one epoch


@dataclass(frozen=True)
class PropagationTimes:
    """Seconds from a change until it is in force, over all pairs of a change and a client of its topic."""

    by_change: dict[int, list[float]]  # by the change's place in the schedule
    never: int  # pairs where the change never came in force


@dataclass(frozen=True)
class TopicChanges:
    """The changes of one topic, by time."""

    versions: NDArray[np.int64]  # as `sortable_versions` has them
    sent_at: Floats
    indexes: list[int]  # in the schedule


def sortable_versions(epochs: Floats, revisions: Floats, all_epochs: Sequence[float]) -> NDArray[np.int64]:
    """One number a version, in the order of versions; `all_epochs` ascend."""
    ranks = np.searchsorted(np.asarray(all_epochs), epochs).astype(np.int64)
    return ranks * EPOCH_STEP + revisions.astype(np.int64)


def propagation_times(
    record: RunRecord, clients: Sequence[ClientReport], applied: Sequence[Floats]
) -> PropagationTimes:
    """The times at some clients, with the rows that each of them applied."""
    epochs = sorted(
        {float(version[0]) for _, version in record.delivered_changes()}
        | {float(epoch) for rows in applied for epoch in np.unique(rows[:, 1])}
    )
    changes = changes_by_topic(record, epochs)
    by_change: dict[int, list[float]] = defaultdict(list)
    never = 0
    for client, rows in zip(clients, applied, strict=True):
        for number, topic in enumerate(client.topics):
            if topic not in changes:
                continue
            of_topic = changes[topic]
            mine = rows[rows[:, 0] == number]
            if not len(mine):
                never += len(of_topic.versions)
                continue
            held = np.maximum.accumulate(sortable_versions(mine[:, 1], mine[:, 2], epochs))
            places = np.searchsorted(held, of_topic.versions)
            for place, sent_at, index in zip(places, of_topic.sent_at, of_topic.indexes, strict=True):
                if place == len(mine):
                    never += 1
                else:
                    by_change[index].append(max(0.0, float(mine[place, 3] - sent_at)))
    return PropagationTimes(by_change, never)


def changes_by_topic(record: RunRecord, epochs: Sequence[float]) -> dict[str, TopicChanges]:
    """The delivered changes by topic, as clients subscribe to it."""
    by_topic = defaultdict(list)
    for change, version in record.delivered_changes():
        by_topic[record.subscribed_topic(change)].append((change, version))
    changes = {}
    for topic, made in by_topic.items():
        versions = np.array([version for _, version in made], dtype=np.float64)
        changes[topic] = TopicChanges(
            sortable_versions(versions[:, 0], versions[:, 1], epochs),
            np.array([change.sent_at for change, _ in made]),
            [change.index for change, _ in made],
        )
    return changes


def figures_by_phase(record: RunRecord, drawn: DrawnFleet) -> list[Figures]:
    """By phase, the times over all pairs of a change and a hollow client of its topic."""
    times = propagation_times(record, record.clients, record.applied)
    phases: list[Figures] = []
    for number, (_, phase) in enumerate(drawn.config.phase_starts()):
        indexes = [index for index, change in enumerate(drawn.changes) if change.phase == number]
        by_kind = {
            kind: [index for index in indexes if drawn.changes[index].kind is kind] for kind in ChangeKind
        }
        phases.append(
            {
                "phase": phase.name,
                "length": phase.duration,
                "changes": {kind.value: len(mine) for kind, mine in by_kind.items()},
                "all": summarize_changes(times, indexes),
                **{kind.value: summarize_changes(times, mine) for kind, mine in by_kind.items()},
                "last_umpire_of_a_change": summarize_times(
                    max(times.by_change[index]) for index in indexes if index in times.by_change
                ),
            }
        )
    if phases:
        phases[-1]["never"] = times.never
    return phases


def summarize_changes(times: PropagationTimes, indexes: Sequence[int]) -> Figures:
    """The distribution of the times of some changes."""
    return summarize_times(time for index in indexes for time in times.by_change.get(index, ()))
