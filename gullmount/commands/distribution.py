"""The commands that run an origin or a relay as a process."""

from __future__ import annotations

import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import anyio
import click

from gullmount.commands.files import Path_, loaded
from gullmount.commands.starting import logger, started
from gullmount.distribution.config import OriginConfig, RelayConfig
from gullmount.distribution.errors import StateFileDamagedError
from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.origin import Origin
from gullmount.distribution.origin_storage import FileOriginStorage
from gullmount.distribution.relay import Relay
from gullmount.distribution.subscription_client import Log
from gullmount.net import HandlerErrors, TcpNet


@click.command()
@click.argument("file", type=Path_)
def relay(file: Path) -> None:
    """Run the relay that FILE describes, until SIGTERM or SIGINT; logs go to standard error as JSON lines.

    On the signal it ends all streams at once: its subscribers go on at other relays with what they have.
    """
    config = loaded(file, RelayConfig)
    started(file, run_relay, config, logger(relay=config.name))


@click.command()
@click.argument("file", type=Path_)
@click.option(
    "--found", is_flag=True, help="A blank file of its state begins: for the very first start only."
)
def source(file: Path, found: bool) -> None:
    r"""Run the origin that FILE describes, until SIGTERM or SIGINT; logs go to standard error as JSON lines.

    \b
    gullmount source source.yaml --found    the first start: nothing is stored yet
    gullmount source source.yaml            every later one, with whatever its file holds

    Changes are sent to it by POST /v1/changes; GET /v1/in-force says what is in force where.
    """
    config = loaded(file, OriginConfig)
    started(file, run_origin, config, logger(source=config.listen), found, ends=StateFileDamagedError)


async def run_relay(config: RelayConfig, log: Log) -> None:
    """Run a relay until a signal."""
    relay = Relay(config, network=TcpNet(config.connect_from, HandlerErrors(log)), random=Random(), log=log)
    await until_signal(relay.run, log)


async def run_origin(config: OriginConfig, log: Log, initialize: bool) -> None:
    """Run an origin until a signal; `initialize`: a missing state file begins."""
    storage = FileOriginStorage(Path(config.kept), config.remembered, initialize)
    origin = Origin(config, network=TcpNet(handler_errors=HandlerErrors(log)), storage=storage, log=log)
    await until_signal(origin.run, log)


async def until_signal(run: Callable[[anyio.Event], Coroutine[Any, Any, None]], log: Log) -> None:
    """Run until SIGTERM or SIGINT."""
    async with anyio.create_task_group() as tasks:

        async def log_listening() -> None:
            await listening.wait()
            log(LogEvent.LISTENING)

        listening = anyio.Event()
        tasks.start_soon(run, listening)
        tasks.start_soon(log_listening)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                log(LogEvent.STOPPING)
                tasks.cancel_scope.cancel()
                return
