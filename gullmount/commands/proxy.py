"""`gullmount proxy`: one proxy instance as a process; `gullmount check` validates its file."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import click

from gullmount.commands.files import Path_, loaded
from gullmount.commands.starting import logger, started
from gullmount.distribution.config import SubscribedProxyConfig
from gullmount.leases.config import LeasingProxyConfig
from gullmount.net import HandlerErrors, TcpNet
from gullmount.proxy import FileStateStore, ProxyInstance


class ProxyFile(LeasingProxyConfig, SubscribedProxyConfig):
    """All that the file of a proxy instance may hold; its sections may stand beside each other."""


@click.command("check")
@click.argument("file", type=Path_)
@click.option("--json", "as_json", is_flag=True, help="Say it as JSON.")
def check_file(file: Path, as_json: bool) -> None:
    """Validate the FILE of a proxy instance without starting it. Exit code 2 if it is no good."""
    config = loaded(file, ProxyFile)
    if as_json:
        click.echo(config.model_dump_json(indent=1))
    else:
        click.echo(f"{file}: proxy {config.number} of {config.of}, {len(config.routes)} routes, sound")


@click.command()
@click.argument("file", type=Path_)
def proxy(file: Path) -> None:
    """Run the proxy instance that FILE describes, until SIGTERM or SIGINT; JSON logs go to standard error.

    On the signal it accepts nothing more, gives each accepted request its final response, and exits with 0.
    """
    run_proxy(file)


def run_proxy(
    file: Path, clock: Callable[[], float] | None = None, wall: Callable[[], float] = time.time
) -> None:
    """Run the instance by clocks of the caller's, in seconds.

    `clock` is the one that leases go by, the machine's if it is None; `wall` is the time of day.
    """
    config = loaded(file, ProxyFile)
    started(file, serve, config, logger(instance=config.number), clock, wall)


async def serve(
    config: ProxyFile, log: Any, clock: Callable[[], float] | None, wall: Callable[[], float]
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully. Raises OSError."""
    state_store = FileStateStore(Path(config.remembered)) if config.remembered else None
    net = TcpNet(config.connect_from, HandlerErrors(log))
    if config.subscribes:
        config = config.without_discovery()
    arguments: dict[str, Any] = {"net": net, "state_store": state_store, "log": log, "wall": wall}
    if config.leases_enabled:
        from gullmount.leases.leasing_proxy import LeasingProxy  # noqa: PLC0415 (not loaded where it is off)

        if clock is not None:
            arguments["clock"] = clock
        instance: Any = LeasingProxy(config, **arguments)
    else:
        instance = ProxyInstance(config, **arguments)
    if config.relays is not None and config.subscribes:
        from gullmount.distribution.subscribed_proxy import SubscribedProxy  # noqa: PLC0415 (not loaded where it is off)

        saved = FileStateStore(Path(config.relays.remembered)) if config.relays.remembered else None
        running = instance if isinstance(instance, ProxyInstance) else instance.proxy_instance
        instance = SubscribedProxy(
            config, instance, running, network=net, state_store=saved, wall=wall, log=log
        )
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with instance as running:
            async for _ in signals:
                await running.stop()
                return
