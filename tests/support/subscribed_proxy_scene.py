"""Runs a subscribed proxy with an origin, relays, servers and a release controller."""

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
    """Keeps the saved state of a proxy in memory across restarts of the proxy."""

    def __init__(self) -> None:
        self.data: bytes | None = None

    def load(self) -> bytes | None:
        return self.data

    async def save(self, data: bytes) -> None:
        self.data = data


def server(**changes: Any) -> dict[str, Any]:
    """Return the endpoint entry of a ready server, with changed fields."""
    entry = {"zone": "a", "cell": 0, "build": 1, "state": "ready", "power": 1.0, "start": None, "age": None}
    return {**entry, **changes}


def routes(*paths: str) -> dict[str, Any]:
    """Return a configuration with one route per path, named after the path."""
    return {"routes": [{**ROUTE, "name": path.strip("/"), "match": {"path": path}} for path in paths]}


class ProxyScene:
    """The release controller, servers and proxies that are added to a scene."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        # Names of the servers that received requests, in order.
        self.requested_servers: list[str] = []
        self.started_proxies = 0
        # State store of the wrapped proxy, separate from the store of the state received from relays.
        self.endpoint_state_store: ProcessMemory | None = None

    async def start_servers(self) -> None:
        """Start the release controller and the servers."""

        async def release_controller(stream: Stream) -> None:
            await serve_watch(stream, {"news": {"build": 1, "stage": 1, "phase": "released", "cap": 1.0}})

        await self.serve("10.0.4.1:7002", release_controller)
        for name, address in SERVERS.items():
            await self.serve(address, self.respond_and_record(name))

    def respond_and_record(self, name: str) -> Any:
        """Return a stream handler that records the server name and responds 200 to each read."""

        async def handle_stream(stream: Stream) -> None:
            try:
                while await stream.receive():
                    self.requested_servers.append(name)
                    await stream.send(OK_RESPONSE)
            except STREAM_ERRORS:
                pass

        return handle_stream

    async def serve(self, address: str, handle_stream: Any) -> None:
        """Serve streams at an address, on a host named after it."""
        host = self.scene.add_host(address, address.rpartition(":")[0], "a")
        await self.scene.start_participant(
            address, lambda started: host.serve(address, handle_stream, started)
        )

    async def proxy(
        self, subscription_store: ProcessMemory, services: tuple[str, ...] = ("pay",), **section: Any
    ) -> SubscribedProxy:
        """Start a proxy that runs until `scene.kill("umpire")`."""
        self.started_proxies += 1
        settings = proxy_terms(listen="10.0.6.1:8000", launcher={"address": "10.0.4.1:7002"}).model_dump()
        relay_endpoints = [
            {"name": name, "address": address, "zone": ZONES[name]} for name, address in RELAYS.items()
        ]
        relays_section = {"switched_on": True, "at": relay_endpoints, "services": list(services), **section}
        config = SubscribedProxyConfig.model_validate(
            {**settings, "relays": relays_section}
        ).without_discovery()
        host = self.scene.add_host("umpire", "10.0.6.1", "a")
        log = self.scene.logger_for("umpire")
        instance = ProxyInstance(
            config,
            net=host,  # type: ignore[arg-type]
            seed=self.started_proxies,
            state_store=self.endpoint_state_store,
            log=log,
            wall=self.scene.wall,
        )
        new_proxy = SubscribedProxy(
            config,
            instance,
            instance,
            network=host,
            state_store=subscription_store,
            wall=self.scene.wall,
            log=log,
        )

        async def run_proxy(started: anyio.Event) -> None:
            async with new_proxy:
                started.set()
                await anyio.sleep_forever()

        await self.scene.start_participant("umpire", run_proxy)
        return new_proxy

    async def ask(self, path: str) -> int:
        """Send a request through the proxy and return the response status."""
        client = self.scene.add_host("client", "10.0.7.1", "a")
        return (await call(client, "10.0.6.1:8000", "POST", path, b"a"))[0]


async def start_proxy_scene(scene: Scene, *relays: str) -> ProxyScene:
    """Start the origin, the named relays, the servers and the release controller."""
    await scene.origin()
    for name in relays:
        await scene.relay(name)
    proxy_scene = ProxyScene(scene)
    await proxy_scene.start_servers()
    return proxy_scene


def endpoint_entries(*names: str, service: str = "pay") -> list[tuple[str, str, Any]]:
    """Return changes that add the named servers to a service."""
    return [(f"boxes/{service}", SERVERS[name], server()) for name in names]


def configuration_entries(*paths: str, service: str = "pay") -> list[tuple[str, str, Any]]:
    """Return changes that set the routes of a service."""
    return [(f"config/{service}", "routes", routes(*paths))]
