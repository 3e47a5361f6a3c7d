"""Runs one proxy instance on the platform, configured by the file that PROXY_CONFIG names."""

import signal

if __name__ == "__main__":
    # Signals are blocked until their handlers are installed. Otherwise a signal would end the process in the
    # middle of its startup.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))

    from gullmount.platform import no_tls

    # Before anything imports the event loop.
    no_tls.install()

import gc
import os
import sys

import anyio

from gullmount.net import HandlerErrors, TcpNet
from gullmount.platform.configuration import InvalidConfigurationError, read_configuration
from gullmount.platform.json_log import JsonLog
from gullmount.platform.runner import run

# Number of new objects that triggers a garbage collection. About 700 requests create as many, in less than
# 2 MB. A collection takes some milliseconds.
GC_THRESHOLD_OBJECTS = 10_000


def main() -> None:
    """Run until a signal ends the process.

    Exits with a one-line message if the configuration is invalid or an address cannot be used.
    """
    try:
        configuration = read_configuration(os.environ)
    except InvalidConfigurationError as error:
        sys.exit(f"gullmount: {error}")
    tune_garbage_collector()
    address_errors: list[str] = []
    try:
        log = JsonLog(configuration.file.name)
        arguments = configuration, TcpNet(handler_errors=HandlerErrors(log)), log, os._exit
        anyio.run(run, *arguments, backend_options={"use_uvloop": True})
    # The address is in use or does not belong to this machine.
    except* OSError as errors:
        address_errors = [str(error) for error in errors.exceptions]
    if address_errors:
        sys.exit(f"gullmount: {address_errors[0]}")


def tune_garbage_collector() -> None:
    """Make garbage collections rare, and exclude the objects created during startup from them."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)


if __name__ == "__main__":
    main()
