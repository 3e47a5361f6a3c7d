"""The check of recorded scenarios, as tables or JSON."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from gullmount.checker import Finding, Summary, check, summarize
from gullmount.checker.histories import check_history
from gullmount.checker.owners import check_owners
from gullmount.commands.files import BAD_INPUT, BROKEN
from gullmount.emulators import record

SHOWN = 10  # breaches shown of one rule


def recorded(folder: Path) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Return head and events of a record; exit with 2 and one line where it cannot be read."""
    try:
        return record.read(folder)
    except (OSError, ValueError) as fault:
        click.echo(f"{folder}: {fault}", err=True)
        sys.exit(BAD_INPUT)


def tell(about: dict[str, Any], events: list[dict[str, Any]], as_json: bool) -> None:
    """Check a record, print what was found, and exit with 0 if no rule was broken, with 1 otherwise."""
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


def tell_again(folder: Path, as_json: bool, what: str) -> None:
    """What the record in the folder holds; `what` it should be."""
    about, events = recorded(folder)
    try:
        tell(about, events, as_json)
    except (KeyError, TypeError, AttributeError) as fault:
        click.echo(f"{folder}: not the record of {what}: {fault!r}", err=True)
        sys.exit(BAD_INPUT)


def show(about: dict[str, Any], findings: list[Finding], summary: Summary) -> None:
    """Print the findings and the summary as tables."""
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
