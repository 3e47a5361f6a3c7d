"""The command group `gullmount scale`: slopes, the capacity page, fleets on this machine."""

from __future__ import annotations

import click

from gullmount.commands.lazy import Lazy

# By name: the module under gullmount/commands, and the command there.
COMMANDS = {
    "beside": ("scale_runs", "beside"),
    "page": ("scale_page", "page"),
    "report": ("scale_runs", "report"),
    "run": ("scale_runs", "run"),
    "slopes": ("scale_slopes", "slopes"),
}


@click.group(cls=Lazy, table=COMMANDS)
def scale() -> None:
    """Measure how costs grow, play fleets, and keep docs/CAPACITY.md in step with what was measured."""
