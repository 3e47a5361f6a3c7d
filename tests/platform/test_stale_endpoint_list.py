"""Tests of the proxy process with an overloaded or silent discovery: it must not forward by a stale list.

The rule comes from the users' standing test, "Days at full size":

- After a failed, refused or abandoned call, a change counts as notified 6 s after discovery had it.
- A change that a silent watch misses counts as notified 6 s after the watch fell silent.
- From then on a request may reach the server for the grace period of `drain` and 50 ms more.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.support.platform_world import (
    OK,
    RUN_COMMAND,
    ConnectionHandler,
    ProxyProcess,
    StubPlatform,
    configuration,
    endpoint_entry,
    endpoint_list_response,
    read_message,
    request_bytes,
)

REFUSED_RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
# An overloaded discovery refuses a call that has waited this long in its queue.
QUEUE_TIMEOUT_SECONDS = 2.0
# A change counts as notified after this time, however the call ended.
NOTIFIED_AFTER_SECONDS = 6.0
# A request may still reach a server this long after its removal counts as notified.
GRACE_SECONDS = 0.55
REQUEST_INTERVAL_SECONDS = 0.1


class ProxyScenario:
    """A proxy process with one server, and the times of its calls and requests on the monotonic clock."""

    def __init__(self) -> None:
        self.platform = StubPlatform()
        self.send_times: list[float] = []
        self.statuses: list[int] = []
        self.call_times: list[float] = []
        self.refusal_times: list[float] = []

    async def server(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            self.send_times.append(time.monotonic())
            writer.write(OK)

    async def refuse(self, writer: asyncio.StreamWriter) -> None:
        """Respond like an overloaded discovery: the call waits in the queue and then gets status 503."""
        await asyncio.sleep(QUEUE_TIMEOUT_SECONDS)
        self.refusal_times.append(time.monotonic())
        writer.write(REFUSED_RESPONSE)

    async def send_requests(self, proxy: ProxyProcess, seconds: float) -> None:
        """Send requests one after the other; each of them must get a response."""
        deadline = time.monotonic() + seconds
        number = 0
        while time.monotonic() < deadline:
            response = await proxy.request(request_bytes(f"a{number}"))
            assert response, "the connection was closed without a response"
            self.statuses.append(int(response.split(b" ")[1]))
            number += 1
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    def run_for(self, folder: Path, discovery: ConnectionHandler, seconds: float) -> bytes:
        """Start the process, send requests for `seconds`, stop it, and return its log."""

        async def run_process() -> bytes:
            await self.platform.serve(8101, discovery)
            await self.platform.serve(8102, self.platform.release_controller)
            await self.platform.add_server(8200, self.server)
            known = {"revision": 1, "complete": True, "members": self.platform.members}
            proxy = ProxyProcess(folder, configuration(known=known))
            await proxy.start()
            try:
                await self.send_requests(proxy, seconds)
            finally:
                log_output = await proxy.stop()
                await self.platform.close()
            assert b"Traceback" not in log_output, log_output.decode()
            return log_output

        return asyncio.run(run_process())


def late_sends(scenario: ProxyScenario, notified_at: float) -> list[float]:
    """Return the requests that reached a server after the grace period, in seconds after `notified_at`."""
    return [
        round(sent - notified_at, 2) for sent in scenario.send_times if sent > notified_at + GRACE_SECONDS
    ]


def test_restarted_process_whose_calls_are_refused_forwards_nothing_by_its_old_list(tmp_path: Path) -> None:
    """The list in the configuration file may be of any age.

    A change that discovery had 6 s or more before the refusal counts as notified.
    """
    scenario = ProxyScenario()

    async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            await scenario.refuse(writer)

    scenario.run_for(tmp_path, discovery, 8.0)
    assert scenario.refusal_times
    assert not late_sends(scenario, scenario.refusal_times[0]), late_sends(
        scenario, scenario.refusal_times[0]
    )
    assert set(scenario.statuses) <= {200, 503}


def silent_then_failing_discovery(
    scenario: ProxyScenario, end_call: Callable[[asyncio.StreamWriter], object]
) -> ConnectionHandler:
    """Discovery that responds to the first call, falls silent on a later watch, and then refuses all calls.

    `end_call` is called after each refusal, to close the connection or not.
    """
    silence_times: list[float] = []

    async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            is_watch = b"wait_ms=0 " not in head
            if not scenario.call_times:
                writer.write(endpoint_list_response(1, scenario.platform.members, complete=True))
            elif is_watch and not silence_times:
                silence_times.append(time.monotonic())
                scenario.call_times.append(silence_times[0])
                await asyncio.sleep(60)
            elif silence_times:
                await scenario.refuse(writer)
                end_call(writer)
            else:
                writer.write(endpoint_list_response(1, [], complete=False))
            scenario.call_times.append(time.monotonic())

    return discovery


@pytest.mark.parametrize("failure", ["refused", "closed"])
def test_silent_watch_followed_by_failing_calls_stops_forwarding_by_the_old_list(
    tmp_path: Path, failure: str
) -> None:
    """A watch falls silent, and the calls after it are refused or their connections closed."""
    scenario = ProxyScenario()
    end_call = asyncio.StreamWriter.close if failure == "closed" else (lambda writer: None)
    scenario.run_for(tmp_path, silent_then_failing_discovery(scenario, end_call), 10.0)
    silent_since = scenario.call_times[1]
    assert not late_sends(scenario, silent_since + NOTIFIED_AFTER_SECONDS), late_sends(
        scenario, silent_since + NOTIFIED_AFTER_SECONDS
    )
    assert 200 in scenario.statuses and set(scenario.statuses) <= {200, 503}


def test_requests_are_served_again_after_the_first_discovery_response(tmp_path: Path) -> None:
    """A stale list becomes usable again with the first response of discovery."""
    scenario = ProxyScenario()

    async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            if not scenario.refusal_times:
                await scenario.refuse(writer)
                continue
            if b"wait_ms=0 " not in head:
                await asyncio.sleep(1.0)
            writer.write(endpoint_list_response(1, [], complete=False))

    scenario.run_for(tmp_path, discovery, 9.0)
    assert scenario.statuses[-1] == 200, scenario.statuses


SERVER_COUNT = 3200


@pytest.mark.parametrize("padding", [0, 300])
def test_list_of_thousands_of_servers_sent_over_seconds_is_accepted(tmp_path: Path, padding: int) -> None:
    """A response that keeps arriving must not time out or exceed the size limit.

    In indented JSON, 3,200 servers take about 900 kB, and over 1 MiB with long names.
    """
    scenario = ProxyScenario()
    body_sizes: list[int] = []

    async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            if body_sizes:
                await asyncio.sleep(2.0)
                writer.write(endpoint_list_response(7, []))
                continue
            others = [
                endpoint_entry(
                    f"s-{index}-" + "x" * padding,
                    f"127.9.{index // 250}.{index % 250 + 1}:8081",
                    phase="draining",
                )
                for index in range(SERVER_COUNT)
            ]
            page = {"revision": 7, "complete": True, "members": [*others, *scenario.platform.members]}
            body = json.dumps(page, indent=2).encode()
            body_sizes.append(len(body))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            chunk_size = len(body) // 45 + 1
            for start in range(0, len(body), chunk_size):
                writer.write(body[start : start + chunk_size])
                await writer.drain()
                await asyncio.sleep(0.1)

    log_output = scenario.run_for(tmp_path, discovery, 6.0)
    assert body_sizes[0] > (1 << 20 if padding else 700_000)
    assert b'"revision":7' in log_output and scenario.statuses[-1] == 200, scenario.statuses


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_before_the_first_list_exits_or_reloads_without_accepting_clients(
    tmp_path: Path, signal_number: signal.Signals
) -> None:
    """SIGTERM ends the process at once because no client was accepted yet.

    If it went on waiting, it could accept clients afterwards and be killed during their requests. SIGHUP
    reloads the configuration, and the process keeps waiting for the list.
    """

    async def run_process() -> None:
        platform = StubPlatform()
        call_received = asyncio.Event()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_message(reader)
            call_received.set()
            await asyncio.sleep(60)

        await platform.serve(8101, discovery)
        proxy = ProxyProcess(tmp_path, configuration())
        environment = {**os.environ, "PROXY_CONFIG": str(proxy.path), "PROXY_NAME": "n0"}
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN_COMMAND, env=environment, stderr=asyncio.subprocess.PIPE
        )
        await asyncio.wait_for(call_received.wait(), 30)
        process.send_signal(signal_number)
        if signal_number is signal.SIGHUP:
            await asyncio.sleep(0.5)
            assert process.returncode is None
            process.terminate()
        _, log_output = await asyncio.wait_for(process.communicate(), 2.0)
        assert process.returncode == 0 and b"Traceback" not in log_output, log_output.decode()
        assert b'"listening"' not in log_output
        assert (b"configuration_reloaded" in log_output) is (signal_number is signal.SIGHUP)
        await platform.close()

    asyncio.run(run_process())
