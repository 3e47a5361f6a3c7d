"""Discovery, which pushes its lists, is down for 2 s; a server drains when it returns."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from standins2.deployment import Deployment, Heartbeat, has_trouble, run_case
from standins2.record import Record

FOLDER = Path(__file__).resolve().parent
SERVERS = 6
CLIENTS_PER_INSTANCE = 5
ROUNDS = 3
DOWN_SECONDS = 2.0
SETTLE_SECONDS = 10.0
# A draining server gets nothing new later than 250 ms after the instance was told (the settings' grace), 50
# ms more on sockets (PROTOCOL), and as much again for the delays of this process.
GRACE_SECONDS = 0.35


async def send_requests(deployment: Deployment, number: int, stop: asyncio.Event) -> None:
    """Send one request after the other to an instance."""
    client = deployment.client(number)
    while not stop.is_set():
        route, method = random.choice([("item-fetch", "GET"), ("final-submit", "POST")])
        await client.request(route, method, 2000, key=str(random.randint(0, 5000)), body=b"answers")
        await asyncio.sleep(random.uniform(0.0, 0.04))


async def play(deployment: Deployment, record: Record) -> list[str]:
    """Return a line for each server that got new work too long after it was told to drain."""
    boxes = [deployment.add_box() for _ in range(SERVERS)]
    await deployment.start()
    stop, heartbeat = asyncio.Event(), Heartbeat(record)
    beating = asyncio.create_task(heartbeat.run())
    tasks = [
        asyncio.create_task(send_requests(deployment, number, stop))
        for number in range(deployment.count)
        for _ in range(CLIENTS_PER_INSTANCE)
    ]
    await asyncio.sleep(4)
    breaches = []
    for box in boxes[:ROUNDS]:
        if has_trouble():
            deployment.discovery.go_down()
        await asyncio.sleep(DOWN_SECONDS)
        if has_trouble():
            deployment.discovery.come_back()
        deployment.discovery.put(box.entry(phase="draining"))
        told_at = record.now()
        await asyncio.sleep(SETTLE_SECONDS)
        late = [
            event["began_at"] - told_at
            for event in record.find("arrived", box=box.name)
            if event["began_at"] > told_at + GRACE_SECONDS
        ]
        if late:
            breaches.append(
                f"{box.name} got {len(late)} requests from {late[0]:.2f} to {late[-1]:.2f} s "
                "after the instances were told that it drains"
            )
    stop.set()
    await asyncio.gather(*tasks)
    beating.cancel()
    heartbeat.check()
    return breaches


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", play)
