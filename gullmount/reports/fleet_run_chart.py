"""A fleet's run as a chart: by mechanism four strips over one time."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from gullmount.reports.fleet_budgets import MAX_BYTES_PER_SECOND, MAX_CORES, MAX_RESIDENT_BYTES
from gullmount.reports.fleet_results import JsonObject, MechanismRun, decode_results
from gullmount.reports.fleet_run import run_title

if TYPE_CHECKING:
    from matplotlib.axes import Axes

COLOURS = ("#4c72b0", "#dd8452", "#55a868", "#c44e52")
WIDTH_INCHES, STRIP_HEIGHT_INCHES = 11.0, 2.2
DOTS_PER_INCH = 100
SMALL_FONT, TITLE_FONT = 7, 9  # points
LEGEND_FONT = 6
LINEAR_BELOW_CORES, LINEAR_BELOW_BYTES = 1e-4, 100  # where the logarithmic axis begins


@dataclass(frozen=True)
class Strip:
    """One axis with its lines: figures by second, with the names they are shown by."""

    label: str
    lines: tuple[tuple[str, str], ...]
    linear_below: float
    budget: float | None = None


STRIPS = (
    Strip(
        "bytes a second, an umpire", (("hollow_bytes_mean", "mean"), ("one_umpire_bytes_most", "highest")),
        LINEAR_BELOW_BYTES, MAX_BYTES_PER_SECOND,
    ),
    Strip(
        "cores, an umpire", (("hollow_cores_mean", "mean"), ("hollow_cores_most", "highest")),
        LINEAR_BELOW_CORES, MAX_CORES,
    ),
    Strip(
        "bytes held, an umpire", (("hollow_resident_mean", "mean"),), LINEAR_BELOW_BYTES, MAX_RESIDENT_BYTES
    ),
    Strip(
        "cores, a process",
        (
            ("relay_cores_mean", "relay, mean"), ("relay_cores_most", "relay, highest"),
            ("source_cores_most", "source"), ("lists_cores_most", "list service"),
        ),
        LINEAR_BELOW_CORES,
    ),
)  # fmt: skip


def plot_runs(results: JsonObject, path: Path) -> None:
    """Write the chart of all mechanisms that have figures by second.

    Raises:
        InvalidResultsError: if the results cannot be read.
        OSError: if the file cannot be written.
    """
    from matplotlib.figure import Figure  # noqa: PLC0415 (takes a second to load, which no other command needs)

    decoded = decode_results(results)
    runs = [run for run in decoded.runs if run.seconds]
    strip_count = len(STRIPS) * max(1, len(runs))
    figure = Figure(figsize=(WIDTH_INCHES, STRIP_HEIGHT_INCHES * strip_count))
    axes = figure.subplots(strip_count, 1, squeeze=False)[:, 0]
    for number, run in enumerate(runs):
        axes_of_run = axes[number * len(STRIPS) : (number + 1) * len(STRIPS)]
        for axis, strip in zip(axes_of_run, STRIPS, strict=True):
            _plot_strip(axis, strip, run)
        axes_of_run[0].set_title(run_title(decoded, run), fontsize=TITLE_FONT)
        axes_of_run[-1].set_xlabel("s")
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)


def _plot_strip(axis: Axes, strip: Strip, run: MechanismRun) -> None:
    for colour, (figure, label) in zip(COLOURS, strip.lines, strict=False):
        points = [(second["t"], second[figure]) for second in run.seconds if second.get(figure) is not None]
        if points:
            axis.plot(*zip(*points, strict=True), color=colour, label=label, linewidth=1)
    if strip.budget is not None:
        axis.axhline(strip.budget, color="black", linestyle=":", linewidth=0.8)
    axis.set_ylabel(strip.label, fontsize=SMALL_FONT)
    axis.set_yscale("symlog", linthresh=strip.linear_below)
    axis.grid(alpha=0.3)
    if axis.get_legend_handles_labels()[0]:
        axis.legend(fontsize=LEGEND_FONT, loc="upper right")
