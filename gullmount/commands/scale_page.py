"""The command `gullmount scale page`: writes the tables of the capacity page, or checks them."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from gullmount.commands.files import BAD_INPUT, BROKEN, Path_
from gullmount.scale.figures import Figures, InvalidFiguresError, read_folder
from gullmount.scale.page.markers import PageMarkerError, find_difference, replace_tables
from gullmount.scale.page.tables import make_tables
from gullmount.scale.requirements.catalogue import NEEDED_SLOPES


@click.command()
@click.option("--check", is_flag=True, help="Change nothing; exit code 1 where page and figures differ.")
@click.option(
    "--page", "path", type=Path_, default=Path("docs/CAPACITY.md"), show_default=True, help="The page."
)
@click.option(
    "--data", type=Path_, default=Path("docs/capacity"), show_default=True, help="Folder of the figures."
)
def page(check: bool, path: Path, data: Path) -> None:
    """Write the tables of the capacity page anew from the figures; what stands outside them is left.

    Exit code 2 where a file is missing or cannot be read, which is named with its field.

    \b
    gullmount scale page --check
    """
    try:
        figures = read_folder(data)
        tables = make_tables(figures)
        text = path.read_text()
        if check:
            difference = find_difference(text, tables)
            if difference is not None:
                click.echo(f"{path}:{difference}{_missing_slopes(figures, data)}", err=True)
                sys.exit(BROKEN)
            return
        path.write_text(replace_tables(text, tables))
    except InvalidFiguresError as error:
        click.echo(str(error), err=True)
        sys.exit(BAD_INPUT)
    except PageMarkerError as error:
        click.echo(f"{path}:{error}", err=True)
        sys.exit(BAD_INPUT)
    except OSError as error:
        click.echo(f"{path}: {error.strerror}", err=True)
        sys.exit(BAD_INPUT)


def _missing_slopes(figures: Figures, folder: Path) -> str:
    files = [f"{folder / name}.json" for name in sorted(NEEDED_SLOPES - figures.slopes.keys())]
    return f"; missing: {', '.join(files)}" if files else ""
