"""What all commands share: files named on the command line, and exit codes."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from gullmount.yamlfile import InvalidFileError, read_yaml

BAD_INPUT = 2  # exit code where a file or an argument is wrong
BROKEN = 1  # exit code where a rule was broken

Path_ = click.Path(path_type=Path)


def loaded(path: Path, model: Any) -> Any:
    """Return the file as a validated `model`; exit with 2 and one line where it is invalid."""
    try:
        return read_yaml(path, model)
    except InvalidFileError as error:
        click.echo(str(error), err=True)
        sys.exit(BAD_INPUT)
