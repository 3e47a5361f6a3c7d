"""Graceful shutdown of the listener.

Accepted requests get their responses, and every connection closes in a way that lets its client retry.
"""

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
    slow_client,
    wait_until,
)

AT_MOST_ONCE_ROUTE = "submit-exam"
SHORT_READ_SECONDS = 0.5
# From the start of the shutdown to the kill at the earliest, in proportion: the margin is 0.4 s.
LATE_REQUEST_TIMEOUT_SECONDS = SHORT_READ_SECONDS + 0.4
CONNECTION_CLOSE_HEADER = b"connection: close\r\n"


async def stop_listener(
    target: ProxyHarness, during: Callable[[], Awaitable[None]], read_seconds: float = 2.0
) -> None:
    """Stop the listener as on SIGTERM, but accept no further connections.

    `during` runs once requests are refused. When the stop ends, and the process with it, no client may be in
    the middle of a request.
    """

    async def run_stop() -> None:
        await target.proxy.listener.stop(0.0, read_seconds)
        assert not [
            connection
            for connection in target.proxy.listener.connections
            if connection.busy or not connection.closed
        ]

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_stop)
        await wait_until(lambda: target.runtime.refuses_requests)
        await during()


async def do_nothing() -> None:
    pass


def test_connections_in_accept_queue_get_response_at_shutdown(tmp_path: Path) -> None:
    """The accept queue holds more connections than the event loop accepts in one turn."""

    async def scenario() -> None:
        async with proxy_harness(tmp_path) as harness:
            # Every request is rejected at once: the test checks only that it is accepted.
            harness.runtime.router.endpoints.ready_by_build = {}
            client_sockets = [client(request_bytes(f"a{number}")) for number in range(100)]
            harness.proxy.listener.accept_scope.cancel()
            await stop_listener(harness, do_nothing)
            for connected_socket in client_sockets:
                response = await receive_until_eof(connected_socket)
                assert response.startswith(b"HTTP/1.1 503 ") and CONNECTION_CLOSE_HEADER in response

    run_scenario(scenario)


@pytest.mark.parametrize("split_at", [1, 40, -3], ids=["a byte", "half a head", "half a body"])
def test_partly_received_request_is_completed_during_shutdown(tmp_path: Path, split_at: int) -> None:
    data = request_bytes("a1", AT_MOST_ONCE_ROUTE, body=b"body")

    async def scenario() -> None:
        async with proxy_harness(tmp_path) as harness:
            client_socket = client(data[:split_at])
            await wait_until(
                lambda: any(not connection.idle for connection in harness.proxy.listener.connections)
            )

            async def finish_request() -> None:
                client_socket.sendall(data[split_at:])
                server_connection = await accept(harness.server_listener)
                assert (await receive_message(server_connection)).endswith(b"body")
                server_connection.sendall(OK)
                response = await receive_until_eof(client_socket)
                assert response.endswith(b"\r\n\r\nok") and CONNECTION_CLOSE_HEADER in response
                client_socket.close()

            await stop_listener(harness, finish_request)
            assert not harness.proxy.listener.connections

    run_scenario(scenario)


def test_incomplete_request_gets_503_before_shutdown_ends(tmp_path: Path) -> None:
    """The client gets 503 and a clean close before SIGKILL, and no part of its request is forwarded."""

    async def scenario() -> None:
        async with proxy_harness(tmp_path) as harness:
            client_socket = client(request_bytes("a1", AT_MOST_ONCE_ROUTE, body=b"body")[:-1])
            await wait_until(
                lambda: any(not connection.idle for connection in harness.proxy.listener.connections)
            )
            await stop_listener(harness, do_nothing, read_seconds=0.05)
            response = await receive_until_eof(client_socket)
            assert (
                response.startswith(b"HTTP/1.1 503 ")
                and CONNECTION_CLOSE_HEADER in response
                and not is_readable(harness.server_listener)
            )

    run_scenario(scenario)


