"""One replica as a process."""

from __future__ import annotations

import signal
from pathlib import Path
from random import Random
from typing import Any

import anyio
import click

from gullmount.commands.files import Path_, loaded
from gullmount.commands.starting import logger, started
from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.errors import StorageWriteError
from gullmount.consensus.replica import Replica
from gullmount.consensus.storage import SqliteStorage
from gullmount.net import HandlerErrors, TcpNet


@click.command()
@click.argument("file", type=Path_)
@click.option(
    "--bootstrap",
    "--found",
    "bootstrap",
    is_flag=True,
    help="A blank disk begins a new group: for its first start only.",
)
@click.option(
    "--vouch", is_flag=True, help="You vouch that the disk holds the last that this replica answered."
)
def replica(file: Path, bootstrap: bool, vouch: bool) -> None:
    """Run the replica that FILE describes, until SIGTERM or SIGINT; logs go to standard error as JSON lines.

    \b
    gullmount replica replica-1.yaml --bootstrap    the first start of each replica of a new group
    gullmount replica replica-1.yaml                every later one, with whatever the disk holds

    The names `gullmount keeper` and `--found` are older ones, which keep working.
    """
    config = loaded(file, ReplicaConfig)
    started(
        file, run_replica, config, logger(replica=config.number), bootstrap, vouch, ends=StorageWriteError
    )


async def run_replica(config: ReplicaConfig, log: Any, bootstrap: bool, vouched: bool) -> None:
    """Run a replica until a signal ends it; raise StorageWriteError, OSError."""
    host = config.listens_at.rpartition(":")[0]
    made = Replica(
        config,
        net=TcpNet(host, HandlerErrors(log)),
        storage=SqliteStorage(Path(config.disk)),
        random=Random(),
        log=log,
        bootstrap=bootstrap,
        vouched=vouched,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(made.run)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                tasks.cancel_scope.cancel()
                return
