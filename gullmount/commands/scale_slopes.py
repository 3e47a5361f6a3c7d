"""The command `gullmount scale slopes`: measures the slopes and writes them point by point."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from statistics import median

import click
from rich.console import Console
from rich.progress import MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from gullmount import __version__
from gullmount.commands.files import BAD_INPUT, Path_
from gullmount.scale.figures import InvalidFiguresError
from gullmount.scale.machine import this_machine
from gullmount.scale.slopes.catalogue import MEASUREMENTS
from gullmount.scale.slopes.measurement import Measurement
from gullmount.scale.slopes.progress import Origin, Step, measure

GIT_TIMEOUT_SECONDS = 10.0
COMMAND = "gullmount scale slopes"
# What no measured figure depends on: a change there makes no new version.
NOT_MEASURED = (":!scale", ":!commands", ":!cli.py")


def measured_version() -> str:
    """Return the program's version, and the commit that last changed what is measured if git knows it."""
    source = Path(__file__).parents[1]

    def git(*arguments: str) -> str:
        command = ["git", "-C", str(source), *arguments, "--", ".", *NOT_MEASURED]
        done = subprocess.run(
            command, capture_output=True, text=True, check=True, timeout=GIT_TIMEOUT_SECONDS
        )
        return done.stdout.strip()

    try:
        commit, changed = git("log", "-1", "--format=%h"), git("status", "--porcelain")
    except (OSError, subprocess.SubprocessError):
        return __version__
    return f"{__version__}+{commit}{'.changed' if changed else ''}" if commit else __version__


@click.command()
@click.option("--only", multiple=True, metavar="NAME", help="Measure this slope; may be given again.")
@click.option(
    "--out", type=Path_, default=Path("docs/capacity"), show_default=True, help="Folder of the figures."
)
@click.option("--list", "as_list", is_flag=True, help="Name the slopes and end.")
def slopes(only: tuple[str, ...], out: Path, as_list: bool) -> None:
    """Measure the slopes and write each point as it is finished.

    Points that this version measured on this machine stand: a run that was broken off goes on where it was.
    Remove a slope's file to measure it anew. Loopback only. Exit code 2 for bad input.

    \b
    gullmount scale slopes --only take-boxes --only listed-change
    """
    if as_list:
        _list_measurements()
        return
    if unknown := [name for name in only if name not in MEASUREMENTS]:
        click.echo(f"--only: no such slope: {', '.join(unknown)}", err=True)
        sys.exit(BAD_INPUT)
    try:
        _measure_with_progress([MEASUREMENTS[name] for name in only or MEASUREMENTS], out)
    except InvalidFiguresError as error:
        click.echo(str(error), err=True)
        sys.exit(BAD_INPUT)


def _list_measurements() -> None:
    for measurement in MEASUREMENTS.values():
        points = ", ".join(f"{x:g}" for x in measurement.points)
        click.echo(
            f"{measurement.name}: {measurement.description}; {measurement.unit}, "
            f"over {measurement.x_unit}: {points}"
        )


def _measure_with_progress(measurements: list[Measurement], out: Path) -> None:
    origin = Origin(measured_version(), COMMAND, this_machine())
    console = Console(stderr=True)
    columns = TextColumn("{task.description}"), MofNCompleteColumn(), TimeElapsedColumn()
    with Progress(*columns, console=console) as progress:
        total = sum(len(measurement.points) for measurement in measurements)
        bar = progress.add_task("slopes", total=total)
        for step in measure(measurements, out, origin):
            if step.point is None:
                progress.update(bar, description=_step_name(step))
                continue
            progress.advance(bar)
            values = step.point.values
            interval = f"{median(values):.4g} ({min(values):.4g} to {max(values):.4g})"
            text = f"{_step_name(step)}: {interval} {step.measurement.unit}"
            console.print(text, markup=False, highlight=False)


def _step_name(step: Step) -> str:
    return f"{step.measurement.name} at {step.x:g} {step.measurement.x_unit}"
