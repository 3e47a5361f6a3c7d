"""Hollow clients with a router beside real proxies: whether they cost and see the same. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from gullmount.scale.fleet.config import Delivery
from gullmount.scale.fleet.drawn_elements import ChangeKind
from gullmount.scale.fleet.process_messages import ClientReport
from gullmount.scale.fleet.propagation import propagation_times
from gullmount.scale.fleet.resource_usage import (
    Interval,
    base_memory,
    client_usage,
    process_bytes,
    process_usage,
)
from gullmount.scale.fleet.run_record import Figures, Role, RunRecord
from gullmount.scale.fleet.time_distribution import summarize_times

MAX_RELATIVE_DIFFERENCE = 0.2  # of the real proxies' figure, beyond which the two differ


@dataclass
class Observed:
    """What was seen of some proxies: times until changes were in force, bytes a second of each."""

    times_seconds: list[float] = field(default_factory=list)
    bytes_per_second: list[float] = field(default_factory=list)


def compare_with_real(record: RunRecord, interval: Interval) -> Figures:
    """Figures of hollow clients and real proxies; none where one of the two was not played."""
    if not record.real_proxies or interval.end <= interval.start or not record.has_full_clients:
        return {}
    hollow_usage = client_usage(record, interval)
    real_usage = process_usage(record, Role.REAL, interval)
    if record.delivery is Delivery.COMPLETE_LISTS:
        hollow, real = observed_by_discovery(record, interval)
        hollow_rate, real_rate = mean(hollow.bytes_per_second), mean(real.bytes_per_second)
    else:
        hollow, real = observed_by_proxies(record)
        hollow_rate = hollow_usage["bytes_a_second"]["mean"]
        real_rate = process_bytes(record, Role.REAL, interval)["mean"]
    hollow_times, real_times = summarize_times(hollow.times_seconds), summarize_times(real.times_seconds)
    base = mean([base_memory(record, name) for name in record.clients_per_process])
    hollow_resident, real_resident = hollow_usage["resident"]["mean"], real_usage["resident"]["mean"]
    return {
        "cores": comparison(hollow_usage["cores"]["mean"], real_usage["cores"]["mean"]),
        "resident": comparison(hollow_resident, real_resident),
        "resident_with_base": comparison(add(hollow_resident, base), real_resident),
        "bytes_a_second": comparison(hollow_rate, real_rate),
        "configurations_changed": comparison(
            configuration_changes(record, full_clients(record)),
            configuration_changes(record, record.real_reports),
        ),
        "in_force_median": comparison(hollow_times["median"], real_times["median"]),
        "in_force_p99": comparison(hollow_times["p99"], real_times["p99"]),
        "base_of_a_hollow_process": base,
        "times_counted": {"hollow": hollow_times["count"], "real": real_times["count"]},
        "real": len(record.real_proxies),
    }


def observed_by_discovery(record: RunRecord, interval: Interval) -> tuple[Observed, Observed]:
    """Hollow and real proxies as discovery saw those that it tells apart."""
    hollow, real = Observed(), Observed()

    def observed(proxy: str) -> Observed:
        return real if proxy in record.real_proxies else hollow

    sent_at = {version[1]: change.sent_at for change, version in record.delivered_changes()}
    held: dict[str, int] = {}  # by proxy, the revision that it acknowledged last
    for host, revision, at in record.acknowledgements:
        proxy = record.proxy_by_host[host]
        before = held.get(proxy)
        if before is not None:
            applied = range(before + 1, revision + 1)
            observed(proxy).times_seconds += [at - sent_at[one] for one in applied if one in sent_at]
        held[proxy] = revision
    for samples in record.counters.get(Role.DISCOVERY, {}).values():
        within = [sample for sample in samples if sample.at in interval]
        if len(within) > 1:
            first, last = within[0], within[-1]
            for host, proxy in record.proxy_by_host.items():
                moved = sum(last.by_host[host]) - sum(first.by_host[host])
                observed(proxy).bytes_per_second.append(moved / (last.at - first.at))
    return hollow, real


def observed_by_proxies(record: RunRecord) -> tuple[Observed, Observed]:
    """Times of hollow and real proxies as they noted them."""
    full = [
        (client, rows)
        for client, rows in zip(record.clients, record.applied, strict=True)
        if client.process not in record.light_processes
    ]
    hollow = propagation_times(record, [client for client, _ in full], [rows for _, rows in full])
    real = propagation_times(record, record.real_reports, record.real_applied)
    return Observed(flatten(hollow.by_change.values())), Observed(flatten(real.by_change.values()))


def flatten(lists: Iterable[Iterable[float]]) -> list[float]:
    """All values of all lists."""
    return [value for values in lists for value in values]


def full_clients(record: RunRecord) -> list[ClientReport]:
    """The reports of hollow clients with a router."""
    return [client for client in record.clients if client.process not in record.light_processes]


def configuration_changes(record: RunRecord, clients: Iterable[ClientReport]) -> float | None:
    """Changes of configuration that one client received: the largest part of what changes."""
    made: dict[str, int] = defaultdict(int)
    for change, _ in record.delivered_changes():
        made[change.topic] += change.topic.startswith(f"{ChangeKind.CONFIGURATION.value}/")
    return mean([sum(made[topic] for topic in client.topics) for client in clients])


def add(first: float | None, second: float | None) -> float | None:
    """The sum; None where one is missing."""
    return None if first is None or second is None else first + second


def mean(values: Sequence[float]) -> float | None:
    """The mean; None of nothing."""
    return sum(values) / len(values) if values else None


def comparison(hollow: float | None, real: float | None) -> Figures:
    """Two figures and whether they differ; None for that where one is missing."""
    if hollow is None or real is None:
        return {"hollow": hollow, "real": real, "apart": None}
    differ = abs(hollow - real) > MAX_RELATIVE_DIFFERENCE * abs(real)
    return {"hollow": hollow, "real": real, "apart": differ}
