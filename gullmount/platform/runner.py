"""Runs one instance and handles the signals of its process."""

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
    """Return the system's monotonic clock in seconds, plus `CLOCK_OFFSET_SECONDS`.

    The event loop's own clock does not advance during one iteration of the loop.
    """
    return time.monotonic() + CLOCK_OFFSET_SECONDS


async def run(
    configuration: Configuration, net: Net, log: LogFunction, exit_process: Callable[[int], object]
) -> None:
    """Serve until SIGTERM or SIGINT, and reload the configuration file on SIGHUP.

    The caller blocks the signals, so that those sent since the start of the process are received here.

    Args:
        configuration: configuration of the instance.
        net: opens listeners and connections.
        log: writes a log line.
        exit_process: ends the process with an exit status. It is called before the event loop is closed,
            because after that a second signal would find no handler, and the process would end as killed
            although it had shut down cleanly.
    """
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        async with anyio.create_task_group() as tasks:
            instance = PlatformInstance(configuration, net, log, clock=read_monotonic_clock)
            instance.create_components(tasks)
            tasks.start_soon(instance.start_services, tasks)
            reload = ConfigurationReload(instance, os.environ, tasks)
            async for signal_number in signals:
                if signal_number != signal.SIGHUP:
                    break
                reload.begin()
            await instance.stop()
            exit_process(0)
            tasks.cancel_scope.cancel()
