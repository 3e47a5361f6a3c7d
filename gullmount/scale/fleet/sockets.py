"""TCP connections as the machine sees them: bytes that neither side counts, and sockets that are left."""

from __future__ import annotations

import re
import shutil
import subprocess
import time
from collections import defaultdict
from pathlib import Path
from typing import NamedTuple

import anyio

from gullmount.scale.fleet.counting_network import ByteCounts
from gullmount.scale.fleet.process_messages import SAMPLE_INTERVAL_SECONDS, CounterSample

BYTES_SENT = re.compile(r"\bbytes_sent:(\d+)")
BYTES_RECEIVED = re.compile(r"\bbytes_received:(\d+)")
SOCKET_STATISTICS = "ss"  # the command of iproute2
LOCAL_COLUMN, REMOTE_COLUMN = 3, 4  # of a line of `ss -tinHO`, after state and two queues

PROC_STATE_COLUMN = 3  # of /proc/net/tcp
PROC_ADDRESS_COLUMNS = slice(1, 3)
PROC_NETWORK_DIGITS = slice(4, 8)  # of a hexadecimal address with its bytes reversed, the first two bytes
TIME_WAIT = "06"
MAX_SOCKET_CHARACTERS = 60  # of a line that is reported


class ConnectionBytes(NamedTuple):
    """Bytes of one connection since it was opened."""

    received: int
    sent: int


class SocketCounters:
    """Sums of connections by local host; what a closed connection had when last seen stays counted."""

    def __init__(self, connection_filter: str) -> None:
        self.connection_filter = connection_filter  # as `ss` takes it
        self.connections: dict[tuple[str, str], ConnectionBytes] = {}  # by local and remote address
        self.sums: dict[str, ByteCounts] = defaultdict(lambda: [0, 0])
        self.samples: dict[str, list[CounterSample]] = defaultdict(list)  # by local host

    async def sample_regularly(self) -> None:
        """Sample each second, until cancelled; nothing is counted where the machine has no `ss`."""
        due = time.monotonic()
        while shutil.which(SOCKET_STATISTICS) is not None:
            process = await anyio.run_process(
                [SOCKET_STATISTICS, "-tinHO", self.connection_filter],
                stderr=subprocess.DEVNULL,
                check=False,
            )
            self.add_sample(process.stdout.decode(errors="replace"), time.monotonic())
            due += SAMPLE_INTERVAL_SECONDS
            await anyio.sleep(max(0.0, due - time.monotonic()))

    def add_sample(self, output: str, now: float) -> None:
        """Add what `ss` printed at `now`, in seconds of the monotonic clock."""
        connections: dict[tuple[str, str], ConnectionBytes] = {}
        for line in output.splitlines():
            columns = line.split()
            if len(columns) <= REMOTE_COLUMN:
                continue
            sent, received = BYTES_SENT.search(line), BYTES_RECEIVED.search(line)
            pair = columns[LOCAL_COLUMN], columns[REMOTE_COLUMN]
            before = self.connections.get(pair, ConnectionBytes(0, 0))
            count = ConnectionBytes(int(received[1]) if received else 0, int(sent[1]) if sent else 0)
            if count < before:
                before = ConnectionBytes(0, 0)  # another connection between the same ports
            host_sum = self.sums[pair[0].rpartition(":")[0]]
            host_sum[0] += count.received - before.received
            host_sum[1] += count.sent - before.sent
            connections[pair] = count
        self.connections = connections
        for host, (bytes_in, bytes_out) in self.sums.items():
            self.samples[host].append(CounterSample(at=now, bytes_in=bytes_in, bytes_out=bytes_out))


def connections_in_block(block: str) -> list[str]:
    """TCP sockets with an address in the block (`127.10`), except for those in TIME_WAIT."""
    first, second = map(int, block.split("."))
    network = f"{second:02X}{first:02X}"
    found = []
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        in_block = any(address[PROC_NETWORK_DIGITS] == network for address in columns[PROC_ADDRESS_COLUMNS])
        if in_block and columns[PROC_STATE_COLUMN] != TIME_WAIT:
            found.append(line.strip()[:MAX_SOCKET_CHARACTERS])
    return found
