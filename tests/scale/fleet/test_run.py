"""Runs of small fleets, by the command: both deliveries, runs that are ended, and inputs that are refused."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from gullmount.commands import scale_runs
from gullmount.reports import fleet_run as reports
from gullmount.scale.fleet.config import FleetConfig
from gullmount.scale.fleet.digests import digest_changes
from gullmount.scale.fleet.drawn_fleet import DrawnFleet
from gullmount.yamlfile import read_yaml
from tests.support.fleet_records import SMALL
from tests.support.paths import ROOT


def held(results: dict[str, Any]) -> dict[str, bool]:
    return {check["name"]: check["held"] for run in results["runs"] for check in run["checks"]}


def test_small_fleet_keeps_all_checks_and_its_results_are_reported(tmp_path: Path) -> None:
    out, data = tmp_path / "out", tmp_path / "data.json"
    summary_file = tmp_path / "summary_file.json"
    arguments = [
        str(SMALL),
        "--seed",
        "7",
        "--out",
        str(out),
        "--data",
        str(data),
        "--summary",
        str(summary_file),
    ]
    ended = CliRunner().invoke(scale_runs.run, arguments, catch_exceptions=False)
    results = json.loads((out / "results.json").read_text())
    assert ended.exit_code == 0, [run["checks"] for run in results["runs"]]
    assert all(held(results).values())
    assert results["schedule"] == digest_changes(DrawnFleet(read_yaml(SMALL, FleetConfig), 7).changes)
    assert [run["way"] for run in results["runs"]] == list(read_yaml(SMALL, FleetConfig).deliveries)
    for run in results["runs"]:
        assert run["reached"] and run["phases"][-1]["never"] == 0
        assert sum(phase["all"]["count"] for phase in run["phases"])
    assert (out / "results.png").stat().st_size
    assert "seconds" not in json.loads(summary_file.read_text())["runs"][0]
    rows_file = json.loads(data.read_text())
    assert rows_file["name"] == "data" and {row["way"] for row in rows_file["rows"]} == {"today", "relays"}
    assert all(isinstance(row["value"], int | float) for row in rows_file["rows"])
    reported = CliRunner().invoke(scale_runs.report, [str(out)], catch_exceptions=False)
    assert reported.exit_code == 0 and "checks" in reported.output
    assert set(reports.summarize(results)) > {"fleet", "runs", "command", "version"}
    chart = tmp_path / "sizes.png"
    reported = CliRunner().invoke(
        scale_runs.beside, [str(summary_file), "--chart", str(chart)], catch_exceptions=False
    )
    assert reported.exit_code == 0 and chart.stat().st_size
    table = [[cell.strip() for cell in line.split("|")[1:-1]] for line in reported.output.splitlines()]
    assert table[0] == ["", "relays, 120", "today, 120"] and table[-1] == ["all checks held", "yes", "yes"]
    assert all(len(row) == 3 for row in table)
    bytes_counted = shutil.which("ss") is not None
    unreached = [row[0] for row in table if row[1] == "-"]  # on relays every figure is reached
    assert all(not bytes_counted and "bytes a second" in name for name in unreached)


def processes_in(folder: Path) -> list[int]:
    """Ids of processes whose working directory is in the folder."""
    found = []
    for entry in Path("/proc").iterdir():
        try:
            if entry.name.isdecimal() and Path(os.readlink(entry / "cwd")).is_relative_to(folder):
                found.append(int(entry.name))
        except OSError:
            continue
    return found


def wait_for(condition: Callable[[], Any], timeout_seconds: float = 60.0) -> None:
    deadline = time.monotonic() + timeout_seconds
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_run_that_is_ended_leaves_no_process(tmp_path: Path, number: signal.Signals) -> None:
    program = [sys.executable, "-m", "gullmount", "scale", "run", "days/scale/small.yaml"]
    arguments = ["--seed", "7", "--out", str(tmp_path), "--way", "whole"]
    with subprocess.Popen([*program, *arguments], cwd=ROOT, stderr=subprocess.PIPE) as run:
        wait_for(lambda: len(processes_in(tmp_path)) >= 5)
        run.send_signal(number)
        run.wait(60)
    assert run.returncode == (-number if number is signal.SIGKILL else 128 + number)
    wait_for(lambda: not processes_in(tmp_path))


def test_run_whose_clients_never_sync_ends_with_a_broken_check(tmp_path: Path) -> None:
    """A list over 2 MiB is refused by the platform's client: complete lists have their limit there."""
    large = {"boxes: 240": "boxes: 18000", "start_within: 120": "start_within: 3"}
    text = SMALL.read_text()
    for old, new in large.items():
        assert old in text
        text = text.replace(old, new)
    file = tmp_path / "large.yaml"
    file.write_text(text)
    out = tmp_path / "out"
    arguments = [str(file), "--seed", "7", "--out", str(out), "--way", "whole"]
    ended = CliRunner().invoke(scale_runs.run, arguments, catch_exceptions=False)
    results = json.loads((out / "results.json").read_text())["runs"][0]
    assert ended.exit_code == 1 and not results["reached"]
    assert results["start"]["synced"] == 0 and results["bytes_of_list"] > 2 << 20
    assert any("list too long" in problem for problem in results["troubles"])
    assert held({"runs": [results]})["nothing left behind"]


def test_invalid_file_or_size_is_refused_before_anything_starts(tmp_path: Path) -> None:
    file = tmp_path / "bad.yaml"
    file.write_text("name: bad\n")
    common = ["--seed", "1", "--out", str(tmp_path / "out")]
    ended = CliRunner().invoke(scale_runs.run, [str(file), *common])
    assert ended.exit_code == 2 and "bad.yaml:1: umpires" in ended.output
    ended = CliRunner().invoke(scale_runs.beside, [str(file)])
    assert ended.exit_code == 2
    ended = CliRunner().invoke(scale_runs.run, [str(SMALL), *common, "--umpires", "90000"])
    assert ended.exit_code == 2 and not (tmp_path / "out").exists()
