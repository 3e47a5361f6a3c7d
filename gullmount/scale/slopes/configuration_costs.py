"""Costs of a configuration by the present mechanism, a file for each proxy and a signal.

They are its bytes, what reading it costs, and how long it takes at a real process of `run`.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from gullmount.platform.configuration import read_configuration
from gullmount.scale.slopes.configuration_file import PROXY_NAME, encode_configuration, written_to_file
from gullmount.scale.slopes.errors import ProxyStartError
from gullmount.scale.slopes.loopback import HOST, free_port, listen, port_of
from gullmount.scale.slopes.measurement import SAMPLES, Measurement, allocated_bytes, processor_seconds
from gullmount.scale.slopes.router_costs import ROUTES

START_TIMEOUT_SECONDS = 60.0  # for a process to start, also on a machine that is busy
CONNECT_INTERVAL_SECONDS = 0.005  # between looks whether a started proxy accepts connections
RESTART_SAMPLES = 3
SETTLE_SECONDS = 0.1  # between two changes of address
CONFIGURED_ROUTES = (*ROUTES, 50_000.0)


def _file_bytes(routes: float) -> Iterator[float]:
    yield float(len(encode_configuration(round(routes))))


def _file_read(routes: float) -> Iterator[float]:
    """Measure reading, decoding and checking, as at a start and at each SIGHUP."""
    with written_to_file(encode_configuration(round(routes))) as path:
        yield from processor_seconds(lambda: read_configuration({"PROXY_CONFIG": str(path)}))


def _file_memory(routes: float) -> Iterator[float]:
    with written_to_file(encode_configuration(round(routes))) as path:
        yield from allocated_bytes(lambda: read_configuration({"PROXY_CONFIG": str(path)}), samples=2)


@contextmanager
def _running_proxy(path: Path, port: int) -> Iterator[tuple[subprocess.Popen[bytes], float]]:
    """Run a process of `run`; gives it and the seconds until it accepted connections.

    Raises:
        ProxyStartError: if it does not start.
    """
    variables = {"PROXY_CONFIG": str(path), "PROXY_NAME": PROXY_NAME, "OPENBLAS_NUM_THREADS": "1"}
    started = time.monotonic()
    command = [sys.executable, "-m", "gullmount.platform"]
    process = subprocess.Popen(command, env={**os.environ, **variables}, stderr=subprocess.DEVNULL)
    try:
        _wait_until_accepting(process, port, started + START_TIMEOUT_SECONDS)
        yield process, time.monotonic() - started
    finally:
        process.kill()
        process.wait()


def _wait_until_accepting(process: subprocess.Popen[bytes], port: int, deadline: float) -> None:
    while True:
        try:
            socket.create_connection((HOST, port), timeout=1).close()
        except OSError:
            if process.poll() is not None or time.monotonic() > deadline:
                raise ProxyStartError from None
            time.sleep(CONNECT_INTERVAL_SECONDS)
        else:
            return


def _restart_seconds(routes: float) -> Iterator[float]:
    """Measure from a process's start until it accepts connections: how a changed route comes into force."""
    for _ in range(RESTART_SAMPLES):
        with listen() as discovery, listen() as release_controller:
            port = free_port()
            data = encode_configuration(round(routes), port, port_of(discovery), port_of(release_controller))
            with written_to_file(data) as path, _running_proxy(path, port) as (_, seconds):
                yield seconds


def _address_change_seconds(routes: float) -> Iterator[float]:
    """Measure from file and SIGHUP until the proxy calls discovery at the address newly named."""
    with listen() as first, listen() as second, listen() as release_controller:
        port, listeners = free_port(), (first, second)
        for listener in listeners:
            listener.settimeout(START_TIMEOUT_SECONDS)

        def encode(discovery: socket.socket) -> bytes:
            return encode_configuration(round(routes), port, port_of(discovery), port_of(release_controller))

        with written_to_file(encode(first)) as path, _running_proxy(path, port) as (process, _):
            connections = [first.accept()[0]]
            for turn in range(SAMPLES):
                discovery = listeners[(turn + 1) % len(listeners)]
                started = time.monotonic()
                path.write_bytes(encode(discovery))
                process.send_signal(signal.SIGHUP)
                connections.append(discovery.accept()[0])
                yield time.monotonic() - started
                time.sleep(SETTLE_SECONDS)
            for connection in connections:
                connection.close()


PER_READ = "s of processor time a read"  # a word of the stored files, as those below

MEASUREMENTS = (
    Measurement(
        "config-bytes", "one umpire's configuration file", "routes", "bytes", CONFIGURED_ROUTES, _file_bytes
    ),
    Measurement(
        "config-read", "the file read, decoded and checked",
        "routes", PER_READ, CONFIGURED_ROUTES, _file_read,
    ),
    Measurement(
        "config-memory", "the file as it is held", "routes", "bytes", CONFIGURED_ROUTES, _file_memory
    ),
    Measurement(
        "config-address", "from the write of the file and SIGHUP until the umpire is at the new address",
        "routes", "s", CONFIGURED_ROUTES, _address_change_seconds,
    ),
    Measurement(
        "config-restart", "from the start of an umpire's process until it lets clients in",
        "routes", "s", CONFIGURED_ROUTES, _restart_seconds,
    ),
)  # fmt: skip
