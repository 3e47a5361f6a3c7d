"""All figures of a run, with the keys of stored results. No I/O."""

from __future__ import annotations

from collections import defaultdict

from gullmount.scale.fleet.change_costs import marginal_costs, work_by_role
from gullmount.scale.fleet.drawn_fleet import DrawnFleet
from gullmount.scale.fleet.hollow_comparison import compare_with_real
from gullmount.scale.fleet.propagation import figures_by_phase
from gullmount.scale.fleet.resource_usage import Interval, usage_by_role
from gullmount.scale.fleet.run_record import Figures, RunRecord
from gullmount.scale.fleet.start_and_loss import relay_loss_cost, start_cost
from gullmount.scale.fleet.time_series import figures_by_second

MAX_PROBLEMS = 20  # that clients logged, the most frequent ones


def run_figures(record: RunRecord, drawn: DrawnFleet) -> Figures:
    """All figures of a run."""
    phases = phase_figures(record, drawn)
    changes = Interval(record.first_phase_at, record.first_phase_at + drawn.config.duration)
    return {
        "way": record.delivery.value,
        "reached": bool(record.all_synced_at),
        "said": record.broken_off,
        "bytes_of_list": record.list_bytes,
        "start": start_cost(record),
        "phases": phases,
        "slopes": marginal_costs(phases),
        "deaths": [relay_loss_cost(record, loss) for loss in record.relay_losses],
        "hollow_and_real": compare_with_real(record, changes) if record.first_phase_at else {},
        "troubles": logged_problems(record),
        "memory_top": record.highest_memory,
        "processes": sum(map(len, record.usage.values())),
        "seconds": figures_by_second(record),
    }


def phase_figures(record: RunRecord, drawn: DrawnFleet) -> list[Figures]:
    """By phase, times until changes were in force and what they cost; none where no phase started."""
    if not record.first_phase_at:
        return []
    phases = figures_by_phase(record, drawn)
    for figures, (start, phase) in zip(phases, drawn.config.phase_starts(), strict=True):
        begin = record.first_phase_at + start
        interval = Interval(begin, begin + phase.duration)
        figures["roles"] = usage_by_role(record, interval)
        figures["umpires"] = record.proxies
        figures["work"] = work_by_role(record, interval, sum(figures["changes"].values()))
    return phases


def logged_problems(record: RunRecord) -> dict[str, int]:
    """How often hollow clients logged what, most frequent first."""
    counts: dict[str, int] = defaultdict(int)
    for samples in record.hollow_counters():
        for problem, count in (samples[-1].problems if samples else {}).items():
            counts[problem] += count
    return dict(sorted(counts.items(), key=lambda pair: -pair[1])[:MAX_PROBLEMS])
