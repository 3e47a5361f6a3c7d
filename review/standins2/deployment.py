"""A small deployment: a few instances, their servers, discovery and the platform."""

from __future__ import annotations

import asyncio
import os
import random
import secrets
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins2.clients import Client
from standins2.http import Message
from standins2.instance import Instance, free_host, settings
from standins2.record import Record
from standins2.services import Box, Discovery, Platform, Responder

RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
RUN_SECONDS = 110.0
HEARTBEAT_SECONDS = 0.01
MAX_OWN_DELAY_SECONDS = 0.05
RELEASED = "41 4 COMPLETE 1.0 90000"
# Mean work of a server on a request, in seconds, and its spread.
WORK_SECONDS = (0.03, 0.12)


def usual_work(_request: Message) -> float:
    """Return the seconds that a usual request takes."""
    return random.uniform(*WORK_SECONDS)


class Deployment:
    """The parties of a run. Times are in seconds of the record."""

    def __init__(self, record: Record, folder: Path, count: int = 3, **settings_changes: Any) -> None:
        self.record = record
        self.folder = folder
        self.host = free_host()
        self.next_port = 9000
        self.sent_ids: set[str] = set()
        self.discovery = Discovery(record, self.host, self.port())
        self.platform = Platform(record, self.host, self.port(), RELEASED)
        self.boxes: dict[str, Box] = {}
        self.clients: list[Client] = []
        self.instances: list[Instance] = []
        self.count = count
        self.settings_changes = settings_changes
        self.peers = [f"{self.host}:{self.port()}" for _ in range(count)]

    def port(self) -> int:
        """Return a port of the run's own address that is not in use."""
        self.next_port += 1
        return self.next_port

    def add_box(
        self,
        work: Callable[[Message], float] = usual_work,
        respond: Responder | None = None,
        **entry: Any,
    ) -> Box:
        """Add a server and list it."""
        name = f"s-{len(self.boxes) + 1}"
        box = Box(self.record, name, self.host, self.port(), self.sent_ids, work, respond)
        self.boxes[name] = box
        self.discovery.put(box.entry(**entry))
        return box

    def client(self, number: int = 0) -> Client:
        """Return a new client of an instance."""
        client = Client(self.record, self.instances[number].address, self.sent_ids)
        self.clients.append(client)
        return client

    def configuration(self, number: int) -> dict[str, Any]:
        """Return the configuration of an instance."""
        build, stage, phase, limit, age = self.platform.state.split()
        return {
            "name": f"n{number}",
            "listen": f"{self.host}:{self.port()}",
            "discovery": self.discovery.address,
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": self.peers[number],
            "peers": self.peers,
            "platform": {
                "address": self.platform.address,
                "news": {
                    "build": int(build),
                    "stage": int(stage),
                    "phase": phase,
                    "cap": float(limit),
                    "age_ms": int(age),
                },
            },
            "known": {
                "revision": self.discovery.revision,
                "complete": True,
                "members": self.discovery.entries(0),
            },
            "settings": settings(number, self.count, **self.settings_changes),
        }

    async def start_services(self) -> None:
        """Start discovery, the platform and the servers."""
        for service in (self.discovery, self.platform, *self.boxes.values()):
            await service.start()

    async def start(self) -> None:
        """Start all parties and wait until the instances are ready."""
        await self.start_services()
        await self.start_instances()

    async def start_instances(self) -> None:
        """Start the instances and wait until they are ready."""
        self.instances = [Instance(self.folder, self.configuration(number)) for number in range(self.count)]
        await asyncio.gather(*(instance.start() for instance in self.instances))
        self.record.add("ready", instances=[instance.address for instance in self.instances])

    async def stop(self) -> None:
        """End all parties."""
        for client in self.clients:
            client.close()
        await asyncio.gather(
            *(instance.stop() for instance in self.instances),
            *(service.stop() for service in (self.discovery, self.platform, *self.boxes.values())),
            return_exceptions=True,
        )


class Heartbeat:
    """Measures by how much this process runs late, since its own delays must not count as those of others."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.max_delay = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = self.record.now() + HEARTBEAT_SECONDS
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.max_delay = max(self.max_delay, self.record.now() - due_at)

    def check(self) -> None:
        """Raise RuntimeError if this process ran too late to judge others."""
        self.record.add("own_delay", seconds=round(self.max_delay, 3))
        if self.max_delay > MAX_OWN_DELAY_SECONDS:
            message = f"the stand-ins ran {self.max_delay:.3f} s late"
            raise RuntimeError(message)


def has_trouble() -> bool:
    """Return whether the run has its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    record_path: Path, play: Callable[[Deployment, Record], Awaitable[list[str]]], **options: Any
) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    `play` returns a line for each breach of the rule.
    """

    async def run() -> list[str]:
        record = Record(record_path)
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(record, Path(folder), **options)
            try:
                async with asyncio.timeout(RUN_SECONDS):
                    breaches = await play(deployment, record)
            finally:
                await deployment.stop()
                for instance in deployment.instances:
                    for line in instance.log_path.read_text(errors="replace").splitlines():
                        record.add("log", line=line)
        for breach in breaches:
            record.add("breach", what=breach)
        record.close()
        return breaches

    try:
        breaches = asyncio.run(run())
    except Exception:
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    for breach in breaches:
        print(f"broken: {breach}")
    print("the rule was broken" if breaches else "the rule held")
    sys.exit(RULE_BROKEN if breaches else RULE_HELD)
