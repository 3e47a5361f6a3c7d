"""Figures over the fleet's size as a chart, one line a mechanism."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from gullmount.reports.fleet_comparison import SizedRun, decode_runs
from gullmount.reports.fleet_figures import FIGURES, Figure
from gullmount.reports.fleet_results import JsonObject, Mechanism

if TYPE_CHECKING:
    from matplotlib.axes import Axes

WIDTH_INCHES, HEIGHT_INCHES = 11.0, 7.0
DOTS_PER_INCH = 100
ROWS, COLUMNS = 2, 3
FONT = 7  # points
TICKS_OF_A_DECADE = (1, 2, 5)  # figures may lie within one decade
COLOURS = {Mechanism.COMPLETE_LISTS: "#c44e52", Mechanism.RELAYS: "#4c72b0"}


def plot_comparison(summaries: Sequence[JsonObject], path: Path) -> None:
    """Write the chart of the figures that are charted.

    Raises:
        InvalidResultsError: if a summary cannot be read.
        OSError: if the file cannot be written.
    """
    from matplotlib.figure import Figure as Chart  # noqa: PLC0415 (takes a second to load)

    runs = decode_runs(summaries)
    chart = Chart(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
    charted = [figure for figure in FIGURES if figure.charted]
    for axis, figure in zip(chart.subplots(ROWS, COLUMNS).flatten(), charted, strict=True):
        _plot_figure(axis, figure, runs)
    chart.tight_layout()
    chart.savefig(path, dpi=DOTS_PER_INCH)


def _plot_figure(axis: Axes, figure: Figure, runs: Sequence[SizedRun]) -> None:
    from matplotlib.ticker import FuncFormatter, LogLocator  # noqa: PLC0415 (as above)

    for mechanism, colour in COLOURS.items():
        points = [
            (sized.proxies, value)
            for sized in runs
            if sized.run.mechanism is mechanism and (value := figure.read(sized.run))
        ]
        if points:
            axis.plot(*zip(*points, strict=True), marker="o", color=colour, label=str(mechanism))
    if figure.budget is not None:
        axis.axhline(figure.budget, color="black", linestyle=":", linewidth=0.8)
    axis.set_title(f"{figure.description}, {figure.unit}", fontsize=FONT)
    axis.set_xscale("log")
    axis.set_yscale("log")
    sizes = sorted({sized.proxies for sized in runs})
    axis.set_xticks(sizes, [f"{size:,}" for size in sizes], fontsize=FONT)
    axis.minorticks_off()
    axis.yaxis.set_major_locator(LogLocator(subs=TICKS_OF_A_DECADE))
    axis.yaxis.set_major_formatter(FuncFormatter(lambda value, _: f"{value:g}"))
    axis.tick_params(axis="y", labelsize=FONT)
    axis.set_xlabel("umpires", fontsize=FONT)
    axis.grid(alpha=0.3)
    if axis.get_legend_handles_labels()[0]:
        axis.legend(fontsize=FONT)
