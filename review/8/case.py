"""Bad clients send heads that never end to an instance; the platform enforces its limit of memory."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

from standins2.deployment import Deployment, has_trouble, run_case
from standins2.record import Record

FOLDER = Path(__file__).resolve().parent
SERVERS = 5
CLIENTS_PER_INSTANCE = 4
WAVES = 3
WAVE_SECONDS = 10.0
BAD_CLIENTS_AT_ONCE = 150


async def send_requests(deployment: Deployment, number: int, stop: asyncio.Event) -> None:
    """Send one request after the other to an instance."""
    client = deployment.client(number)
    while not stop.is_set():
        await client.request("item-fetch", "GET", 2000, key=str(random.randint(0, 5000)))
        await asyncio.sleep(random.uniform(0.05, 0.2))


async def send_wave(deployment: Deployment, record: Record) -> None:
    """Let the bad clients come to the first instance, and wait until they have left."""
    address = deployment.instances[0].address
    record.add("bad_clients", count=BAD_CLIENTS_AT_ONCE, instance=address)
    bad_clients = await asyncio.create_subprocess_exec(
        sys.executable, str(FOLDER / "bad_clients.py"), address, str(BAD_CLIENTS_AT_ONCE)
    )
    await asyncio.wait_for(bad_clients.wait(), 2 * WAVE_SECONDS)


async def play(deployment: Deployment, record: Record) -> list[str]:
    """Return a line for each instance that was killed for memory or that has ended by itself."""
    for _ in range(SERVERS):
        deployment.add_box()
    await deployment.start()
    watchers = [
        asyncio.create_task(instance.enforce_memory_limit(record)) for instance in deployment.instances
    ]
    stop = asyncio.Event()
    tasks = [
        asyncio.create_task(send_requests(deployment, number, stop))
        for number in range(deployment.count)
        for _ in range(CLIENTS_PER_INSTANCE)
    ]
    await asyncio.sleep(2)
    for _ in range(WAVES):
        if has_trouble() and not record.find("killed_for_memory"):
            await send_wave(deployment, record)
        await asyncio.sleep(WAVE_SECONDS / 2)
    breaches = [
        f"{event['instance']} was killed at {event['at']}: it had {event['mebibytes']} MiB, "
        f"the limit is {event['limit']}"
        for event in record.find("killed_for_memory")
    ]
    breaches += [
        f"{instance.name} has ended by itself"
        for instance in deployment.instances
        if instance.process is not None
        and instance.process.returncode is not None
        and not record.find("killed_for_memory", instance=instance.name)
    ]
    stop.set()
    await asyncio.gather(*tasks)
    for watcher in watchers:
        watcher.cancel()
    return breaches


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", play)
