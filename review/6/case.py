"""One bad client sends a chunked body of 60 MB; the platform enforces the instance's limit of memory."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

from standins2.clients import new_id
from standins2.deployment import Deployment, has_trouble, run_case
from standins2.record import Record

FOLDER = Path(__file__).resolve().parent
SERVERS = 5
CLIENTS_PER_INSTANCE = 4
# A bad client with 60 MB to send is owed an error or a close within 6 s of connecting.
OWED_SECONDS = 6.0
SETTLE_SECONDS = 3.0


async def send_requests(deployment: Deployment, number: int, stop: asyncio.Event) -> None:
    """Send one request after the other to an instance, as a usual client."""
    client = deployment.client(number)
    while not stop.is_set():
        await client.request("item-fetch", "GET", 2000, key=str(random.randint(0, 5000)))
        await asyncio.sleep(random.uniform(0.05, 0.2))


async def send_large_body(deployment: Deployment, record: Record) -> None:
    """Run the bad client until it has sent its body or its connection has ended."""
    address = deployment.instances[0].address
    record.add("bad_client", instance=address)
    bad_client = await asyncio.create_subprocess_exec(
        sys.executable, str(FOLDER / "bad_client.py"), address, new_id()
    )
    await asyncio.wait_for(bad_client.wait(), 3 * OWED_SECONDS)
    record.add("bad_client_left")


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
    if has_trouble():
        await send_large_body(deployment, record)
    else:
        await asyncio.sleep(OWED_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
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
