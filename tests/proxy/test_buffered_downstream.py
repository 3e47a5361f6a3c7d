"""Clients' connections: closes that cross bytes, clients that leave, floods and slow ones."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import anyio
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gullmount.proxy.buffered_downstream import MAX_LINGER_BYTES, MAX_UNSENT_RESPONSE_BYTES
from tests.support.platform_world import HOST, OK
from tests.support.race_scenes import (
    accept,
    assert_serves_request,
    client,
    is_readable,
    proxy_harness,
    receive_message,
    receive_until,
    receive_until_eof,
    request_bytes,
    reset,
    run_scenario,
    wait_until,
)

ONCE = "submit-exam"
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.mark.parametrize("more", [1, 5000])
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (request_bytes("a1").replace(b"load-item", b"no-such"), b"404"),
        (
            request_bytes("a1", ONCE, body=b"x").replace(b"Content-Length: 1", b"Content-Length: 99999999"),
            b"413",
        ),
        (HEALTH.replace(b"Host: x", b"Host: x\r\nConnection: close"), b"200"),
    ],
)
def test_an_answer_before_a_close_is_read_whole_whatever_the_client_still_sends(
    tmp_path: Path, data: bytes, status: bytes, more: int
) -> None:
    """More bytes come in the turn in which the connection ends: FIN and no RST, which could overtake the
    answer (RFC 9112, 9.6)."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = client(data)
            await wait_until(lambda: any(front.closed for front in made.proxy.listener.connections))
            asking.sendall(b"m" * more)
            got = await receive_until_eof(asking)
            assert got.startswith(b"HTTP/1.1 " + status) and got.count(b"content-length: ") == 1
            asking.close()
            await wait_until(lambda: not made.proxy.listener.connections)

    run_scenario(scene)


def test_a_client_that_sends_on_and_on_behind_its_error_is_cut_off(tmp_path: Path) -> None:
    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = client(b"nonsense\r\n\r\n")
            await wait_until(lambda: any(front.closed for front in made.proxy.listener.connections))
            (front,) = made.proxy.listener.connections
            asking.setblocking(False)
            sent = 0

            def more() -> bool:
                nonlocal sent
                try:
                    sent += asking.send(b"m" * 65536)
                except BlockingIOError:
                    pass
                except OSError:
                    return True
                return not made.proxy.listener.connections

            await wait_until(more)
            assert front.lingered_bytes <= MAX_LINGER_BYTES + 300_000 and sent > MAX_LINGER_BYTES

    run_scenario(scene)


def test_a_lingering_connection_ends_though_its_client_stays(tmp_path: Path) -> None:
    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = client(b"nonsense\r\n\r\n")
            await receive_until_eof(asking)
            await wait_until(lambda: not made.proxy.listener.connections)
            asking.close()

    run_scenario(scene)


@pytest.mark.parametrize("leave", [reset, socket.socket.close, lambda sock: sock.shutdown(socket.SHUT_WR)])
@pytest.mark.parametrize("at", ["part of a head", "part of a body", "connecting", "out", "answered"])
def test_a_client_that_leaves_at_each_step(
    tmp_path: Path, leave: Callable[[socket.socket], None], at: str
) -> None:
    """Nothing is left of it, nothing of it goes out afterwards, and others are served."""
    data = request_bytes("a1", ONCE, body=b"body")

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            made.net.connects_allowed = anyio.Event()
            asking = client({"part of a head": data[:30], "part of a body": data[:-1]}.get(at, data))
            if at.startswith("part"):
                await wait_until(lambda: any(not front.idle for front in made.proxy.listener.connections))
            elif at == "connecting":
                await wait_until(lambda: made.net.connects_started)
            else:
                made.net.connects_allowed.set()
                box = await accept(made.server_listener)
                await receive_message(box)
                if at == "answered":
                    box.sendall(OK)
            leave(asking)
            await wait_until(lambda: not made.proxy.listener.connections and not made.runtime.exchanges)
            made.net.connects_allowed.set()
            if at == "connecting":
                box = await accept(made.server_listener)  # kept for the next req
                await wait_until(lambda: made.runtime.upstream.pools["s-1"].idle)
                assert not is_readable(box)
            made.runtime.upstream.remove_server("s-1")
            assert not made.proxy.adapter.request_ids.in_flight
            await assert_serves_request(made, "b1")

    run_scenario(scene)


