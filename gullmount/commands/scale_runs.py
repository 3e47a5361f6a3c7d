"""The commands `gullmount scale run`, `report` and `beside`: fleets on this machine and their results."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click
from rich.console import Console

from gullmount.commands.files import BAD_INPUT, BROKEN, Path_, loaded
from gullmount.commands.scale_slopes import measured_version
from gullmount.reports.fleet_comparison import comparison_table, make_capacity_run
from gullmount.reports.fleet_comparison_chart import plot_comparison
from gullmount.reports.fleet_results import InvalidResultsError, decode_results
from gullmount.reports.fleet_run import make_tables, summarize
from gullmount.reports.fleet_run_chart import plot_runs
from gullmount.scale.fleet.config import Delivery, FleetConfig

RESULTS = "results.json"
CHART = "results.png"
FILE_WIDTH = 140  # columns of tables that go to a file

data_option = click.option(
    "--data", type=Path_, default=None, help="Write the figures as the capacity page takes them here."
)
summary_option = click.option(
    "--summary", "brief", type=Path_, default=None, help="Write the results without seconds here."
)


@click.command("run")
@click.argument("file", type=Path_)
@click.option("--seed", type=int, required=True, help="Draws the fleet and its changes.")
@click.option("--out", type=Path_, required=True, help="Folder for the record, results.json and the chart.")
@click.option("--umpires", type=click.IntRange(1), default=None, help="Another size, the rest in proportion.")
@click.option(
    "--way", type=click.Choice(["whole", "relays"]), default=None, help="Only this one of the file's."
)
@data_option
@summary_option
@click.option("--json", "as_json", is_flag=True, help="The results as JSON on standard output.")
def run(
    file: Path,
    seed: int,
    out: Path,
    umpires: int | None,
    way: Delivery | None,
    data: Path | None,
    brief: Path | None,
    as_json: bool,
) -> None:
    """Play the fleet of FILE on this machine and hold its record against the checks.

    Loopback only; it ends by itself, and its processes with it. Exit code 0 with all checks held, 1 with one
    broken, 2 for bad input. Timings are told, not judged.

    \b
    gullmount scale run days/scale/small.yaml --seed 7 --out /tmp/small
    gullmount scale run days/scale/target.yaml --seed 7 --umpires 2300 --out /tmp/target-2300
    """
    from gullmount.scale.fleet.run import run as play  # noqa: PLC0415 (it loads what `report` does without)

    fleet = loaded(file, FleetConfig)
    try:
        if umpires is not None:
            fleet = fleet.resized(umpires)
    except ValueError as error:
        click.echo(f"--umpires {umpires}: {error}", err=True)
        sys.exit(BAD_INPUT)
    if way is not None:
        fleet = fleet.model_copy(update={"deliveries": [Delivery(way)]})
    command = f"gullmount scale run {file} --seed {seed}"
    command += f" --umpires {umpires}" if umpires is not None else ""
    command += f" --way {way}" if way is not None else ""
    console = Console(stderr=True)

    def show_progress(text: str) -> None:
        console.print(text, markup=False)

    try:
        results = play(fleet, seed, out, show_progress, command, measured_version())
        _write_results(results, data, brief)
        plot_runs(results, out / CHART)
    except OSError as error:
        click.echo(f"{error.filename or out}: {error.strerror}", err=True)
        sys.exit(BAD_INPUT)
    _show_and_exit(results, as_json)


@click.command("report")
@click.argument("folder", type=Path_)
@data_option
@summary_option
@click.option("--json", "as_json", is_flag=True, help="The results as JSON on standard output.")
def report(folder: Path, data: Path | None, brief: Path | None, as_json: bool) -> None:
    """Tell the results of the run in FOLDER again, and draw its chart anew."""
    try:
        results = json.loads((folder / RESULTS).read_text())
        _write_results(results, data, brief)
        plot_runs(results, folder / CHART)
    except (OSError, ValueError) as error:
        click.echo(f"{folder}: {error}", err=True)
        sys.exit(BAD_INPUT)
    _show_and_exit(results, as_json)


@click.command("beside")
@click.argument("files", type=Path_, nargs=-1, required=True)
@click.option("--chart", type=Path_, default=None, help="Draw the figures over the fleets' sizes here.")
def beside(files: tuple[Path, ...], chart: Path | None) -> None:
    """Tell runs of several sizes and ways side by side, from their summaries FILES, as a table in Markdown.

    \b
    gullmount scale beside docs/capacity/runs/*.json --chart docs/figures/scale.png
    """
    try:
        summaries = [json.loads(file.read_text()) for file in files]
        if chart is not None:
            plot_comparison(summaries, chart)
        click.echo(comparison_table(summaries), nl=False)
    except (OSError, ValueError, InvalidResultsError) as error:
        click.echo(f"not a summary of a run, or not to be written: {error}", err=True)
        sys.exit(BAD_INPUT)


def _write_results(results: dict[str, Any], data: Path | None, brief: Path | None) -> None:
    """Write the figures for the capacity page, and the summary, where they are asked for. Raises OSError."""
    if data is not None:
        data.write_text(json.dumps(make_capacity_run(results, data.stem), indent=1) + "\n")
    if brief is not None:
        brief.write_text(json.dumps(summarize(results), indent=1) + "\n")


def _show_and_exit(results: dict[str, Any], as_json: bool) -> None:
    """Show the results and end: with 0 where all checks held."""
    if as_json:
        click.echo(json.dumps(results))
    else:
        console = Console()
        if not console.is_terminal:
            console.width = FILE_WIDTH
        for table in make_tables(results):
            console.print(table)
    sys.exit(0 if decode_results(results).checks_held else BROKEN)
