"""A process of hollow clients: many of them, each with its own state, clients and connections.

It writes a counter sample each second, and on command what its clients saw.
"""

from __future__ import annotations

import json
import time
from array import array
from collections import Counter
from pathlib import Path

import anyio
import msgspec
from anyio.abc import TaskGroup

from gullmount.net import TcpNet
from gullmount.scale.fleet.child_process import (
    Commands,
    run_process,
    sample_regularly,
    write_line,
)
from gullmount.scale.fleet.counting_network import ByteCounts, CountingNetwork
from gullmount.scale.fleet.hollow_client import client_factory
from gullmount.scale.fleet.process_messages import (
    EXPECTED_FILE,
    SAMPLE_INTERVAL_SECONDS,
    Command,
    CounterSample,
    HollowProcessFile,
    Reply,
)

START_SPREAD_SECONDS = 2.0  # over which a process's clients begin, evenly: as fast as machines start up
MAX_PROBLEMS = 20  # of a sample, the most frequent ones


class HollowProcess:
    """All hollow clients of one process."""

    def __init__(self, file: HollowProcessFile) -> None:
        self.file = file
        drawn = file.drawn_fleet()
        self.problems: Counter[str] = Counter()
        self.by_address: dict[str, ByteCounts] = {}
        make_client, network = client_factory(file.delivery), TcpNet()
        self.clients = [
            make_client(proxy, drawn.config, CountingNetwork(network, self.by_address), file, self.problems)
            for proxy in drawn.hollow_proxies(file.part)
        ]
        self.bytes_before = [0] * len(self.clients)  # of each client, at the sample before
        self.sampled_at = time.monotonic()
        self.expected: dict[str, list[int]] | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Start all clients, spread over time."""
        for client in self.clients:
            client.start(tasks)
            await anyio.sleep(START_SPREAD_SECONDS / len(self.clients))

    def write_sample(self) -> None:
        """Write what clients counted so far, and the highest rate of one since the sample before."""
        now = time.monotonic()
        lateness = max(0.0, now - self.sampled_at - SAMPLE_INTERVAL_SECONDS)
        self.sampled_at = now
        moved = [client.network.bytes_in + client.network.bytes_out for client in self.clients]
        growth = [after - before for after, before in zip(moved, self.bytes_before, strict=True)]
        self.bytes_before = moved
        busiest = max(range(len(growth)), key=growth.__getitem__)
        sample = CounterSample(
            at=now,
            bytes_in=sum(client.network.bytes_in for client in self.clients),
            bytes_out=sum(client.network.bytes_out for client in self.clients),
            highest_rate=growth[busiest] / (SAMPLE_INTERVAL_SECONDS + lateness),
            highest_rate_client=self.clients[busiest].applied.name,
            lateness=lateness,
            synced=sum(client.applied.synced_at > 0 for client in self.clients),
            behind=self.clients_behind(),
            problems=dict(self.problems.most_common(MAX_PROBLEMS)),
            by_address=self.by_address,
        )
        counters: Counter[str] = Counter()
        for client in self.clients:
            counters.update(client.counters())
        write_line(msgspec.to_builtins(sample) | counters)

    def clients_behind(self) -> int | None:
        """How many clients have not reached the expected versions; None where none are expected yet."""
        if self.expected is None:
            return None
        return sum(client.applied.is_behind(self.expected) for client in self.clients)

    def write_reports(self, folder: Path) -> None:
        """Write each client's report as a line, and the applied versions of all. Raises OSError."""
        rows = array("d")
        lines = []
        for client in self.clients:
            rows.extend(client.applied.rows)
            report = msgspec.to_builtins(client.report()) | client.report_details()
            report |= {
                "bytes_in": client.network.bytes_in,
                "bytes_out": client.network.bytes_out,
                "marks": msgspec.to_builtins(client.network.connections),
            }
            lines.append(json.dumps(report))
        name = f"hollow-{self.file.part}"
        (folder / f"{name}.jsonl").write_text("\n".join(lines) + "\n")
        (folder / f"{name}.applied").write_bytes(rows.tobytes())


async def program(file: HollowProcessFile, commands: Commands) -> None:
    """Run the clients as commanded."""
    process = HollowProcess(file)
    folder = Path(file.folder)
    write_line({Reply.READY: True, Reply.PROXIES: len(process.clients)})
    async with anyio.create_task_group() as tasks:
        async for command in commands:
            if command == Command.GO:
                tasks.start_soon(process.start, tasks)
                tasks.start_soon(sample_regularly, process.write_sample)
            elif command == Command.EXPECT:
                process.expected = json.loads((folder / EXPECTED_FILE).read_text())
            elif command == Command.REPORT:
                process.write_reports(folder)
                write_line({Reply.REPORTED: True})
            elif command == Command.QUIT:
                break
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    run_process(HollowProcessFile, program)
