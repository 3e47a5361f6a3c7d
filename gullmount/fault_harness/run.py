"""Plays a script with its faults, on processes or in virtual time."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

import anyio

from gullmount.fault_harness import paused_tasks
from gullmount.fault_harness.config import FaultConfig, HarnessConfig
from gullmount.fault_harness.deployment import HarnessDeployment
from gullmount.fault_harness.drawn_faults import draw_faults
from gullmount.fault_harness.fault_injection import FaultInjector
from gullmount.scenarios.loopback import DEFAULT_BLOCK
from gullmount.scenarios.virtual_time import run_in_virtual_time

OVERRUN_SECONDS = 60.0  # beyond its length, after which a script on processes is broken off


def all_faults(script: HarnessConfig, seed: int) -> list[FaultConfig]:
    """Return the faults of the script and those that the seed draws."""
    drawn = script.drawn_faults
    if drawn is None:
        return list(script.faults)
    random = Random(seed)
    return script.faults + draw_faults(random, drawn, script.length, script.umpires.count, script.replicas)


async def play_deployment(harness: HarnessDeployment, faults: list[FaultConfig]) -> None:
    """Play a deployment's scenario with these faults to its end."""
    await harness.add_links()
    harness.start_parties()
    injector = FaultInjector(harness)
    for number, fault in enumerate(faults):
        harness.tasks.start_soon(injector.run, number, fault)
    await harness.play()
    if harness.virtual:
        paused_tasks.end_all_pauses()


async def play(
    script: HarnessConfig, seed: int, virtual: bool, block: str, folder: Path
) -> tuple[dict[str, Any], bytes]:
    """Play a script; return the metadata and the lines of its record.

    Args:
        script: what is played.
        seed: of all that is drawn.
        virtual: in one process and virtual time.
        block: first half of the loopback addresses.
        folder: takes the processes' files, disks and logs.
    """
    with anyio.fail_after(float("inf") if virtual else script.length + OVERRUN_SECONDS):
        async with anyio.create_task_group() as tasks:
            harness = HarnessDeployment(script, seed, tasks, virtual, block, folder)
            await play_deployment(harness, all_faults(script, seed))
            tasks.cancel_scope.cancel()
    metadata = {
        "v": 1,
        "seed": seed,
        "virtual": virtual,
        "lead": harness.startup_seconds,
        "day": script.model_dump(mode="json", by_alias=True),
    }
    return metadata, harness.record.lines()


def run(
    script: HarnessConfig, seed: int, virtual: bool, block: str, folder: Path
) -> tuple[dict[str, Any], bytes]:
    """Do the same as `play` from outside an event loop."""
    if not virtual:
        return anyio.run(play, script, seed, virtual, block, folder, backend="asyncio")
    result: tuple[dict[str, Any], bytes] = run_in_virtual_time(
        play, seed, script, seed, virtual, DEFAULT_BLOCK, folder
    )
    return result
