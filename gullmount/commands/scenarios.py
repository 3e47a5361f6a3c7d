"""Scenarios: played, checked, imported from the simulator; what attribution found in them."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from gullmount import reports
from gullmount.checker.attribution_outcome import AttributionOutcome
from gullmount.commands.files import BAD_INPUT, Path_, loaded
from gullmount.commands.shown import recorded, tell, tell_again
from gullmount.emulators import record
from gullmount.scenarios.config import ScenarioConfig
from gullmount.scenarios.loopback import claimed_block
from gullmount.scenarios.runner import run_scenario
from gullmount.scenarios.simulator_import import (
    InvalidSimulatorScenarioError,
    import_scenario,
    scenario_yaml,
)


@click.command()
@click.argument("folder", type=Path_)
@click.option("--json", "as_json", is_flag=True, help="Each change of mind as JSON on standard output.")
@click.option(
    "--plot", "picture", type=Path_, default=None, help="Draw the course into this file (PNG, SVG, PDF)."
)
def blame(folder: Path, as_json: bool, picture: Path | None) -> None:
    """Say which build was blamed for what in the recorded scenario in FOLDER, when, and by which figures.

    \b
    gullmount scenario run days/blame/older-bad.yaml --virtual --record /tmp/older-bad
    gullmount blame /tmp/older-bad --plot older-bad.png
    """
    about, events = recorded(folder)
    try:
        timeline = reports.release_timeline(about, events)
    except (KeyError, TypeError, AttributeError) as error:
        click.echo(f"{folder}: not the record of a day: {error!r}", err=True)
        sys.exit(BAD_INPUT)
    if picture is not None:
        try:
            reports.plot(timeline, f"{about['day']['name']}, seed {about['seed']}", picture)
        except (OSError, ValueError) as error:
            click.echo(f"{picture}: {error}", err=True)
            sys.exit(BAD_INPUT)
    outcome = timeline.outcome
    if as_json:
        click.echo(json.dumps({"outcome": outcome.correctness, **asdict(outcome)}, indent=1))
    else:
        print_findings(outcome)


def print_findings(outcome: AttributionOutcome) -> None:
    """Print a table of the findings, and what became of the builds."""
    console = Console()
    table = Table("s", "umpire", "verdict", "where", "sure", "figures")
    for finding in outcome.said:
        whom = (
            f"build {finding.build} {finding.how}"
            if finding.cause == "build"
            else f"no build: {finding.cause}"
        )
        figures = finding.figures + (f"; settled by {finding.settles}" if finding.settles else "")
        where = " ".join(part for part in (finding.zone, finding.route) if part)
        table.add_row(f"{finding.t:.1f}", str(finding.umpire), whom, where, f"{finding.sure:.3f}", figures)
    console.print(table)
    for build, t in sorted(outcome.sent_back.items()):
        console.print(f"build {build} was sent back at {t:.1f} s")
    console.print(f"bad by the day's terms: {outcome.bad or 'none'}; blame {outcome.correctness}")


@click.group()
def scenario() -> None:
    """Play scenarios and check their records."""


@scenario.command("run")
@click.argument("file", type=Path_)
@click.option("--seed", type=int, default=None, help="Instead of the file's own.")
@click.option("--virtual", is_flag=True, help="In memory and virtual time: quick, and the same each time.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
@click.option("--record", "folder", type=Path_, default=None, help="Write the record into this folder.")
def run_file(file: Path, seed: int | None, virtual: bool, as_json: bool, folder: Path | None) -> None:
    """Play the scenario in FILE and check its traffic against the rules.

    Exit code 0 with all rules kept, 1 with one broken, 2 for bad input.

    \b
    gullmount scenario run days/first.yaml
    gullmount scenario run days/bad-saturday.yaml --virtual --seed 7 --record /tmp/saturday
    """
    config = loaded(file, ScenarioConfig)
    seed = config.seed if seed is None else seed
    console = Console(stderr=True)
    how = "in virtual time" if virtual else f"on loopback sockets, {config.length:.0f} s"
    with console.status(f"playing {config.name}, seed {seed}, {how}"), claimed_block() as block:
        about, lines = run_scenario(config, seed, virtual, block)
    if folder is not None:
        record.write(folder, about, lines)
    events = [json.loads(line) for line in lines.splitlines()]
    tell(about, events, as_json)


@scenario.command("check")
@click.argument("folder", type=Path_)
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
def check_record(folder: Path, as_json: bool) -> None:
    """Check the record in FOLDER, as `scenario run --record` wrote it, against the rules.

    Exit code 0 with all rules kept, 1 with one broken, 2 for what is no record.

    \b
    gullmount scenario run days/first.yaml --virtual --record /tmp/first
    gullmount scenario check /tmp/first
    """
    tell_again(folder, as_json, "a day")


@scenario.command("from-bench")
@click.argument("file", type=Path_)
@click.option("-o", "--out", type=Path_, required=True, help="Where the scenario's YAML goes.")
def import_file(file: Path, out: Path) -> None:
    """Turn a simulator's scenario FILE (JSON) into one of ours; what has no counterpart is named.

    \b
    gullmount scenario from-bench DAY.json -o day.yaml && gullmount scenario run day.yaml --virtual
    """
    try:
        imported = import_scenario(file.read_bytes())
        out.write_text(scenario_yaml(imported.config))
    except OSError as error:
        click.echo(f"{error.filename}: {error.strerror}", err=True)
        sys.exit(BAD_INPUT)
    except InvalidSimulatorScenarioError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(BAD_INPUT)
    for what in imported.left_out:
        click.echo(f"left out: {what}", err=True)
