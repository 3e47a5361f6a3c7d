"""The commands of the fault harness: scripts played, checked again, over many seeds, and explorations."""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from statistics import median
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.progress import Progress

from gullmount import __version__
from gullmount.commands.files import BAD_INPUT, BROKEN, Path_, loaded
from gullmount.commands.shown import tell, tell_again
from gullmount.emulators import record
from gullmount.fault_harness.config import HarnessConfig
from gullmount.fault_harness.explore_all import explore_all
from gullmount.fault_harness.planted_defects import PlantedDefect
from gullmount.fault_harness.run import run
from gullmount.fault_harness.sweep import SeedResult, load_results, sweep
from gullmount.scenarios.loopback import claimed_block

SWEEP_FILE_VERSION = 1


@click.group()
def rig() -> None:
    """Play scripts of faults among many processes and check their records."""


@rig.command("run")
@click.argument("file", type=Path_)
@click.option("--seed", type=int, default=None, help="Instead of the file's own.")
@click.option("--virtual", is_flag=True, help="In memory and virtual time: quick, and the same each time.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
@click.option("--record", "folder", type=Path_, default=None, help="Write record and logs into this folder.")
def rig_run(file: Path, seed: int | None, virtual: bool, as_json: bool, folder: Path | None) -> None:
    """Play the script in FILE and check its record against the promises and the rules.

    Exit code 0 with all kept, 1 with one broken, 2 for bad input.

    \b
    gullmount rig run days/failures/owner-killed.yaml --virtual
    gullmount rig run days/failures/owner-killed.yaml --seed 7 --record /tmp/owner-killed
    """
    script = loaded(file, HarnessConfig)
    seed = script.seed if seed is None else seed
    console = Console(stderr=True)
    how = "in virtual time" if virtual else f"on processes, {script.length:.0f} s"
    with tempfile.TemporaryDirectory() as temporary:
        working_folder = Path(temporary) if folder is None else folder
        with console.status(f"playing {script.name}, seed {seed}, {how}"), claimed_block() as block:
            metadata, lines = run(script, seed, virtual, block, working_folder)
    if folder is not None:
        record.write(folder, metadata, lines)
    tell(metadata, [json.loads(line) for line in lines.splitlines()], as_json)


@rig.command("check")
@click.argument("folder", type=Path_)
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
def rig_check(folder: Path, as_json: bool) -> None:
    """Check the record of a script in FOLDER against the promises and the rules again."""
    tell_again(folder, as_json, "a script")


@rig.command("sweep")
@click.argument("file", type=Path_)
@click.option("--seeds", type=(int, int), required=True, help="The first and the last.")
@click.option("--virtual", is_flag=True, help="In memory and virtual time, one seed a core.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
@click.option("--out", type=Path_, default=None, help="Keep results in this file, and continue there.")
@click.option("--at-once", "workers", type=click.IntRange(0, 64), default=0, help="Seeds side by side.")
def rig_sweep(
    file: Path, seeds: tuple[int, int], virtual: bool, as_json: bool, out: Path | None, workers: int
) -> None:
    """Play the script in FILE with each seed; print the command that plays a seed with a violation again.

    With --out an interrupted sweep continues where it was, and records and logs of seeds with a violation are
    kept in a folder beside that file.

    \b
    gullmount rig sweep days/failures/drawn.yaml --virtual --seeds 1 5000 --out drawn.jsonl
    """
    script = loaded(file, HarnessConfig)
    wanted = range(seeds[0], seeds[1] + 1)
    results = [] if out is None else _earlier_results(out, script, virtual)
    results = [result for result in results if result.seed in wanted]
    played = {result.seed for result in results}
    console = Console(stderr=True)
    with Progress(console=console) as progress:
        task = progress.add_task(f"playing {script.name}", total=len(wanted), completed=len(played))
        remaining = [seed for seed in wanted if seed not in played]
        for result in sweep(script, remaining, virtual, out, workers):
            results.append(result)
            progress.advance(task)
            if result.violations:
                command = f"gullmount rig run {file} --seed {result.seed}{' --virtual' if virtual else ''}"
                console.print(f"{command}: {result.violations[0]}", markup=False)
    summary = {"script": script.name, "seeds": seeds, "virtual": virtual, **_summary(results)}
    if as_json:
        click.echo(json.dumps(summary, indent=1))
    else:
        click.echo(", ".join(f"{name} {value}" for name, value in summary.items()))
    sys.exit(BROKEN if summary["broken"] else 0)


def _earlier_results(out: Path, script: HarnessConfig, virtual: bool) -> list[SeedResult]:
    """Return what an interrupted sweep wrote; exit with 2 and one line where the file is another's."""
    metadata = {
        "v": SWEEP_FILE_VERSION,
        "version": __version__,
        "virtual": virtual,
        "script": script.model_dump(mode="json", by_alias=True),
    }
    try:
        return load_results(out, metadata)
    except (OSError, ValueError) as error:
        click.echo(f"{out}: {error}", err=True)
        sys.exit(BAD_INPUT)


def _summary(results: Sequence[SeedResult]) -> dict[str, Any]:
    takeovers = sorted(seconds for result in results for seconds in result.takeover_seconds)
    return {
        "broken": sorted(result.seed for result in results if result.violations),
        "terms": sum(result.lease_terms for result in results),
        "effects": sum(result.effects for result in results),
        "refused": sum(result.rejected_effects for result in results),
        "takeovers": len(takeovers),
        "takeover_median": round(median(takeovers), 3) if takeovers else None,
        "takeover_most": round(takeovers[-1], 3) if takeovers else None,
    }


@rig.command("explore")
@click.option("--plant", default="", help="A defect that must be found: see --plants.")
@click.option("--plants", "names_defects", is_flag=True, help="Name the defects that can be planted.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
def rig_explore(plant: str, names_defects: bool, as_json: bool) -> None:
    """Explore every order of messages, crashes and ticks among three replicas and two claimants.

    Random ones are explored among five replicas and a group that changes.

    Takes some minutes. Exit code 0 with all promises kept, or with the planted defect found; 1 otherwise.
    """
    if names_defects:
        click.echo("\n".join(PlantedDefect))
        return
    if plant and plant not in list(PlantedDefect):
        click.echo(f"--plant: no such defect: {plant}", err=True)
        sys.exit(BAD_INPUT)
    with Console(stderr=True).status("exploring"):
        results = explore_all(PlantedDefect(plant) if plant else None)
    if plant:
        passed = any(result.violation for result in results.values())
    else:
        passed = all(result.complete for result in results.values())
    if as_json:
        click.echo(json.dumps(msgspec.to_builtins(results), indent=1))
    else:
        for name, result in results.items():
            click.echo(f"{name}: {result.states} states, {result.violation or 'nothing broken'}")
    sys.exit(0 if passed else BROKEN)
