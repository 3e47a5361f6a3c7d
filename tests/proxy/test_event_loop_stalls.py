"""Event-loop stalls: found by an overdue heartbeat; what was read late is dated by its arrival."""

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
from gullmount.net.arrival import has_ended, seconds_since_data
from gullmount.proxy.event_loop_stalls import (
    HEARTBEAT_SECONDS,
    KERNEL_TICK_SECONDS,
    RECENT_SECONDS,
    EventLoopStalls,
)
from tests.support.paths import ROOT

STALL = 3.0  # s


class Scene:
    """Stalls by a clock of its own, which `skip` puts forward as a stop of the process would."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.skipped = 0.0
        self.logged: list[dict[str, Any]] = []
        self.stalls = EventLoopStalls(self.now, tasks, self.log, HandlerErrors(self.log))

    def now(self) -> float:
        return anyio.current_time() + self.skipped

    def log(self, event: str, **fields: Any) -> None:
        self.logged.append({"event": event, **fields})

    def skip(self, seconds: float = STALL) -> None:
        self.skipped += seconds


def play(script: Callable[[Scene], Awaitable[None]]) -> None:
    async def scene() -> None:
        async with anyio.create_task_group() as tasks:
            made = Scene(tasks)
            tasks.start_soon(made.stalls.run)
            await anyio.sleep(3 * HEARTBEAT_SECONDS)
            await script(made)
            tasks.cancel_scope.cancel()

    anyio.run(scene)


def test_without_a_stall_the_arrival_is_now_and_nobody_asks_the_kernel_or_waits() -> None:
    async def script(scene: Scene) -> None:
        called: list[str] = []

        def age() -> float | None:
            raise AssertionError

        assert scene.stalls.arrival_time(age) == pytest.approx(scene.now(), abs=0.01)
        scene.stalls.call_when_resumed(lambda: called.append("at once"))
        assert called == ["at once"] and not scene.stalls.stalled_recently and not scene.logged

    play(script)


def test_after_a_stall_what_is_read_has_arrived_when_the_kernel_says_or_since_the_loop_last_looked() -> None:
    """Guards against requests of a pause that count as of its end."""

    async def script(scene: Scene) -> None:
        began = scene.now()
        scene.skip()
        assert scene.stalls.arrival_time(lambda: 2.0) == pytest.approx(
            began + STALL - 2.0 - KERNEL_TICK_SECONDS, abs=0.05
        )
        assert began - 3 * HEARTBEAT_SECONDS < scene.stalls.arrival_time() <= began
        assert [line["event"] for line in scene.logged] == ["event_loop_stalled"]
        scene.skip(RECENT_SECONDS + STALL)
        await anyio.sleep(3 * HEARTBEAT_SECONDS)

    play(script)


def test_decisions_wait_in_their_order_until_the_loop_has_read_what_came_meanwhile() -> None:
    """Guards against an attempt that begins before its client's end, or a drain, has been read."""

    async def script(scene: Scene) -> None:
        order: list[str] = []
        scene.skip()
        scene.stalls.call_when_resumed(lambda: order.append("first"))
        scene.stalls.call_when_resumed(lambda: order.append("second"))
        for _ in range(4):
            await anyio.sleep(0)
        order.append("read")
        await scene.stalls.wait_until_resumed()
        await anyio.sleep(0)
        assert order == ["read", "first", "second"]
        assert scene.stalls.stalled_recently

    play(script)


def test_stall_between_decisions_holds_the_rest_back_and_one_that_fails_ends_nothing() -> None:
    async def script(scene: Scene) -> None:
        order: list[str] = []

        def stop() -> None:
            order.append("stopped")
            scene.skip()

        def fail() -> None:
            raise KeyError

        def note_stalls() -> None:
            events = [line["event"] for line in scene.logged]
            order.append(f"after {events.count('event_loop_stalled')} stalls")

        scene.skip()
        for callback in (fail, stop, note_stalls):
            scene.stalls.call_when_resumed(callback)
        await scene.stalls.wait_until_resumed()
        await anyio.sleep(0)
        assert order == ["stopped", "after 2 stalls"]
        assert "handler_failed" in [line["event"] for line in scene.logged]

    play(script)


def lines_of_a_stopped_process(how: str) -> list[str]:
    """What a process prints whose read's deadline passes while it is stopped; the bytes come meanwhile."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        command = [sys.executable, "-m", "tests.support.stopped_reader", host, str(port), how]
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
    ("how", "lines"), [("stalls", ["drain", "decided"]), ("plain", ["timeout", "decided"])]
)
def test_what_came_during_a_stall_is_in_time_though_its_deadline_has_passed(
    how: str, lines: list[str]
) -> None:
    """Guards against an answer of discovery that lies in the kernel and is given up as too late: a drain.

    It is read before decisions are made. `plain` shows what is guarded against: the event loop notices the
    deadline before it looks at the socket.
    """
    assert lines_of_a_stopped_process(how) == lines


def test_kernel_tells_the_age_of_data_and_an_end_behind_it() -> None:
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