def test_shutdown_closes_silent_connection_and_serves_late_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with proxy_harness(tmp_path) as harness:
            silent_client, late_client = client(), client()
            await wait_until(lambda: len(harness.proxy.listener.connections) == 2)

            async def send_late_request() -> None:
                late_client.sendall(request_bytes("a1"))
                server_connection = await accept(harness.server_listener)
                await receive_message(server_connection)
                server_connection.sendall(OK)
                assert (await receive_until_eof(late_client)).endswith(b"\r\n\r\nok")
                late_client.close()

            await stop_listener(harness, send_late_request)
            assert await receive_until_eof(silent_client) == b""

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("route", "statuses"),
    [
        # The client may send it again.
        ("load-item", (b"HTTP/1.1 503",)),
        # It may have run.
        (AT_MOST_ONCE_ROUTE, (b"HTTP/1.1 502", b"HTTP/1.1 504")),
    ],
)
def test_late_request_at_a_hanging_server_gets_its_response_before_shutdown_ends(
    tmp_path: Path, route: str, statuses: tuple[bytes, ...]
) -> None:
    """Guards against waiting for the request's own deadline, which may lie after SIGKILL."""

    async def scenario() -> None:
        async with proxy_harness(tmp_path) as harness:
            late_client = client()
            await wait_until(lambda: harness.proxy.listener.connections)

            async def send_late_request() -> None:
                late_client.sendall(request_bytes("a1", route, body=b"x" * (route == AT_MOST_ONCE_ROUTE)))
                server_connection = await accept(harness.server_listener)
                await receive_message(server_connection)
                response = await receive_until_eof(late_client)
                assert response.startswith(statuses)
                assert CONNECTION_CLOSE_HEADER in response

            with anyio.fail_after(LATE_REQUEST_TIMEOUT_SECONDS):
                await stop_listener(harness, send_late_request, read_seconds=SHORT_READ_SECONDS)

    run_scenario(scenario)


def test_pipelined_request_during_shutdown_gets_no_partial_response(tmp_path: Path) -> None:
    """The first response announces that the connection closes (RFC 9112, section 9.6).

    The client receives it completely and then a clean close, although the second request was never read.
    """

    async def scenario() -> None:
        async with proxy_harness(tmp_path) as harness:
            client_socket = client(request_bytes("a1", AT_MOST_ONCE_ROUTE, body=b"x"))
            server_connection = await accept(harness.server_listener)
            await receive_message(server_connection)

            async def send_second_request() -> None:
                server_connection.sendall(OK)
                client_socket.sendall(request_bytes("a2", AT_MOST_ONCE_ROUTE, body=b"y" * 2000))
                response = await receive_until_eof(client_socket)
                assert (
                    response.count(b"HTTP/1.1 ") == 1
                    and CONNECTION_CLOSE_HEADER in response
                    and response.endswith(b"\r\n\r\nok")
                )
                client_socket.close()

            await stop_listener(harness, send_second_request)
            assert not is_readable(harness.server_listener)

    run_scenario(scenario)


@pytest.mark.parametrize("state", ["connecting", "out", "retry"])
def test_attempt_in_flight_at_shutdown_gets_its_response(tmp_path: Path, state: str) -> None:
    async def scenario() -> None:
        async with proxy_harness(tmp_path, server_count=2) as harness:
            if state == "connecting":
                harness.net.connects_allowed = anyio.Event()
            client_socket = client(request_bytes("a1"))
            await wait_until(lambda: harness.net.connects_started)

            async def finish_attempt() -> None:
                harness.net.connects_allowed.set()
                await wait_until(
                    lambda: is_readable(harness.server_listener) or is_readable(harness.other_server_listener)
                )
                first_listener, second_listener = (
                    (harness.server_listener, harness.other_server_listener)
                    if is_readable(harness.server_listener)
                    else (harness.other_server_listener, harness.server_listener)
                )
                server_connection = await accept(first_listener)
                await receive_message(server_connection)
                if state == "retry":
                    server_connection.close()
                    server_connection = await accept(second_listener)
                    await receive_message(server_connection)
                server_connection.sendall(OK)
                response = await receive_until_eof(client_socket)
                assert response.endswith(b"\r\n\r\nok") and CONNECTION_CLOSE_HEADER in response
                client_socket.close()

            await stop_listener(harness, finish_attempt)
            assert not harness.runtime.exchanges

    run_scenario(scenario)


def test_partly_written_response_to_slow_client_is_completed(tmp_path: Path) -> None:
    body = b"z" * 60_000

    async def scenario() -> None:
        async with proxy_harness(tmp_path) as harness:
            client_socket = slow_client(request_bytes("a1"))
            server_connection = await accept(harness.server_listener)
            await receive_message(server_connection)
            (connection,) = harness.proxy.listener.connections
            connection.transport.transport.set_write_buffer_limits(0)
            proxy_socket = connection.transport.transport.get_extra_info("socket")
            proxy_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            server_connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            await wait_until(lambda: connection.transport.unsent_bytes)

            async def read_response() -> None:
                assert (await receive_until_eof(client_socket)).endswith(body)
                client_socket.close()

            await stop_listener(harness, read_response)

    run_scenario(scenario)


# Tests with the proxy in a process of its own.


