"""Runs of several sizes and mechanisms side by side, and a run as the capacity page stores it."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from gullmount.reports.fleet_figures import FIGURES, Figure, FigureRole
from gullmount.reports.fleet_format import Unit, format_figure
from gullmount.reports.fleet_results import (
    FleetResults,
    JsonObject,
    Mechanism,
    MechanismRun,
    RoleName,
    decode_results,
)

HEADER_KEYS = ("command", "version", "machine", "at", "load", "v")  # that a run's file has of the results
MECHANISM_WORDS = {Mechanism.COMPLETE_LISTS: "today", Mechanism.RELAYS: "relays"}  # of pages and stored files


@dataclass(frozen=True)
class SizedRun:
    """One mechanism's run with a fleet of so many proxies."""

    proxies: int
    run: MechanismRun


def decode_runs(summaries: Sequence[JsonObject]) -> list[SizedRun]:
    """Return the runs of all summaries, by mechanism and size.

    Raises:
        InvalidResultsError: if a summary cannot be read.
    """
    decoded = map(decode_results, summaries)
    runs = [SizedRun(results.fleet.proxies, run) for results in decoded for run in results.runs]
    return sorted(runs, key=lambda sized: (sized.run.mechanism, sized.proxies))


def make_capacity_run(results: JsonObject, name: str) -> JsonObject:
    """Return the figures as a run of docs/capacity/, one row for each that was reached.

    Raises:
        InvalidResultsError: if the results cannot be read.
    """
    decoded = decode_results(results)
    checks = "held" if decoded.checks_held else "broken"
    return {
        "kind": "run",
        "name": name,
        "what": f"fleet {decoded.fleet.name}, seed {results['seed']}, checks {checks}",
        **{key: results[key] for key in HEADER_KEYS},
        "rows": list(_capacity_rows(decoded)),
    }


def _capacity_rows(results: FleetResults) -> Iterator[JsonObject]:
    for run in results.runs:
        for figure in (_SYNCED, *FIGURES, *_change_cost_figures(run)):
            value = figure.read(run)
            if value is not None:
                yield {
                    "role": _role_word(figure.role, run.mechanism),
                    "what": figure.description,
                    "value": value,
                    "unit": str(figure.unit),
                    "budget": figure.budget,
                    "way": MECHANISM_WORDS[run.mechanism],
                    "umpires": results.fleet.proxies,
                }


def _role_word(role: FigureRole, mechanism: Mechanism) -> str:
    """Return the role's word; without relays discovery is the origin."""
    if role is FigureRole.ORIGIN and mechanism is Mechanism.COMPLETE_LISTS:
        return str(FigureRole.DISCOVERY)
    return str(role)


_SYNCED = Figure(
    "hollow umpires that ever had all they follow", Unit.PROXIES, lambda run: float(run.start.synced)
)


def _change_cost_figures(run: MechanismRun) -> Iterator[Figure]:
    for name, cost in run.change_costs.items():
        role = FigureRole.DISCOVERY if name == RoleName.DISCOVERY else FigureRole(name)
        yield _constant(
            "processor time for a change more, all of them", Unit.SECONDS, cost.processor_seconds, role
        )
        yield _constant("bytes for a change more, all of them", Unit.BYTES, cost.total_bytes, role)
        yield _constant(
            "bytes a second a follower without changes",
            Unit.BYTES,
            cost.idle_bytes_per_subscriber_second,
            role,
        )


def _constant(description: str, unit: Unit, value: float, role: FigureRole) -> Figure:
    return Figure(description, unit, lambda _: value, role=role)


def comparison_table(summaries: Sequence[JsonObject]) -> str:
    """Return a table in Markdown, a row a figure, a column a run; what is over its budget is bold.

    Raises:
        InvalidResultsError: if a summary cannot be read.
    """
    runs = decode_runs(summaries)
    heads = [f"{MECHANISM_WORDS[sized.run.mechanism]}, {sized.proxies:,}" for sized in runs]
    starts = [sized.run.start for sized in runs]
    rows = [
        ["hollow umpires that ever had all", *(f"{start.synced:,} of {start.proxies:,}" for start in starts)],
        *([figure.description, *(_cell(figure, sized.run) for sized in runs)] for figure in FIGURES),
        ["all checks held", *("yes" if sized.run.checks_held else "no" for sized in runs)],
    ]
    lines = ["| " + " | ".join(["", *heads]) + " |", "| --- |" + " ---: |" * len(runs)]
    lines += ["| " + " | ".join(cells) + " |" for cells in rows]
    return "\n".join(lines) + "\n"


def _cell(figure: Figure, run: MechanismRun) -> str:
    value = figure.read(run)
    text = format_figure(value, figure.unit)
    over_budget = figure.budget is not None and value is not None and value > figure.budget
    return f"**{text}**" if over_budget else text
