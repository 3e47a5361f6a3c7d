"""Bad clients that send hundreds of requests at once on a connection and then close it."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

from standins2.clients import encode_request, new_id
from standins2.deployment import Deployment, Heartbeat, has_trouble, run_case
from standins2.http import Message
from standins2.record import Record

FOLDER = Path(__file__).resolve().parent
SERVERS = 5
CLIENTS_PER_INSTANCE = 6
BAD_CLIENTS = 12
REQUESTS_AT_ONCE = 300
TIMEOUT_MS = 4000
# The work of a final-submit, 210 to 370 ms in the mean.
WORK_SECONDS = (0.28, 0.4)
STAYS_SECONDS = 0.1
# No attempt may begin later than this after the client's close: 0.1 s (STANDING) and 50 ms (PROTOCOL).
ATTEMPT_LIMIT_SECONDS = 0.15


def work(_request: Message) -> float:
    """Return the seconds that a request takes."""
    return random.uniform(*WORK_SECONDS)


async def send_requests(deployment: Deployment, number: int, stop: asyncio.Event) -> None:
    """Send one request after the other to an instance, as a usual client."""
    client = deployment.client(number)
    while not stop.is_set():
        await client.request("item-fetch", "GET", 2000, key=str(random.randint(0, 5000)))
        await asyncio.sleep(random.uniform(0.1, 0.5))


async def send_many_and_leave(deployment: Deployment, record: Record) -> tuple[set[str], float]:
    """Send requests at once and close the connection; return their ids and the time of the close."""
    host, port = deployment.instances[0].address.split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    ids = [new_id() for _ in range(REQUESTS_AT_ONCE if has_trouble() else 1)]
    deployment.sent_ids.update(ids)
    for request_id in ids:
        writer.write(encode_request(request_id, "final-submit", "POST", TIMEOUT_MS, body=b"answers"))
    record.add("sent_at_once", count=len(ids), first_id=ids[0])
    await asyncio.sleep(STAYS_SECONDS)
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    closed_at = record.now()
    record.add("client_closed", first_id=ids[0])
    return set(ids), closed_at


async def play(deployment: Deployment, record: Record) -> list[str]:
    """Return a line for each attempt that began too late after its client's close."""
    for _ in range(SERVERS):
        deployment.add_box(work=work)
    await deployment.start()
    stop, heartbeat = asyncio.Event(), Heartbeat(record)
    beating = asyncio.create_task(heartbeat.run())
    tasks = [
        asyncio.create_task(send_requests(deployment, number, stop))
        for number in range(deployment.count)
        for _ in range(CLIENTS_PER_INSTANCE)
    ]
    await asyncio.sleep(3)
    gone = []
    for _ in range(BAD_CLIENTS):
        gone.append(await send_many_and_leave(deployment, record))
        await asyncio.sleep(1.5)
    stop.set()
    await asyncio.gather(*tasks)
    beating.cancel()
    heartbeat.check()
    return [
        f"{event['line']} with id {event['id']} began at {event['box']} "
        f"{event['began_at'] - closed_at:.2f} s after its client had closed the connection"
        for ids, closed_at in gone
        for event in record.find("arrived")
        if event["id"] in ids and event["began_at"] > closed_at + ATTEMPT_LIMIT_SECONDS
    ]


if __name__ == "__main__":
    run_case(FOLDER / "record.txt", play)
