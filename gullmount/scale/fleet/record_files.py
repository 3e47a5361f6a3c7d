"""Reads the files that a run's processes wrote of what they saw."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec
import numpy as np

from gullmount.scale.fleet.applied_versions import COLUMNS
from gullmount.scale.fleet.process_messages import (
    ACKNOWLEDGEMENTS_FILE,
    CHANGES_FILE,
    Acknowledgement,
    ClientReport,
    DiscoveryReport,
    MadeChange,
)
from gullmount.scale.fleet.run_record import Floats

REAL_REPORTS = "real-*.report"


def read_changes(folder: Path) -> list[MadeChange]:
    """The changes as they were made. Raises OSError."""
    with (folder / CHANGES_FILE).open("rb") as file:
        return [msgspec.json.decode(line, type=MadeChange) for line in file]


def read_hollow_reports(folder: Path, process: str) -> tuple[list[ClientReport], list[Floats]]:
    """The reports and applied versions of one hollow process's clients. Raises OSError."""
    with (folder / f"{process}.jsonl").open("rb") as file:
        reports = [msgspec.json.decode(line, type=ClientReport) for line in file if line.strip()]
    for report in reports:
        report.process = process
    data = (folder / f"{process}.applied").read_bytes()
    return reports, decode_applied(data, [report.applied_count for report in reports])


def read_real_reports(folder: Path) -> tuple[list[ClientReport], list[Floats]]:
    """The reports and applied versions of the real proxies that wrote one. Raises OSError."""
    reports: list[ClientReport] = []
    applied: list[Floats] = []
    for path in sorted(folder.glob(REAL_REPORTS)):
        report = msgspec.json.decode(path.read_bytes(), type=ClientReport)
        reports.append(report)
        applied += decode_applied(path.with_suffix(".applied").read_bytes(), [report.applied_count])
    return reports, applied


def read_acknowledgements(folder: Path) -> list[Acknowledgement]:
    """What discovery noted of callers that it tells apart; none where there was no discovery."""
    path = folder / ACKNOWLEDGEMENTS_FILE
    if not path.exists():
        return []
    return msgspec.json.decode(path.read_bytes(), type=DiscoveryReport).acknowledgements


def decode_applied(data: bytes, counts: Sequence[int]) -> list[Floats]:
    """By client, the rows of a file that holds those of several; `counts` are their numbers of rows."""
    rows = np.frombuffer(data, dtype=np.float64).reshape(-1, COLUMNS)
    ends = np.cumsum(counts)
    return [rows[end - count : end] for end, count in zip(ends, counts, strict=True)]
