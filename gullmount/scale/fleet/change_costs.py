"""What changes cost the processes of each control role together. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from gullmount.scale.fleet.process_messages import SAMPLE_INTERVAL_SECONDS, Number
from gullmount.scale.fleet.resource_usage import MIN_INTERVAL_SECONDS, Interval, byte_rates, usage_rates
from gullmount.scale.fleet.run_record import Figures, Role, RunRecord

CONTROL_ROLES = (Role.RELAY, Role.ORIGIN, Role.DISCOVERY)


def work_by_role(record: RunRecord, interval: Interval, changes: int) -> Figures:
    """Processor seconds and bytes of all processes of a role, by change and by proxy."""
    figures: Figures = {}
    proxies = record.proxies
    proxy_seconds = max(MIN_INTERVAL_SECONDS, interval.end - interval.start)
    for role in CONTROL_ROLES:
        if not record.usage.get(role):
            continue
        cpu_seconds, moved = role_work(record, role, interval)
        figures[role.value] = {
            "cpu_s": cpu_seconds,
            "cpu_s_a_change": cpu_seconds / changes if changes else None,
            "cpu_s_a_follower_and_second": cpu_seconds / proxies / proxy_seconds,
            "bytes": moved,
            "bytes_a_change": moved / changes if changes else None,
            "bytes_a_follower_and_second": moved / proxies / proxy_seconds,
        }
    return figures


def role_work(record: RunRecord, role: Role, interval: Interval) -> tuple[float, Number]:
    """Processor seconds and bytes of all processes of the role."""
    cpu_seconds = sum(
        rate.cores * SAMPLE_INTERVAL_SECONDS
        for samples in record.usage[role].values()
        for rate in usage_rates(samples)
        if rate.at in interval
    )
    moved = sum(
        rate.bytes_per_second
        for samples in record.counters.get(role, {}).values()
        for rate in byte_rates(samples)
        if rate.at in interval
    )
    return cpu_seconds, moved


def marginal_costs(phases: Sequence[Figures]) -> Figures:
    """What one more change costs all processes of a role, and what a proxy costs them without changes.

    From the first two phases, whose rates of change differ; nothing where there is one phase.
    """
    if len(phases) <= 1:
        return {}
    quiet, busy = phases[:2]
    rates = [sum(phase["changes"].values()) / phase["length"] for phase in (quiet, busy)]
    if rates[0] == rates[1]:
        return {}
    figures: Figures = {}
    for role in quiet["work"].keys() & busy["work"].keys():
        costs: Figures = {}
        for cost in ("cpu_s", "bytes"):
            spent = [phase["work"][role][cost] / phase["length"] for phase in (quiet, busy)]
            per_change = (spent[1] - spent[0]) / (rates[1] - rates[0])
            costs[f"{cost}_a_change_more"] = per_change
            costs[f"{cost}_a_follower_and_second_without"] = (spent[0] - per_change * rates[0]) / quiet[
                "umpires"
            ]
        figures[role] = costs
    return figures
