"""Runs a fleet on this machine and writes its results.

Loopback only, bounded in time, memory and processes; its processes end with it, however it ends.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import time
from datetime import UTC, datetime
from importlib import import_module
from pathlib import Path
from typing import Any

import anyio
import msgspec

from gullmount import __version__
from gullmount.scale.fleet.checks import run_checks
from gullmount.scale.fleet.config import Delivery, FleetConfig
from gullmount.scale.fleet.deployment import Deployment, Progress
from gullmount.scale.fleet.digests import digest_changes
from gullmount.scale.fleet.drawn_fleet import DrawnFleet
from gullmount.scale.fleet.results import run_figures
from gullmount.scale.fleet.run_record import Figures
from gullmount.scale.machine import this_machine
from gullmount.scenarios.loopback import claimed_block

RESULTS_FILE = "results.json"
SIGNAL_EXIT_CODE = 128  # plus the signal's number
MODULES = {Delivery.RELAYS: "relay_delivery", Delivery.COMPLETE_LISTS: "complete_list_delivery"}


def deployment(delivery: Delivery) -> type[Deployment]:
    """The class `DEPLOYMENT` of the delivery's module, which is loaded where it is run only."""
    made: type[Deployment] = import_module(f"gullmount.scale.fleet.{MODULES[delivery]}").DEPLOYMENT
    return made


def run(
    fleet: FleetConfig,
    seed: int,
    out: Path,
    progress: Progress,
    command: str = "",
    version: str = __version__,
) -> dict[str, Any]:
    """Run each of the file's deliveries in turn; return the results, which `out/results.json` has too.

    Raises OSError where `out` can't be written.
    """
    out = out.resolve()
    results: dict[str, Any] = {
        "v": 1,
        "version": version,
        "command": command,
        "seed": seed,
        "machine": msgspec.to_builtins(this_machine()),
        "at": datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
        "load": round(os.getloadavg()[0], 2),
        "fleet": fleet.as_file(),
        "schedule": digest_changes(DrawnFleet(fleet, seed).changes),
        "runs": [],
    }
    out.mkdir(parents=True, exist_ok=True)
    for delivery in fleet.deliveries:
        folder = out / delivery.value
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir()
        results["runs"].append(run_delivery(fleet, seed, delivery, folder, progress))
        (out / RESULTS_FILE).write_text(json.dumps(results, indent=1) + "\n")
    return results


def run_delivery(
    fleet: FleetConfig, seed: int, delivery: Delivery, folder: Path, progress: Progress
) -> Figures:
    """Run one delivery; return its figures and checks."""

    def delivery_progress(text: str) -> None:
        progress(f"{delivery.value}: {text}")

    with claimed_block() as block:
        began_at = time.monotonic()
        played = deployment(delivery)(fleet, seed, block, folder, delivery_progress)

        async def play() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stop_at_signal)
                await played.play()
                tasks.cancel_scope.cancel()

        anyio.run(play, backend_options={"use_uvloop": True})
    drawn = DrawnFleet(fleet, seed)
    delivery_progress("working out")
    figures = run_figures(played.record, drawn)
    figures["checks"] = [check.as_json() for check in run_checks(played.record, drawn)]
    figures["took"] = time.monotonic() - began_at
    return figures


async def stop_at_signal() -> None:
    """Break the run off at SIGTERM or SIGINT: its processes end, and the exit code says so."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            raise SystemExit(SIGNAL_EXIT_CODE + number)
