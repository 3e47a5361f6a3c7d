"""What a measurement is, and how processor time and memory are taken."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TypeVar

SAMPLES = 5  # of a point: enough that noise is seen
MIN_SAMPLE_SECONDS = 0.1  # of processor time: beside it the clock's steps are nothing
MIN_SAMPLE_CALLS = 3  # where one call takes longer than that

Built = TypeVar("Built")


@dataclass(frozen=True)
class Measurement:
    """How one slope is measured.

    Attributes:
        description: what is measured, in words.
        x_unit: of the points.
        unit: of the values.
        sample: is called in a process of its own with a point, and yields the value again and again.
    """

    name: str
    description: str
    x_unit: str
    unit: str
    points: tuple[float, ...]
    sample: Callable[[float], Iterator[float]]


def processor_seconds(
    call: Callable[[], object], samples: int = SAMPLES, min_seconds: float = MIN_SAMPLE_SECONDS
) -> Iterator[float]:
    """Yield seconds of this process's processor time that a call takes; the first call does not count."""
    call()
    for _ in range(samples):
        count, started = 0, time.process_time()
        while count < MIN_SAMPLE_CALLS or time.process_time() - started < min_seconds:
            call()
            count += 1
        yield (time.process_time() - started) / count


def allocated_bytes(build: Callable[[], Built], samples: int = SAMPLES) -> Iterator[float]:
    """Yield bytes of Python's memory that what is built holds once all else is freed."""
    for _ in range(samples):
        gc.collect()
        tracemalloc.start()
        built = build()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del built
        yield float(size)
