"""The command line: a thin shell over the library."""

from __future__ import annotations

import json
import os
import signal
import sys
import tempfile
from dataclasses import asdict
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

import anyio
import click
import structlog
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from gullmount import __version__, reports
from gullmount.checker import Finding, Summary, check, summarize
from gullmount.checker.histories import check_history
from gullmount.checker.owners import check_owners
from gullmount.days import from_bench
from gullmount.days import run as days
from gullmount.days.terms import DayTerms
from gullmount.keepers.node import Keeper
from gullmount.keepers.store import SqliteStore, StoreFault
from gullmount.keepers.terms import KeeperTerms
from gullmount.net import TcpNet
from gullmount.ownership.terms import OwnedUmpireTerms
from gullmount.ownership.umpire import OwningUmpire
from gullmount.rig import run as rigs
from gullmount.rig import sweep as rig_sweeps
from gullmount.rig.explore_all import PLANTS, explore_all
from gullmount.rig.terms import RigTerms
from gullmount.standins import record
from gullmount.umpire import FileMemory, RunningUmpire
from gullmount.yamlfile import BadFile, read

BAD_INPUT = 2  # exit code where a file or an argument is wrong
BROKEN = 1  # exit code where a rule was broken
SHOWN = 10  # breaches shown of one rule

Path_ = click.Path(path_type=Path)


def loaded(path: Path, model: Any) -> Any:
    try:
        return read(path, model)
    except BadFile as fault:
        click.echo(str(fault), err=True)
        sys.exit(BAD_INPUT)


def recorded(folder: Path) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    try:
        return record.read(folder)
    except (OSError, ValueError) as fault:
        click.echo(f"{folder}: {fault}", err=True)
        sys.exit(BAD_INPUT)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="gullmount")
def main() -> None:
    """Routes reqs between builds and votes on releases.

    \b
    gullmount day run days/bad-saturday.yaml --virtual   plays a whole bad day in a minute
    gullmount check umpire.yaml                          says what is wrong with a file
    gullmount umpire umpire.yaml                         runs one umpire
    """


@main.command("check")
@click.argument("file", type=Path_)
@click.option("--json", "as_json", is_flag=True, help="Say it as JSON.")
def check_file(file: Path, as_json: bool) -> None:
    """Validate an umpire's FILE without starting it. Exit code 2 if it is no good."""
    terms = loaded(file, OwnedUmpireTerms)
    if as_json:
        click.echo(terms.model_dump_json(indent=1))
    else:
        click.echo(f"{file}: umpire {terms.number} of {terms.of}, {len(terms.routes)} routes, sound")


@main.command()
@click.argument("file", type=Path_)
def umpire(file: Path) -> None:
    """Run the umpire that FILE describes, until SIGTERM or SIGINT; logs go to standard error as JSON lines.

    On the signal it takes nothing more, gives each taken req its final answer, and exits with 0.
    """
    terms = loaded(file, OwnedUmpireTerms)
    started(file, serve, terms, logger(umpire=terms.number))


