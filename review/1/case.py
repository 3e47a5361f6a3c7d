"""Clients that ask once and keep their connection: it runs out of descriptors, answers nobody."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path

from standins.client import head, new_id
from standins.http import HOST, read_message
from standins.instance import Instance
from standins.record import BROKEN, HELD, NOT_RUN, Record
from standins.services import CONNECTION_ERRORS, Box, Discovery, ReleaseController
from standins.settings import davao_quiz

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# 16 to 20 on the busiest days.
BOXES = 20
# The mean work of the route is 210 to 370 ms.
WORK_SECONDS = 0.25
# The descriptors that the instance may hold, and the third of them that clients may hold for requests.
DESCRIPTORS = 256
MAX_OPEN_REQUESTS = DESCRIPTORS // 3
# Up to 240, and up to 750 on one day.
REQUESTS_PER_SECOND = 320
# Every second client keeps its connection once it has its answer.
CLIENTS_PER_KEEPER = 2
# So that the clients' own process needs no more than usual.
MAX_KEPT_CONNECTIONS = 500
# A try is given up after 40% of the route timeout of 7.5 s.
ROUTE, TIMEOUT_MS = "score-view", 3000
# What the page allows after a request's time, and the slack on sockets.
LATE_SECONDS = 0.5 + 0.05
RUN_SECONDS = 20.0
POLL_SECONDS = 0.002
REPORT_SECONDS = 1.0
ANSWERED, CLOSED, NEVER_ANSWERED = "answered", "closed", "never answered"


class Clients:
    """Clients with a new connection for each request.

    Attributes:
        open_requests: requests that were sent and are neither answered nor given up.
        kept: the connections of clients that have their answer and keep the connection for good.
        results: how many requests ended in each way.
    """

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.open_requests = 0
        self.kept: list[asyncio.StreamWriter] = []
        self.results: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()

    async def ask(self, keeps_connection: bool) -> None:
        """Connect, send one request and wait for its answer."""
        request_id = new_id()
        writer: asyncio.StreamWriter | None = None
        self.open_requests += 1
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(head(ROUTE, request_id, TIMEOUT_MS, None))
            async with asyncio.timeout(TIMEOUT_MS / 1000 + LATE_SECONDS):
                answer = await read_message(reader)
            self.statuses[answer.status] += 1
            result = ANSWERED
            if keeps_connection:
                self.kept.append(writer)
                writer = None
        except TimeoutError:
            result = NEVER_ANSWERED
        except CONNECTION_ERRORS:
            result = CLOSED
        finally:
            self.open_requests -= 1
            if writer is not None:
                writer.close()
        self.results[result] += 1
        self.record.write(f"request {request_id}: {result}")

    async def send(self, seconds: float) -> None:
        """Send requests at a steady rate, within the bound on open ones, and wait for their ends."""
        tasks: set[asyncio.Task[None]] = set()
        began_at, number = self.record.now(), 0
        while (elapsed := self.record.now() - began_at) < seconds:
            due = int(elapsed * REQUESTS_PER_SECOND)
            while number < due:
                number += 1
                if self.open_requests < MAX_OPEN_REQUESTS:
                    keeps = TROUBLE and number % CLIENTS_PER_KEEPER == 0
                    keeps = keeps and len(self.kept) < MAX_KEPT_CONNECTIONS
                    task = asyncio.create_task(self.ask(keeps))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                    await asyncio.sleep(0)
            await asyncio.sleep(POLL_SECONDS)
        await asyncio.gather(*tasks)


async def report(record: Record, instance: Instance, clients: Clients) -> None:
    """Write what is open once a second, until cancelled."""
    while True:
        assert instance.process is not None
        descriptors = len(os.listdir(f"/proc/{instance.process.pid}/fd"))
        record.write(
            f"instance holds {descriptors} descriptors; clients keep {len(clients.kept)} connections "
            f"with no request, wait for {clients.open_requests}, ended {dict(clients.results)}"
        )
        await asyncio.sleep(REPORT_SECONDS)


async def run(record: Record, folder: Path) -> int:
    """Play the case and return the exit code."""
    boxes = [Box(record, f"s-{number:02}", "matina", WORK_SECONDS) for number in range(BOXES)]
    discovery, controller = Discovery(record, boxes), ReleaseController(record)
    for service in (*boxes, discovery, controller):
        await service.start()
    instance = Instance(
        folder,
        "n0",
        davao_quiz(0, 1),
        discovery=discovery.address,
        release_controller=controller.address,
        known=discovery.known(),
    )
    clients = Clients(record, instance.port)
    reporting: asyncio.Task[None] | None = None
    try:
        instance.start(descriptors=DESCRIPTORS)
        await instance.wait_until_ready()
        reporting = asyncio.create_task(report(record, instance, clients))
        await clients.send(RUN_SECONDS)
    finally:
        if reporting is not None:
            reporting.cancel()
        instance.end()
        for writer in clients.kept:
            writer.close()
        for service in (*boxes, discovery, controller):
            await service.stop()
        for line in instance.log_lines():
            record.write(f"log {line}")
    if not clients.results[ANSWERED]:
        return record.conclude(NOT_RUN, "no request was answered at all")
    lost = clients.results[NEVER_ANSWERED]
    text = f"{dict(clients.results)}, statuses {dict(clients.statuses)}"
    return record.conclude(BROKEN if lost else HELD, text)


def main() -> int:
    """Run the case in a temporary folder."""
    record = Record(Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(run(record, Path(folder)))
        except Exception as error:
            # Any other exit code than 2 would speak of the rule.
            return record.conclude(NOT_RUN, f"cannot run: {type(error).__name__} {error}")


if __name__ == "__main__":
    sys.exit(main())
