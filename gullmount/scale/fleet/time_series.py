"""Figures by second of a run, for charts. No I/O."""

from __future__ import annotations

from collections import defaultdict

from gullmount.scale.fleet.resource_usage import base_memory, byte_rates, usage_rates
from gullmount.scale.fleet.run_record import Figures, Role, RunRecord

Series = dict[int, dict[str, list[float]]]  # by second since clients began and figure


def figures_by_second(record: RunRecord) -> list[Figures]:
    """By second, mean and highest of one client or process; of synced clients the sum."""
    series: Series = defaultdict(lambda: defaultdict(list))
    add_usage(series, record)
    add_counters(series, record)
    return [
        {
            "t": second,
            **{f"{name}_mean": sum(values) / len(values) for name, values in figures.items()},
            **{f"{name}_most": max(values) for name, values in figures.items()},
            **{f"{name}_sum": sum(values) for name, values in figures.items() if name == "synced"},
        }
        for second, figures in sorted(series.items())
    ]


def add_value(series: Series, record: RunRecord, at: float, name: str, value: float) -> None:
    """Add a value of a time, unless that is before clients began."""
    if at >= record.started_at:
        series[int(at - record.started_at)][name].append(value)


def add_usage(series: Series, record: RunRecord) -> None:
    """Add processor time and memory of all processes."""
    for role, processes in record.usage.items():
        for name, samples in processes.items():
            clients = record.clients_per_process.get(name, 1)
            base = base_memory(record, name) if role == Role.HOLLOW else 0
            for rate in usage_rates(samples):
                add_value(series, record, rate.at, f"{role}_cores", rate.cores / clients)
                resident = (rate.resident_bytes - base) / clients
                add_value(series, record, rate.at, f"{role}_resident", resident)


def add_counters(series: Series, record: RunRecord) -> None:
    """Add bytes of all processes, and what hollow ones sampled beside."""
    for role, processes in record.counters.items():
        for name, samples in processes.items():
            clients = record.clients_per_process.get(name, 1)
            for rate in byte_rates(samples):
                add_value(series, record, rate.at, f"{role}_bytes", rate.bytes_per_second / clients)
            if role == Role.HOLLOW:
                for sample in samples:
                    add_value(series, record, sample.at, "one_umpire_bytes", float(sample.highest_rate))
                    add_value(series, record, sample.at, "synced", float(sample.synced))
