"""Compare the proxy with a pass-through proxy without decisions ("bare") and with no proxy.

Each is measured in turn on the same cores.

    .venv/bin/python benchmarks/edge.py [--seconds 4] [--rounds 3]

Prints the median over the rounds, with minimum and maximum, of:

- requests per second on one core, and the ratio of proxy to pass-through in each round
- latencies at half the rate of the slower of the two
- processor time per request, and the share of it spent in routing decisions
- memory per open request, measured once
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

from gullmount.scale.process_usage import process_usage

HOST = "127.93.0.1"
FIRST_SERVER_PORT, PROXY_PORT, PASSTHROUGH_PORT = 9001, 8000, 8100
DISCOVERY_PORT, RELEASE_CONTROLLER_PORT = 7001, 7002
SERVER_COUNT = 8
CONNECTION_COUNT = 32
OPEN_REQUEST_COUNT = 2000
KEY_COUNT = 5000
WARM_UP_SECONDS = 0.5
# Load is applied for this share of the measured time before the measurement starts.
RAMP_UP_SHARE = 0.25
# The first 1/5 of the latencies is dropped.
DROPPED_LATENCY_DIVISOR = 5
SEND_INTERVAL_SECONDS = 0.0005
# Time for the last responses to arrive.
SETTLE_SECONDS = 0.2
# Time until the open requests are in the memory of the proxy.
OPEN_REQUEST_SETTLE_SECONDS = 1.5
MAX_START_ATTEMPTS, START_INTERVAL_SECONDS = 100, 0.1
# Body of every response.
RESPONSE_BODY = b"a" * 64
BENCHMARK_FOLDER = Path(__file__).parent
REQUEST = b"GET /look HTTP/1.1\r\nhost: x\r\nx-key: k%d\r\n\r\n"
UNANSWERED_REQUEST = b"GET /hold HTTP/1.1\r\nhost: x\r\n\r\n"

# Arguments: the client, the latency in seconds.
ResponseCallback = Callable[["Client", float], None]


def start_process(arguments: list[str], core: int, wait_for_line: bool = False) -> subprocess.Popen[str]:
    """Start a Python process on one core.

    Args:
        arguments: The script and its arguments.
        core: Number of the core.
        wait_for_line: Whether to wait until the process has printed a line.
    """
    process = subprocess.Popen([sys.executable, *arguments], stdout=subprocess.PIPE, text=True)
    os.sched_setaffinity(process.pid, {core})
    if wait_for_line:
        assert process.stdout is not None
        process.stdout.readline()
    return process


class Client(asyncio.Protocol):
    """One client connection with at most one request in flight."""

    def __init__(self, on_response: ResponseCallback) -> None:
        self.on_response = on_response
        self.received = b""
        self.sent_at = 0.0
        self.request_count = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def send(self) -> None:
        """Send the next request."""
        self.request_count += 1
        self.sent_at = time.perf_counter()
        self.transport.write(REQUEST % (self.request_count % KEY_COUNT))

    def data_received(self, data: bytes) -> None:
        """Call `on_response` once the response is complete."""
        self.received += data
        if len(self.received) >= len(RESPONSE_BODY) and self.received.endswith(RESPONSE_BODY):
            self.received = b""
            self.on_response(self, time.perf_counter() - self.sent_at)


async def connect(port: int, on_response: ResponseCallback, client_count: int) -> list[Client]:
    """Wait until the port accepts connections, then return `client_count` connected clients."""
    loop = asyncio.get_running_loop()
    for _ in range(MAX_START_ATTEMPTS):
        try:
            (await loop.create_connection(asyncio.Protocol, HOST, port))[0].close()
            break
        except OSError:
            await asyncio.sleep(START_INTERVAL_SECONDS)
    return [
        (await loop.create_connection(lambda: Client(on_response), HOST, port))[1]
        for _ in range(client_count)
    ]


async def requests_per_second(port: int, seconds: float) -> float:
    """Return the rate of responses under a closed loop.

    Each connection sends its next request as soon as it has received a response.
    """
    response_count = 0

    def send_next(client: Client, _latency: float) -> None:
        nonlocal response_count
        response_count += 1
        client.send()

    clients = await connect(port, send_next, CONNECTION_COUNT)
    for client in clients:
        client.send()
    await asyncio.sleep(seconds * RAMP_UP_SHARE)
    started_at, response_count = time.perf_counter(), 0
    await asyncio.sleep(seconds)
    rate = response_count / (time.perf_counter() - started_at)
    for client in clients:
        client.transport.abort()
    return rate


async def latencies_at(port: int, rate: float, seconds: float) -> list[float]:
    """Return the sorted latencies in seconds of requests sent at a fixed rate over idle connections."""
    latencies: list[float] = []
    idle: list[Client] = []

    def record_latency(client: Client, latency: float) -> None:
        latencies.append(latency)
        idle.append(client)

    idle += await connect(port, record_latency, CONNECTION_COUNT)
    clients = list(idle)
    started_at = time.perf_counter()
    sent_count = 0
    while (elapsed := time.perf_counter() - started_at) < seconds:
        while sent_count < elapsed * rate and idle:
            idle.pop(0).send()
            sent_count += 1
        await asyncio.sleep(SEND_INTERVAL_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    for client in clients:
        client.transport.abort()
    return sorted(latencies[len(latencies) // DROPPED_LATENCY_DIVISOR :])


async def bytes_per_open_request(port: int, pid: int) -> float:
    """Return the resident memory that a request occupies while it waits for its response."""
    loop = asyncio.get_running_loop()
    bytes_before = process_usage(pid).resident_bytes
    transports = []
    for _ in range(OPEN_REQUEST_COUNT):
        transport, _ = await loop.create_connection(asyncio.Protocol, HOST, port)
        transport.write(UNANSWERED_REQUEST)
        transports.append(transport)
    await asyncio.sleep(OPEN_REQUEST_SETTLE_SECONDS)
    bytes_after = process_usage(pid).resident_bytes
    for transport in transports:
        transport.abort()
    return (bytes_after - bytes_before) / OPEN_REQUEST_COUNT


def write_proxy_configuration(folder: Path) -> str:
    """Write the proxy's configuration file and return its path."""
    configuration = {
        "number": 0, "of": 1, "zone": "a", "listen": f"{HOST}:{PROXY_PORT}", "seed": 1,
        "roster": {"address": f"{HOST}:{DISCOVERY_PORT}"},
        "launcher": {"address": f"{HOST}:{RELEASE_CONTROLLER_PORT}"},
        "routes": [{"name": "look", "objective": 0.5, "timeout": 30, "repeats": "retriable"}],
        "key": [{"header": "x-key"}],
        "clients": {"connections": 10000},
        "boxes": {"cold_share": 0.3, "warm_time": 3, "tip_multiple": 3, "max_tries": 4, "links": 10000},
        "releases": {
            "caps": [0.1, 1.0], "window": 3, "spare_tries": 2, "vote_life": 4, "to_advance": 1,
            "back_votes": 1, "votes_per_s": 50,
        },
    }  # fmt: skip
    path = folder / "proxy.yaml"
    path.write_text(json.dumps(configuration))
    return str(path)