def test_room_is_made_by_those_that_are_done_and_then_by_the_silent(tmp_path: Path) -> None:
    """A connection that has begun to speak, and one with a req under way, stay."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            most = made.proxy.adapter.downstream_limits.max_connections
            done = client(b"nonsense\r\n\r\n")
            await wait_until(lambda: any(front.closed for front in made.proxy.listener.connections))
            busy, speaking = (
                client(request_bytes("a1", ONCE, body=b"x")),
                client(request_bytes("a2", ONCE, body=b"x")[:-1]),
            )
            silent = [client() for _ in range(most - 3)]
            await wait_until(lambda: len(made.proxy.listener.connections) == most)
            box = await accept(made.server_listener)
            await receive_message(box)
            newest = [client() for _ in range(5)]
            await wait_until(lambda: all(is_readable(one) for one in [done, *silent[:4]]))
            box.sendall(OK)
            assert (await receive_message(busy)).endswith(b"\r\n\r\nok")
            speaking.sendall(b"x")
            box = await accept(made.server_listener)
            await receive_message(box)
            box.sendall(OK)
            assert (await receive_message(speaking)).endswith(b"\r\n\r\nok")
            assert len(made.proxy.listener.connections) <= most and not any(
                is_readable(one) for one in newest
            )

    run_scenario(scene)


@pytest.mark.parametrize("why", ["idle time", "room", "stop"])
def test_a_req_that_crosses_the_end_of_its_idle_connection_is_served(tmp_path: Path, why: str) -> None:
    """It lies unheard at the socket in the turn in which the connection would be closed."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = client(HEALTH)
            await receive_message(asking)
            (front,) = made.proxy.listener.connections
            front.idle_since -= 1.0
            asking.sendall(request_bytes("a1", ONCE, body=b"x"))
            if why == "idle time":
                front.check_deadline(front.deadline)
            elif why == "room":
                made.proxy.listener.evict_idle_connection()
            else:
                made.proxy.listener.accept_scope.cancel()
                front.close()
            box = await accept(made.server_listener)
            await receive_message(box)
            box.sendall(OK)
            assert (await receive_message(asking)).endswith(b"\r\n\r\nok")

    run_scenario(scene)


def test_a_client_that_asks_on_and_reads_nothing_is_cut_off(tmp_path: Path) -> None:
    """What waits for it stays bounded, and usual clients are served beside it."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = socket.socket()
            asking.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            asking.connect((HOST, 8100))
            asking.setblocking(False)
            await wait_until(lambda: made.proxy.listener.connections)
            (front,) = made.proxy.listener.connections
            most = 0

            def more() -> bool:
                nonlocal most
                try:
                    asking.send(HEALTH * 500)
                except BlockingIOError:
                    pass
                except OSError:
                    return True
                most = max(most, front.transport.unsent_bytes)
                return front not in made.proxy.listener.connections

            await wait_until(more)
            assert most <= MAX_UNSENT_RESPONSE_BYTES + 1000
            await assert_serves_request(made, "b1")

    run_scenario(scene)


def test_slow_silent_and_pipelining_clients_beside_usual_ones(tmp_path: Path) -> None:
    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            most = made.proxy.adapter.downstream_limits.max_connections
            flood = [client() for _ in range(3 * most)]
            slow = client()
            piped = client(HEALTH * 300)
            data = request_bytes("s1")
            for at in range(len(data)):
                slow.sendall(data[at : at + 1])
                if at % 20 == 0:
                    await assert_serves_request(made, f"u{at}")
                await anyio.sleep(0)
            box = await accept(made.server_listener)
            await receive_message(box)
            box.sendall(OK)
            assert (await receive_message(slow)).endswith(b"\r\n\r\nok")
            await receive_until(piped, lambda got: got.count(b"HTTP/1.1 200") == 300)
            assert len(made.proxy.listener.connections) <= most
            assert all(one.fileno() >= 0 for one in flood)

    run_scenario(scene)


@settings(max_examples=15, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(st.integers(1, 240), max_size=4), st.sampled_from([reset, socket.socket.close]))
def test_a_req_cut_anywhere_is_taken_once_or_not_at_all(
    tmp_path: Path, cuts: list[int], leave: Callable[[socket.socket], None]
) -> None:
    data = request_bytes("a1", ONCE, body=b"body" * 5)

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking, at = client(), 0
            for cut in sorted(cuts):
                asking.sendall(data[at:cut])
                at = max(at, cut)
                await anyio.sleep(0)
            if at >= len(data):
                box = await accept(made.server_listener)
                assert (await receive_message(box)).endswith(b"body")
                box.sendall(OK)
                assert (await receive_message(asking)).endswith(b"\r\n\r\nok")
            leave(asking)
            await wait_until(lambda: not made.proxy.listener.connections and not made.runtime.exchanges)
            assert made.runtime.request_count == (at >= len(data))

    run_scenario(scene)


def test_a_request_on_a_connection_beyond_the_bound_gets_its_answer(tmp_path: Path) -> None:
    """It was written to a connection that this machine accepted: a close without an answer would lose it."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            bounds = made.runtime.adapter.downstream_limits
            made.runtime.adapter.downstream_limits = replace(bounds, max_connections=2)
            busy = [client(request_bytes(f"a{number}")) for number in range(2)]
            servers = [await accept(made.server_listener) for _ in busy]
            beyond = client(request_bytes("a9"))
            assert (await receive_message(beyond)).startswith(b"HTTP/1.1 503")
            assert await receive_until_eof(beyond) == b"" and not is_readable(made.server_listener)
            for server, asking in zip(servers, busy, strict=True):
                await receive_message(server)
                server.sendall(OK)
                assert (await receive_message(asking)).endswith(b"\r\n\r\nok")

    run_scenario(scene)
