"""Runs a soak test of the real process with discovery faults, signals and persistent client connections.

    python -m tests.support.soak --seeds 50 --first 1

Each seed determines one schedule. The soak starts the `run` command beside test doubles of servers, discovery
and the release controller. It starts and ends the process several times:

- by SIGTERM, sometimes with SIGHUP as well; SIGKILL follows at the earliest time that the users' page allows;
- by SIGKILL;
- by SIGTERM during startup.

It checks these rules from what clients, servers and discovery observe:

- lost: a request written to an accepted connection gets a final response. If a reused connection is closed
  without one, the client sends the request once more on a new connection, as the users' page defines. That
  request must get a response.
- run twice: an unsafe request reaches servers at most once.
- drain: no request reaches a server after the grace period that starts when the proxy counts as notified of
  the drain.
- readiness: the process responds to health checks within 10 s of its start, unless it was ended before.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from tests.support.platform_world import (
    OK,
    RUN_COMMAND,
    SETTINGS,
    ProxyProcess,
    StubPlatform,
    configuration,
    endpoint_list_response,
    read_message,
    request_bytes,
)

# Delay after which an overloaded discovery service refuses a call.
REFUSAL_DELAY_SECONDS = 2.0
# Time after which the proxy counts as notified of a change at the latest, and the grace period after that in
# which a request may still reach the server.
NOTIFICATION_TIMEOUT_SECONDS, DRAIN_GRACE_SECONDS = (
    6.0,
    0.55,
)
# Time from SIGTERM to SIGKILL: deadlines of at most 3 s plus 0.7 s. This is the earliest time that the users'
# page allows.
KILL_DELAY_SECONDS = 3.7
READY_TIMEOUT_SECONDS = 10.0
SERVER_COUNT = 5
CLIENT_COUNT = 4
# Time in which a response must arrive: the time of a request and half a second after it.
RESPONSE_TIMEOUT_SECONDS = 3.0
FAULTS = ("none", "none", "none", "none", "refused", "silent", "broken", "reset")
FIRST_PORT = 8200


@dataclass
class Drain:
    """A period in which discovery lists a server as draining.

    Attributes:
        server: id of the server.
        started_at: time at which discovery has the change.
        revision: revision of the endpoint list with the change.
        ended_at: time at which the server is listed as ready again, or None.
    """

    server: str
    started_at: float
    revision: int
    ended_at: float | None = None


@dataclass
class ObservedTraffic:
    """What clients, servers and discovery observe. Times are in seconds of the monotonic clock.

    Attributes:
        sends: time, server and request id of each request that reached a server.
        list_responses: time and revision of each response of discovery.
        drains: all drains, including those that have ended.
        statuses: number of responses to clients by status code.
        violations: descriptions of violated rules.
    """

    sends: list[tuple[float, str, str]] = field(default_factory=list)
    list_responses: list[tuple[float, int]] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)


def check_drains(traffic: ObservedTraffic) -> list[str]:
    """Return the violations by requests that reach a draining server after the grace period.

    The proxy counts as notified once discovery has written a response with the change, or after 6 s.
    """
    messages = []
    for drain in traffic.drains:
        response_times = [at for at, revision in traffic.list_responses if revision >= drain.revision]
        notified_at = min([*response_times, drain.started_at + NOTIFICATION_TIMEOUT_SECONDS])
        drain_ended_at = drain.ended_at if drain.ended_at is not None else float("inf")
        late_send_times = [
            at
            for at, server, _ in traffic.sends
            if server == drain.server and notified_at + DRAIN_GRACE_SECONDS < at < drain_ended_at
        ]
        if late_send_times:
            first = f"the first {late_send_times[0] - notified_at:.2f} s after told"
            messages.append(f"drain: {drain.server} got {len(late_send_times)}, {first}")
    return messages


def check_unsafe_requests(traffic: ObservedTraffic) -> list[str]:
    """Return the violations by unsafe requests that reach servers more than once."""
    counts = Counter(request for _, _, request in traffic.sends if request.startswith("unsafe"))
    return [f"run twice: {request}" for request, count in counts.items() if count > 1]


class Soak:
    """Runs the schedule of one seed."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.random = Random(seed)
        # Faults and process lifetimes have random streams of their own. With a shared stream the load of the
        # machine decided which of them were drawn.
        self.fault_random = Random(f"faults {seed}")
        self.lifetime_random = Random(f"lives {seed}")
        self.seconds = seconds
        self.traffic = ObservedTraffic()
        self.world = StubPlatform()
        self.fault = "none"
        self.stopping = False
        # True while the process is ready and has not been asked to end.
        self.accepting_requests = False
        self.request_count = 0

    # Test doubles

    def server(self, server_id: str):  # type: ignore[no-untyped-def]
        response_delay = self.random.choice((0.0, 0.0, 0.05, 0.3))

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                request = re.findall(rb"(?i)request-id: (\S+)", head)[0].decode()
                self.traffic.sends.append((time.monotonic(), server_id, request))
                await asyncio.sleep(response_delay)
                writer.write(OK)

        return script

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            known_revision, wait_ms = map(int, re.findall(rb"after=(\d+)&wait_ms=(\d+) ", head)[0])
            fault = self.fault
            if fault == "silent":
                await asyncio.sleep(60)
            if fault == "refused":
                await asyncio.sleep(REFUSAL_DELAY_SECONDS)
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                continue
            if known_revision >= self.world.revision:
                try:
                    await asyncio.wait_for(self.world.changed.wait(), wait_ms / 1000)
                except TimeoutError:
                    pass
            has_changes = known_revision < self.world.revision
            data = endpoint_list_response(
                self.world.revision, self.world.members if has_changes else [], complete=has_changes
            )
            if fault == "broken" and has_changes:
                writer.write(data[: len(data) // 2])
                return
            if fault == "reset":
                writer.transport.abort()
                return
            self.traffic.list_responses.append((time.monotonic(), self.world.revision))
            writer.write(data)

    async def change_servers(self) -> None:
        """Let servers drain and become ready again, one change at a time. The first server never drains."""
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(1.0, 3.0))
            entry = self.random.choice(self.world.members[1:])
            entry["phase"] = "ready" if entry["phase"] == "draining" else "draining"
            self.world.publish_list()
            now = time.monotonic()
            if entry["phase"] == "draining":
                self.traffic.drains.append(Drain(entry["id"], now, self.world.revision))
            else:
                last_drain = [drain for drain in self.traffic.drains if drain.server == entry["id"]][-1]
                last_drain.ended_at = now

    async def change_faults(self) -> None:
        while not self.stopping:
            self.fault = self.fault_random.choice(FAULTS)
            await asyncio.sleep(self.fault_random.uniform(1.0, 7.0))

    # Clients

    async def client(self, proxy: ProxyProcess) -> None:
        """Send requests on one connection while it stays open, also while the process shuts down."""
        while not self.stopping:
            if not self.accepting_requests:
                await asyncio.sleep(0.05)
                continue
            try:
                reader, writer = await proxy.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            first = True
            while not self.stopping:
                if not await self.send_request(proxy, reader, writer, first):
                    break
                first = False
                await asyncio.sleep(self.random.uniform(0.0, 0.2))
            writer.close()

    def request(self) -> tuple[str, bytes]:
        self.request_count += 1
        if self.random.random() < 0.5:
            request_id = f"unsafe-{self.request_count}"
            return request_id, request_bytes(request_id, "submit-exam", "1500", body=b"x")
        request_id = f"safe-{self.request_count}"
        return request_id, request_bytes(request_id, "load-item", "2000")

    async def send_request(
        self, proxy: ProxyProcess, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bool
    ) -> bool:
        """Send a request and return whether the connection may be reused. `first` marks a new connection."""
        request_id, data = self.request()
        head = await self.receive_response_head(reader, writer, data)
        if head is None and not self.killed():
            if first:
                self.traffic.violations.append(f"lost: {request_id}, on a new connection")
                return False
            try:
                new_connection = await proxy.connect()
            except OSError:
                # The process no longer listens, so it has not accepted the request.
                return False
            head = await self.receive_response_head(*new_connection, data)
            new_connection[1].close()
            if head is None and not self.killed():
                self.traffic.violations.append(f"lost: {request_id}, sent again")
            return False
        return head is not None and b"connection: close" not in head.lower()

    async def receive_response_head(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
    ) -> bytes | None:
        try:
            writer.write(data)
            async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
                head, _ = await read_message(reader)
        except (OSError, EOFError, TimeoutError):
            return None
        self.traffic.statuses[head.split(b" ")[1].decode()] += 1
        return head

    def killed(self) -> bool:
        """Return whether the process was ended by SIGKILL.

        By the users' page, requests that SIGKILL leaves without a response are no violation.
        """
        return self.was_killed

    # Process lifetimes

    async def run_lifetime(self, proxy: ProxyProcess, seconds: float, ending: str) -> None:
        self.was_killed = False
        environment = {**os.environ, "PROXY_CONFIG": str(proxy.path), "PROXY_NAME": "n0"}
        log = (proxy.path.parent / "log").open("ab")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN_COMMAND, env=environment, stderr=log
        )
        launched_at = time.monotonic()
        if ending == "term while starting":
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
            process.terminate()
        else:
            await self.wait_until_ready(proxy, process, launched_at)
            self.accepting_requests = True
            await asyncio.sleep(seconds)
            if ending == "kill":
                self.was_killed = True
                self.accepting_requests = False
                process.kill()
            else:
                process.terminate()
                if self.random.random() < 0.5:
                    process.send_signal(signal.SIGHUP)
                # Clients still connect in this time.
                await asyncio.sleep(0.3)
                self.accepting_requests = False
        try:
            await asyncio.wait_for(process.wait(), KILL_DELAY_SECONDS)
        except TimeoutError:
            self.was_killed = True
            process.kill()
            await process.wait()
            self.traffic.violations.append("did not exit before SIGKILL")
        # Before the program's first line SIGTERM ends the interpreter. No client was accepted by then.
        expected_exit_codes = (0, -signal.SIGTERM) if ending == "term while starting" else (0,)
        if ending != "kill" and process.returncode not in expected_exit_codes:
            self.traffic.violations.append(f"exited with status {process.returncode} after {ending}")
        log.close()
        await asyncio.sleep(0.3)

    async def wait_until_ready(
        self, proxy: ProxyProcess, process: asyncio.subprocess.Process, launched_at: float
    ) -> None:
        while time.monotonic() - launched_at < 3 * READY_TIMEOUT_SECONDS:
            try:
                if await proxy.request(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"):
                    break
            except OSError:
                pass
            if process.returncode is not None:
                self.traffic.violations.append("exited during startup")
                return
            await asyncio.sleep(0.05)
        if time.monotonic() - launched_at > READY_TIMEOUT_SECONDS:
            self.traffic.violations.append(f"ready after {time.monotonic() - launched_at:.1f} s")

    async def run_schedule(self, folder: Path) -> ObservedTraffic:
        await self.world.serve(8101, self.discovery)
        await self.world.serve(8102, self.world.release_controller)
        for index in range(SERVER_COUNT):
            await self.world.add_server(FIRST_PORT + index, self.server(f"s-{FIRST_PORT + index}"))
        settings = deepcopy(SETTINGS)
        settings["Siblings"] = self.random.choice((1, 3, 210))
        endpoint_list = {"revision": 1, "complete": True, "members": deepcopy(self.world.members)}
        proxy = ProxyProcess(folder, configuration(known=endpoint_list, settings=settings))
        clients = [self.client(proxy) for _ in range(CLIENT_COUNT)]
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in (self.change_servers(), self.change_faults(), *clients)
        ]
        deadline = time.monotonic() + self.seconds
        while time.monotonic() < deadline:
            ending = self.lifetime_random.choice(("term", "term", "kill", "term while starting"))
            await self.run_lifetime(proxy, self.lifetime_random.uniform(4.0, 10.0), ending)
        self.stopping = True
        _, unfinished = await asyncio.wait(tasks, timeout=8)
        for task in unfinished:
            task.cancel()
        await self.world.close()
        errors = [task.exception() for task in tasks if task.done() and not task.cancelled()]
        self.traffic.violations += [f"the soak itself: {error!r}" for error in errors if error]
        self.traffic.violations += check_drains(self.traffic) + check_unsafe_requests(self.traffic)
        if b"Traceback" in (folder / "log").read_bytes():
            self.traffic.violations.append("traceback in the log")
        return self.traffic


def run_seed(seed: int, seconds: float) -> ObservedTraffic:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(seed, seconds).run_schedule(Path(folder)))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=30.0)
    arguments = parser.parse_args()
    failed_seed_count = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        traffic = run_seed(seed, arguments.seconds)
        failed_seed_count += bool(traffic.violations)
        print(
            f"seed {seed}: {'; '.join(traffic.violations[:3]) or 'kept'} {dict(traffic.statuses)}", flush=True
        )
    sys.exit(bool(failed_seed_count))


if __name__ == "__main__":
    main()
