"""Calls and streams of lines in memory: each failure has its type."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import pytest

from gullmount.net import MemoryNet, Stream
from gullmount.rpc import (
    ConnectError,
    ConnectionPool,
    Request,
    Response,
    SilentPeerError,
    StatusError,
    call,
    serve,
    stream_lines,
)
from gullmount.rpc.client import MAX_RESPONSE_BYTES
from gullmount.rpc.errors import ConnectionLostError, LineTooLongError, ResponseTooLongError, StreamEndedError
from gullmount.scenarios.virtual_time import run_in_virtual_time

ADDRESS = "10.0.0.1:7000"


def play(answer: Callable[[Request], Response], script: Callable[[MemoryNet], Awaitable[Any]]) -> Any:
    """Run a script beside a server in virtual time; return what it returns."""

    async def handle(request: Request, stream: Stream) -> Response:
        return answer(request)

    async def connected(stream: Stream) -> None:
        await serve(stream, handle)

    async def main() -> Any:
        net = MemoryNet()
        async with anyio.create_task_group() as tasks:
            started = anyio.Event()
            tasks.start_soon(net.serve, ADDRESS, connected, started)
            await started.wait()
            result = await script(net)
            tasks.cancel_scope.cancel()
        return result

    return run_in_virtual_time(main, 1)


async def first_lines(net: MemoryNet, **limits: Any) -> list[bytes]:
    lines = []
    async for line in stream_lines(net, ADDRESS, "/watch", **limits):
        lines.append(line)
    return lines


def test_a_call_returns_status_and_body_and_a_pool_calls_again() -> None:
    async def script(net: MemoryNet) -> list[Any]:
        pool = ConnectionPool(net)
        out = [await call(net, ADDRESS, "POST", "/echo", b"one")]
        out += [await pool.call(ADDRESS, "POST", "/echo", body) for body in (b"two", b"three")]
        assert len(pool.idle[ADDRESS]) == 1
        await pool.aclose()
        return out

    answers = play(lambda request: Response(200, request.body), script)
    assert answers == [(200, b"one"), (200, b"two"), (200, b"three")]


def test_an_address_without_a_server_is_a_connect_error() -> None:
    async def script(net: MemoryNet) -> None:
        with pytest.raises(ConnectError, match="no connection"):
            await call(net, "10.0.0.9:1", "GET", "/")

    play(lambda request: Response(200), script)


def test_an_answer_that_is_too_long_or_breaks_off_is_told() -> None:
    async def script(net: MemoryNet) -> None:
        with pytest.raises(ResponseTooLongError):
            await call(net, ADDRESS, "GET", "/long")
        with pytest.raises(ConnectionLostError):
            await call(net, ADDRESS, "GET", "/reset")

    def answer(request: Request) -> Response:
        if request.target == "/long":
            return Response(200, b"x" * (MAX_RESPONSE_BYTES + 1))
        return Response(0, failure="reset")

    play(answer, script)


async def lines_of(parts: list[bytes], then_wait: bool = False) -> AsyncIterator[bytes]:
    for part in parts:
        yield part
    if then_wait:
        await anyio.sleep(1000)


def test_a_stream_that_ends_is_silent_or_sends_too_long_a_line_is_told() -> None:
    async def script(net: MemoryNet) -> None:
        with pytest.raises(StreamEndedError):
            await first_lines(net)
        with pytest.raises(LineTooLongError):
            await first_lines(net, max_line_bytes=2)
        with pytest.raises(SilentPeerError):
            await first_lines(net, max_silence_seconds=0.5)

    answers = iter(
        [
            Response(200, lines=lines_of([b"a\nb", b"c\n"])),
            Response(200, lines=lines_of([b"abc"])),
            Response(200, lines=lines_of([b"a\n"], then_wait=True)),
        ]
    )
    play(lambda request: next(answers), script)


def test_a_rejected_stream_tells_its_status_and_when_to_come_back() -> None:
    async def script(net: MemoryNet) -> None:
        with pytest.raises(StatusError) as raised:
            await first_lines(net)
        assert raised.value.status == 503 and raised.value.retry_after_seconds == 1.5

    play(lambda request: Response(503, headers={"retry-after-ms": "1500"}), script)
