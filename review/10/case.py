"""An instance that was killed starts again while discovery, which pushes its lists, is down."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from standins2.deployment import Deployment, Heartbeat, has_trouble, run_case
from standins2.instance import Instance
from standins2.record import Record

FOLDER = Path(__file__).resolve().parent
SERVERS = 6
CLIENTS = 5
DOWN_SECONDS = 8.0
# A draining server gets nothing new later than 250 ms after the instance was told (the settings' grace), 50
# ms more on sockets (PROTOCOL), and as much again for the delays of this process.
GRACE_SECONDS = 0.35


async def send_requests(deployment: Deployment, number: int, stop: asyncio.Event) -> None:
    """Send one request after the other to an instance."""
    client = deployment.client(number)
    while not stop.is_set():
        route, method = random.choice([("item-fetch", "GET"), ("final-submit", "POST")])
        end = await client.request(route, method, 2000, key=str(random.randint(0, 5000)), body=b"answers")
        await asyncio.sleep(random.uniform(0.1, 0.2) if end["event"] == "broken" else 0.03)


async def restart(deployment: Deployment, record: Record, number: int) -> None:
    """Start the instance anew, with the list that it last had."""
    instance = Instance(deployment.folder, deployment.instances[number].configuration)
    deployment.instances[number] = instance
    await instance.start()
    record.add("started_again", instance=instance.name)


async def play(deployment: Deployment, record: Record) -> list[str]:
    """Return a line if the draining server got new work from an instance that was told of it."""
    boxes = [deployment.add_box() for _ in range(SERVERS)]
    await deployment.start()
    heartbeat = Heartbeat(record)
    beating = asyncio.create_task(heartbeat.run())
    await asyncio.sleep(2)
    killed = deployment.instances[0]
    assert killed.process is not None
    killed.signal(signal.SIGKILL)
    await killed.process.wait()
    record.add("killed", instance=killed.name)
    deployment.discovery.put(boxes[0].entry(phase="draining"))
    told_at = record.now()
    await asyncio.sleep(1)
    if has_trouble():
        await deployment.discovery.stop()
        record.add("discovery_down")
    down_until = record.now() + DOWN_SECONDS
    await restart(deployment, record, 0)
    stop = asyncio.Event()
    tasks = [asyncio.create_task(send_requests(deployment, 0, stop)) for _ in range(CLIENTS)]
    await asyncio.sleep(max(0.0, down_until - record.now()))
    if has_trouble():
        await deployment.discovery.start()
        record.add("discovery_back")
    await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*tasks)
    beating.cancel()
    heartbeat.check()
    late = [
        event["began_at"] - told_at
        for event in record.find("arrived", box=boxes[0].name)
        if event["began_at"] > told_at + GRACE_SECONDS
    ]
    if not late:
        return []
    return [
        f"{boxes[0].name} got {len(late)} requests from {late[0]:.2f} to {late[-1]:.2f} s "
        "after it was listed as draining"
    ]


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", play)
