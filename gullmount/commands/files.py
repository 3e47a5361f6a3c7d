"""What all commands share: files named on the command line, and exit codes."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from gullmount.yamlfile import BadFile, read

BAD_INPUT = 2  # exit code where a file or an argument is wrong
BROKEN = 1  # exit code where a rule was broken

Path_ = click.Path(path_type=Path)


def loaded(path: Path, model: Any) -> Any:
    try:
        return read(path, model)
    except BadFile as fault:
        click.echo(str(fault), err=True)
        sys.exit(BAD_INPUT)
