"""Plays a scenario, on loopback sockets or in memory and virtual time, and returns its record."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import anyio

from gullmount.proxy import ProxyInstance
from gullmount.scenarios.config import ScenarioConfig
from gullmount.scenarios.deployment import Deployment
from gullmount.scenarios.loopback import DEFAULT_BLOCK
from gullmount.scenarios.proxy_process import ProxyFactory
from gullmount.scenarios.virtual_time import run_in_virtual_time

RECORD_VERSION = 1
GC_THRESHOLDS = (50_000, 20, 1_000_000)  # objects and rounds between sweeps; the last is never reached


async def play_scenario(
    config: ScenarioConfig,
    seed: int,
    virtual: bool,
    block: str = DEFAULT_BLOCK,
    proxy_factory: ProxyFactory = ProxyInstance,
) -> tuple[dict[str, Any], bytes]:
    """Play the scenario in the running event loop; see `run_scenario`."""
    async with anyio.create_task_group() as tasks:
        deployment = Deployment(config, seed, tasks, virtual, block, proxy_factory)
        await deployment.play()
        tasks.cancel_scope.cancel()
    about = {
        "v": RECORD_VERSION,
        "seed": seed,
        "virtual": virtual,
        "lead": deployment.startup_seconds,
        "day": config.model_dump(mode="json"),
    }
    return about, deployment.record.lines()


def run_scenario(
    config: ScenarioConfig,
    seed: int,
    virtual: bool,
    block: str = DEFAULT_BLOCK,
    proxy_factory: ProxyFactory = ProxyInstance,
) -> tuple[dict[str, Any], bytes]:
    """Play the scenario and return the head of its record and the record's lines.

    In virtual time the record is the same, byte for byte, for the same seed. `block` is the block of
    loopback addresses on sockets; in virtual time no other process is met.
    """
    if not virtual:
        with _rare_garbage_collection():
            return anyio.run(play_scenario, config, seed, virtual, block, proxy_factory, backend="asyncio")
    played: tuple[dict[str, Any], bytes] = run_in_virtual_time(
        play_scenario, seed, config, seed, virtual, DEFAULT_BLOCK, proxy_factory
    )
    return played


@contextmanager
def _rare_garbage_collection() -> Iterator[None]:
    """Sweep rarely: the record's many objects would make each sweep stall every proxy instance at once."""
    usual = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        yield
    finally:
        gc.set_threshold(*usual)
        gc.unfreeze()
