"""Measured figures and the target they are compared with: JSON files in docs/capacity/.

A file is a slope (`gullmount scale slopes`), a run (`gullmount scale run`) or the target. A missing or
unknown field and one of another type are errors that name the file and the field. The keys of the files keep
the words of the users' pages; here they are turned into the field's terms.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import isfinite
from pathlib import Path

import msgspec

from gullmount.errors import GullmountError

FORMAT_VERSION = 1  # of the files
MIN_POINTS = 4  # of a slope that a requirement may rest on
MIN_DECADES = 2  # that those points must span, as a power of ten
TARGET_NAME = "target"  # of the target's file, without its ending


class InvalidFiguresError(GullmountError):
    """A file of figures cannot be used; the text is one line: file, reason and field."""

    def __init__(self, path: Path, reason: object) -> None:
        super().__init__(f"{path}: {reason}")


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the figures were measured on, without host names."""

    processor: str
    cores: int
    memory_gib: float
    system: str
    python: str


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Values measured one after the other at one `x`.

    Attributes:
        x: in the slope's `x_unit`.
        values: in the slope's `unit`.
        load_average: of the machine over a minute, as the measurement ended.
        measured_at: UTC, in ISO 8601.
        version: of the measured program.
    """

    x: float
    values: list[float]
    load_average: float = msgspec.field(name="load")
    measured_at: str = msgspec.field(name="at")
    version: str


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="slope", tag_field="kind"):
    """How one cost grows with one quantity."""

    name: str
    description: str = msgspec.field(name="what")
    x_unit: str = msgspec.field(name="over")
    unit: str
    command: str
    machine: Machine
    points: list[Point]
    format_version: int = msgspec.field(default=FORMAT_VERSION, name="v")


class RunRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure of a fleet's run.

    Attributes:
        mechanism: what carried it, `today` or `relays`.
        proxies: the fleet's size.
        budget: in `unit`; None where the target names none.
    """

    role: str
    description: str = msgspec.field(name="what")
    mechanism: str = msgspec.field(name="way")
    proxies: int = msgspec.field(name="umpires")
    value: float
    unit: str
    budget: float | None = None


class Run(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="run", tag_field="kind"):
    """What a fleet on one machine showed; `load_average` is the machine's as the run began."""

    name: str
    description: str = msgspec.field(name="what")
    command: str
    version: str
    machine: Machine
    measured_at: str = msgspec.field(name="at")
    load_average: float = msgspec.field(name="load")
    rows: list[RunRow]
    format_version: int = msgspec.field(default=FORMAT_VERSION, name="v")


class Target(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="target", tag_field="kind"):
    """The size of the fleet that the system has to carry.

    Attributes:
        added_latency_seconds: that a request may take more through the proxy, at the 99th percentile.
        in_force_seconds: from a change of configuration until every proxy routes by it.
        burst_factor: how many times the mean rate changes come at in a burst.
        servers_lost_with_zone: endpoints that change at once when a zone is lost.
        servers_lost_with_region: likewise for a region.
        control_cores: cores that a proxy may spend on control, which is all but requests.
        control_memory_bytes: likewise memory.
        control_bytes_per_second: likewise traffic.
        control_machines: machines set aside for the services that control the proxies.
    """

    source: str
    proxies: int = msgspec.field(name="umpires")
    servers: int = msgspec.field(name="boxes")
    services: int
    routes: int
    tenants: int
    requests_per_second: float = msgspec.field(name="reqs")
    added_latency_seconds: float = msgspec.field(name="added")
    zones: int
    regions: int
    configuration_changes_per_day: float = msgspec.field(name="changes")
    in_force_seconds: float = msgspec.field(name="in_force")
    burst_factor: float = msgspec.field(name="burst")
    endpoint_changes_per_day: float = msgspec.field(name="list_changes")
    servers_lost_with_zone: int = msgspec.field(name="zone_lost")
    servers_lost_with_region: int = msgspec.field(name="region_lost")
    restarts_per_day: float = msgspec.field(name="restarts")
    control_cores: float
    control_memory_bytes: float = msgspec.field(name="control_memory")
    control_bytes_per_second: float = msgspec.field(name="control_bytes")
    control_machines: int
    format_version: int = msgspec.field(default=FORMAT_VERSION, name="v")


@dataclass(frozen=True)
class Figures:
    """All that a folder of figures holds; slopes and runs by name."""

    target: Target
    slopes: Mapping[str, Slope]
    runs: Mapping[str, Run] = field(default_factory=dict)


def read_file(path: Path) -> Slope | Run | Target:
    """Read one file of figures.

    Raises:
        InvalidFiguresError: if the file cannot be read or does not hold what it should.
    """
    try:
        found = msgspec.json.decode(path.read_bytes(), type=Slope | Run | Target)
    except OSError as error:
        raise InvalidFiguresError(path, error.strerror) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidFiguresError(path, error) from None
    if found.format_version != FORMAT_VERSION:
        raise InvalidFiguresError(path, f"version {found.format_version} - at `$.v`")
    if not isinstance(found, Target) and found.name != path.stem:
        raise InvalidFiguresError(path, "named otherwise than its file - at `$.name`")
    if isinstance(found, Slope):
        _check_points(path, found)
    return found


def _check_points(path: Path, slope: Slope) -> None:
    previous_x = 0.0
    for index, point in enumerate(slope.points):
        if not (isfinite(point.x) and point.x > previous_x):
            raise InvalidFiguresError(path, f"not above the one before - at `$.points[{index}].x`")
        if not point.values or not all(isfinite(value) and value >= 0 for value in point.values):
            raise InvalidFiguresError(path, f"no values, or one below 0 - at `$.points[{index}].values`")
        previous_x = point.x


def read_folder(folder: Path) -> Figures:
    """Read all files of a folder; one that is still being written has another ending and is left out.

    Raises:
        InvalidFiguresError: if a file is invalid or the target is missing.
    """
    target, slopes, runs = None, dict[str, Slope](), dict[str, Run]()
    for path in sorted(folder.glob("*.json")):
        found = read_file(path)
        if isinstance(found, Target):
            target = found
        elif isinstance(found, Slope):
            slopes[found.name] = found
        else:
            runs[found.name] = found
    if target is None:
        raise InvalidFiguresError(folder / f"{TARGET_NAME}.json", "missing, or not the target")
    return Figures(target, slopes, runs)


def write_file(folder: Path, figures: Slope | Run | Target, name: str) -> Path:
    """Write one file of figures in one step, so that an interruption leaves the earlier one as it was.

    Raises:
        OSError: if the folder or the file cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.json"
    partial = path.with_suffix(".part")
    partial.write_bytes(msgspec.json.format(msgspec.json.encode(figures), indent=1) + b"\n")
    os.replace(partial, path)
    return path
