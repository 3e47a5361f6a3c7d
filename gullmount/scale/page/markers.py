"""Where the tables stand in the capacity page. No I/O.

A table stands between `<!-- table: NAME -->` and `<!-- end -->`; what is outside is kept by hand.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from gullmount.errors import GullmountError

BEGIN = re.compile(r"^<!-- table: ([a-z-]+) -->$")
END = "<!-- end -->"
NO_LINE = "nothing"  # shown where one side has no line more


class PageMarkerError(GullmountError):
    """The page's markers are wrong; the text begins with the line's number."""

    def __init__(self, line_number: int, reason: str) -> None:
        super().__init__(f"{line_number}: {reason}")


@dataclass(frozen=True)
class TableSpan:
    """The lines between a table's markers, by index from 0; `end` is the closing marker's."""

    name: str
    begin: int
    end: int


def find_tables(text: str, names: Iterable[str]) -> list[TableSpan]:
    """Return the places of all tables, from the top of the page.

    Raises:
        PageMarkerError: if a table is missing, unknown, not closed, or stands there twice.
    """
    spans: list[TableSpan] = []
    missing = set(names)
    lines = text.splitlines()
    opened: tuple[str, int] | None = None
    for index, line in enumerate(lines):
        begin_marker = BEGIN.match(line)
        if begin_marker:
            if opened:
                raise PageMarkerError(index + 1, f"table {opened[0]} has no end before this one")
            name = begin_marker[1]
            if name not in missing:
                raise PageMarkerError(index + 1, f"no such table, or the second of its name: {name}")
            missing.remove(name)
            opened = name, index + 1
        elif line == END and opened:
            spans.append(TableSpan(*opened, index))
            opened = None
    if opened:
        raise PageMarkerError(opened[1], f"table {opened[0]} has no end")
    if missing:
        raise PageMarkerError(len(lines), f"no marker of table {', '.join(sorted(missing))}")
    return spans


def replace_tables(text: str, tables: Mapping[str, list[str]]) -> str:
    """Return the page with the tables in their places.

    Raises:
        PageMarkerError: if the markers are wrong.
    """
    lines = text.splitlines()
    for span in reversed(find_tables(text, tables)):
        lines[span.begin : span.end] = tables[span.name]
    return "\n".join(lines) + "\n"


def find_difference(text: str, tables: Mapping[str, list[str]]) -> str | None:
    """Return the first line that differs, with its number and what it should be; None where all agree.

    Raises:
        PageMarkerError: if the markers are wrong.
    """
    lines = text.splitlines()
    for span in find_tables(text, tables):
        wanted = tables[span.name]
        for offset in range(max(span.end - span.begin, len(wanted))):
            has = lines[span.begin + offset] if span.begin + offset < span.end else NO_LINE
            gives = wanted[offset] if offset < len(wanted) else NO_LINE
            if has != gives:
                return f"{span.begin + offset + 1}: table {span.name}: {_first_differing_cells(has, gives)}"
    return None


def _first_differing_cells(has: str, gives: str) -> str:
    cells = zip(has.strip("| ").split(" | "), gives.strip("| ").split(" | "), strict=False)
    for cell, wanted in cells:
        if cell != wanted:
            return f"the page has {cell!r}, the data give {wanted!r}"
    return f"the page has {has!r}, the data give {gives!r}"
