"""Sends hostile bytes to the program's processes, from whoever can reach them, and looks whether they live.

python -m tests.support.fuzzed_programs --seeds 50 --messages 400
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from tests.support.fault_block import own_block
from tests.support.fuzzed_messages import hostile_datagram, hostile_request, json_text, mutated
from tests.support.platform_world import (
    HOST,
    READY_TIMEOUT_SECONDS,
    RUN_COMMAND,
    SETTINGS,
    StubPlatform,
    configuration,
    fixed_response_server,
    read_message,
    request_bytes,
)
from tests.support.proxy_edge import make_proxy_config

ANSWER_SECONDS = 3.0  # for a request that nothing is wrong with
SPOILT_SHARE = 0.5  # of what servers, discovery and the release controller write while messages are sent
CLIENT_WAIT_SECONDS = 0.03  # before a hostile client closes, or goes on
MAX_GROWTH_MIB = 24.0  # of resident memory in one play, buffers of the allocator included
MAX_MORE_DESCRIPTORS = 40  # than before: connections to the double of each party, and what is lingering

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Program:
    """One process that listens.

    Attributes:
        good_request: is answered with 200 at any time.
        gossip: where it receives datagrams, and from whom.
    """

    name: str
    address: str
    good_request: bytes
    command: list[str]
    log: Path
    gossip: tuple[str, str] | None = None
    environment: dict[str, str] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        environment = {**os.environ, **self.environment}
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(*self.command, env=environment, stderr=log)

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    @property
    def exit_status(self) -> int | None:
        assert self.process is not None
        return self.process.returncode

    def resident_mib(self) -> float:
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def contained_errors(self) -> list[str]:
        return [
            line for line in self.log.read_text(errors="replace").splitlines() if "handler_failed" in line
        ]

    async def answers(self) -> bytes:
        """The answer to the good request; b"" for none."""
        return await exchange(self.address, self.good_request, ANSWER_SECONDS)

    async def until_ready(self) -> None:
        until = asyncio.get_running_loop().time() + READY_TIMEOUT_SECONDS
        while not (got := await self.answers()).startswith(b"HTTP/1.1 200"):
            assert self.exit_status is None, (self.name, self.log.read_text())
            assert asyncio.get_running_loop().time() < until, (self.name, got, self.log.read_text())
            await asyncio.sleep(0.1)


async def exchange(address: str, data: bytes, within: float) -> bytes:
    """Send bytes on a connection of their own; what came back until it was whole, or the time was up."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return b""
    got = b""
    try:
        writer.write(data)
        async with asyncio.timeout(within):
            head, body = await read_message(reader)
            got = head + body
    except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError):
        pass
    finally:
        writer.transport.abort()
    return got


