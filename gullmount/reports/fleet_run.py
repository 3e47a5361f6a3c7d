"""A fleet's run as tables, from its results alone."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from rich.table import Table

from gullmount.reports.fleet_format import Unit, format_figure
from gullmount.reports.fleet_results import (
    NOT_COUNTED,
    FleetResults,
    JsonObject,
    Mechanism,
    MechanismRun,
    RoleUsage,
    TimeDistribution,
    decode_results,
)

MAX_LOGGED_FAULTS = 5  # kinds that are shown

COMPARED_FIGURES = {
    "cores": Unit.CORES,
    "resident": Unit.BYTES,
    "resident_with_base": Unit.BYTES,
    "bytes_a_second": Unit.BYTES,
    "configurations_changed": Unit.PROXIES,
    "in_force_median": Unit.SECONDS,
    "in_force_p99": Unit.SECONDS,
}
# Why hollow clients and real proxies may differ, by figure.
DIFFERENCE_REASONS = {
    "cores": "a real one wakes its own loop for each timer, which hollow ones do together",
    "resident": "a real one brings interpreter and modules: see the next line",
    "resident_with_base": "a hollow process loads what draws the fleet too",
    "bytes_a_second": "each fronts services of its own: see how many configurations changed for them",
    "configurations_changed": "drawn: the few real ones front other services than the average",
    "in_force_median": "hollow ones take turns in one process: the last waits for all the others",
    "in_force_p99": "hollow ones take turns in one process: the last waits for all the others",
}
DIFFERENCE_REASONS_COMPLETE_LISTS = {
    **DIFFERENCE_REASONS,
    "resident_with_base": "a hollow process loads what draws the fleet, and holds its umpires' settings",
    "bytes_a_second": "hollow ones ask later: several changes come in one answer",
}


def make_tables(results: JsonObject) -> Iterator[Table]:
    """Yield the tables of all mechanisms of a run.

    Raises:
        InvalidResultsError: if the results cannot be read.
    """
    decoded = decode_results(results)
    for run in decoded.runs:
        title = run_title(decoded, run)
        yield _in_force_table(run, title)
        yield _start_and_deaths_table(run, title)
        yield _usage_table(run, title)
        if run.comparison:
            yield _comparison_table(run, title)
        yield _checks_table(run, title)


def run_title(results: FleetResults, run: MechanismRun) -> str:
    """Return the heading of a mechanism's tables."""
    return f"{results.fleet.name}, {results.fleet.proxies} umpires, {run.mechanism}"


def _table(title: str, *columns: str) -> Table:
    table = Table(title=title, title_justify="left")
    for number, column in enumerate(columns):
        table.add_column(column, justify="right" if number else "left")
    return table


def _format_times(times: TimeDistribution) -> list[str]:
    return [format_figure(seconds, Unit.SECONDS) for seconds in times.figures]


def _in_force_table(run: MechanismRun, title: str) -> Table:
    table = _table(
        f"{title}: from a change until in force", "phase", "changes", "pairs", "median", "99th", "last"
    )
    for phase in run.phases:
        total = sum(phase.change_counts.values())
        for kind, count, times in (
            ("all", total, phase.all_times),
            ("boxes", phase.change_counts.get("boxes", 0), phase.endpoint_times),
            ("config", phase.change_counts.get("config", 0), phase.configuration_times),
        ):
            if times.count:
                table.add_row(f"{phase.name}, {kind}", str(count), str(times.count), *_format_times(times))
    return table


def _start_and_deaths_table(run: MechanismRun, title: str) -> Table:
    table = _table(
        f"{title}: what a start of all and a relay's death cost",
        "", "umpires", "median", "99th", "last", "bytes",
    )  # fmt: skip
    start = run.start
    start_bytes = format_figure(start.total_bytes, Unit.BYTES)
    table.add_row(
        "cold start", f"{start.synced} of {start.proxies}", *_format_times(start.times), start_bytes
    )
    for death in run.deaths:
        table.add_row(
            f"death of relay {death.relay}",
            str(death.subscribers),
            *_format_times(death.reconnect_times),
            format_figure(death.total_bytes, Unit.BYTES),
        )
    return table


def _usage_table(run: MechanismRun, title: str) -> Table:
    parts: list[tuple[str, Mapping[str, RoleUsage]]] = [("cold start", run.start.roles)]
    parts += [(phase.name, phase.roles) for phase in run.phases]
    columns = ("role", "of one: cores", "highest", "memory", "highest", "bytes a second", "highest second")
    table = _table(f"{title}: burden of one umpire or process", *columns)
    for part, roles in parts:
        for role, usage in roles.items():
            bytes_mean = usage.bytes_a_second or NOT_COUNTED
            bytes_highest = usage.bytes_in_a_second or bytes_mean
            table.add_row(
                f"{part}, {role}",
                format_figure(usage.cores.mean, Unit.CORES),
                format_figure(usage.cores.highest, Unit.CORES),
                format_figure(usage.resident.mean, Unit.BYTES),
                format_figure(usage.resident.highest, Unit.BYTES),
                format_figure(bytes_mean.mean, Unit.BYTES),
                format_figure(bytes_highest.highest, Unit.BYTES),
            )
    return table


def _comparison_table(run: MechanismRun, title: str) -> Table:
    real_count = run.comparison["real"]
    complete_lists = run.mechanism is Mechanism.COMPLETE_LISTS
    reasons = DIFFERENCE_REASONS_COMPLETE_LISTS if complete_lists else DIFFERENCE_REASONS
    table = _table(
        f"{title}: hollow umpires beside {real_count} real ones", "", "hollow", "real", "why apart"
    )
    for figure, unit in COMPARED_FIGURES.items():
        compared = run.compare(figure)
        if compared is not None:
            table.add_row(
                figure.replace("_", " "),
                format_figure(compared.hollow, unit),
                format_figure(compared.real, unit),
                reasons[figure] if compared.differs else "",
            )
    return table


def _checks_table(run: MechanismRun, title: str) -> Table:
    table = _table(f"{title}: checks", "check", "held", "on", "faults")
    for check in run.checks:
        omitted = [f"and {check.omitted} more"] if check.omitted else []
        breaches = "; ".join([*check.breaches, *omitted])
        table.add_row(check.name, "yes" if check.held else "NO", str(check.checked), breaches)
    for text, count in list(run.logged_faults.items())[:MAX_LOGGED_FAULTS]:
        table.add_row(f"umpires logged: {text}", "", str(count), "")
    return table


def summarize(results: JsonObject) -> JsonObject:
    """Return the results without figures by second."""
    runs = [{name: value for name, value in run.items() if name != "seconds"} for run in results["runs"]]
    return {**results, "kind": "fleet", "runs": runs}
