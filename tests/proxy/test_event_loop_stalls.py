"""Tests that overdue heartbeats reveal stalls and that data read late is dated by its arrival."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from gullmount.net import HandlerErrors
from gullmount.net.socket_state import has_ended, seconds_since_data
from gullmount.proxy.event_loop_stalls import (
    HEARTBEAT_SECONDS,
    KERNEL_TIMESTAMP_RESOLUTION_SECONDS,
    RECENT_STALL_SECONDS,
    EventLoopStalls,
)
from tests.support.paths import ROOT

STALL_SECONDS = 3.0


class StallFixture:
    """Runs `EventLoopStalls` on a clock that `simulate_stall` advances as a stopped process would see it."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.clock_offset = 0.0
        self.log_lines: list[dict[str, Any]] = []
        self.stalls = EventLoopStalls(self.now, tasks, self.log, HandlerErrors(self.log))

    def now(self) -> float:
        return anyio.current_time() + self.clock_offset

    def log(self, event: str, **fields: Any) -> None:
        self.log_lines.append({"event": event, **fields})

    def simulate_stall(self, seconds: float = STALL_SECONDS) -> None:
        self.clock_offset += seconds


def run_with_stalls(script: Callable[[StallFixture], Awaitable[None]]) -> None:
    """Run `script` after the first heartbeats."""

    async def run_script() -> None:
        async with anyio.create_task_group() as tasks:
            stall_fixture = StallFixture(tasks)
            tasks.start_soon(stall_fixture.stalls.run)
            await anyio.sleep(3 * HEARTBEAT_SECONDS)
            await script(stall_fixture)
            tasks.cancel_scope.cancel()

    anyio.run(run_script)


def test_without_a_stall_arrival_time_is_now_and_callbacks_run_at_once() -> None:
    async def script(fixture: StallFixture) -> None:
        called: list[str] = []

        def age() -> float | None:
            raise AssertionError

        assert fixture.stalls.arrival_time(age) == pytest.approx(fixture.now(), abs=0.01)
        fixture.stalls.call_when_resumed(lambda: called.append("at once"))
        assert called == ["at once"] and not fixture.stalls.stalled_recently and not fixture.log_lines

    run_with_stalls(script)


def test_after_a_stall_arrival_time_comes_from_the_kernel_or_is_the_last_poll_before_the_stall() -> None:
    """Guards against requests that arrive during a stall being dated at its end."""

    async def script(fixture: StallFixture) -> None:
        started_at = fixture.now()
        fixture.simulate_stall()
        assert fixture.stalls.arrival_time(lambda: 2.0) == pytest.approx(
            started_at + STALL_SECONDS - 2.0 - KERNEL_TIMESTAMP_RESOLUTION_SECONDS, abs=0.05
        )
        assert started_at - 3 * HEARTBEAT_SECONDS < fixture.stalls.arrival_time() <= started_at
        assert [line["event"] for line in fixture.log_lines] == ["event_loop_stalled"]
        fixture.simulate_stall(RECENT_STALL_SECONDS + STALL_SECONDS)
        await anyio.sleep(3 * HEARTBEAT_SECONDS)

    run_with_stalls(script)


def test_callbacks_are_deferred_in_order_until_data_of_the_stall_has_been_read() -> None:
    """Guards against starting an attempt before a client's disconnect or a server's drain has been read."""

    async def script(fixture: StallFixture) -> None:
        order: list[str] = []
        fixture.simulate_stall()
        fixture.stalls.call_when_resumed(lambda: order.append("first"))
        fixture.stalls.call_when_resumed(lambda: order.append("second"))
        for _ in range(4):
            await anyio.sleep(0)
        order.append("read")
        await fixture.stalls.wait_until_resumed()
        await anyio.sleep(0)
        assert order == ["read", "first", "second"]
        assert fixture.stalls.stalled_recently

    run_with_stalls(script)


def test_stall_during_deferred_callbacks_defers_the_rest_and_a_failing_callback_is_contained() -> None:
    async def script(fixture: StallFixture) -> None:
        order: list[str] = []

        def stall() -> None:
            order.append("stopped")
            fixture.simulate_stall()

        def fail() -> None:
            raise KeyError

        def record_stall_count() -> None:
            events = [line["event"] for line in fixture.log_lines]
            order.append(f"after {events.count('event_loop_stalled')} stalls")

        fixture.simulate_stall()
        for callback in (fail, stall, record_stall_count):
            fixture.stalls.call_when_resumed(callback)
        await fixture.stalls.wait_until_resumed()
        await anyio.sleep(0)
        assert order == ["stopped", "after 2 stalls"]
        assert "handler_failed" in [line["event"] for line in fixture.log_lines]

    run_with_stalls(script)


def output_of_stopped_process(mode: str) -> list[str]:
    """Return the words that a process prints whose read deadline passes while it is stopped.

    The data that it waits for arrives while it is stopped.
    """
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        command = [sys.executable, "-m", "tests.support.stopped_reader", host, str(port), mode]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True, cwd=ROOT) as process:
            sender, _ = listener.accept()
            with sender:
                assert process.stdout is not None
                assert process.stdout.readline() == "ready\n"
                time.sleep(0.1)
                process.send_signal(signal.SIGSTOP)
                time.sleep(0.2)
                sender.sendall(b"drain")
                time.sleep(0.6)
                process.send_signal(signal.SIGCONT)
                return process.stdout.read().split()


@pytest.mark.parametrize(
    ("mode", "lines"), [("stalls", ["drain", "decided"]), ("plain", ["timeout", "decided"])]
)
def test_data_received_during_a_stall_is_returned_after_its_deadline(mode: str, lines: list[str]) -> None:
    """Guards against losing a response of discovery, such as a drain, that arrived during a stall.

    It waits in the kernel while its deadline passes, and must be read before decisions are made. The mode
    `plain` shows the failure: the event loop handles the deadline before it polls the socket.
    """
    assert output_of_stopped_process(mode) == lines


def test_kernel_reports_the_age_of_unread_data_and_the_end_of_the_connection() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
        with server:
            client.sendall(b"x")
            time.sleep(0.2)
            assert seconds_since_data(server.fileno()) == pytest.approx(0.2, abs=0.1)
            assert not has_ended(server.fileno())
            client.close()
            time.sleep(0.05)
            assert has_ended(server.fileno()) and server.recv(1) == b"x"
    assert seconds_since_data(-1) is None and not has_ended(-1)
