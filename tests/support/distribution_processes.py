"""An origin, relays and proxies as processes on loopback addresses of their own."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import anyio
import msgspec

from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.relay_selection import RelayEndpoint
from gullmount.distribution.subscriber import Subscriber
from gullmount.fault_harness.processes import Process
from gullmount.net import STREAM_ERRORS, Stream, TcpNet
from gullmount.rpc import call
from tests.support.distribution_scene import RecordingHandler
from tests.support.fault_block import reserve_loopback_block
from tests.support.proxy_edge import OK_RESPONSE, serve_watch
from tests.support.proxy_edge import make_proxy_config as proxy_terms

WITHIN = 60.0  # s for any one step: no verdict hangs on how fast the machine is
LOOK = 0.02  # s between looks


def host(number: int) -> str:
    return f"{reserve_loopback_block()}.5.{number}"


def origin_at() -> str:
    return f"{host(1)}:7400"


def relay_at(name: str) -> str:
    return f"{host({'a1': 2, 'a2': 3}[name])}:7401"


class Fleet:
    """Processes of one test; their logs are in its folder."""

    def __init__(self, folder: Path, tasks: anyio.abc.TaskGroup) -> None:
        self.folder = folder
        self.tasks = tasks
        self.processes: dict[str, Process] = {}
        self.subscribers: dict[str, Subscriber] = {}
        self.got: dict[str, RecordingHandler] = {}
        self.net = TcpNet()

    def log(self, who: str) -> list[dict[str, Any]]:
        path = self.folder / f"{who}.log"
        text = path.read_text() if path.exists() else ""
        return [json.loads(line) for line in text.splitlines() if line.startswith("{") and line.endswith("}")]

    def logged(self, who: str, event: str) -> list[dict[str, Any]]:
        return [line for line in self.log(who) if line["event"] == event]

    async def begin(
        self,
        who: str,
        command: str,
        told: dict[str, Any],
        ready: str = "listening",
        options: Sequence[str] = (),
    ) -> None:
        path = self.folder / f"{who}.yaml"
        path.write_text(json.dumps(told))
        before = len(self.logged(who, ready))
        self.processes[who] = Process([command, *options, str(path)], self.folder / f"{who}.log")
        await self.until(lambda: len(self.logged(who, ready)) > before or self.ended(who))
        assert not self.ended(who), (self.folder / f"{who}.log").read_text()

    def ended(self, who: str) -> bool:
        return self.processes[who].process.poll() is not None

    async def origin(self) -> None:
        relays = {"a1": "a", "a2": "a"}
        told = {"listen": origin_at(), "zones": ["a"], "relays": relays, "kept": str(self.folder / "kept")}
        await self.begin("source", "source", told, options=["--found"])

    async def relay(self, name: str) -> None:
        told = {"name": name, "zones": ["a"], "zone": "a", "listen": relay_at(name), "source": origin_at()}
        await self.begin(name, "relay", {**told, "rate": None}, ready=LogEvent.SUBSCRIBED)

    def subscriber(
        self, name: str, *relays: str, net: Any = None, services: tuple[str, ...] = ("pay",)
    ) -> Subscriber:
        self.got[name] = RecordingHandler()
        made = self.subscribers[name] = Subscriber(
            name=name,
            zone="a",
            relays=[RelayEndpoint(relay_at(one) if one in ("a1", "a2") else one, "a") for one in relays],
            services=list(services),
            network=net or self.net,
            random=Random(len(self.got)),
            handler=self.got[name],
        )
        self.tasks.start_soon(made.run)
        return made

    async def proxy(self) -> None:
        async def launcher(stream: Stream) -> None:
            try:
                await serve_watch(stream, {"news": {"build": 1, "stage": 1, "phase": "released", "cap": 1.0}})
            except STREAM_ERRORS:
                pass

        async def server(stream: Stream) -> None:
            try:
                while await stream.receive():
                    await stream.send(OK_RESPONSE)
            except STREAM_ERRORS:
                pass

        await self.serve(f"{host(4)}:7002", launcher)
        await self.serve(f"{host(5)}:9001", server)
        told = proxy_terms(listen=f"{host(6)}:8000", launcher={"address": f"{host(4)}:7002"}, zone="a")
        at = [{"name": name, "address": relay_at(name), "zone": "a"} for name in ("a1", "a2")]
        section = {"switched_on": True, "at": at, "services": ["pay"]}
        section["remembered"] = str(self.folder / "in-force.json")
        data = told.model_dump(mode="json")
        del data["roster"]
        await self.begin_umpire({**data, "relays": section})

    async def begin_umpire(self, told: dict[str, Any]) -> None:
        """Wait until it accepts connections: it logs just before that it listens."""
        await self.begin("umpire", "umpire", told)
        with anyio.fail_after(WITHIN):
            while True:
                try:
                    await (await self.net.connect(f"{host(6)}:8000")).aclose()
                    return
                except OSError:
                    await anyio.sleep(LOOK)

    async def serve(self, address: str, speak: Callable[[Stream], Awaitable[None]]) -> None:
        started = anyio.Event()
        self.tasks.start_soon(self.net.serve, address, speak, started)
        with anyio.fail_after(WITHIN):
            await started.wait()

    def send(self, who: str, number: signal.Signals) -> None:
        self.processes[who].send_signal(number)

    async def kill(self, who: str) -> None:
        self.send(who, signal.SIGKILL)
        await self.until(lambda: self.ended(who))

    async def until(self, true: Callable[[], bool]) -> None:
        with anyio.fail_after(WITHIN):
            while not true():
                await anyio.sleep(LOOK)

    async def change(self, *changes: tuple[str, str, Any]) -> list[int]:
        told = [{"topic": topic, "key": key, "value": value} for topic, key, value in changes]
        body = msgspec.json.encode({"v": 1, "changes": told})
        status, answer = await call(self.net, origin_at(), "POST", "/v1/changes", body)
        assert status == 200, answer
        version: list[int] = msgspec.json.decode(answer)["version"]
        return version

    async def configure(self, number: int) -> list[int]:
        return await self.change(("config/pay", "routes", {"n": number}))

    async def zone(self) -> dict[str, Any]:
        _, answer = await call(self.net, origin_at(), "GET", "/v1/in-force")
        told: dict[str, Any] = msgspec.json.decode(answer)["zones"].get("a", {})
        return told

    async def lowest(self, version: list[int]) -> None:
        """Wait until that is in force everywhere."""
        with anyio.fail_after(WITHIN):
            while (
                not (zone := await self.zone()).get("followers") or (zone.get("lowest") or [0, 0]) < version
            ):
                await anyio.sleep(LOOK)

    async def ask(self, path: str) -> int:
        return (await call(self.net, f"{host(6)}:8000", "POST", path, b"a"))[0]


@asynccontextmanager
async def fleet(folder: Path, *relays: str) -> AsyncIterator[Fleet]:
    async with anyio.create_task_group() as tasks:
        made = Fleet(folder, tasks)
        try:
            await made.origin()
            for name in relays:
                await made.relay(name)
            yield made
        finally:
            tasks.cancel_scope.cancel()
            for process in made.processes.values():
                process.kill()


def run_scene(folder: Path, scene: Callable[[Fleet], Awaitable[None]], *relays: str) -> None:
    async def play() -> None:
        async with fleet(folder, *relays) as made:
            await scene(made)

    anyio.run(play)


def endpoint_changes(count: int, size: int = 0) -> list[tuple[str, str, Any]]:
    value = {"zone": "a", "pad": "x" * size}
    return [("boxes/pay", f"10.0.0.{number}:80", value) for number in range(count)]


def run(*args: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "gullmount", *args]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
