"""Graceful shutdown: what was taken has its answer, each connection ends so that its client can repeat."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from tests.support.platform_world import (
    HOST,
    OK,
    RUN_COMMAND,
    ProxyProcess,
    StubPlatform,
    configuration,
    fixed_response_server,
    read_message,
)
from tests.support.race_scenes import (
    WAIT_TIMEOUT_SECONDS,
    ProxyHarness,
    accept,
    client,
    is_readable,
    proxy_harness,
    receive_message,
    receive_until_eof,
    request_bytes,
    run_scenario,
    wait_until,
)

ONCE = "submit-exam"
CLOSES = b"connection: close\r\n"


async def stop(scene: ProxyHarness, during: Callable[[], Awaitable[None]], within: float = 2.0) -> None:
    """Stop as at SIGTERM, but with no time in which clients still come; `during` once the doors are shut.
    As the stop ends, and the process with it, nobody may be in the middle of a req."""

    async def whole() -> None:
        await scene.proxy.listener.stop(0.0, within)
        assert not [front for front in scene.proxy.listener.connections if front.busy or not front.closed]

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(whole)
        await wait_until(lambda: scene.runtime.refuses_requests)
        await during()


async def nothing() -> None:
    pass


def test_what_the_machine_has_accepted_is_taken(tmp_path: Path) -> None:
    """Reqs in the accept queue as the listener closes: more than the loop accepts in one turn."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            # Each is rejected at once: only its being accepted counts here.
            made.runtime.router.endpoints.ready_by_build = {}
            asking = [client(request_bytes(f"a{number}")) for number in range(100)]
            made.proxy.listener.accept_scope.cancel()
            await stop(made, nothing)
            for one in asking:
                got = await receive_until_eof(one)
                assert got.startswith(b"HTTP/1.1 503 ") and CLOSES in got

    run_scenario(scene)


@pytest.mark.parametrize("cut", [1, 40, -3], ids=["a byte", "half a head", "half a body"])
def test_a_req_that_has_begun_to_come_is_read_to_its_end(tmp_path: Path, cut: int) -> None:
    data = request_bytes("a1", ONCE, body=b"body")

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = client(data[:cut])
            await wait_until(lambda: any(not front.idle for front in made.proxy.listener.connections))

            async def goes_on() -> None:
                asking.sendall(data[cut:])
                box = await accept(made.server_listener)
                assert (await receive_message(box)).endswith(b"body")
                box.sendall(OK)
                got = await receive_until_eof(asking)
                assert got.endswith(b"\r\n\r\nok") and CLOSES in got
                asking.close()

            await stop(made, goes_on)
            assert not made.proxy.listener.connections

    run_scenario(scene)


def test_a_req_that_never_becomes_whole_is_turned_away_in_time(tmp_path: Path) -> None:
    """503 before SIGKILL, and a clean end: nothing of it has been sent on."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = client(request_bytes("a1", ONCE, body=b"body")[:-1])
            await wait_until(lambda: any(not front.idle for front in made.proxy.listener.connections))
            await stop(made, nothing, within=0.05)
            got = await receive_until_eof(asking)
            assert (
                got.startswith(b"HTTP/1.1 503 ") and CLOSES in got and not is_readable(made.server_listener)
            )

    run_scenario(scene)


def test_a_silent_connection_ends_and_one_that_speaks_in_the_last_moment_is_served(tmp_path: Path) -> None:
    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            silent, late = client(), client()
            await wait_until(lambda: len(made.proxy.listener.connections) == 2)

            async def speaks() -> None:
                late.sendall(request_bytes("a1"))
                box = await accept(made.server_listener)
                await receive_message(box)
                box.sendall(OK)
                assert (await receive_until_eof(late)).endswith(b"\r\n\r\nok")
                late.close()

            await stop(made, speaks)
            assert await receive_until_eof(silent) == b""

    run_scenario(scene)


def test_a_second_req_behind_the_first_gets_no_half_answer(tmp_path: Path) -> None:
    """The first says that the connection closes (RFC 9112, 9.6); its answer is read whole, then a clean end,
    though the second was never read."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = client(request_bytes("a1", ONCE, body=b"x"))
            box = await accept(made.server_listener)
            await receive_message(box)

            async def behind() -> None:
                box.sendall(OK)
                asking.sendall(request_bytes("a2", ONCE, body=b"y" * 2000))
                got = await receive_until_eof(asking)
                assert got.count(b"HTTP/1.1 ") == 1 and CLOSES in got and got.endswith(b"\r\n\r\nok")
                asking.close()

            await stop(made, behind)
            assert not is_readable(made.server_listener)

    run_scenario(scene)


@pytest.mark.parametrize("state", ["connecting", "out", "retry"])
def test_a_try_that_is_under_way_ends_in_its_answer(tmp_path: Path, state: str) -> None:
    async def scene() -> None:
        async with proxy_harness(tmp_path, server_count=2) as made:
            if state == "connecting":
                made.net.connects_allowed = anyio.Event()
            asking = client(request_bytes("a1"))
            await wait_until(lambda: made.net.connects_started)

            async def ends() -> None:
                made.net.connects_allowed.set()
                await wait_until(
                    lambda: is_readable(made.server_listener) or is_readable(made.other_server_listener)
                )
                first, second = (
                    (made.server_listener, made.other_server_listener)
                    if is_readable(made.server_listener)
                    else (made.other_server_listener, made.server_listener)
                )
                box = await accept(first)
                await receive_message(box)
                if state == "retry":
                    box.close()
                    box = await accept(second)
                    await receive_message(box)
                box.sendall(OK)
                got = await receive_until_eof(asking)
                assert got.endswith(b"\r\n\r\nok") and CLOSES in got
                asking.close()

            await stop(made, ends)
            assert not made.runtime.exchanges

    run_scenario(scene)


