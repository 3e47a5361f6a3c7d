"""Tables of the capacity page that show figures as measured: the target, slopes, machines, runs. No I/O."""

from __future__ import annotations

from collections import defaultdict
from statistics import median

from gullmount.scale.figures import MIN_DECADES, MIN_POINTS, Figures, Machine, Point, Target
from gullmount.scale.fit import Curve, Fit
from gullmount.scale.page.formatting import (
    format_amount,
    format_extrapolation,
    format_number,
    markdown_table,
)
from gullmount.scale.requirements.assessment import CapacityModel, is_usable
from gullmount.scale.requirements.catalogue import REQUIREMENTS
from gullmount.scale.requirements.model import SECONDS_PER_DAY, FleetSize

MAX_RESIDUAL = 0.5  # share of a value above which a form is not shown as a fit
MIN_SHOWN_RESIDUAL = 0.005  # share below which residuals are not shown one by one
X_DIGITS = 4


def target_table(target: Target) -> list[str]:
    """Return the target's figures."""
    changes_per_second = target.configuration_changes_per_day / SECONDS_PER_DAY
    rows = [
        ["umpires, boxes, services", f"{target.proxies:,} / {target.servers:,} / {target.services:,}"],
        ["routes, tenants", f"{target.routes:,} / {target.tenants:,}"],
        ["reqs a second at the peak", f"{target.requests_per_second:,.0f}"],
        ["added to a req, 99 in 100", format_amount(target.added_latency_seconds, "s")],
        ["regions, zones", f"{target.regions} / {target.zones}"],
        [
            "changes of configuration a day",
            f"{target.configuration_changes_per_day:,.0f}, {format_number(changes_per_second)} a second, "
            f"in bursts of {target.burst_factor:g} times that; "
            f"in force within {format_amount(target.in_force_seconds, 's')}",
        ],
        [
            "changes of the list a day",
            f"{target.endpoint_changes_per_day:,.0f}; {target.servers_lost_with_zone:,} at once with a zone, "
            f"{target.servers_lost_with_region:,} with a region",
        ],
        ["restarts or replacements a day", f"{target.restarts_per_day:,.0f}"],
        [
            "an umpire's control",
            f"{target.control_cores:.1%} of a core, {format_amount(target.control_memory_bytes, 'bytes')}, "
            f"{format_amount(target.control_bytes_per_second, 'bytes a second')}",
        ],
        ["machines set aside for control", str(target.control_machines)],
        ["source", target.source],
    ]
    return markdown_table(("the target", ""), rows)


def slopes_table(model: CapacityModel, figures: Figures) -> list[str]:
    """Return each slope with its points, its fit, and how far the requirements read it."""
    rows = []
    for name, slope in sorted(figures.slopes.items()):
        cells = [
            f"`{name}`",
            f"{slope.description}; {slope.unit} over {slope.x_unit}",
            "; ".join(map(format_point, slope.points)),
        ]
        if is_usable(slope):
            curve = model.curves[name]
            cells += [format_fit(curve), _format_reach(model, curve, name), f"`{slope.command}`"]
        else:
            cells += [f"fewer than {MIN_POINTS} points over {MIN_DECADES} decades: not used", "-", "-"]
        rows.append(cells)
    heads = (
        "slope", "what was measured", "points: median (least to most)", "fit, its ends at the last point",
        "read at", "command",
    )  # fmt: skip
    return markdown_table(heads, rows)


def format_point(point: Point) -> str:
    """Return a point's x and median, and its least and greatest value where they differ."""
    text = f"{format_number(point.x, X_DIGITS)}: {format_number(median(point.values))}"
    if len(set(point.values)) > 1:
        text += f" ({format_number(min(point.values))} to {format_number(max(point.values))})"
    return text


def format_fit(curve: Curve) -> str:
    """Return the fitted formula, its interval at the last point, and its residuals."""
    fit: Fit = curve.fit
    low, high = fit.interval(curve.xs[-1])
    worst = max(map(abs, fit.residuals))
    if worst > MAX_RESIDUAL:
        return f"none within {MAX_RESIDUAL:.0%}: the nearest is {fit.formula()}, off by {worst:.0%}"
    residuals = "below 0.5%"
    if worst >= MIN_SHOWN_RESIDUAL:
        residuals = ", ".join(f"{residual:+.0%}" for residual in fit.residuals)
    return f"{fit.formula()} ({format_number(low, 2)} to {format_number(high, 2)}); residuals {residuals}"


def _format_reach(model: CapacityModel, curve: Curve, name: str) -> str:
    """Return the greatest x at which a requirement reads the slope at the target."""
    size = FleetSize(model.target)
    xs = [term.x(size) for requirement in REQUIREMENTS for term in requirement.terms if term.slope == name]
    if not xs:
        return "no row"
    extrapolation = format_extrapolation(max(xs) / curve.xs[-1])
    return format_number(max(xs), X_DIGITS) + (extrapolation or ", within the points")


def _format_machine(machine: Machine) -> str:
    return (
        f"{machine.processor}, {machine.cores} cores, {machine.memory_gib:g} GiB, {machine.system}, "
        f"Python {machine.python}"
    )


def origins_table(figures: Figures) -> list[str]:
    """Return by version and machine when the points were measured, and beside how much load."""
    points_by_origin: defaultdict[tuple[str, str], list[Point]] = defaultdict(list)
    for slope in figures.slopes.values():
        for point in slope.points:
            points_by_origin[point.version, _format_machine(slope.machine)].append(point)
    rows = []
    for (version, machine), points in sorted(points_by_origin.items()):
        times = [point.measured_at for point in points]
        loads = [point.load_average for point in points]
        rows.append(
            [
                version,
                machine,
                f"{min(times)} to {max(times)}",
                str(len(points)),
                f"{min(loads):g} to {max(loads):g}",
            ]
        )
    return markdown_table(("version", "machine", "when (UTC)", "points", "load over a minute"), rows)


def runs_table(figures: Figures) -> list[str]:
    """Return all rows of all runs."""
    rows = [
        [
            row.role,
            row.description,
            row.mechanism,
            f"{row.proxies:,}",
            format_amount(row.value, row.unit),
            "none told" if row.budget is None else format_amount(row.budget, row.unit),
            f"`{run.command}`",
            run.version,
        ]
        for run in figures.runs.values()
        for row in run.rows
    ]
    if not rows:
        return ["No run of `gullmount scale run` is stored yet: not measured."]
    heads = ("role", "what", "way", "umpires", "measured", "budget", "command", "version")
    return markdown_table(heads, rows)
