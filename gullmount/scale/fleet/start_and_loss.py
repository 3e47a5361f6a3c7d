"""What a cold start of all clients and the loss of a relay cost. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from gullmount.scale.fleet.process_messages import (
    SAMPLE_INTERVAL_SECONDS,
    ClientReport,
    CounterSample,
    Number,
)
from gullmount.scale.fleet.resource_usage import Interval, usage_by_role
from gullmount.scale.fleet.run_record import Figures, RelayLoss, RunRecord
from gullmount.scale.fleet.time_distribution import summarize_times

LOSS_SECONDS = 10.0  # from a relay's loss, over which its cost is summed
MAX_LISTED_CLIENTS = 20
LOSS_COUNTERS = ("bytes_in", "bytes_out", "snapshots", "moves")  # fields of samples


@dataclass(frozen=True)
class Reconnection:
    """When a client of a lost relay first received something of another relay."""

    seconds: float  # from the loss
    relay: str  # the other one's address


def start_cost(record: RunRecord) -> Figures:
    """How long a cold start of all hollow clients took, what it moved and used."""
    times = sorted(client.synced_at - record.started_at for client in record.clients if client.synced_at)
    processes = record.hollow_counters()
    last_sample = max((samples[-1].at for samples in processes if samples), default=0.0)
    end = record.all_synced_at or record.first_phase_at or last_sample
    moved = sum(bytes_until(samples, end) for samples in processes)
    return {
        "umpires": len(record.clients),
        "synced": len(times),
        "times": summarize_times(times),
        "bytes": moved,
        "bytes_an_umpire": moved / max(1, len(record.clients)),
        "roles": usage_by_role(record, Interval(record.started_at, end)),
    }


def bytes_until(samples: Sequence[CounterSample], end: float) -> Number:
    """Bytes moved up to a time, and in the second that it is in."""
    counted = [sample for sample in samples if sample.at <= end + SAMPLE_INTERVAL_SECONDS]
    return counted[-1].bytes_moved if counted else 0


def relay_loss_cost(record: RunRecord, loss: RelayLoss) -> Figures:
    """How long until a lost relay's clients received from others, and what that moved and used."""
    connected = [client for client in record.clients if was_connected(client, loss)]
    by_client = {client.name: reconnection(client, loss) for client in connected}
    moved_to = Counter(move.relay for move in by_client.values() if move is not None)
    interval = Interval(loss.at, loss.at + LOSS_SECONDS)
    counted = {name: growth(record, name, interval) for name in LOSS_COUNTERS}
    return {
        "relay": loss.relay,
        "at": loss.at - record.started_at,
        "followers": len(connected),
        "not_moved": [name for name, move in by_client.items() if move is None][:MAX_LISTED_CLIENTS],
        "until_heard_at_another": summarize_times(
            move.seconds for move in by_client.values() if move is not None
        ),
        "taken_in_by": len(moved_to),
        "most_taken_by_one": max(moved_to.values(), default=0),
        "over": LOSS_SECONDS,
        "bytes": counted["bytes_in"] + counted["bytes_out"],  # of all clients over that time
        "snapshots": counted["snapshots"],
        "moves": counted["moves"],
        "roles": usage_by_role(record, interval),
    }


def was_connected(client: ClientReport, loss: RelayLoss) -> bool:
    """Whether the client had a connection to the relay when that was lost."""
    return any(
        connection.address == loss.address
        and connection.opened_at <= loss.at
        and not 0 < connection.ended_at < loss.at
        for connection in client.connections
    )


def reconnection(client: ClientReport, loss: RelayLoss) -> Reconnection | None:
    """The client's first bytes from another relay after the loss; None where there were none."""
    later = [
        (connection.first_byte_at, connection.address)
        for connection in client.connections
        if connection.opened_at >= loss.at and connection.first_byte_at and connection.address != loss.address
    ]
    if not later:
        return None
    first_byte_at, address = min(later)
    return Reconnection(first_byte_at - loss.at, address)


def growth(record: RunRecord, field: str, interval: Interval) -> Number:
    """By how much a counter of all hollow clients grew, from the second before the interval."""
    total: Number = 0
    for samples in record.hollow_counters():
        values: list[Number] = [
            getattr(sample, field)
            for sample in samples
            if interval.start - SAMPLE_INTERVAL_SECONDS <= sample.at <= interval.end
        ]
        total += values[-1] - values[0] if values else 0
    return total
