"""Processor time, memory and bytes of one process or client of each role. No I/O."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import NamedTuple

from gullmount.scale.fleet.process_messages import CounterSample
from gullmount.scale.fleet.run_record import Figures, Role, RunRecord, UsageSample

MAX_LATENESS_SECONDS = 0.1  # of a sample, beyond which its bytes are not those of one second
MIN_INTERVAL_SECONDS = 1e-6  # that is divided by, where two times are the same
ROLES_WITH_PROCESSES = (Role.REAL, Role.RELAY, Role.ORIGIN, Role.DISCOVERY, Role.RELEASE_STATUS)


@dataclass(frozen=True)
class Interval:
    """Seconds of the monotonic clock that figures are taken over, both ends included."""

    start: float
    end: float

    def __contains__(self, at: float) -> bool:
        """Whether a time is in the interval."""
        return self.start <= at <= self.end


class Observation(NamedTuple):
    """A figure of one second and process, ordered by value."""

    value: float
    at: float  # seconds since clients began
    whose: str


class UsageRate(NamedTuple):
    """What a process used between two samples; `at` is the second one."""

    at: float
    cores: float
    resident_bytes: int


class ByteRate(NamedTuple):
    """Bytes a second between two samples; `at` is the second one."""

    at: float
    bytes_per_second: float


def usage_rates(samples: Sequence[UsageSample]) -> Iterator[UsageRate]:
    """What was used between each two samples."""
    for before, after in pairwise(samples):
        interval = max(MIN_INTERVAL_SECONDS, after.at - before.at)
        cores = (after.cpu_seconds - before.cpu_seconds) / interval
        yield UsageRate(after.at, cores, after.resident_bytes)


def byte_rates(samples: Sequence[CounterSample]) -> Iterator[ByteRate]:
    """Bytes in and out between each two samples."""
    for before, after in pairwise(samples):
        # each way by itself: sums of the interpolated counts of relays would round otherwise
        grown = (after.bytes_in - before.bytes_in) + (after.bytes_out - before.bytes_out)
        yield ByteRate(after.at, grown / max(MIN_INTERVAL_SECONDS, after.at - before.at))


def summarize(observations: Sequence[Observation]) -> Figures:
    """Mean and highest, and where the highest was."""
    if not observations:
        return {"mean": None, "highest": None}
    highest = max(observations)
    return {
        "mean": sum(observation.value for observation in observations) / len(observations),
        "highest": highest.value,
        "highest_at": round(highest.at, 1),
        "highest_who": highest.whose,
    }


def process_usage(record: RunRecord, role: Role, interval: Interval) -> Figures:
    """Cores and bytes resident of one process of the role."""
    cores, resident = [], []
    for name, samples in record.usage.get(role, {}).items():
        for rate in usage_rates(samples):
            if rate.at in interval:
                at = rate.at - record.started_at
                cores.append(Observation(rate.cores, at, name))
                resident.append(Observation(float(rate.resident_bytes), at, name))
    return {
        "processes": len(record.usage.get(role, {})),
        "cores": summarize(cores),
        "resident": summarize(resident),
    }


def process_bytes(record: RunRecord, role: Role, interval: Interval) -> Figures:
    """Bytes a second of one process of the role, in and out, as it was counted."""
    return summarize(
        [
            Observation(rate.bytes_per_second, rate.at - record.started_at, name)
            for name, samples in record.counters.get(role, {}).items()
            for rate in byte_rates(samples)
            if rate.at in interval
        ]
    )


def base_memory(record: RunRecord, process: str) -> int:
    """Bytes resident of a hollow process before its clients began."""
    before = [
        sample.resident_bytes
        for sample in record.usage[Role.HOLLOW][process]
        if sample.at <= record.started_at
    ]
    return before[-1] if before else 0


def client_usage(record: RunRecord, interval: Interval, *, light: bool = False) -> Figures:
    """What one hollow client used: its process's figures, less what that held before, divided.

    `light`: of those without a router, else of those with one.
    """
    cores, resident, moved = list[Observation](), list[Observation](), list[Observation]()
    processes = [
        name for name in record.usage.get(Role.HOLLOW, {}) if (name in record.light_processes) == light
    ]
    for name in processes:
        clients, base = record.clients_per_process[name], base_memory(record, name)
        for usage in usage_rates(record.usage[Role.HOLLOW][name]):
            if usage.at in interval:
                at = usage.at - record.started_at
                cores.append(Observation(usage.cores / clients, at, name))
                resident.append(Observation((usage.resident_bytes - base) / clients, at, name))
        for rate in byte_rates(record.counters[Role.HOLLOW][name]):
            if rate.at in interval:
                moved.append(Observation(rate.bytes_per_second / clients, rate.at - record.started_at, name))
    busiest, busiest_in_time = busiest_clients(record, processes, interval)
    return {
        "umpires": sum(record.clients_per_process[name] for name in processes),
        "cores": summarize(cores),
        "resident": summarize(resident),
        "bytes_a_second": summarize(moved),
        "bytes_of_one_umpire_in_a_second": summarize(busiest),
        "the_same_where_its_process_kept_time": summarize(busiest_in_time),
    }


def busiest_clients(
    record: RunRecord, processes: Sequence[str], interval: Interval
) -> tuple[list[Observation], list[Observation]]:
    """Bytes of the busiest client, by second and process: all, and those of samples taken in time."""
    busiest, in_time = [], []
    for name in processes:
        for before, sample in pairwise(record.counters[Role.HOLLOW][name]):
            if sample.at in interval:
                observation = Observation(
                    float(sample.highest_rate), sample.at - record.started_at, sample.highest_rate_client
                )
                busiest.append(observation)
                if max(before.lateness, sample.lateness) <= MAX_LATENESS_SECONDS:
                    in_time.append(observation)
    return busiest, in_time


def usage_by_role(record: RunRecord, interval: Interval) -> Figures:
    """What one process or client of each role used."""
    figures: Figures = {}
    if record.has_full_clients:
        figures["hollow umpire"] = client_usage(record, interval)
    if record.light_processes:
        figures["hollow follower"] = client_usage(record, interval, light=True)
    for role in ROLES_WITH_PROCESSES:
        if record.usage.get(role):
            figures[role.value] = process_usage(record, role, interval)
            if record.counters.get(role):
                figures[role.value]["bytes_a_second"] = process_bytes(record, role, interval)
    return figures
