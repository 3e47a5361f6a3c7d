"""Costs of a discovery service with many watches, by long polling and by streaming."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

from gullmount.scale.slopes.discovery_services import ServiceCommand, ServiceKind
from gullmount.scale.slopes.measurement import Measurement
from gullmount.scale.slopes.router_costs import LISTED
from gullmount.scale.slopes.watch_clients import WatchCrowd

IDLE_SAMPLE_SECONDS = 6.0  # some of the heartbeats of 5 s, two of the calls of 3 s
IDLE_SAMPLES = 3
MEMORY_SAMPLES = 3
SNAPSHOT_SAMPLES = 5
SNAPSHOT_SAMPLE_SERVERS = 20_000  # that the snapshots of one sample list together
CHANGE_SAMPLES = 7
SETTLE_SECONDS = 0.5  # before the first change
AFTERWORK_SECONDS = 0.2  # in which the service's work after its last message still counts
WATCHES = (10.0, 100.0, 1000.0, 7300.0)
SERVERS = (25.0, 200.0, 1000.0, 5000.0, 25_000.0)
LISTED_SERVERS = 25  # where watches are what is varied


@dataclass(frozen=True)
class ChangeCost:
    """What one change cost that all watches were notified of."""

    processor_seconds: float
    received_bytes: float
    seconds_until_last: float


def _idle_cores(watches: float, kind: ServiceKind) -> Iterator[float]:
    """Yield seconds of processor time a second at the service while nothing changes."""

    async def main() -> list[float]:
        values = []
        async with WatchCrowd(kind, LISTED_SERVERS).serving() as crowd:
            await crowd.open_watches(round(watches))
            for _ in range(IDLE_SAMPLES):
                before = crowd.command(ServiceCommand.REPORT).processor_seconds
                started = time.monotonic()
                await asyncio.sleep(IDLE_SAMPLE_SECONDS)
                spent = crowd.command(ServiceCommand.REPORT).processor_seconds - before
                values.append(spent / (time.monotonic() - started))
        return values

    yield from asyncio.run(main())


async def _change_once(crowd: WatchCrowd) -> ChangeCost:
    before, bytes_before = crowd.command(ServiceCommand.REPORT).processor_seconds, crowd.received_bytes
    started = time.monotonic()
    crowd.expect(len(crowd.watches))
    crowd.command(ServiceCommand.CHANGE)
    await crowd.wait_until_notified()
    seconds_until_last = time.monotonic() - started
    await asyncio.sleep(AFTERWORK_SECONDS)
    spent = crowd.command(ServiceCommand.REPORT).processor_seconds - before
    return ChangeCost(spent, crowd.received_bytes - bytes_before, seconds_until_last)


def _change_cost(watches: float, kind: ServiceKind, value: Callable[[ChangeCost], float]) -> Iterator[float]:
    """Yield one value of the cost of a change."""

    async def main() -> list[float]:
        async with WatchCrowd(kind, LISTED_SERVERS).serving() as crowd:
            await crowd.open_watches(round(watches))
            await asyncio.sleep(SETTLE_SECONDS)
            return [value(await _change_once(crowd)) for _ in range(CHANGE_SAMPLES)]

    yield from asyncio.run(main())


def _processor_seconds(cost: ChangeCost) -> float:
    return cost.processor_seconds


def _received_bytes(cost: ChangeCost) -> float:
    return cost.received_bytes


def _seconds_until_last(cost: ChangeCost) -> float:
    return cost.seconds_until_last


def _watch_memory(watches: float, kind: ServiceKind) -> Iterator[float]:
    """Yield resident bytes at the service beyond those before the watches came."""

    async def main() -> float:
        async with WatchCrowd(kind, LISTED_SERVERS).serving() as crowd:
            await crowd.open_watches(1)
            before = crowd.command(ServiceCommand.REPORT).resident_bytes
            await crowd.open_watches(round(watches))
            return crowd.command(ServiceCommand.REPORT).resident_bytes - before

    for _ in range(MEMORY_SAMPLES):
        yield asyncio.run(main())


def _snapshot_seconds(servers: float, kind: ServiceKind) -> Iterator[float]:
    """Yield processor seconds at the service for one watch that begins and receives the complete list."""

    async def main() -> list[float]:
        values = []
        async with WatchCrowd(kind, round(servers)).serving() as crowd:
            await crowd.open_watches(1)
            for _ in range(SNAPSHOT_SAMPLES):
                count = max(1, round(SNAPSHOT_SAMPLE_SERVERS / servers))
                before = crowd.command(ServiceCommand.REPORT).processor_seconds
                await crowd.open_watches(count)
                after = crowd.command(ServiceCommand.REPORT).processor_seconds
                values.append((after - before) / count)
        return values

    yield from asyncio.run(main())


# Words of the stored files: they stay as they are.
SERVICE_WORDS = {
    ServiceKind.STREAMING: "the roster's stand-in",
    ServiceKind.LONG_POLLING: "a list service that answers the platform's calls",
}


def _measurements(kind: ServiceKind) -> Iterator[Measurement]:
    service = SERVICE_WORDS[kind]
    yield Measurement(
        f"{kind}-watches-idle", f"{service}: watches while nothing changes",
        "watches", "s of processor time a second", WATCHES, partial(_idle_cores, kind=kind),
    )  # fmt: skip
    for name, unit, value in (
        ("change", "s of processor time a change", _processor_seconds),
        ("bytes", "bytes a change", _received_bytes),
    ):
        yield Measurement(
            f"{kind}-watches-{name}", f"{service}: one change of one box told to all",
            "watches", unit, WATCHES, partial(_change_cost, kind=kind, value=value),
        )  # fmt: skip
    yield Measurement(
        f"{kind}-watches-last",
        f"{service}: from one change until the last watch heard it, on this machine",
        "watches", "s", WATCHES, partial(_change_cost, kind=kind, value=_seconds_until_last),
    )  # fmt: skip
    yield Measurement(
        f"{kind}-watches-memory", f"{service}: held by watches",
        "watches", "bytes", WATCHES, partial(_watch_memory, kind=kind),
    )  # fmt: skip
    yield Measurement(
        f"{kind}-whole", f"{service}: one watch that comes and gets the whole list",
        LISTED, "s of processor time a watch", SERVERS, partial(_snapshot_seconds, kind=kind),
    )  # fmt: skip


MEASUREMENTS = tuple(measurement for kind in SERVICE_WORDS for measurement in _measurements(kind))
