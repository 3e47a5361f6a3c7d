"""Processes whose disk is full, and how the record of a process that ended is judged."""

from __future__ import annotations

import json
import resource
import subprocess
import sys
from pathlib import Path

from gullmount.checker.owners import check_owners
from tests.support.fault_block import reserve_harness_block


def test_log_on_a_full_disk_does_not_stop_the_process_and_counts_the_lost_lines(tmp_path: Path) -> None:
    """Guards against a log line that can't be written ending a proxy, and a replica's exit code with it."""
    program = """
import resource
from gullmount.commands.starting import logger
log = logger(umpire=1)
log("one")
resource.setrlimit(resource.RLIMIT_FSIZE, (10, resource.RLIM_INFINITY))
log("two"); log("three")
resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
log("four")
"""
    with (tmp_path / "log").open("ab") as file:
        done = subprocess.run([sys.executable, "-c", program], stderr=file, check=False, timeout=30)
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    assert done.returncode == 0
    assert [line["event"] for line in lines] == ["one", "log_lines_lost", "four"] and lines[1]["count"] == 2


def test_replica_whose_disk_and_log_are_full_ends_with_its_own_exit_code(tmp_path: Path) -> None:
    host = f"{reserve_harness_block()}.5"
    members = {number: f"{host}.{number}:7299" for number in (1, 2, 3)}
    config = {"number": 1, "group": "g", "members": members, "disk": str(tmp_path / "disk")}
    (tmp_path / "keeper.yaml").write_text(json.dumps(config))
    no_bytes = (0, resource.RLIM_INFINITY)
    with (tmp_path / "log").open("ab") as file:
        done = subprocess.run(
            [sys.executable, "-m", "gullmount", "keeper", str(tmp_path / "keeper.yaml"), "--found"],
            stderr=file,
            check=False,
            timeout=30,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, no_bytes),
        )
    assert done.returncode == 2


def test_process_stopped_before_it_handles_signals_is_no_crash_but_only_once() -> None:
    stop = {"ev": "told_to_stop", "who": "keeper 4"}
    end = {"ev": "process_ended", "who": "keeper 4", "code": -15}
    events = [{**event, "t": float(number)} for number, event in enumerate([stop, end, end])]
    assert [breach.t for breach in check_owners(events)[-1].breaches] == [2.0]


def test_replica_ended_by_a_full_disk_is_no_crash_but_only_once() -> None:
    full = {"ev": "disk_full", "who": "keeper 1"}
    end = {"ev": "process_ended", "who": "keeper 1", "code": 2}
    events = [{**event, "t": float(number)} for number, event in enumerate([full, end, end])]
    crash = check_owners(events)[-1]
    assert [breach.t for breach in crash.breaches] == [2.0]
