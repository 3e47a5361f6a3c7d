"""Runs one instance under the process's signals."""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable

import anyio

from gullmount.net import Net
from gullmount.platform.configuration import Configuration
from gullmount.platform.configuration_reload import ConfigurationReload
from gullmount.platform.instance import PlatformInstance
from gullmount.proxy.runtime import CLOCK_OFFSET_SECONDS, LogFunction

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def read_monotonic_clock() -> float:
    """Return seconds of the system's clock: the event loop's stands still while it works through a turn."""
    return time.monotonic() + CLOCK_OFFSET_SECONDS


async def run(
    configuration: Configuration, net: Net, log: LogFunction, exit_process: Callable[[int], object]
) -> None:
    """Serve until SIGTERM or SIGINT; SIGHUP reads the configuration file again.

    The caller blocks the signals, so that those that came since the process began are received here.
    `exit_process` gets the exit status and ends the process before the event loop is taken down: a second
    signal would find no handler then, and the process would end as killed after a good shutdown.
    """
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        async with anyio.create_task_group() as tasks:
            instance = PlatformInstance(configuration, net, log, clock=read_monotonic_clock)
            instance.build(tasks)
            tasks.start_soon(instance.open, tasks)
            reload = ConfigurationReload(instance, os.environ, tasks)
            async for signal_number in signals:
                if signal_number != signal.SIGHUP:
                    break
                reload.begin()
            await instance.stop()
            exit_process(0)
            tasks.cancel_scope.cancel()
