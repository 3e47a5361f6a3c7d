"""Measure the processor time that `run` needs for a request: bounded load on loopback, emulated servers.

    python -m benchmarks.platform_load REQUESTS_PER_SECOND SECONDS [--profile] [--split]

The figures are of this machine only. `--split` also prints user and system time.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

from gullmount.scale.process_usage import ProcessUsage, process_usage
from tests.support.platform_world import (
    ProxyProcess,
    StubPlatform,
    configuration,
    fixed_response_server,
    read_message,
    request_bytes,
)

SERVERS = 15
FIRST_SERVER_PORT = 8200
SERVER_LATENCY_SECONDS = 0.02
CLIENTS = 40
FAILED_SECONDS = 9.0  # noted for a request that did not complete
LOAD_REPORT = b"Server-Load: TEXT inflight=7, queue=2, util=0.61\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\n%sContent-Length: 300\r\n\r\n%s" % (LOAD_REPORT, b"x" * 300)
SUBMIT_EVERY = 3  # one in so many requests submits, the others load


def usage_of(pid: int) -> ProcessUsage:
    """Return the process's usage, and print it split where that is asked for."""
    usage = process_usage(pid)
    if "--split" in sys.argv:
        print("user", usage.user_seconds, "system", usage.system_seconds)
    return usage


async def send_requests(
    proxy: ProxyProcess, client: int, rate: float, until: float, latencies: list[float]
) -> None:
    """Send requests of one client at a fixed rate over one connection."""
    reader, writer = await proxy.connect()
    count = 0
    due = time.monotonic() + client / CLIENTS / rate
    while due < until:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        count += 1
        started = time.monotonic()
        route = "submit-exam" if count % SUBMIT_EVERY == 0 else "load-item"
        body = b"" if route == "load-item" else b"a" * 200
        writer.write(request_bytes(f"{client:08x}{count:08x}", route, body=body))
        head, _ = await read_message(reader)
        completed = head.startswith(b"HTTP/1.1 200")
        latencies.append(time.monotonic() - started if completed else FAILED_SECONDS)
        due += 1 / rate
    writer.close()


async def main() -> None:
    """Run the load and print its figures."""
    rate, seconds = float(sys.argv[1]), float(sys.argv[2])
    world = StubPlatform()
    await world.serve_platform()
    for number in range(SERVERS):
        await world.add_server(
            FIRST_SERVER_PORT + number, fixed_response_server(RESPONSE, SERVER_LATENCY_SECONDS)
        )
    with tempfile.TemporaryDirectory() as folder:
        known = {"revision": 1, "complete": True, "members": world.members}
        proxy = ProxyProcess(Path(folder), configuration(known=known))
        profiler = ("-m", "cProfile", "-o", "platform.prof") if "--profile" in sys.argv else ()
        await proxy.start(sys.executable, *profiler, "-m", "gullmount.platform")
        before = usage_of(proxy.process.pid).processor_seconds
        latencies: list[float] = []
        until = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            for client in range(CLIENTS):
                tasks.create_task(send_requests(proxy, client, rate / CLIENTS, until, latencies))
        usage = usage_of(proxy.process.pid)
        await proxy.stop()
    await world.close()
    latencies.sort()
    completed = sum(latency < FAILED_SECONDS for latency in latencies)
    spent = (usage.processor_seconds - before) / len(latencies) * 1e6
    megabytes = usage.resident_bytes / 1e6
    print(f"{len(latencies)} requests, {completed} completed, {spent:.0f} us CPU each, {megabytes:.1f} MB")
    median, late = latencies[len(latencies) // 2], latencies[len(latencies) * 99 // 100]
    print(f"median {median * 1e3:.1f} ms, 99th {late * 1e3:.1f} ms")


if __name__ == "__main__":
    asyncio.run(main())