def decision_and_processor_seconds(process: subprocess.Popen[str]) -> tuple[float, float]:
    """Return the timed proxy's processor seconds spent in routing decisions, and in total."""
    process.send_signal(signal.SIGUSR1)
    assert process.stdout is not None
    report = json.loads(process.stdout.readline())
    return report["decision_seconds"], report["processor_seconds"]


def measure_round(
    seconds: float, passthrough: subprocess.Popen[str], proxy: subprocess.Popen[str]
) -> dict[str, float]:
    """Measure one round and return its figures by name."""
    loaded_seconds = seconds * (1 + RAMP_UP_SHARE)
    no_proxy_rate = asyncio.run(requests_per_second(FIRST_SERVER_PORT, seconds))
    passthrough_seconds_before = process_usage(passthrough.pid).processor_seconds
    passthrough_rate = asyncio.run(requests_per_second(PASSTHROUGH_PORT, seconds))
    passthrough_seconds = process_usage(passthrough.pid).processor_seconds - passthrough_seconds_before
    decision_seconds_before, proxy_seconds_before = decision_and_processor_seconds(proxy)
    proxy_rate = asyncio.run(requests_per_second(PROXY_PORT, seconds))
    decision_seconds_after, proxy_seconds_after = decision_and_processor_seconds(proxy)
    proxy_seconds = proxy_seconds_after - proxy_seconds_before
    figures = {
        "bare cpu us": passthrough_seconds / (passthrough_rate * loaded_seconds) * 1e6,
        "proxy cpu us": proxy_seconds / (proxy_rate * loaded_seconds) * 1e6,
        "decisions' share": (decision_seconds_after - decision_seconds_before) / proxy_seconds,
        "no proxy requests/s": no_proxy_rate,
        "bare requests/s": passthrough_rate,
        "proxy requests/s": proxy_rate,
        "ratio proxy to bare": proxy_rate / passthrough_rate,
    }
    half_rate = min(passthrough_rate, proxy_rate) / 2
    for name, port in (("no proxy", FIRST_SERVER_PORT), ("bare", PASSTHROUGH_PORT), ("proxy", PROXY_PORT)):
        latencies = asyncio.run(latencies_at(port, half_rate, seconds))
        figures[f"{name} p50 ms"] = latencies[len(latencies) // 2] * 1000
        figures[f"{name} p99 ms"] = latencies[len(latencies) * 99 // 100] * 1000
    return figures


def main() -> None:
    """Run all rounds and print the medians."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    client_core, server_core, proxy_core = sorted(os.sched_getaffinity(0))[:3]
    processes: list[subprocess.Popen[str]] = []
    values_by_figure: defaultdict[str, list[float]] = defaultdict(list)
    with tempfile.TemporaryDirectory() as folder:
        try:
            os.sched_setaffinity(0, {client_core})
            server_arguments = [str(BENCHMARK_FOLDER / "fixed_servers.py"), HOST, str(SERVER_COUNT)]
            processes.append(start_process(server_arguments, server_core, wait_for_line=True))
            addresses = [f"{HOST}:{FIRST_SERVER_PORT + number}" for number in range(SERVER_COUNT)]
            passthrough_arguments = [
                str(BENCHMARK_FOLDER / "passthrough.py"),
                f"{HOST}:{PASSTHROUGH_PORT}",
                *addresses,
            ]
            processes.append(passthrough := start_process(passthrough_arguments, proxy_core))
            proxy_arguments = [
                str(BENCHMARK_FOLDER / "timed_proxy.py"),
                write_proxy_configuration(Path(folder)),
            ]
            processes.append(proxy := start_process(proxy_arguments, proxy_core))
            asyncio.run(requests_per_second(PASSTHROUGH_PORT, WARM_UP_SECONDS))
            asyncio.run(requests_per_second(PROXY_PORT, WARM_UP_SECONDS))
            for number in range(arguments.rounds):
                print(f"round {number + 1} of {arguments.rounds}", file=sys.stderr)
                for figure, value in measure_round(arguments.seconds, passthrough, proxy).items():
                    values_by_figure[figure].append(value)
            open_bytes = asyncio.run(bytes_per_open_request(PROXY_PORT, proxy.pid))
            values_by_figure["bytes an open request"].append(open_bytes)
        finally:
            for process in processes:
                process.kill()
                process.wait()
    for figure, values in values_by_figure.items():
        print(f"{figure:26} {statistics.median(values):10.3f}   ({min(values):.3f} to {max(values):.3f})")


if __name__ == "__main__":
    main()
