"""A fleet's run as tables and a chart, from its results alone; and what the capacity page takes of them."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

from rich.table import Table

Results = dict[str, Any]

BUDGET_BYTES = 7000.0  # a second that an umpire's control may take, in each second of a run
BUDGET_CORES = 0.013  # of one core that it may take
BUDGET_RESIDENT = 64e6  # bytes that it may hold
BUDGET_IN_FORCE = 10.0  # s from a change until it is in force everywhere
APART = {
    "cores": "a real one wakes its own loop for each timer, which hollow ones do together",
    "resident": "a real one brings interpreter and modules: see the next line",
    "resident_with_base": "a hollow process loads what draws the fleet too",
    "bytes_a_second": "each fronts services of its own: see how many configurations changed for them",
    "configurations_changed": "drawn: the few real ones front other services than the average",
    "in_force_median": "hollow ones take turns in one process: the last waits for all the others",
    "in_force_p99": "hollow ones take turns in one process: the last waits for all the others",
}
APART_WHOLE = {
    "resident_with_base": "a hollow process loads what draws the fleet, and holds its umpires' settings",
    "bytes_a_second": "hollow ones ask later: several changes come in one answer",
}
UNITS = {
    "cores": "%",
    "resident": "B",
    "resident_with_base": "B",
    "bytes_a_second": "B",
    "configurations_changed": "",
    "in_force_median": "s",
    "in_force_p99": "s",
}
COLOURS = ("#4c72b0", "#dd8452", "#55a868", "#c44e52")
WIDTH, STRIP = 11.0, 2.2  # inches: of the chart, and the height of each strip


def shown(value: float | None, unit: str = "") -> str:
    """A short number: s, bytes, cores."""
    if value is None:
        return "-"
    if unit == "s":
        return f"{value * 1000:.0f} ms" if value < 1 else f"{value:.2f} s"
    if unit == "B":
        for size, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "kB")):
            if abs(value) >= size:
                return f"{value / size:.1f} {name}"
        return f"{value:.0f} B"
    if unit == "%":
        return f"{value * 100:.2f}%"
    return f"{value:.4g}"


def tables(made: Results) -> Iterator[Table]:
    for one in made["runs"]:
        title = titled(made, one)
        yield from times(one, title)
        yield from burdens(one, title)
        if one["hollow_and_real"]:
            yield beside(
                one["hollow_and_real"], title, APART | (APART_WHOLE if one["way"] == "whole" else {})
            )
        yield verdicts(one, title)


def titled(made: Results, one: Results) -> str:
    return f"{made['fleet']['name']}, {made['fleet']['umpires']} umpires, {one['way']}"


def table(title: str, *columns: str) -> Table:
    made = Table(title=title, title_justify="left")
    for number, column in enumerate(columns):
        made.add_column(column, justify="right" if number else "left")
    return made


def times(one: Results, title: str) -> Iterator[Table]:
    made = table(
        f"{title}: from a change until in force", "phase", "changes", "pairs", "median", "99th", "last"
    )
    for phase in one["phases"]:
        for kind in ("all", "boxes", "config"):
            told = phase[kind]
            if not told["count"]:
                continue
            count = sum(phase["changes"].values()) if kind == "all" else phase["changes"][kind]
            spans = [shown(told[name], "s") for name in ("median", "p99", "last")]
            made.add_row(f"{phase['phase']}, {kind}", str(count), str(told["count"]), *spans)
    yield made
    start = one["start"]
    made = table(
        f"{title}: what a start of all and a relay's death cost",
        "",
        "umpires",
        "median",
        "99th",
        "last",
        "bytes",
    )
    spans = [shown(start["times"][name], "s") for name in ("median", "p99", "last")]
    made.add_row("cold start", f"{start['synced']} of {start['umpires']}", *spans, shown(start["bytes"], "B"))
    for death in one["deaths"]:
        spans = [shown(death["until_heard_at_another"][name], "s") for name in ("median", "p99", "last")]
        made.add_row(
            f"death of relay {death['relay']}", str(death["followers"]), *spans, shown(death["bytes"], "B")
        )
    yield made


def burdens(one: Results, title: str) -> Iterator[Table]:
    parts = [("cold start", one["start"]["roles"])]
    parts += [(phase["phase"], phase["roles"]) for phase in one["phases"]]
    columns = ("role", "of one: cores", "highest", "memory", "highest", "bytes a second", "highest second")
    made = table(f"{title}: burden of one umpire or process", *columns)
    for name, roles in parts:
        for role, told in roles.items():
            bytes_ = told.get("bytes_a_second", {"mean": None, "highest": None})
            highest = told.get("bytes_of_one_umpire_in_a_second", bytes_)["highest"]
            made.add_row(
                f"{name}, {role}",
                shown(told["cores"]["mean"], "%"),
                shown(told["cores"]["highest"], "%"),
                shown(told["resident"]["mean"], "B"),
                shown(told["resident"]["highest"], "B"),
                shown(bytes_["mean"], "B"),
                shown(highest, "B"),
            )
    yield made


def beside(told: Results, title: str, whys: dict[str, str]) -> Table:
    made = table(
        f"{title}: hollow umpires beside {told['real']} real ones", "", "hollow", "real", "why apart"
    )
    for name, unit in UNITS.items():
        pair = told.get(name)
        if pair is None:
            continue
        why = whys[name] if pair["apart"] else ""
        made.add_row(name.replace("_", " "), shown(pair["hollow"], unit), shown(pair["real"], unit), why)
    return made


def verdicts(one: Results, title: str) -> Table:
    made = table(f"{title}: checks", "check", "held", "on", "faults")
    for check in one["checks"]:
        more = [f"and {check['more']} more"] if check["more"] else []
        faults = "; ".join([*check["faults"], *more])
        made.add_row(check["name"], "yes" if check["held"] else "NO", str(check["on"]), faults)
    for what, count in list(one["troubles"].items())[:5]:
        made.add_row(f"umpires logged: {what}", "", str(count), "")
    return made


def summary(made: Results) -> Results:
    """The results without what was seen by second."""
    runs = [{name: value for name, value in one.items() if name != "seconds"} for one in made["runs"]]
    return {**made, "kind": "fleet", "runs": runs}


def plot(made: Results, path: Path) -> None:
    """By way four strips over one time. Raises OSError."""
    from matplotlib.figure import Figure  # noqa: PLC0415 (takes a second to load, which no other command needs)

    runs = [one for one in made["runs"] if one["seconds"]]
    strips = (
        ("bytes a second, an umpire", (("hollow_bytes_mean", "mean"), ("one_umpire_bytes_most", "highest")),
         BUDGET_BYTES),
        ("cores, an umpire", (("hollow_cores_mean", "mean"), ("hollow_cores_most", "highest")), BUDGET_CORES),
        ("bytes held, an umpire", (("hollow_resident_mean", "mean"),), BUDGET_RESIDENT),
        ("cores, a process", (("relay_cores_mean", "relay, mean"), ("relay_cores_most", "relay, highest"),
                              ("source_cores_most", "source"), ("lists_cores_most", "list service")), None),
    )  # fmt: skip
    figure = Figure(figsize=(WIDTH, STRIP * len(strips) * max(1, len(runs))))
    axes = figure.subplots(len(strips) * max(1, len(runs)), 1, squeeze=False)[:, 0]
    for number, one in enumerate(runs):
        for place, (label, lines, budget) in enumerate(strips):
            axis = axes[number * len(strips) + place]
            for colour, (name, said) in enumerate(lines):
                points = [(row["t"], row[name]) for row in one["seconds"] if row.get(name) is not None]
                if points:
                    axis.plot(*zip(*points, strict=True), color=COLOURS[colour], label=said, linewidth=1)
            if budget is not None:
                axis.axhline(budget, color="black", linestyle=":", linewidth=0.8)
            axis.set_ylabel(label, fontsize=7)
            axis.set_yscale("symlog", linthresh=1e-4 if "cores" in label else 100)
            axis.grid(alpha=0.3)
            if axis.get_legend_handles_labels()[0]:
                axis.legend(fontsize=6, loc="upper right")
            if not place:
                axis.set_title(titled(made, one), fontsize=9)
        axes[number * len(strips) + len(strips) - 1].set_xlabel("s")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
