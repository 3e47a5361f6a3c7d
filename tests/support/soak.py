"""A soak of the real process: faults at discovery, signals in series, clients that use open connections.

    python -m tests.support.soak --seeds 50 --first 1

One seed gives one schedule. A run starts `run` beside our doubles of servers, discovery and release
controller, plays some lives of it (SIGTERM with SIGKILL at the page's earliest, SIGHUP beside it, SIGKILL,
SIGTERM while starting) and checks from outside what clients, servers and discovery saw:

- lost: a request written to an accepted connection got no final answer; on a kept connection that is closed
  without one the client sends it once more on a new one, as the page has it, and that one must be answered;
- run twice: an unsafe request reached servers twice;
- drain: a request reached a server later than the grace after it counts as told off;
- readiness: a life took over 10 s until it answered for its health, though it was not ended before.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from tests.support.platform_world import (
    OK,
    RUN_COMMAND,
    SETTINGS,
    ProxyProcess,
    StubPlatform,
    configuration,
    endpoint_list_response,
    read_message,
    request_bytes,
)

QUEUE_PATIENCE = 2.0  # s after which a crowded discovery refuses
NOTIFIED_AFTER_SECONDS, GRACE = (
    6.0,
    0.55,
)  # s until a change counts as told at the latest; in which a send may still arrive
KILL_AFTER = 3.7  # s from SIGTERM to SIGKILL: deadlines of 3 s at most, and 0.7 s, the page's earliest
READY_WITHIN = 10.0  # s
SERVERS = 5
CLIENTS = 4
ANSWER_WITHIN = 3.0  # s of a request, and half a second after it
FAULTS = ("none", "none", "none", "none", "refused", "silent", "broken", "reset")
FIRST_PORT = 8200


@dataclass
class Change:
    """A server that drains or leaves, with the time at which discovery has it."""

    server: str
    at: float
    revision: int
    back: float | None = None  # when it was listed as ready again


@dataclass
class Seen:
    """What the outside saw; times are seconds of the monotonic clock."""

    # time, server, request
    sends: list[tuple[float, str, str]] = field(default_factory=list)
    # time, revision: answers of discovery
    written: list[tuple[float, int]] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)  # rules, in words


def check_drains(seen: Seen) -> list[str]:
    """Sends after the grace to a server that counts as told off: by a written answer, or 6 s later."""
    found = []
    for change in seen.changes:
        heard = [at for at, revision in seen.written if revision >= change.revision]
        told = min([*heard, change.at + NOTIFIED_AFTER_SECONDS])
        end = change.back if change.back is not None else float("inf")
        late = [at for at, server, _ in seen.sends if server == change.server and told + GRACE < at < end]
        if late:
            first = f"the first {late[0] - told:.2f} s after told"
            found.append(f"drain: {change.server} got {len(late)}, {first}")
    return found


def check_repeats(seen: Seen) -> list[str]:
    counts = Counter(request for _, _, request in seen.sends if request.startswith("unsafe"))
    return [f"run twice: {request}" for request, count in counts.items() if count > 1]


class Soak:
    """One run by one seed."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.random = Random(seed)
        # Streams of their own: by a shared one the load of the machine decided which faults and lives came.
        self.fault_random = Random(f"faults {seed}")
        self.life_random = Random(f"lives {seed}")
        self.seconds = seconds
        self.seen = Seen()
        self.world = StubPlatform()
        self.fault = "none"
        self.over = False
        self.serving = False  # a life is ready and was not told to end
        self.number = 0

    # Doubles

    def server(self, name: str):  # type: ignore[no-untyped-def]
        slow = self.random.choice((0.0, 0.0, 0.05, 0.3))

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                request = re.findall(rb"(?i)request-id: (\S+)", head)[0].decode()
                self.seen.sends.append((time.monotonic(), name, request))
                await asyncio.sleep(slow)
                writer.write(OK)

        return script

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            after, wait = map(int, re.findall(rb"after=(\d+)&wait_ms=(\d+) ", head)[0])
            fault = self.fault
            if fault == "silent":
                await asyncio.sleep(60)
            if fault == "refused":
                await asyncio.sleep(QUEUE_PATIENCE)
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                continue
            if after >= self.world.revision:
                try:
                    await asyncio.wait_for(self.world.changed.wait(), wait / 1000)
                except TimeoutError:
                    pass
            news = after < self.world.revision
            data = endpoint_list_response(
                self.world.revision, self.world.members if news else [], complete=news
            )
            if fault == "broken" and news:
                writer.write(data[: len(data) // 2])
                return
            if fault == "reset":
                writer.transport.abort()
                return
            self.seen.written.append((time.monotonic(), self.world.revision))
            writer.write(data)

    async def change_servers(self) -> None:
        """Servers drain and come back, one at a time; one at least stays."""
        while not self.over:
            await asyncio.sleep(self.random.uniform(1.0, 3.0))
            entry = self.random.choice(self.world.members[1:])
            entry["phase"] = "ready" if entry["phase"] == "draining" else "draining"
            self.world.publish_list()
            now = time.monotonic()
            if entry["phase"] == "draining":
                self.seen.changes.append(Change(entry["id"], now, self.world.revision))
            else:
                last = [change for change in self.seen.changes if change.server == entry["id"]][-1]
                last.back = now

    async def change_faults(self) -> None:
        while not self.over:
            self.fault = self.fault_random.choice(FAULTS)
            await asyncio.sleep(self.fault_random.uniform(1.0, 7.0))

    # Clients

    async def client(self, running: ProxyProcess) -> None:
        """Asks on one connection for as long as that stays open, also while the process is told to end."""
        while not self.over:
            if not self.serving:
                await asyncio.sleep(0.05)
                continue
            try:
                reader, writer = await running.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            first = True
            while not self.over:
                if not await self.ask(running, reader, writer, first):
                    break
                first = False
                await asyncio.sleep(self.random.uniform(0.0, 0.2))
            writer.close()

    def request(self) -> tuple[str, bytes]:
        self.number += 1
        if self.random.random() < 0.5:
            name = f"unsafe-{self.number}"
            return name, request_bytes(name, "submit-exam", "1500", body=b"x")
        name = f"safe-{self.number}"
        return name, request_bytes(name, "load-item", "2000")

    async def ask(
        self, running: ProxyProcess, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bool
    ) -> bool:
        """Whether the connection may carry another request."""
        name, data = self.request()
        head = await self.answer(reader, writer, data)
        if head is None and not self.killed():
            if first:
                self.seen.broken.append(f"lost: {name}, on a new connection")
                return False
            try:
                again = await running.connect()
            except OSError:
                return False  # nobody listens: the request was not taken
            head = await self.answer(*again, data)
            again[1].close()
            if head is None and not self.killed():
                self.seen.broken.append(f"lost: {name}, sent again")
            return False
        return head is not None and b"connection: close" not in head.lower()

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
    ) -> bytes | None:
        try:
            writer.write(data)
            async with asyncio.timeout(ANSWER_WITHIN):
                head, _ = await read_message(reader)
        except (OSError, EOFError, TimeoutError):
            return None
        self.seen.statuses[head.split(b" ")[1].decode()] += 1
        return head

    def killed(self) -> bool:
        """SIGKILL is the page's own loss: what it finds unanswered is no fault of a process told to end."""
        return self.was_killed

    # Lives

    async def life(self, running: ProxyProcess, seconds: float, end: str) -> None:
        self.was_killed = False
        environment = {**os.environ, "PROXY_CONFIG": str(running.path), "PROXY_NAME": "n0"}
        log = (running.path.parent / "log").open("ab")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN_COMMAND, env=environment, stderr=log
        )
        began = time.monotonic()
        if end == "term while starting":
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
            process.terminate()
        else:
            await self.ready(running, process, began)
            self.serving = True
            await asyncio.sleep(seconds)
            if end == "kill":
                self.was_killed = True
                self.serving = False
                process.kill()
            else:
                process.terminate()
                if self.random.random() < 0.5:
                    process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.3)  # clients still come
                self.serving = False
        try:
            await asyncio.wait_for(process.wait(), KILL_AFTER)
        except TimeoutError:
            self.was_killed = True
            process.kill()
            await process.wait()
            self.seen.broken.append("did not end before SIGKILL")
        # Before the program's first line SIGTERM ends the interpreter, as any: nobody was let in by then.
        fine = (0, -signal.SIGTERM) if end == "term while starting" else (0,)
        if end != "kill" and process.returncode not in fine:
            self.seen.broken.append(f"ended with {process.returncode} at {end}")
        log.close()
        await asyncio.sleep(0.3)

    async def ready(self, running: ProxyProcess, process: asyncio.subprocess.Process, began: float) -> None:
        while time.monotonic() - began < 3 * READY_WITHIN:
            try:
                if await running.request(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"):
                    break
            except OSError:
                pass
            if process.returncode is not None:
                self.seen.broken.append("ended as it started")
                return
            await asyncio.sleep(0.05)
        if time.monotonic() - began > READY_WITHIN:
            self.seen.broken.append(f"ready after {time.monotonic() - began:.1f} s")

    async def play(self, folder: Path) -> Seen:
        await self.world.serve(8101, self.discovery)
        await self.world.serve(8102, self.world.release_controller)
        for at in range(SERVERS):
            await self.world.add_server(FIRST_PORT + at, self.server(f"s-{FIRST_PORT + at}"))
        settings = deepcopy(SETTINGS)
        settings["Siblings"] = self.random.choice((1, 3, 210))
        known = {"revision": 1, "complete": True, "members": deepcopy(self.world.members)}
        running = ProxyProcess(folder, configuration(known=known, settings=settings))
        clients = [self.client(running) for _ in range(CLIENTS)]
        tasks = [asyncio.create_task(one) for one in (self.change_servers(), self.change_faults(), *clients)]
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            end = self.life_random.choice(("term", "term", "kill", "term while starting"))
            await self.life(running, self.life_random.uniform(4.0, 10.0), end)
        self.over = True
        _, slow = await asyncio.wait(tasks, timeout=8)
        for task in slow:
            task.cancel()
        await self.world.close()
        faults = [task.exception() for task in tasks if task.done() and not task.cancelled()]
        self.seen.broken += [f"the soak itself: {fault!r}" for fault in faults if fault]
        self.seen.broken += check_drains(self.seen) + check_repeats(self.seen)
        if b"Traceback" in (folder / "log").read_bytes():
            self.seen.broken.append("traceback in the log")
        return self.seen


def play(seed: int, seconds: float) -> Seen:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(seed, seconds).play(Path(folder)))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=30.0)
    told = parser.parse_args()
    bad = 0
    for seed in range(told.first, told.first + told.seeds):
        seen = play(seed, told.seconds)
        bad += bool(seen.broken)
        print(f"seed {seed}: {'; '.join(seen.broken[:3]) or 'kept'} {dict(seen.statuses)}", flush=True)
    sys.exit(bool(bad))


if __name__ == "__main__":
    main()
