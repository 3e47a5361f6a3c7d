"""Pauses the real process at drawn moments (SIGSTOP) beside drains and a release, and checks the rules.

    python -m tests.support.pause_sweep --seeds 50 --first 1 [--program proxy]

One seed gives one schedule. Clients have little patience and close at its end. Checked from outside:

- lost: an attempt reached a server over 0.1 s after its client had closed;
- told: a server was told that there is more time than is left to the client;
- drain: a request reached a server over the grace after discovery had written that it drains;
- exposure: within any window a build on trial got more attempts than its limit allows;
- run twice: an unsafe request reached servers twice.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import signal
import sys
import tempfile
import time
from bisect import bisect_left, bisect_right
from collections import Counter
from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from gullmount.net.arrival import seconds_since_data
from tests.support.fuzzed_programs import lines_script
from tests.support.platform_world import (
    HOST,
    OK,
    RUN_COMMAND,
    SETTINGS,
    ProxyProcess,
    StubPlatform,
    configuration,
    read_message,
    request_bytes,
)
from tests.support.proxy_edge import make_proxy_config
from tests.support.soak import Change, Seen, check_drains, check_repeats

LOST_AFTER_SECONDS = 0.1  # from a client's close to an attempt that begins, as the page has it
NOTICE_SLACK_SECONDS = 0.03  # of our notes of a client's close and of what reached a server
TOLD_SLACK_SECONDS = 0.1  # of the time that a server is told, its way to the server included
PATIENCE_SECONDS = (0.3, 1.1)  # of clients
PAUSE_SECONDS = (0.05, 0.15, 0.3, 0.6, 1.0, 2.0, 3.0, 6.0)
CLIENTS, CROWD = 20, 60
SERVERS = 4
FIRST_PORT = 8300
BUILD, CANDIDATE = 41, 42
LIMIT, WINDOW_SECONDS, SPARE = 0.056, 3.0, 2.0
WINDOW_SLACK_SECONDS = 0.06  # between a request's sending and our note of it, and likewise of an attempt


@dataclass
class ClientRequest:
    """A request with the times at which its client sent it, and gave it up."""

    sent_at: float
    patience: float
    closed_at: float | None = None


@dataclass
class SeenAttempt:
    """An attempt as a server saw it; `told_seconds` that it may take."""

    at: float
    server: str
    request: str
    told_seconds: float


@dataclass
class Observations:
    """What the outside saw."""

    seen: Seen = field(default_factory=Seen)
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    attempts: list[SeenAttempt] = field(default_factory=list)
    candidates: set[str] = field(default_factory=set)
    pauses: list[float] = field(default_factory=list)


def check_after_close(made: Observations) -> list[str]:
    """Attempts that began after their client had closed."""
    late = []
    for attempt in made.attempts:
        closed = made.requests[attempt.request].closed_at
        if closed is not None and attempt.at > closed + LOST_AFTER_SECONDS + NOTICE_SLACK_SECONDS:
            late.append(attempt.at - closed)
    return [f"lost: {len(late)} attempts up to {max(late):.2f} s after the close"] if late else []


def check_told(made: Observations) -> list[str]:
    """Attempts whose server was told of more time than their clients had."""
    over = []
    for attempt in made.attempts:
        request = made.requests[attempt.request]
        left = request.sent_at + request.patience - attempt.at
        if attempt.told_seconds > max(0.0, left) + TOLD_SLACK_SECONDS:
            over.append(attempt.told_seconds - left)
    return [f"told: {len(over)} attempts of up to {max(over):.2f} s too much"] if over else []


def check_exposure(made: Observations) -> list[str]:
    """Windows in which a build on trial got more attempts than its limit allows."""
    sent = sorted(request.sent_at for request in made.requests.values())
    attempts = sorted(one.at for one in made.attempts if one.server in made.candidates)
    worst = 0.0
    for number, at in enumerate(attempts):
        since = at - WINDOW_SECONDS
        count = number + 1 - bisect_left(attempts, since + WINDOW_SLACK_SECONDS)
        requests = bisect_right(sent, at) - bisect_left(sent, since - WINDOW_SLACK_SECONDS)
        worst = max(worst, count - (SPARE + LIMIT * requests))
    return [f"exposure: {worst:.2f} attempts too many"] if worst > 0 else []


def check(made: Observations) -> list[str]:
    """All breaches, in words."""
    rules = check_after_close(made) + check_told(made) + check_exposure(made)
    return rules + check_drains(made.seen) + check_repeats(made.seen) + made.seen.broken


class PauseSweep:
    """One run by one seed."""

    def __init__(self, seed: int, seconds: float, pauses: tuple[float, ...] = PAUSE_SECONDS) -> None:
        self.random = Random(seed)
        self.pause_random = Random(f"pauses {seed}")
        self.seconds = seconds
        self.pauses = pauses
        self.crowd = self.random.random() < 0.3
        self.made = Observations()
        self.world = StubPlatform()
        self.over = False
        self.number = 0

    # Doubles

    def server(self, name: str) -> Any:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                waited = seconds_since_data(writer.get_extra_info("socket").fileno())
                now = time.monotonic() - (waited or 0.0)  # this process may be late on a busy machine
                request = re.findall(rb"(?i)request-id: (\S+)", head)[0].decode()
                told = self.told_seconds(head)
                self.made.attempts.append(SeenAttempt(now, name, request, told))
                self.made.seen.sends.append((now, name, request))
                await asyncio.sleep(self.random.choice((0.0, 0.0, 0.02, 0.2)))
                writer.write(OK)

        return script

    def told_seconds(self, head: bytes) -> float:
        return int(re.findall(rb"(?i)request-timeout-ms: (\d+)", head)[0]) / 1000

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        class Noting:
            def write(_, data: bytes) -> None:  # noqa: N805 (the sweep is `self`)
                self.made.seen.written.append((time.monotonic(), self.world.revision))
                writer.write(data)

        await self.world.discovery(reader, Noting())  # type: ignore[arg-type]

    async def control(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        status = b"%d 0 IN_PROGRESS %.3f 100\r\n" % (CANDIDATE, LIMIT)
        while True:
            line = (await reader.readuntil(b"\r\n")).strip()
            writer.write(b"OK\r\n* progress " + status if line == b"NOTIFY" else b"OK " + status)

    async def change_servers(self) -> None:
        """Servers of the build that serves drain and come back; the first stays."""
        while not self.over:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            entry = self.random.choice(self.world.members[1:SERVERS])
            entry["phase"] = "ready" if entry["phase"] == "draining" else "draining"
            self.world.publish_list()
            now = time.monotonic()
            if entry["phase"] == "draining":
                self.made.seen.changes.append(Change(entry["id"], now, self.world.revision))
            else:
                [one for one in self.made.seen.changes if one.server == entry["id"]][-1].back = now

    # Clients

    async def client(self, running: ProxyProcess) -> None:
        while not self.over:
            try:
                reader, writer = await running.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            while not self.over and await self.ask(reader, writer):
                await asyncio.sleep(self.random.uniform(0.0, 0.3))
            writer.transport.abort()

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Whether the connection may carry another request; it is closed once patience ends."""
        self.number += 1
        patience = self.random.uniform(*PATIENCE_SECONDS)
        safe = self.random.random() < 0.5
        name = f"{'safe' if safe else 'unsafe'}-{self.number}"
        data = self.request_bytes(name, safe, f"{int(patience * 1000)}", f"key-{self.random.randrange(500)}")
        request = self.made.requests[name] = ClientRequest(time.monotonic(), patience)
        try:
            writer.write(data)
            async with asyncio.timeout(patience):
                head, _ = await read_message(reader)
        except TimeoutError:
            writer.transport.abort() if self.random.random() < 0.5 else writer.close()
            request.closed_at = time.monotonic()
            return False
        except (OSError, EOFError):
            return False
        self.made.seen.statuses[head.split(b" ")[1].decode()] += 1
        return b"connection: close" not in head.lower()

    def request_bytes(self, name: str, safe: bool, patience: str, key: str) -> bytes:
        route, body = ("load-item", b"") if safe else ("submit-exam", b"x")
        return request_bytes(name, route, patience, body).replace(b"7f3a9c21e0b4d655", key.encode())

    # The process

    async def pause(self, process: asyncio.subprocess.Process) -> None:
        seconds = self.pause_random.choice(self.pauses)
        self.made.pauses.append(seconds)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    async def play(self, folder: Path) -> Observations:
        for at in range(SERVERS + 1):
            port, build = FIRST_PORT + at, CANDIDATE if at == SERVERS else BUILD
            await self.world.add_server(port, self.server(f"s-{port}"), build=build)
        self.made.candidates = {f"s-{FIRST_PORT + SERVERS}"}
        running = await self.prepare(folder)
        log = (folder / "log").open("wb")
        environment = {**os.environ, "PROXY_CONFIG": str(running.path), "PROXY_NAME": "n0"}
        process = await asyncio.create_subprocess_exec(
            *self.command(running.path), env=environment, stderr=log
        )
        try:
            await self.play_process(running, process)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            log.close()
            await self.world.close()
        return self.made

    async def prepare(self, folder: Path) -> ProxyProcess:
        """Begin discovery and release controller, and write the configuration."""
        await self.world.serve(8101, self.discovery)
        await self.world.serve(8102, self.control)
        news = {"build": CANDIDATE, "stage": 0, "phase": "IN_PROGRESS", "cap": LIMIT, "age_ms": 100}
        known = {"revision": 1, "complete": True, "members": deepcopy(self.world.members)}
        platform = {"address": f"{HOST}:8102", "news": news}
        told = configuration(known=known, settings=deepcopy(SETTINGS), platform=platform)
        return ProxyProcess(folder, told)

    def command(self, _configuration: Path) -> list[str]:
        return ["/bin/sh", "-c", RUN_COMMAND]

    async def play_process(self, running: ProxyProcess, process: asyncio.subprocess.Process) -> None:
        while True:
            try:
                _, writer = await running.connect()
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.05)
        count = CROWD if self.crowd else CLIENTS
        clients = [asyncio.create_task(self.client(running)) for _ in range(count)]
        changes = asyncio.create_task(self.change_servers())
        until = time.monotonic() + self.seconds
        while time.monotonic() < until:
            await asyncio.sleep(self.pause_random.uniform(0.3, 2.0))
            await self.pause(process)
        await asyncio.sleep(0.5)
        if process.returncode is not None:
            self.made.seen.broken.append(f"ended with {process.returncode}")
        process.terminate()
        if self.pause_random.random() < 0.5:
            await self.pause(process)
        self.over = True
        await asyncio.wait([*clients, changes], timeout=8)
        for task in (*clients, changes):
            task.cancel()
        results = await asyncio.gather(*clients, changes, return_exceptions=True)
        faults = [one for one in results if isinstance(one, Exception)]
        self.made.seen.broken += [f"the sweep itself: {fault!r}" for fault in faults]


