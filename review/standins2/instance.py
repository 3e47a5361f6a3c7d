"""Instances of the proxy, started by the command of the deploy file, and their configuration."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

from standins2.http import read_message
from standins2.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 30.0
STOP_SECONDS = 8.0
MEMORY_POLL_SECONDS = 0.02
MEMORY_RECORD_STEP = 16
STATUS_OK = 200


def run_command() -> str:
    """Return the command that starts an instance."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


def free_host() -> str:
    """Return a loopback address that no other run is likely to use."""
    while True:
        host = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            with socket.create_server((host, 8081)):
                return host
        except OSError:
            continue


def settings(number: int, count: int, **specifics: Any) -> dict[str, Any]:
    """Return the settings of one instance of a small deployment that lists are pushed to."""
    return {
        "Azs": ["a", "b"],
        "Ceilings": {
            "Cancelling": True, "ConnIdleUs": 15_000_000, "ConnectTimeoutUs": 250_000,
            "CpuUsPerRequest": 0.0, "CpuUsPerS": 500_000, "MaxAttempts": 4, "MaxOpen": 20000,
            "MaxRetryAfterUs": 500_000, "ParallelTries": False, "Peers": False, "Probes": True,
            "RetryAfter": True, "StreamsPerConn": 1,
        },
        "Clients": {"MarksRetry": True},
        "Discovery": "automatic",
        "DomainType": "rollout",
        "Goal": {"Whole": 0.4, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.2},
        "Grades": [
            grade("item-fetch", "idempotent", 800_000, 2_000_000, 1.0),
            grade("score-view", "idempotent", 2_500_000, 7_500_000, 1.0),
            grade("answer-save", "deduplicated", 800_000, 2_500_000, 5.0),
            grade("final-submit", "at_most_once", 1_500_000, 4_000_000, 5.0),
        ],
        "Kinds": ["std-2c"],
        "Me": number,
        "OverShareWorth": 0.1,
        "Parties": [],
        "Prices": {
            "Connection": 0.0, "CrossZone": 0.01, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.05,
            "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.01, "Waste": 0.03,
        },
        "Report": {"Fields": [], "How": "off"},
        "Rules": {
            "AnswerSlackUs": 20_000, "AskWithinUs": 10_000_000, "ColdFrom": 0.31, "OverloadForUs": 1_500_000,
            "StopSendingWithinUs": 250_000, "TipMultiple": 2.0, "WarmAfterUs": 4_800_000,
        },
        "Siblings": count,
        "Specifics": {
            "BackVotes": 1, "ClosedStages": 2, "CountedBy": "all", "DelayPrice": 0.5,
            "ExposureCaps": [0.08, 0.2, 0.5, 1.0, 1.0], "FoundShare": 0.0, "GateMode": "share",
            "HarmPrice": 5.0, "HoldVotes": 0, "MetricsPeriodUs": 0, "MovesAfterUs": 0,
            "NewsPeriodUs": 6_000_000, "OneWay": True, "Shares": [0.04, 0.1, 0.25, 0.55, 1.0],
            "SoakUs": 1_000_000, "SpanUs": 3_000_000, "SpareTries": 3.0, "Swap": "beside",
            "TallySample": 0.0, "ToAdvance": max(1, round(0.6 * count)), "VoteLifeUs": 4_000_000,
            "VoteWaitUs": 1_200_000, "VotesPerS": 150.0, "WarmKeys": False, **specifics,
        },
        "Stage": 0,
        "TickUs": 5000,
        "Tiers": ["quiz-boxes"],
        "Weights": "rough",
        "WorthBy": "request",
        "Zone": "a",
    }  # fmt: skip


def grade(name: str, semantics: str, objective_us: int, deadline_us: int, worth: float) -> dict[str, Any]:
    """Return the settings of one route."""
    return {
        "DeadlineUs": deadline_us, "Group": "all", "LateValue": 0.0, "Name": name,
        "ObjectiveUs": objective_us, "Semantics": semantics, "Stream": False, "WindowUs": 5_000_000,
        "Worth": worth,
    }  # fmt: skip


class Instance:
    """One instance of the proxy, as a process."""

    def __init__(self, folder: Path, configuration: dict[str, Any]) -> None:
        self.name = configuration["name"]
        self.configuration = configuration
        self.path = folder / f"{self.name}.json"
        self.log_path = folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.write()

    def write(self) -> None:
        """Replace the configuration file."""
        part = self.path.with_suffix(".part")
        part.write_text(json.dumps(self.configuration))
        part.replace(self.path)

    @property
    def address(self) -> str:
        """Where clients connect."""
        return str(self.configuration["listen"])

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(self.path),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.address,
            "PROXY_DISCOVERY": self.configuration["discovery"],
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), env=environment, cwd=ROOT, stdout=log, stderr=log
            )
        async with asyncio.timeout(READY_SECONDS):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    message = f"{self.name} ended with {self.process.returncode}"
                    raise RuntimeError(message)
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether the instance answers the call that a front makes."""
        host, port = self.address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return (await read_message(reader)).status == STATUS_OK
        except (OSError, EOFError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    def resident_mebibytes(self) -> float:
        """Return the memory that the process has in use, 0 once it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(match[1]) / 1024 if match else 0.0

    async def enforce_memory_limit(self, record: Record) -> None:
        """Kill the process if it goes over its limit of memory, as the platform does."""
        limit = self.configuration["limits"]["memory_mb"]
        highest = 0.0
        while self.process is not None and self.process.returncode is None:
            used = self.resident_mebibytes()
            if used > highest + MEMORY_RECORD_STEP:
                highest = used
                record.add("memory", instance=self.name, mebibytes=round(used))
            if used > limit:
                record.add("killed_for_memory", instance=self.name, mebibytes=round(used), limit=limit)
                self.signal(signal.SIGKILL)
                return
            await asyncio.sleep(MEMORY_POLL_SECONDS)

    async def stop(self) -> None:
        """End the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), STOP_SECONDS)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
