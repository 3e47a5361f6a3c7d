"""Subscribed proxies in a scene with an origin and relays, servers and a release controller."""

from __future__ import annotations

from typing import Any

import anyio

from gullmount.distribution.config import SubscribedProxyConfig
from gullmount.distribution.subscribed_proxy import SubscribedProxy
from gullmount.net import STREAM_ERRORS, Stream
from gullmount.proxy import ProxyInstance
from gullmount.rpc import call
from tests.support.distribution_scene import RELAYS, ZONES, Scene
from tests.support.proxy_edge import OK_RESPONSE, serve_watch
from tests.support.proxy_edge import make_proxy_config as proxy_terms

SERVERS = {"one": "10.0.5.1:80", "two": "10.0.5.2:80"}


ROUTE = {"objective": 0.5, "timeout": 2, "repeats": "retriable"}


class ProcessMemory:
    """A memory that outlives a proxy."""

    def __init__(self) -> None:
        self.data: bytes | None = None

    def load(self) -> bytes | None:
        return self.data

    async def save(self, data: bytes) -> None:
        self.data = data


def server(**changes: Any) -> dict[str, Any]:
    told = {"zone": "a", "cell": 0, "build": 1, "state": "ready", "power": 1.0, "start": None, "age": None}
    return {**told, **changes}


def routes(*paths: str) -> dict[str, Any]:
    return {"routes": [{**ROUTE, "name": path.strip("/"), "match": {"path": path}} for path in paths]}


class ProxyScene:
    """A release controller, servers and proxies of a scene."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.seen: list[str] = []  # endpoints that were sent a request, in their order
        self.lives = 0
        self.memory: ProcessMemory | None = None  # of the proxy within, beside that of what relays told

    async def begin(self) -> None:
        async def launcher(stream: Stream) -> None:
            await serve_watch(stream, {"news": {"build": 1, "stage": 1, "phase": "released", "cap": 1.0}})

        await self.serve("10.0.4.1:7002", launcher)
        for name, address in SERVERS.items():
            await self.serve(address, self.answering(name))

    def answering(self, name: str) -> Any:
        async def speak(stream: Stream) -> None:
            try:
                while await stream.receive():
                    self.seen.append(name)
                    await stream.send(OK_RESPONSE)
            except STREAM_ERRORS:
                pass

        return speak

    async def serve(self, address: str, speak: Any) -> None:
        party = self.scene.add_host(address, address.rpartition(":")[0], "a")
        await self.scene.begin(address, lambda started: party.serve(address, speak, started))

    async def proxy(
        self, kept: ProcessMemory, services: tuple[str, ...] = ("pay",), **section: Any
    ) -> SubscribedProxy:
        """A proxy that runs until the party `umpire` is killed."""
        self.lives += 1
        told = proxy_terms(listen="10.0.6.1:8000", launcher={"address": "10.0.4.1:7002"}).model_dump()
        at = [{"name": name, "address": address, "zone": ZONES[name]} for name, address in RELAYS.items()]
        follow = {"switched_on": True, "at": at, "services": list(services), **section}
        terms = SubscribedProxyConfig.model_validate({**told, "relays": follow}).without_discovery()
        party = self.scene.add_host("umpire", "10.0.6.1", "a")
        log = self.scene.log_of("umpire")
        running = ProxyInstance(
            terms,
            net=party,  # type: ignore[arg-type]
            seed=self.lives,
            state_store=self.memory,
            log=log,
            wall=self.scene.wall,
        )
        made = SubscribedProxy(
            terms, running, running, network=party, state_store=kept, wall=self.scene.wall, log=log
        )

        async def live(started: anyio.Event) -> None:
            async with made:
                started.set()
                await anyio.sleep_forever()

        await self.scene.begin("umpire", live)
        return made

    async def ask(self, path: str) -> int:
        client = self.scene.add_host("client", "10.0.7.1", "a")
        return (await call(client, "10.0.6.1:8000", "POST", path, b"a"))[0]


async def start_proxy_scene(scene: Scene, *relays: str) -> ProxyScene:
    await scene.origin()
    for name in relays:
        await scene.relay(name)
    around = ProxyScene(scene)
    await around.begin()
    return around


def endpoints_of(*names: str, service: str = "pay") -> list[tuple[str, str, Any]]:
    return [(f"boxes/{service}", SERVERS[name], server()) for name in names]


def configured(*paths: str, service: str = "pay") -> list[tuple[str, str, Any]]:
    return [(f"config/{service}", "routes", routes(*paths))]