class SpoilingWriter:
    """A writer that spoils some of what is written, while `plays.hostile`."""

    def __init__(self, inner: asyncio.StreamWriter, play: Play) -> None:
        self.inner = inner
        self.play = play

    def write(self, data: bytes) -> None:
        random = self.play.random
        if self.play.hostile and random.random() < SPOILT_SHARE:
            data = mutated(random, data) if random.random() < 0.7 else json_text(random) + b"\r\n"
        self.inner.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class Play:
    """All programs of one play, and the doubles around them."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random = Random(seed)
        self.folder = folder
        self.block = own_block()
        self.hostile = False
        self.programs: list[Program] = []
        self.world = StubPlatform()

    def spoiling(self, script: Script) -> Script:
        async def spoilt(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await script(reader, SpoilingWriter(writer, self))  # type: ignore[arg-type]

        return spoilt

    def add(
        self,
        name: str,
        host: str,
        port: int,
        good: bytes,
        words: list[str],
        conf: dict[str, Any],
        **more: Any,
    ) -> Program:
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(conf))
        command = [sys.executable, "-m", "gullmount", *words, str(path)]
        program = Program(name, f"{host}:{port}", good, command, self.folder / f"{name}.log", **more)
        self.programs.append(program)
        return program

    def add_replicas(self) -> None:
        hosts = {number: f"{self.block}.1.{number}" for number in (1, 2, 3)}
        members = {str(number): f"{host}:7299" for number, host in hosts.items()}
        good = http_post("/v1/register", {"v": 1, "register": "good"})
        for number, host in hosts.items():
            disk = str(self.folder / f"disk-{number}")
            told = {"number": number, "group": "g", "members": members, "disk": disk}
            self.add(f"replica-{number}", host, 7299, good, ["replica", "--bootstrap"], told)

    def add_origin_and_relay(self) -> None:
        origin, relay = f"{self.block}.1.4", f"{self.block}.1.5"
        good = b"GET /v1/in-force HTTP/1.1\r\nHost: x\r\n\r\n"
        told = {"listen": f"{origin}:7400", "zones": ["a"], "relays": {"a1": "a"}}
        told["kept"] = str(self.folder / "kept")
        self.add("origin", origin, 7400, good, ["source", "--found"], told)
        told = {"name": "a1", "zones": ["a"], "zone": "a", "listen": f"{relay}:7401", "rate": None}
        self.add("relay", relay, 7401, good, ["relay"], {**told, "source": f"{origin}:7400"})

    async def add_generic_proxy(self) -> None:
        here, peer = f"{self.block}.1.6", f"{self.block}.1.7"
        good_server = await self.world.serve(9201, fixed_response_server(OK))
        spoilt_server = await self.world.serve(9202, self.spoiling(fixed_response_server(OK)))
        boxes = [
            {"box": at, "zone": "a", "cell": 0, "build": 1, "state": "ready", "power": 1.0, "start": None,
             "age": None} for at in (good_server, spoilt_server)
        ]  # fmt: skip
        roster = lines_script({"kind": "full", "index": 1, "boxes": boxes}, {"kind": "alive"})
        news = {"news": {"build": 1, "stage": 1, "phase": "released", "cap": 1.0}}
        told = make_proxy_config(
            of=2,
            listen=f"{here}:8000",
            roster={"address": await self.world.serve(9203, self.spoiling(roster))},
            launcher={"address": await self.world.serve(9204, self.spoiling(lines_script(news)))},
            peers={"listen": f"{here}:7946", "addresses": {"1": f"{peer}:7946"}},
        ).model_dump(
            mode="json",
        )
        good = b"GET /look HTTP/1.1\r\nHost: x\r\n\r\n"
        self.add("proxy", here, 8000, good, ["proxy"], told, gossip=(f"{here}:7946", f"{peer}:7946"))

    async def add_platform_proxy(self) -> None:
        peer = f"{self.block}.1.8"
        await self.world.add_server(9101, fixed_response_server(OK))
        await self.world.add_server(9102, self.spoiling(fixed_response_server(OK)))
        await self.world.serve(8101, self.spoiling(self.world.discovery))
        await self.world.serve(8102, self.spoiling(self.world.release_controller))
        told = configuration(
            peers=[f"{HOST}:8103", f"{peer}:8103"], settings={**SETTINGS, "Siblings": 2},
            known={"revision": 1, "complete": True, "members": self.world.members},
        )  # fmt: skip
        path = self.folder / "config.json"
        path.write_text(json.dumps(told))
        environment = {"PROXY_CONFIG": str(path), "PROXY_NAME": "n0"}
        self.programs.append(
            Program(
                "run", f"{HOST}:8100", request_bytes("good", timeout_ms="2000"),
                ["/bin/sh", "-c", RUN_COMMAND],
                self.folder / "run.log", (f"{HOST}:8103", f"{peer}:8103"), environment,
            )
        )  # fmt: skip

    async def begin(self) -> None:
        self.add_replicas()
        self.add_origin_and_relay()
        await self.add_generic_proxy()
        await self.add_platform_proxy()
        for program in self.programs:
            await program.start()
        for program in self.programs:
            await program.until_ready()

    async def attack(self, program: Program, messages: int) -> None:
        """Send hostile messages to one program, on connections of their own and as datagrams."""
        random = Random(self.random.getrandbits(64))
        for _ in range(messages):
            if program.gossip is not None and random.random() < 0.3:
                send_datagram(*program.gossip, hostile_datagram(random))
                continue
            data = hostile_request(random)
            if random.random() < 0.2:
                data += hostile_request(random)
            await exchange(program.address, data, CLIENT_WAIT_SECONDS)
            assert program.exit_status is None, (program.name, data, program.log.read_text()[-3000:])

    async def run(self, messages: int) -> list[str]:
        """Play; returns a line for each program. Raises AssertionError where one ended, or grew."""
        await self.begin()
        await asyncio.gather(*(self.attack(program, messages // 4) for program in self.programs))  # warm up
        before = {one.name: (one.resident_mib(), one.descriptors()) for one in self.programs}
        self.hostile = True
        await asyncio.gather(*(self.attack(program, messages) for program in self.programs))
        self.hostile = False
        for program in self.programs:
            await program.until_ready()
        return [self.checked(program, *before[program.name]) for program in self.programs]

    def checked(self, program: Program, resident_mib: float, descriptors: int) -> str:
        growth = program.resident_mib() - resident_mib
        more = program.descriptors() - descriptors
        contained = program.contained_errors()
        line = f"{program.name}: {growth:+.1f} MiB, {more:+d} descriptors, {len(contained)} contained"
        assert program.exit_status is None, (program.name, program.log.read_text()[-3000:])
        assert growth < MAX_GROWTH_MIB and more < MAX_MORE_DESCRIPTORS, line
        assert not contained, (line, contained[:3])
        return line

    async def end(self) -> None:
        for program in self.programs:
            if program.process is not None and program.exit_status is None:
                program.process.kill()
                await program.process.wait()
        await self.world.close()


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def http_post(path: str, message: dict[str, Any]) -> bytes:
    body = json.dumps(message).encode()
    return b"POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (path.encode(), len(body), body)


def lines_script(*messages: dict[str, Any]) -> Script:
    """A watch: the head, then each message as a line; stays open."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while not writer.transport.is_closing():
            for message in messages:
                writer.write(json.dumps({"v": 1, **message}).encode() + b"\n")
            await asyncio.sleep(0.5)

    return script


def send_datagram(to: str, source: str, data: bytes) -> None:
    """Send as the peer whose address `source` is."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        host, port = source.split(":")
        sender.bind((host, int(port)))
        to_host, to_port = to.split(":")
        sender.sendto(data, (to_host, int(to_port)))


def play(seed: int, messages: int) -> list[str]:
    """Play one seed; see `Play.run`."""

    async def scene(folder: Path) -> list[str]:
        made = Play(seed, folder)
        try:
            return await made.run(messages)
        finally:
            await made.end()

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(scene(Path(folder)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--messages", type=int, default=400, help="to each program, in each seed")
    chosen = parser.parse_args()
    broken = 0
    for seed in range(chosen.first, chosen.first + chosen.seeds):
        try:
            print(f"seed {seed}:", "; ".join(play(seed, chosen.messages)), flush=True)
        except AssertionError as error:
            broken += 1
            print(f"seed {seed}: BROKEN {error}", flush=True)
    print(f"{broken} of {chosen.seeds} seeds broke")
    sys.exit(broken > 0)


if __name__ == "__main__":
    main()
