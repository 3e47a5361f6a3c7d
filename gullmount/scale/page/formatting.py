"""Numbers, intervals and tables as the capacity page shows them. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from math import floor, log10

from gullmount.scale.fit import Estimate

SIGNIFICANT_DIGITS = 3
INTERVAL_DIGITS = 2
PLAIN_RANGE = 1e-4, 1e15  # of values that are shown without an exponent
NEGLIGIBLE_CORES = 1e-5  # below which no figure is shown
CORES = "cores"
COUNTED_UNIT = "umpires"  # shown to the last one: rounded, all would seem to be there

# By unit, from the largest: the factor from which on a value is shown by a name, and the name.
SCALES: Mapping[str, tuple[tuple[float, str], ...]] = {
    "s": ((1.0, "s"), (1e-3, "ms"), (1e-6, "us")),
    "core s": ((1.0, "core s"), (1e-3, "core ms")),
    "bytes": ((1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "bytes")),
    "bytes a second": ((1e9, "GB/s"), (1e6, "MB/s"), (1e3, "KB/s"), (1.0, "bytes/s")),
    CORES: ((1.0, "cores"), (1e-2, "% of a core")),
}


def format_number(value: float, digits: int = SIGNIFICANT_DIGITS) -> str:
    """Return a number with so many significant digits, without an exponent where that is short."""
    if value == 0:
        return "0"
    smallest, largest = PLAIN_RANGE
    places = digits - 1 - floor(log10(abs(value)))
    if smallest < abs(value) < largest:
        return f"{round(value, places):,.{max(0, places)}f}"
    return f"{value:.{digits - 1}e}"


def _scale(value: float, unit: str) -> tuple[float, str]:
    steps = SCALES.get(unit)
    if steps is None:
        return 1.0, unit
    return next((step for step in steps if abs(value) >= step[0]), steps[-1])


def _with_unit(number: str, unit_name: str) -> str:
    return f"{number}{unit_name}" if unit_name.startswith("%") else f"{number} {unit_name}".strip()


def format_amount(value: float, unit: str) -> str:
    """Return a value with its unit."""
    if unit == COUNTED_UNIT:
        return f"{value:,.0f} {unit}"
    factor, unit_name = _scale(value, unit)
    return _with_unit(format_number(value / factor), unit_name)


def format_estimate(estimate: Estimate, unit: str) -> str:
    """Return value and interval in one unit, and how far they are extrapolated."""
    extrapolation = format_extrapolation(estimate.extrapolation)
    if unit == CORES and estimate.high < NEGLIGIBLE_CORES:
        return f"below {_with_unit(f'{100 * NEGLIGIBLE_CORES:g}', '% of a core')}{extrapolation}"
    factor, unit_name = _scale(estimate.value, unit)
    text = _with_unit(format_number(estimate.value / factor), unit_name)
    low = format_number(estimate.low / factor, INTERVAL_DIGITS)
    high = format_number(estimate.high / factor, INTERVAL_DIGITS)
    if low != high:
        text += f" ({low} to {high})"
    return text + extrapolation


def format_extrapolation(extrapolation: float) -> str:
    """Return how many times beyond the last point a value lies; nothing within the points."""
    return f", stretched x{format_number(extrapolation, 2)}" if extrapolation > 1 else ""


def markdown_table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """Return the lines of a table in Markdown."""
    lines = [heads, ["---"] * len(heads), *rows]
    return ["| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |" for cells in lines]