def test_an_answer_half_written_to_a_slow_client_is_written_to_its_end(tmp_path: Path) -> None:
    body = b"z" * 60_000

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = socket.socket()
            asking.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            asking.connect((HOST, 8100))
            asking.sendall(request_bytes("a1"))
            box = await accept(made.server_listener)
            await receive_message(box)
            (front,) = made.proxy.listener.connections
            front.transport.transport.set_write_buffer_limits(0)
            raw = front.transport.transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            box.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            await wait_until(lambda: front.transport.unsent_bytes)

            async def reads() -> None:
                assert (await receive_until_eof(asking)).endswith(body)
                asking.close()

            await stop(made, reads)

    run_scenario(scene)


# As a process


def processed(
    folder: Path, scene: Callable[[StubPlatform, ProxyProcess], Awaitable[None]], delay: float = 0.0
) -> tuple[int, bytes]:
    """A scene round `run`; its exit code and log."""

    async def whole() -> tuple[int, bytes]:
        world = StubPlatform()
        await world.serve_platform()
        await world.add_server(8200, fixed_response_server(OK, delay, world.received))
        known = {"revision": 1, "complete": True, "members": world.members}
        running = ProxyProcess(folder, configuration(known=known))
        await running.start()
        try:
            async with asyncio.timeout(20):
                await scene(world, running)
        finally:
            logged = await running.stop()
            await world.close()
        return running.process.returncode or 0, logged

    code, logged = asyncio.run(whole())
    assert b"Traceback" not in logged, logged.decode()
    return code, logged


@pytest.mark.parametrize("more", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_more_signals_during_a_shutdown_change_nothing(tmp_path: Path, more: signal.Signals) -> None:
    """One right behind the first and many until the process is gone: it ends with 0, the req is answered."""

    async def scene(world: StubPlatform, running: ProxyProcess) -> None:
        flying = asyncio.create_task(running.request(request_bytes("a1")))
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while not world.received:
                await asyncio.sleep(0.001)
        running.process.terminate()
        while running.process.returncode is None:
            try:
                os.kill(running.process.pid, more)  # `send_signal` would reap it
            except ProcessLookupError:
                pass
            await asyncio.sleep(0.001)
        assert (await flying).endswith(b"\r\n\r\nok")

    code, logged = processed(tmp_path, scene, delay=0.2)
    assert code == 0 and logged.count(b'"shutdown_complete"') == 1


@pytest.mark.parametrize("after", [b"", b"listening"])
def test_a_signal_during_the_start_waits_until_it_can_be_heard(tmp_path: Path, after: bytes) -> None:
    """SIGTERM from the program's first line on: the process ends by itself and with 0."""
    told = configuration()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(told))

    async def whole() -> tuple[int | None, bytes]:
        environment = {**os.environ, "PROXY_CONFIG": str(path)}
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN_COMMAND, env=environment, stderr=asyncio.subprocess.PIPE
        )
        assert process.stderr is not None
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                if after:
                    while after not in await process.stderr.readline():
                        assert not process.stderr.at_eof()
                else:
                    while not holds_back(process.pid, signal.SIGTERM):
                        await asyncio.sleep(0.001)
                process.terminate()
                _, logged = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        return process.returncode, logged

    code, logged = asyncio.run(whole())
    assert code == 0 and b"Traceback" not in logged, logged


def holds_back(pid: int, number: signal.Signals) -> bool:
    status = Path(f"/proc/{pid}/status").read_text()
    blocked = next(line for line in status.splitlines() if line.startswith("SigBlk:")).split()[1]
    return bool(int(blocked, 16) >> (number - 1) & 1)


def test_an_address_that_is_taken_ends_the_start_in_one_line(tmp_path: Path) -> None:
    async def whole() -> tuple[int | None, bytes]:
        taken = socket.create_server((HOST, 8100))
        running = ProxyProcess(tmp_path, configuration())
        with taken, pytest.raises(AssertionError, match="ready"):
            await running.start()
        _, logged = await running.process.communicate()
        return running.process.returncode, logged

    code, logged = asyncio.run(whole())
    last = logged.splitlines()[-1]
    assert code == 1 and b"Traceback" not in logged and last.startswith(b"gullmount: ") and b"8100" in last


def test_a_restarted_umpire_serves_while_the_old_ones_connections_end(tmp_path: Path) -> None:
    """On the same address; the old process leaves a client that never reads and one it answers late."""

    async def scene(world: StubPlatform, running: ProxyProcess) -> None:
        old, flying = running.process, asyncio.create_task(running.request(request_bytes("a1")))
        reader, writer = await running.connect()
        writer.write(request_bytes("a2"))
        assert (await read_message(reader))[0].startswith(b"HTTP/1.1 200")
        running.process.terminate()
        assert await old.wait() == 0
        assert (await flying).endswith(b"\r\n\r\nok") and await reader.read() == b""
        await running.start()
        assert (await running.request(request_bytes("a3"))).endswith(b"\r\n\r\nok")

    code, _ = processed(tmp_path, scene, delay=0.2)
    assert code == 0
