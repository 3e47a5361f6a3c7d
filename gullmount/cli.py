"""The command line: a thin shell over the library."""

from __future__ import annotations

from importlib import import_module

import click

from gullmount import __version__

# By name: the module under gullmount/commands, and the command there.
COMMANDS = {
    "blame": ("days", "blame"),
    "check": ("serving", "check_file"),
    "day": ("days", "day"),
    "group": ("grouping", "group"),
    "keeper": ("keeping", "keeper"),
    "relay": ("relaying", "relay"),
    "rig": ("rigs", "rig"),
    "source": ("relaying", "source"),
    "umpire": ("serving", "umpire"),
}


class Lazy(click.Group):
    """Loads a command when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        module, name = COMMANDS[cmd_name]
        command = getattr(import_module(f"gullmount.commands.{module}"), name)
        assert isinstance(command, click.Command)
        return command


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="gullmount")
def main() -> None:
    """Routes reqs between builds and votes on releases.

    \b
    gullmount day run days/bad-saturday.yaml --virtual   plays a whole bad day in a minute
    gullmount check umpire.yaml                          says what is wrong with a file
    gullmount umpire umpire.yaml                         runs one umpire
    gullmount keeper keeper-1.yaml                       runs one keeper of registers
    gullmount source source.yaml                         runs the source of news
    gullmount relay relay-a.yaml                         runs one relay of its news
    gullmount rig run days/failures/owner-killed.yaml    plays faults among many processes
    """