def run_with_process(
    folder: Path, scenario: Callable[[StubPlatform, ProxyProcess], Awaitable[None]], delay: float = 0.0
) -> tuple[int, bytes]:
    """Run the scenario against a proxy process; return its exit code and log."""

    async def run_process() -> tuple[int, bytes]:
        world = StubPlatform()
        await world.serve_platform()
        await world.add_server(8200, fixed_response_server(OK, delay, world.received))
        endpoint_page = {"revision": 1, "complete": True, "members": world.members}
        proxy_process = ProxyProcess(folder, configuration(known=endpoint_page))
        await proxy_process.start()
        try:
            async with asyncio.timeout(20):
                await scenario(world, proxy_process)
        finally:
            log = await proxy_process.stop()
            await world.close()
        return proxy_process.process.returncode or 0, log

    exit_code, log = asyncio.run(run_process())
    assert b"Traceback" not in log, log.decode()
    return exit_code, log


@pytest.mark.parametrize("extra_signal", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_further_signals_during_shutdown_are_ignored(tmp_path: Path, extra_signal: signal.Signals) -> None:
    """Further signals follow the first one until the process has exited.

    The process exits with 0 and the request in flight is answered.
    """

    async def scenario(world: StubPlatform, proxy_process: ProxyProcess) -> None:
        pending_response = asyncio.create_task(proxy_process.request(request_bytes("a1")))
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while not world.received:
                await asyncio.sleep(0.001)
        proxy_process.process.terminate()
        while proxy_process.process.returncode is None:
            try:
                # `send_signal` would reap the process.
                os.kill(proxy_process.process.pid, extra_signal)
            except ProcessLookupError:
                pass
            await asyncio.sleep(0.001)
        assert (await pending_response).endswith(b"\r\n\r\nok")

    exit_code, log = run_with_process(tmp_path, scenario, delay=0.2)
    assert exit_code == 0 and log.count(b'"shutdown_complete"') == 1


@pytest.mark.parametrize("awaited_log", [b"", b"listening"])
def test_sigterm_during_startup_is_deferred_and_exits_cleanly(tmp_path: Path, awaited_log: bytes) -> None:
    """SIGTERM may arrive from the first line of the program on; the process must exit by itself with 0."""
    config = configuration()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))

    async def run_process() -> tuple[int | None, bytes]:
        environment = {**os.environ, "PROXY_CONFIG": str(path)}
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", RUN_COMMAND, env=environment, stderr=asyncio.subprocess.PIPE
        )
        assert process.stderr is not None
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                if awaited_log:
                    while awaited_log not in await process.stderr.readline():
                        assert not process.stderr.at_eof()
                else:
                    while not is_signal_blocked(process.pid, signal.SIGTERM):
                        await asyncio.sleep(0.001)
                process.terminate()
                _, log = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
        return process.returncode, log

    exit_code, log = asyncio.run(run_process())
    assert exit_code == 0 and b"Traceback" not in log, log


def is_signal_blocked(pid: int, signal_number: signal.Signals) -> bool:
    status = Path(f"/proc/{pid}/status").read_text()
    blocked = next(line for line in status.splitlines() if line.startswith("SigBlk:")).split()[1]
    return bool(int(blocked, 16) >> (signal_number - 1) & 1)


def test_address_in_use_ends_startup_with_one_log_line(tmp_path: Path) -> None:
    async def run_process() -> tuple[int | None, bytes]:
        occupied_socket = socket.create_server((HOST, 8100))
        proxy_process = ProxyProcess(tmp_path, configuration())
        with occupied_socket, pytest.raises(AssertionError, match="ready"):
            await proxy_process.start()
        _, log = await proxy_process.process.communicate()
        return proxy_process.process.returncode, log

    exit_code, log = asyncio.run(run_process())
    last_line = log.splitlines()[-1]
    assert (
        exit_code == 1
        and b"Traceback" not in log
        and last_line.startswith(b"gullmount: ")
        and b"8100" in last_line
    )


def test_restarted_proxy_serves_while_old_connections_close(tmp_path: Path) -> None:
    """The new process listens on the same address as the old one.

    When the old process stops, one client keeps its connection open without reading, and the response to
    another client is still due.
    """

    async def scenario(world: StubPlatform, proxy_process: ProxyProcess) -> None:
        old_process, pending_response = (
            proxy_process.process,
            asyncio.create_task(proxy_process.request(request_bytes("a1"))),
        )
        reader, writer = await proxy_process.connect()
        writer.write(request_bytes("a2"))
        assert (await read_message(reader))[0].startswith(b"HTTP/1.1 200")
        proxy_process.process.terminate()
        assert await old_process.wait() == 0
        assert (await pending_response).endswith(b"\r\n\r\nok") and await reader.read() == b""
        await proxy_process.start()
        assert (await proxy_process.request(request_bytes("a3"))).endswith(b"\r\n\r\nok")

    exit_code, _ = run_with_process(tmp_path, scenario, delay=0.2)
    assert exit_code == 0
