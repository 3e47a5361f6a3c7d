"""Pauses the real process at random times (SIGSTOP) during drains and a release, and checks the rules.

    python -m tests.support.pause_sweep --seeds 50 --first 1 [--program proxy]

Each seed determines one schedule. Clients have short timeouts and close the connection when one expires. The
sweep checks these rules from what clients, servers and discovery observe:

- lost: no attempt reaches a server more than 0.1 s after its client closed the connection.
- told: the timeout that a server receives is not longer than the time left to the client.
- drain: no request reaches a server after the grace period that follows discovery's notice of its drain.
- exposure: in no window does a candidate get more attempts than its limit allows.
- run twice: an unsafe request reaches servers at most once.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import signal
import sys
import tempfile
import time
from bisect import bisect_left, bisect_right
from collections import Counter
from copy import deepcopy
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from gullmount.net.socket_state import seconds_since_data
from tests.support.fuzzed_programs import lines_script
from tests.support.platform_world import (
    HOST,
    OK,
    RUN_COMMAND,
    SETTINGS,
    ProxyProcess,
    StubPlatform,
    configuration,
    read_message,
    request_bytes,
)
from tests.support.proxy_edge import make_proxy_config
from tests.support.soak import Drain, ObservedTraffic, check_drains, check_unsafe_requests

# Maximum time from a client's close to the start of an attempt, as the users' page defines it.
CLOSE_REACTION_SECONDS = 0.1
# Tolerance for the recorded times of a client's close and of requests at servers.
OBSERVATION_SLACK_SECONDS = 0.03
# Tolerance for the timeout that a server receives. It includes the transfer to the server.
TIMEOUT_SLACK_SECONDS = 0.1
# Range of the clients' timeouts.
CLIENT_TIMEOUT_SECONDS = (0.3, 1.1)
# Durations of pauses.
PAUSE_SECONDS = (0.05, 0.15, 0.3, 0.6, 1.0, 2.0, 3.0, 6.0)
# Hold-up between reading the clock and writing that the users' page expects a process to allow for, with the
# time that a signal takes. A longer one just there can neither be noticed nor prevented.
MAX_ALLOWED_HOLD_UP_SECONDS = 0.15 + 0.02
# An attempt was held up there if its request was sent at most this long before a pause began, and the attempt
# reached its server at most this long after the pause.
HANDLING_SECONDS = 0.02
# Time until a signal stops a process.
SIGNAL_SECONDS = 0.001
CLIENT_COUNT, CROWD_CLIENT_COUNT = 20, 60
SERVER_COUNT = 4
FIRST_PORT = 8300
BASELINE_BUILD, CANDIDATE_BUILD = 41, 42
EXPOSURE_LIMIT, WINDOW_SECONDS, SPARE_ATTEMPTS = 0.056, 3.0, 2.0
# Tolerance for the time between sending a request or an attempt and recording it.
WINDOW_SLACK_SECONDS = 0.06


@dataclass
class ClientRequest:
    """A request as its client recorded it.

    Attributes:
        sent_at: time at which the client sent the request, in seconds.
        client_timeout: the client's timeout in seconds.
        closed_at: time at which the client gave up and closed the connection, or None.
    """

    sent_at: float
    client_timeout: float
    closed_at: float | None = None


@dataclass
class ObservedAttempt:
    """An attempt as a server observed it.

    Attributes:
        at: time at which the attempt reached the server, in seconds.
        server: id of the server.
        request: id of the request.
        server_timeout: timeout that the server received, in seconds.
    """

    at: float
    server: str
    request: str
    server_timeout: float


@dataclass(frozen=True)
class Pause:
    """A pause of the process, from its SIGSTOP to its SIGCONT, in seconds of the monotonic clock."""

    began_at: float
    ended_at: float

    def holds_up(self, request: ClientRequest, attempt: ObservedAttempt) -> bool:
        """Return whether it fell between the decision on the attempt and its writing, and was too long."""
        if self.ended_at - self.began_at <= MAX_ALLOWED_HOLD_UP_SECONDS:
            return False
        time_to_pause = self.began_at - request.sent_at
        time_since_pause = attempt.at - self.ended_at
        return (
            -SIGNAL_SECONDS <= time_to_pause <= HANDLING_SECONDS
            and -HANDLING_SECONDS <= time_since_pause <= HANDLING_SECONDS
        )


@dataclass
class Observations:
    """What clients, servers and discovery observe during one run.

    Attributes:
        traffic: the observations that the soak test makes as well.
        requests: the clients' requests by request id.
        attempts: the attempts that reached servers.
        candidates: ids of the servers that run the candidate.
        pauses: the pauses of the process.
    """

    traffic: ObservedTraffic = field(default_factory=ObservedTraffic)
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    attempts: list[ObservedAttempt] = field(default_factory=list)
    candidates: set[str] = field(default_factory=set)
    pauses: list[Pause] = field(default_factory=list)

    def was_held_up(self, attempt: ObservedAttempt) -> bool:
        """Return whether a pause held the attempt up between the decision and the writing."""
        request = self.requests[attempt.request]
        return any(pause.holds_up(request, attempt) for pause in self.pauses)

    def checked_attempts(self) -> list[ObservedAttempt]:
        """Return the attempts that no pause held up."""
        return [attempt for attempt in self.attempts if not self.was_held_up(attempt)]

    def checked_traffic(self) -> ObservedTraffic:
        """Return the traffic without the attempts that a pause held up."""
        held_up = {
            (attempt.at, attempt.server, attempt.request)
            for attempt in self.attempts
            if self.was_held_up(attempt)
        }
        return replace(self.traffic, sends=[send for send in self.traffic.sends if send not in held_up])


def check_attempts_after_close(observations: Observations) -> list[str]:
    """Return the violations by attempts that start after their client closed the connection."""
    delays = []
    for attempt in observations.checked_attempts():
        closed = observations.requests[attempt.request].closed_at
        if closed is not None and attempt.at > closed + CLOSE_REACTION_SECONDS + OBSERVATION_SLACK_SECONDS:
            delays.append(attempt.at - closed)
    return [f"lost: {len(delays)} attempts up to {max(delays):.2f} s after the close"] if delays else []


def check_server_timeouts(observations: Observations) -> list[str]:
    """Return the violations by attempts whose server received a longer timeout than its client had left."""
    excesses = []
    for attempt in observations.checked_attempts():
        request = observations.requests[attempt.request]
        remaining = request.sent_at + request.client_timeout - attempt.at
        if attempt.server_timeout > max(0.0, remaining) + TIMEOUT_SLACK_SECONDS:
            excesses.append(attempt.server_timeout - remaining)
    return [f"told: {len(excesses)} attempts of up to {max(excesses):.2f} s too much"] if excesses else []


def check_exposure(observations: Observations) -> list[str]:
    """Return the violation by the window in which a candidate most exceeds its exposure limit."""
    sent = sorted(request.sent_at for request in observations.requests.values())
    attempts = sorted(
        observed.at for observed in observations.attempts if observed.server in observations.candidates
    )
    max_excess = 0.0
    for number, at in enumerate(attempts):
        window_start = at - WINDOW_SECONDS
        attempt_count = number + 1 - bisect_left(attempts, window_start + WINDOW_SLACK_SECONDS)
        request_total = bisect_right(sent, at) - bisect_left(sent, window_start - WINDOW_SLACK_SECONDS)
        max_excess = max(max_excess, attempt_count - (SPARE_ATTEMPTS + EXPOSURE_LIMIT * request_total))
    return [f"exposure: {max_excess:.2f} attempts too many"] if max_excess > 0 else []


def find_violations(observations: Observations) -> list[str]:
    """Return descriptions of all violations."""
    timing_violations = (
        check_attempts_after_close(observations)
        + check_server_timeouts(observations)
        + check_exposure(observations)
    )
    return (
        timing_violations
        + check_drains(observations.checked_traffic())
        + check_unsafe_requests(observations.traffic)
        + observations.traffic.violations
    )


class PauseSweep:
    """Runs the schedule of one seed against the platform's `run` command."""

    def __init__(self, seed: int, seconds: float, pauses: tuple[float, ...] = PAUSE_SECONDS) -> None:
        self.random = Random(seed)
        self.pause_random = Random(f"pauses {seed}")
        self.seconds = seconds
        self.pauses = pauses
        self.crowded = self.random.random() < 0.3
        self.observations = Observations()
        self.world = StubPlatform()
        self.stopping = False
        self.request_count = 0

    # Test doubles

    def server(self, server_id: str) -> Any:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                head, _ = await read_message(reader)
                seconds_waited = seconds_since_data(writer.get_extra_info("socket").fileno())
                # On a busy machine this process may read the request some time after its arrival.
                now = time.monotonic() - (seconds_waited or 0.0)
                request = re.findall(rb"(?i)request-id: (\S+)", head)[0].decode()
                attempt_timeout = self.parse_server_timeout(head)
                self.observations.attempts.append(ObservedAttempt(now, server_id, request, attempt_timeout))
                self.observations.traffic.sends.append((now, server_id, request))
                await asyncio.sleep(self.random.choice((0.0, 0.0, 0.02, 0.2)))
                writer.write(OK)

        return script

    def parse_server_timeout(self, head: bytes) -> float:
        return int(re.findall(rb"(?i)request-timeout-ms: (\d+)", head)[0]) / 1000

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        class RecordingWriter:
            def write(_, data: bytes) -> None:  # noqa: N805 (`self` is the sweep)
                self.observations.traffic.list_responses.append((time.monotonic(), self.world.revision))
                writer.write(data)

        await self.world.discovery(reader, RecordingWriter())  # type: ignore[arg-type]

    async def control(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        status = b"%d 0 IN_PROGRESS %.3f 100\r\n" % (CANDIDATE_BUILD, EXPOSURE_LIMIT)
        while True:
            line = (await reader.readuntil(b"\r\n")).strip()
            writer.write(b"OK\r\n* progress " + status if line == b"NOTIFY" else b"OK " + status)

    async def change_servers(self) -> None:
        """Let servers of the baseline drain and become ready again. The first server never drains."""
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            entry = self.random.choice(self.world.members[1:SERVER_COUNT])
            entry["phase"] = "ready" if entry["phase"] == "draining" else "draining"
            self.world.publish_list()
            now = time.monotonic()
            if entry["phase"] == "draining":
                self.observations.traffic.drains.append(Drain(entry["id"], now, self.world.revision))
            else:
                [drain for drain in self.observations.traffic.drains if drain.server == entry["id"]][
                    -1
                ].ended_at = now

    # Clients

    async def client(self, proxy: ProxyProcess) -> None:
        while not self.stopping:
            try:
                reader, writer = await proxy.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            while not self.stopping and await self.send_request(reader, writer):
                await asyncio.sleep(self.random.uniform(0.0, 0.3))
            writer.transport.abort()

    async def send_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request and return whether the connection may be reused. It is closed on a timeout."""
        self.request_count += 1
        client_timeout = self.random.uniform(*CLIENT_TIMEOUT_SECONDS)
        safe = self.random.random() < 0.5
        request_id = f"{'safe' if safe else 'unsafe'}-{self.request_count}"
        data = self.request_bytes(
            request_id, safe, f"{int(client_timeout * 1000)}", f"key-{self.random.randrange(500)}"
        )
        request = self.observations.requests[request_id] = ClientRequest(time.monotonic(), client_timeout)
        try:
            writer.write(data)
            async with asyncio.timeout(client_timeout):
                head, _ = await read_message(reader)
        except TimeoutError:
            writer.transport.abort() if self.random.random() < 0.5 else writer.close()
            request.closed_at = time.monotonic()
            return False
        except (OSError, EOFError):
            return False
        self.observations.traffic.statuses[head.split(b" ")[1].decode()] += 1
        return b"connection: close" not in head.lower()

    def request_bytes(self, request_id: str, safe: bool, timeout_ms: str, key: str) -> bytes:
        route, body = ("load-item", b"") if safe else ("submit-exam", b"x")
        return request_bytes(request_id, route, timeout_ms, body).replace(b"7f3a9c21e0b4d655", key.encode())

    # The process

    async def pause(self, process: asyncio.subprocess.Process) -> None:
        seconds = self.pause_random.choice(self.pauses)
        began_at = time.monotonic()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.observations.pauses.append(Pause(began_at, time.monotonic()))

    async def run_schedule(self, folder: Path) -> Observations:
        for index in range(SERVER_COUNT + 1):
            port, build = FIRST_PORT + index, CANDIDATE_BUILD if index == SERVER_COUNT else BASELINE_BUILD
            await self.world.add_server(port, self.server(f"s-{port}"), build=build)
        self.observations.candidates = {f"s-{FIRST_PORT + SERVER_COUNT}"}
        proxy = await self.prepare(folder)
        log = (folder / "log").open("wb")
        environment = {**os.environ, "PROXY_CONFIG": str(proxy.path), "PROXY_NAME": "n0"}
        process = await asyncio.create_subprocess_exec(*self.command(proxy.path), env=environment, stderr=log)
        try:
            await self.run_pauses(proxy, process)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            log.close()
            await self.world.close()
        return self.observations

    async def prepare(self, folder: Path) -> ProxyProcess:
        """Start discovery and the release controller, and write the configuration."""
        await self.world.serve(8101, self.discovery)
        await self.world.serve(8102, self.control)
        release_status = {
            "build": CANDIDATE_BUILD,
            "stage": 0,
            "phase": "IN_PROGRESS",
            "cap": EXPOSURE_LIMIT,
            "age_ms": 100,
        }
        endpoint_list = {"revision": 1, "complete": True, "members": deepcopy(self.world.members)}
        platform = {"address": f"{HOST}:8102", "news": release_status}
        proxy_configuration = configuration(
            known=endpoint_list, settings=deepcopy(SETTINGS), platform=platform
        )
        return ProxyProcess(folder, proxy_configuration)

    def command(self, _configuration: Path) -> list[str]:
        return ["/bin/sh", "-c", RUN_COMMAND]

    async def run_pauses(self, proxy: ProxyProcess, process: asyncio.subprocess.Process) -> None:
        while True:
            try:
                _, writer = await proxy.connect()
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.05)
        client_count = CROWD_CLIENT_COUNT if self.crowded else CLIENT_COUNT
        clients = [asyncio.create_task(self.client(proxy)) for _ in range(client_count)]
        server_changes = asyncio.create_task(self.change_servers())
        deadline = time.monotonic() + self.seconds
        while time.monotonic() < deadline:
            await asyncio.sleep(self.pause_random.uniform(0.3, 2.0))
            await self.pause(process)
        await asyncio.sleep(0.5)
        if process.returncode is not None:
            self.observations.traffic.violations.append(f"exited with status {process.returncode}")
        process.terminate()
        if self.pause_random.random() < 0.5:
            await self.pause(process)
        self.stopping = True
        await asyncio.wait([*clients, server_changes], timeout=8)
        for task in (*clients, server_changes):
            task.cancel()
        results = await asyncio.gather(*clients, server_changes, return_exceptions=True)
        errors = [result for result in results if isinstance(result, Exception)]
        self.observations.traffic.violations += [f"the sweep itself: {error!r}" for error in errors]


class GenericPauseSweep(PauseSweep):
    """Runs the schedule against `gullmount proxy`.

    Its generic protocols send no timeout to servers.
    """

    def parse_server_timeout(self, head: bytes) -> float:
        return 0.0

    def request_bytes(self, request_id: str, safe: bool, timeout_ms: str, key: str) -> bytes:
        line, body = ("GET /look", b"") if safe else ("POST /pay", b"x")
        head = f"{line} HTTP/1.1\r\nHost: x\r\nRequest-Id: {request_id}\r\nX-Patience-Ms: {timeout_ms}\r\n"
        return f"{head}X-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body

    async def watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve discovery: send all endpoints after each change, and at least once per second."""
        await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while not writer.transport.is_closing():
            endpoints = [
                {"box": member["host_port"], "zone": "a", "cell": 0, "build": member["version_no"],
                 "state": member["phase"], "power": 1.0, "start": None, "age": None}
                for member in self.world.members
            ]  # fmt: skip
            message = {"v": 1, "kind": "full", "index": self.world.revision, "boxes": endpoints}
            self.observations.traffic.list_responses.append((time.monotonic(), self.world.revision))
            writer.write(json.dumps(message).encode() + b"\n")
            try:
                await asyncio.wait_for(self.world.changed.wait(), 1.0)
            except TimeoutError:
                pass

    async def prepare(self, folder: Path) -> ProxyProcess:
        released_status = {"news": {"build": BASELINE_BUILD, "stage": 2, "phase": "released", "cap": 1.0}}
        candidate_status = {
            "news": {"build": CANDIDATE_BUILD, "stage": 0, "phase": "on_trial", "cap": EXPOSURE_LIMIT}
        }
        releases = {
            "caps": [EXPOSURE_LIMIT, 0.35, 1.0],
            "window": WINDOW_SECONDS,
            "spare_tries": SPARE_ATTEMPTS,
        }
        proxy_configuration = make_proxy_config(
            listen=f"{HOST}:8100",
            roster={"address": await self.world.serve(8101, self.watch)},
            launcher={
                "address": await self.world.serve(8102, lines_script(released_status, candidate_status))
            },
            key=[{"header": "x-key"}],
            releases={**releases, "vote_life": 4, "to_advance": 1, "back_votes": 1, "votes_per_s": 50},
        ).model_dump(mode="json")
        proxy = ProxyProcess(folder, proxy_configuration)
        proxy.path.write_text(json.dumps(proxy_configuration))
        return proxy

    def command(self, configuration: Path) -> list[str]:
        return [sys.executable, "-m", "gullmount", "proxy", str(configuration)]


PROGRAMS = {"run": PauseSweep, "proxy": GenericPauseSweep}


def run_seed(
    seed: int, seconds: float, pauses: tuple[float, ...] = PAUSE_SECONDS, program: str = "run"
) -> Observations:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(PROGRAMS[program](seed, seconds, pauses).run_schedule(Path(folder)))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--pause", type=float, help="seconds of each pause, in place of drawn ones")
    parser.add_argument("--program", choices=list(PROGRAMS), default="run")
    arguments = parser.parse_args()
    pauses = (arguments.pause,) if arguments.pause else PAUSE_SECONDS
    violation_counts: Counter[str] = Counter()
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        observations = run_seed(seed, arguments.seconds, pauses, arguments.program)
        all_violations = find_violations(observations)
        violation_counts.update({violation.split(":")[0] for violation in all_violations})
        summary = "; ".join(all_violations[:4]) or "kept"
        print(
            f"seed {seed}: {summary} pauses {len(observations.pauses)} {dict(observations.traffic.statuses)}",
            flush=True,
        )
    print(f"seeds with breaches, by rule: {dict(violation_counts)}")
    sys.exit(bool(violation_counts))


if __name__ == "__main__":
    main()
