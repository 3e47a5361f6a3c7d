"""Measuring slopes point by point, each written before the next, so that a run can be continued."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

from gullmount.scale.figures import InvalidFiguresError, Machine, Point, Slope, read_file, write_file
from gullmount.scale.slopes.measurement import Measurement
from gullmount.scale.slopes.sampling import take_samples_in_fresh_process

Sampler = Callable[[Measurement, float], list[float]]


@dataclass(frozen=True)
class Origin:
    """What measures, and where: written beside the values."""

    version: str
    command: str
    machine: Machine


@dataclass(frozen=True)
class Step:
    """A point that is measured next; with its `point` one that is measured."""

    measurement: Measurement
    x: float
    point: Point | None


def measure(
    measurements: Sequence[Measurement],
    folder: Path,
    origin: Origin,
    sampler: Sampler = take_samples_in_fresh_process,
) -> Iterator[Step]:
    """Measure the points that are missing in the folder, and yield before and after each.

    Raises:
        InvalidFiguresError: if a file in the folder is no slope.
        OSError: if the folder cannot be written.
    """
    for measurement in measurements:
        points = _stored_points(folder, measurement, origin)
        stored = {point.x for point in points}
        for point in points:
            yield Step(measurement, point.x, point)
        for x in measurement.points:
            if x in stored:
                continue
            yield Step(measurement, x, None)
            point = _measure_point(measurement, x, origin, sampler)
            points = sorted([*points, point], key=lambda point: point.x)
            write_file(folder, _slope(measurement, origin, points), measurement.name)
            yield Step(measurement, x, point)


def _stored_points(folder: Path, measurement: Measurement, origin: Origin) -> list[Point]:
    """Return the points that this version measured on this machine, in the same way."""
    path = folder / f"{measurement.name}.json"
    if not path.exists():
        return []
    slope = read_file(path)
    if not isinstance(slope, Slope):
        raise InvalidFiguresError(path, "not a slope - at `$.kind`")
    stored = (slope.description, slope.x_unit, slope.unit, slope.machine)
    if stored != (measurement.description, measurement.x_unit, measurement.unit, origin.machine):
        return []
    return [
        point for point in slope.points if point.x in measurement.points and point.version == origin.version
    ]


def _measure_point(measurement: Measurement, x: float, origin: Origin, sampler: Sampler) -> Point:
    values = sampler(measurement, x)
    measured_at = datetime.now(UTC).isoformat(timespec="seconds")
    return Point(x, values, round(os.getloadavg()[0], 2), measured_at, origin.version)


def _slope(measurement: Measurement, origin: Origin, points: list[Point]) -> Slope:
    return Slope(
        name=measurement.name,
        description=measurement.description,
        x_unit=measurement.x_unit,
        unit=measurement.unit,
        command=f"{origin.command} --only {measurement.name}",
        machine=origin.machine,
        points=points,
    )