class GenericPauseSweep(PauseSweep):
    """The same of `gullmount proxy`, which speaks the generic protocols and does not tell servers a time."""

    def told_seconds(self, head: bytes) -> float:
        return 0.0

    def request_bytes(self, name: str, safe: bool, patience: str, key: str) -> bytes:
        line, body = ("GET /look", b"") if safe else ("POST /pay", b"x")
        head = f"{line} HTTP/1.1\r\nHost: x\r\nRequest-Id: {name}\r\nX-Patience-Ms: {patience}\r\n"
        return f"{head}X-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body

    async def watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Discovery: all endpoints whenever they change."""
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while not writer.transport.is_closing():
            boxes = [
                {"box": one["host_port"], "zone": "a", "cell": 0, "build": one["version_no"],
                 "state": one["phase"], "power": 1.0, "start": None, "age": None}
                for one in self.world.members
            ]  # fmt: skip
            message = {"v": 1, "kind": "full", "index": self.world.revision, "boxes": boxes}
            self.made.seen.written.append((time.monotonic(), self.world.revision))
            writer.write(json.dumps(message).encode() + b"\n")
            try:
                await asyncio.wait_for(self.world.changed.wait(), 1.0)
            except TimeoutError:
                pass

    async def prepare(self, folder: Path) -> ProxyProcess:
        released = {"news": {"build": BUILD, "stage": 2, "phase": "released", "cap": 1.0}}
        trial = {"news": {"build": CANDIDATE, "stage": 0, "phase": "on_trial", "cap": LIMIT}}
        releases = {"caps": [LIMIT, 0.35, 1.0], "window": WINDOW_SECONDS, "spare_tries": SPARE}
        told = make_proxy_config(
            listen=f"{HOST}:8100",
            roster={"address": await self.world.serve(8101, self.watch)},
            launcher={"address": await self.world.serve(8102, lines_script(released, trial))},
            key=[{"header": "x-key"}],
            releases={**releases, "vote_life": 4, "to_advance": 1, "back_votes": 1, "votes_per_s": 50},
        ).model_dump(mode="json")
        running = ProxyProcess(folder, told)
        running.path.write_text(json.dumps(told))
        return running

    def command(self, configuration: Path) -> list[str]:
        return [sys.executable, "-m", "gullmount", "proxy", str(configuration)]


PROGRAMS = {"run": PauseSweep, "proxy": GenericPauseSweep}


def play(
    seed: int, seconds: float, pauses: tuple[float, ...] = PAUSE_SECONDS, program: str = "run"
) -> Observations:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(PROGRAMS[program](seed, seconds, pauses).play(Path(folder)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--pause", type=float, help="seconds of each pause, in place of drawn ones")
    parser.add_argument("--program", choices=list(PROGRAMS), default="run")
    told = parser.parse_args()
    pauses = (told.pause,) if told.pause else PAUSE_SECONDS
    bad: Counter[str] = Counter()
    for seed in range(told.first, told.first + told.seeds):
        made = play(seed, told.seconds, pauses, told.program)
        breaches = check(made)
        bad.update({breach.split(":")[0] for breach in breaches})
        words = "; ".join(breaches[:4]) or "kept"
        print(f"seed {seed}: {words} pauses {made.pauses} {dict(made.seen.statuses)}", flush=True)
    print(f"seeds with breaches, by rule: {dict(bad)}")
    sys.exit(bool(bad))


if __name__ == "__main__":
    main()
