"""Distributions of times, as stored results have them. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import numpy as np
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from gullmount.scale.fleet.run_record import Figures

MAX_TIME_US = 3_600_000_000  # an hour, more than a run lasts
SIGNIFICANT_DIGITS = 3  # of a time: 0.1%
US_PER_SECOND = 1e6


def summarize_times(times_seconds: Iterable[float]) -> Figures:
    """Count, median, 99th percentile and highest, in seconds; None where there are no times."""
    histogram = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
    seconds = np.fromiter(times_seconds, dtype=np.float64)
    micros = np.maximum(1, np.round(seconds * US_PER_SECOND)).astype(np.int64)
    for value, count in zip(*np.unique(micros, return_counts=True), strict=True):
        histogram.record_value(int(value), int(count))
    count = histogram.get_total_count()
    if not count:
        return {"count": 0, "median": None, "p99": None, "last": None}
    return {
        "count": count,
        "median": histogram.get_value_at_percentile(50) / US_PER_SECOND,
        "p99": histogram.get_value_at_percentile(99) / US_PER_SECOND,
        "last": histogram.get_max_value() / US_PER_SECOND,
    }
