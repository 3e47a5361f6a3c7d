"""A proxy instance that runs as tasks of a scenario, can be killed and started again."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators.clients import ProxyClients
from gullmount.emulators.links import CURRENT_PROCESS, HostNetwork, NetworkLinks
from gullmount.emulators.record import Record
from gullmount.proxy import ProxyConfig, ProxyInstance

ProxyFactory = Callable[..., ProxyInstance]


class InMemoryStateStore:
    """The state that a proxy instance keeps over its incarnations; a kill leaves what was saved last.

    Attributes:
        data: the saved state, None before the first save.
    """

    def __init__(self) -> None:
        """Start with nothing saved."""
        self.data: bytes | None = None

    def load(self) -> bytes | None:
        """Return what was saved last, None if nothing was."""
        return self.data

    async def save(self, data: bytes) -> None:
        """Save the state in place of what was saved before."""
        self.data = data


class ProxyEnvironment(Protocol):
    """What a proxy instance needs of the deployment that it runs in.

    Attributes:
        tasks: all that runs as long as the deployment.
        has_ended: whether nothing is started any more.
        random: the deployment's draws.
        clients: the clients of each proxy instance, by its number.
        proxy_factory: makes the instance.
    """

    tasks: TaskGroup
    has_ended: bool
    random: Random
    record: Record
    links: NetworkLinks
    clients: list[ProxyClients]
    proxy_factory: ProxyFactory

    def proxy_host(self, number: int) -> str:
        """Return the loopback address of the instance."""

    def proxy_config(self, number: int, zone: str) -> ProxyConfig:
        """Return what the instance's file would hold."""


class RestartableProxy:
    """One proxy instance, which may be killed and started again.

    Attributes:
        state_store: outlives a kill.
        network: the network as the present incarnation sees it.
        scope: cancels the present incarnation; None while it is not to run.
        running: the instance, from when it listens until it ends.
        incarnation: how many there were, with the present one.
    """

    def __init__(self, deployment: ProxyEnvironment, number: int, zone: str) -> None:
        """Make instance `number`, counted from 0, which doesn't run yet."""
        self.deployment = deployment
        self.number = number
        self.zone = zone
        self.state_store = InMemoryStateStore()
        self.network: HostNetwork | None = None
        self.scope: anyio.CancelScope | None = None
        self.running: ProxyInstance | None = None
        self.incarnation = 0

    def begin(self) -> None:
        """Start an incarnation, unless one runs or the scenario has ended."""
        if self.scope is None and not self.deployment.has_ended:
            self.scope = anyio.CancelScope()
            self.deployment.tasks.start_soon(self.run, self.scope)

    @property
    def process(self) -> str:
        """The name of this incarnation, for what befalls its tasks alone."""
        return f"umpire {self.number}, life {self.incarnation}"

    @property
    def is_running(self) -> bool:
        """Whether it has started and was not killed."""
        return self.scope is not None and self.running is not None

    async def run(self, scope: anyio.CancelScope) -> None:
        """Serve until the scope is cancelled."""
        self.incarnation += 1
        CURRENT_PROCESS.set(self.process)
        deployment = self.deployment
        host = deployment.proxy_host(self.number)
        name = f"umpire {self.number}"
        network = self.network = HostNetwork(deployment.links, host, name, self.zone, deployment.tasks)
        config = deployment.proxy_config(self.number, self.zone)
        seed = deployment.random.getrandbits(60)
        with scope:
            deployment.record.note("umpire_up", umpire=self.number)
            async with deployment.proxy_factory(
                config,
                net=network,
                seed=seed,
                state_store=self.state_store,
                wall=deployment.record.now,
                log=self.log,
            ) as running:
                self.running = running
                await anyio.sleep_forever()
        self.running = None

    def log(self, event: str, **fields: Any) -> None:
        """Record a log event of the instance."""
        self.deployment.record.note("log", umpire=self.number, event=event, **fields)

    async def kill(self) -> None:
        """End the incarnation as a power cut does: no response is sent, all connections are reset."""
        if self.scope is None:
            return
        self.deployment.record.note("umpire_killed", umpire=self.number)
        scope, self.scope = self.scope, None
        scope.cancel()
        if self.network is not None:
            await self.network.kill()
        await self.deployment.clients[self.number].close()
        self.deployment.record.note("umpire_dead", umpire=self.number)

    async def restart(self, pause: float) -> None:
        """Shut down gracefully, and start again after `pause` seconds."""
        if not self.is_running:
            return
        self.deployment.record.note("umpire_stopping", umpire=self.number)
        await self.stop()
        await self.kill()
        await anyio.sleep(pause)
        self.begin()

    async def stop(self) -> None:
        """Shut down gracefully; return when each accepted request has its response."""
        if self.running is not None:
            await self.running.stop()
