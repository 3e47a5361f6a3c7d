"""A command group that loads a command when it is asked for."""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module
from typing import Any

import click


class Lazy(click.Group):
    """`table` holds, by the command's name, the module under gullmount/commands and the command there."""

    def __init__(self, *args: Any, table: Mapping[str, tuple[str, str]], **more: Any) -> None:
        super().__init__(*args, **more)
        self.table = table

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(self.table)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Load a command; None for a name that is not in the table."""
        if cmd_name not in self.table:
            return None
        module, name = self.table[cmd_name]
        command = getattr(import_module(f"gullmount.commands.{module}"), name)
        assert isinstance(command, click.Command)
        return command
