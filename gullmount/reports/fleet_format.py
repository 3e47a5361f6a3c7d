"""Figures of a fleet's run as short texts."""

from __future__ import annotations

from enum import StrEnum

NOT_REACHED = "-"
BYTE_SCALES = ((1e9, "GB"), (1e6, "MB"), (1e3, "kB"))


class Unit(StrEnum):
    """The unit of a figure; the values are the words of the capacity page's data."""

    SECONDS = "s"
    BYTES = "bytes"
    CORES = "cores"
    PROXIES = "umpires"


def format_figure(value: float | None, unit: Unit) -> str:
    """Return a value with its unit; cores as a percentage of one."""
    if value is None:
        return NOT_REACHED
    if unit is Unit.SECONDS:
        return f"{value * 1000:.0f} ms" if value < 1 else f"{value:.2f} s"
    if unit is Unit.BYTES:
        for size, name in BYTE_SCALES:
            if abs(value) >= size:
                return f"{value / size:.1f} {name}"
        return f"{value:.0f} B"
    if unit is Unit.CORES:
        return f"{value * 100:.2f}%"
    return f"{value:.4g}"