def logger(**bound: Any) -> Any:
    """Lines of JSON on standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger().bind(**bound).info


def started(file: Path, program: Any, *args: Any) -> None:
    """Run a program until it ends; what the machine does not allow is said in one line."""
    try:
        anyio.run(program, *args)
    except* (OSError, StoreFault) as faults:
        first: BaseException = faults
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        click.echo(f"{file}: {first}", err=True)
        sys.exit(BAD_INPUT)


async def serve(terms: OwnedUmpireTerms, log: Any) -> None:
    memory = FileMemory(Path(terms.remembered)) if terms.remembered else None
    kind = OwningUmpire if terms.owns else RunningUmpire
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with kind(terms, net=TcpNet(terms.connect_from), memory=memory, log=log) as running:
            async for _ in signals:
                await running.stop()
                return


@main.command()
@click.argument("file", type=Path_)
@click.option("--found", is_flag=True, help="A blank disk begins a new group: for its first start only.")
@click.option("--vouch", is_flag=True, help="You vouch that the disk holds the last that this keeper said.")
def keeper(file: Path, found: bool, vouch: bool) -> None:
    """Run the keeper that FILE describes, until SIGTERM or SIGINT; logs go to standard error as JSON lines.

    \b
    gullmount keeper keeper-1.yaml --found    the first start of each keeper of a new group
    gullmount keeper keeper-1.yaml            every later one, with whatever the disk holds
    """
    terms = loaded(file, KeeperTerms)
    started(file, keep, terms, logger(keeper=terms.number), found, vouch)


async def keep(terms: KeeperTerms, log: Any, found: bool, vouched: bool) -> None:
    store = SqliteStore(Path(terms.disk))
    host = terms.members[terms.number].rpartition(":")[0]
    made = Keeper(
        terms, net=TcpNet(host), store=store, chance=Random(), log=log, found=found, vouched=vouched
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(made.run)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                tasks.cancel_scope.cancel()
                return


@main.command()
@click.argument("folder", type=Path_)
@click.option("--json", "as_json", is_flag=True, help="Each change of mind as JSON on standard output.")
@click.option(
    "--plot", "picture", type=Path_, default=None, help="Draw the course into this file (PNG, SVG, PDF)."
)
def blame(folder: Path, as_json: bool, picture: Path | None) -> None:
    """Say which build was blamed for what on the recorded day in FOLDER, when, and by which figures.

    \b
    gullmount day run days/blame/older-bad.yaml --virtual --record /tmp/older-bad
    gullmount blame /tmp/older-bad --plot older-bad.png
    """
    about, events = recorded(folder)
    try:
        made = reports.course(about, events)
    except (KeyError, TypeError, AttributeError) as fault:
        click.echo(f"{folder}: not the record of a day: {fault!r}", err=True)
        sys.exit(BAD_INPUT)
    if picture is not None:
        try:
            reports.plot(made, f"{about['day']['name']}, seed {about['seed']}", picture)
        except (OSError, ValueError) as fault:
            click.echo(f"{picture}: {fault}", err=True)
            sys.exit(BAD_INPUT)
    said = made.verdicts
    if as_json:
        click.echo(json.dumps({"outcome": said.outcome, **asdict(said)}, indent=1))
        return
    console = Console()
    table = Table("s", "umpire", "verdict", "where", "sure", "figures")
    for one in said.said:
        whom = f"build {one.build} {one.how}" if one.cause == "build" else f"no build: {one.cause}"
        figures = one.figures + (f"; settled by {one.settles}" if one.settles else "")
        where = " ".join(part for part in (one.zone, one.route) if part)
        table.add_row(f"{one.t:.1f}", str(one.umpire), whom, where, f"{one.sure:.3f}", figures)
    console.print(table)
    for build, t in sorted(said.sent_back.items()):
        console.print(f"build {build} was sent back at {t:.1f} s")
    console.print(f"bad by the day's terms: {said.bad or 'none'}; blame {said.outcome}")


@main.group()
def day() -> None:
    """Play scripted days and check their records."""


@day.command("run")
@click.argument("file", type=Path_)
@click.option("--seed", type=int, default=None, help="Instead of the file's own.")
@click.option("--virtual", is_flag=True, help="In memory and virtual time: quick, and the same each time.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
@click.option("--record", "folder", type=Path_, default=None, help="Write the record into this folder.")
def day_run(file: Path, seed: int | None, virtual: bool, as_json: bool, folder: Path | None) -> None:
    """Play the day in FILE and hold its traffic against the rules.

    Exit code 0 with all rules kept, 1 with one broken, 2 for bad input.

    \b
    gullmount day run days/first.yaml
    gullmount day run days/bad-saturday.yaml --virtual --seed 7 --record /tmp/saturday
    """
    terms = loaded(file, DayTerms)
    seed = terms.seed if seed is None else seed
    console = Console(stderr=True)
    how = "in virtual time" if virtual else f"on loopback sockets, {terms.length:.0f} s"
    with console.status(f"playing {terms.name}, seed {seed}, {how}"):
        about, lines = days.run(terms, seed, virtual, days.block_of(os.getpid()))
    if folder is not None:
        record.write(folder, about, lines)
    events = [json.loads(line) for line in lines.splitlines()]
    tell(about, events, as_json)


@day.command("check")
@click.argument("folder", type=Path_)
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
def day_check(folder: Path, as_json: bool) -> None:
    """Hold the recorded day in FOLDER against the rules again."""
    about, events = recorded(folder)
    try:
        tell(about, events, as_json)
    except (KeyError, TypeError, AttributeError) as fault:
        click.echo(f"{folder}: not the record of a day: {fault!r}", err=True)
        sys.exit(BAD_INPUT)


@day.command("from-bench")
@click.argument("file", type=Path_)
@click.option("-o", "--out", type=Path_, required=True, help="Where the day's YAML goes.")
def day_from_bench(file: Path, out: Path) -> None:
    """Turn a bench's day FILE (JSON) into a day of ours; what has no counterpart is named.

    \b
    gullmount day from-bench DAY.json -o day.yaml && gullmount day run day.yaml --virtual
    """
    try:
        made, left = from_bench.convert(file.read_bytes())
        out.write_text(from_bench.dump(made))
    except OSError as fault:
        click.echo(f"{fault.filename}: {fault.strerror}", err=True)
        sys.exit(BAD_INPUT)
    except from_bench.NotADay as fault:
        click.echo(f"{file}: {fault}", err=True)
        sys.exit(BAD_INPUT)
    for what in left:
        click.echo(f"left out: {what}", err=True)


@main.group()
def rig() -> None:
    """Play scripts of failures among many processes and check their records."""


@rig.command("run")
@click.argument("file", type=Path_)
@click.option("--seed", type=int, default=None, help="Instead of the file's own.")
@click.option("--virtual", is_flag=True, help="In memory and virtual time: quick, and the same each time.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
@click.option("--record", "folder", type=Path_, default=None, help="Write record and logs into this folder.")
def rig_run(file: Path, seed: int | None, virtual: bool, as_json: bool, folder: Path | None) -> None:
    """Play the script in FILE and hold what was done against the promises and the rules.

    Exit code 0 with all kept, 1 with one broken, 2 for bad input.

    \b
    gullmount rig run days/failures/owner-killed.yaml --virtual
    gullmount rig run days/failures/owner-killed.yaml --seed 7 --record /tmp/owner-killed
    """
    terms = loaded(file, RigTerms)
    seed = terms.seed if seed is None else seed
    console = Console(stderr=True)
    how = "in virtual time" if virtual else f"on processes, {terms.length:.0f} s"
    with tempfile.TemporaryDirectory() as spare:
        place = Path(spare) if folder is None else folder
        with console.status(f"playing {terms.name}, seed {seed}, {how}"):
            about, lines = rigs.run(terms, seed, virtual, days.block_of(os.getpid()), place)
    if folder is not None:
        record.write(folder, about, lines)
    tell(about, [json.loads(line) for line in lines.splitlines()], as_json)


@rig.command("check")
@click.argument("folder", type=Path_)
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
def rig_check(folder: Path, as_json: bool) -> None:
    """Hold the record of a script in FOLDER against the promises and the rules again."""
    about, events = recorded(folder)
    try:
        tell(about, events, as_json)
    except (KeyError, TypeError, AttributeError) as fault:
        click.echo(f"{folder}: not the record of a script: {fault!r}", err=True)
        sys.exit(BAD_INPUT)


@rig.command("sweep")
@click.argument("file", type=Path_)
@click.option("--seeds", type=(int, int), required=True, help="The first and the last.")
@click.option("--virtual", is_flag=True, help="In memory and virtual time, one seed a core.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
def rig_sweep(file: Path, seeds: tuple[int, int], virtual: bool, as_json: bool) -> None:
    """Play the script in FILE with each seed; a breach is told with the command that plays it again.

    \b
    gullmount rig sweep days/failures/drawn.yaml --virtual --seeds 1 5000
    """
    terms = loaded(file, RigTerms)
    console = Console(stderr=True)
    played = []
    with Progress(console=console) as progress:
        task = progress.add_task(f"playing {terms.name}", total=seeds[1] - seeds[0] + 1)
        for one in rig_sweeps.sweep(terms, range(seeds[0], seeds[1] + 1), virtual):
            played.append(one)
            progress.advance(task)
            if one.broken:
                again = f"gullmount rig run {file} --seed {one.seed}{' --virtual' if virtual else ''}"
                console.print(f"{again}: {one.broken[0]}", markup=False)
    spans = sorted(span for one in played for span in one.takeovers)
    result = {
        "script": terms.name,
        "seeds": seeds,
        "virtual": virtual,
        "broken": sorted(one.seed for one in played if one.broken),
        "terms": sum(one.terms for one in played),
        "effects": sum(one.effects for one in played),
        "refused": sum(one.refused for one in played),
        "takeovers": len(spans),
        "takeover_median": round(median(spans), 3) if spans else None,
        "takeover_most": round(spans[-1], 3) if spans else None,
    }
    if as_json:
        click.echo(json.dumps(result, indent=1))
    else:
        click.echo(", ".join(f"{what} {value}" for what, value in result.items()))
    sys.exit(BROKEN if result["broken"] else 0)


@rig.command("explore")
@click.option("--plant", default="", help="A defect that must be found: see --plants.")
@click.option("--plants", is_flag=True, help="Name the defects that can be planted.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON on standard output.")
def rig_explore(plant: str, plants: bool, as_json: bool) -> None:
    """Look at every order of messages, crashes and ticks among three keepers and two claimants.

    Takes some minutes. Exit code 0 with all promises kept, or with the planted defect found; 1 otherwise.
    """
    if plants:
        click.echo("\n".join(PLANTS))
        return
    if plant and plant not in PLANTS:
        click.echo(f"--plant: no such defect: {plant}", err=True)
        sys.exit(BAD_INPUT)
    with Console(stderr=True).status("exploring"):
        said = explore_all(plant)
    good = any(one.broken for one in said.values()) if plant else all(one.whole for one in said.values())
    if as_json:
        click.echo(json.dumps({what: asdict(one) for what, one in said.items()}, indent=1))
    else:
        for what, one in said.items():
            click.echo(f"{what}: {one.states} states, {one.broken or 'nothing broken'}")
    sys.exit(0 if good else BROKEN)


def tell(about: dict[str, Any], events: list[dict[str, Any]], as_json: bool) -> None:
    findings, summary = check(about, events), summarize(about, events)
    if "keepers" in about["day"]:
        findings += [*check_owners(events), check_history(events)]
    broken = any(finding.breaches for finding in findings)
    if as_json:
        result = {
            "day": about["day"]["name"],
            "seed": about["seed"],
            "virtual": about["virtual"],
            "kept": not broken,
            "rules": [asdict(finding) for finding in findings],
            "summary": asdict(summary),
        }
        click.echo(json.dumps(result, indent=1))
    else:
        show(about, findings, summary)
    sys.exit(BROKEN if broken else 0)


def show(about: dict[str, Any], findings: list[Finding], summary: Summary) -> None:
    console = Console()
    kind = "virtual" if about["virtual"] else "on sockets"
    console.print(f"[bold]{about['day']['name']}[/], seed {about['seed']}, {kind}: {about['day']['about']}")
    rules = Table("rule", "checked on", "kept")
    for finding in findings:
        on = ", ".join(f"{count} {what}" for what, count in finding.checked.items())
        rules.add_row(
            finding.rule, on, "yes" if not finding.breaches else f"NO, {len(finding.breaches)} times"
        )
    console.print(rules)
    for finding in findings:
        for breach in finding.breaches[:SHOWN]:
            reqs = ", ".join(breach.reqs)
            console.print(
                f"  {breach.t:9.3f} s  {breach.umpire}: {finding.rule}: {breach.what} [{reqs}]", markup=False
            )
    routes = Table("route", "first tries", "completed", "in time", "shed", "errored", "no answer", "payoff")
    for route, one in summary.routes.items():
        kept = f"{one.payoff / one.asked:.3f}" if one.asked else "-"
        counts = (one.first_tries, one.completed, one.in_time, one.shed, one.errored, one.other)
        routes.add_row(route, *map(str, counts), kept)
    console.print(routes)
    builds = Table("build", "what is wrong", "fate", "stages", "tries", "failed")
    for number, build in summary.builds.items():
        bad = build.bad or ("-" if number == 1 else "nothing")
        builds.add_row(str(number), bad, build.fate, str(build.stages), str(build.tries), str(build.spoiled))
    console.print(builds)
    troubles = ", ".join(f"{kind} {count}" for kind, count in sorted(summary.troubles.items())) or "none"
    console.print(f"payoff kept {summary.payoff:.3f}, worst 10 s {summary.worst:.3f}; troubles: {troubles}")
