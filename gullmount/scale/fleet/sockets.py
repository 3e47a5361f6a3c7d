"""Bytes by local host of connections of which neither side counts them, as the machine does (`ss`)."""

from __future__ import annotations

import re
import shutil
import subprocess
import time
from collections import defaultdict
from typing import Any

import anyio

SENT = re.compile(r"\bbytes_sent:(\d+)")
RECEIVED = re.compile(r"\bbytes_received:(\d+)")
EACH = 1.0  # s between looks
PLACES = 4  # of a line of `ss -tinHO`: state, two queues, local address, far address


class Sockets:
    """Sums of connections by their local host; what a connection had when it was last seen stays counted."""

    def __init__(self, wanted: str) -> None:
        self.wanted = wanted  # a filter as `ss` takes it
        self.held: dict[tuple[str, str], tuple[int, int]] = {}
        self.sums: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        self.lines: dict[str, list[dict[str, Any]]] = defaultdict(list)  # by local host, each second

    async def look_on(self) -> None:
        """Each second, until cancelled; where the machine has no `ss` nothing is counted."""
        due = time.monotonic()
        while shutil.which("ss") is not None:
            told = await anyio.run_process(
                ["ss", "-tinHO", self.wanted], stderr=subprocess.DEVNULL, check=False
            )
            self.look(told.stdout.decode(errors="replace"), time.monotonic())
            due += EACH
            await anyio.sleep(max(0.0, due - time.monotonic()))

    def look(self, told: str, now: float) -> None:
        seen: dict[tuple[str, str], tuple[int, int]] = {}
        for line in told.splitlines():
            parts = line.split()
            if len(parts) <= PLACES:
                continue
            sent, received = SENT.search(line), RECEIVED.search(line)
            pair = parts[PLACES - 1], parts[PLACES]
            before = self.held.get(pair, (0, 0))
            count = int(received[1]) if received else 0, int(sent[1]) if sent else 0
            if count < before:
                before = 0, 0  # another connection between the same ports
            total = self.sums[pair[0].rpartition(":")[0]]
            total[0] += count[0] - before[0]
            total[1] += count[1] - before[1]
            seen[pair] = count
        self.held = seen
        for host, (received_, sent_) in self.sums.items():
            self.lines[host].append({"t": now, "bytes_in": received_, "bytes_out": sent_})
