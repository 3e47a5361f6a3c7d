"""Calls and line streams over the in-memory network; each failure raises its own error type."""

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


def run_with_server(
    respond: Callable[[Request], Response], script: Callable[[MemoryNet], Awaitable[Any]]
) -> Any:
    """Run a script and a server in virtual time; return the script's result."""

    async def handle(request: Request, stream: Stream) -> Response:
        return respond(request)

    async def serve_connection(stream: Stream) -> None:
        await serve(stream, handle)

    async def main() -> Any:
        net = MemoryNet()
        async with anyio.create_task_group() as tasks:
            started = anyio.Event()
            tasks.start_soon(net.serve, ADDRESS, serve_connection, started)
            await started.wait()
            result = await script(net)
            tasks.cancel_scope.cancel()
        return result

    return run_in_virtual_time(main, 1)


async def read_lines(net: MemoryNet, **limits: Any) -> list[bytes]:
    """Read the server's line stream until it fails."""
    lines = []
    async for line in stream_lines(net, ADDRESS, "/watch", **limits):
        lines.append(line)
    return lines


def test_call_returns_status_and_body_and_pool_reuses_its_connection() -> None:
    async def script(net: MemoryNet) -> list[Any]:
        pool = ConnectionPool(net)
        results = [await call(net, ADDRESS, "POST", "/echo", b"one")]
        results += [await pool.call(ADDRESS, "POST", "/echo", body) for body in (b"two", b"three")]
        assert len(pool.idle[ADDRESS]) == 1
        await pool.aclose()
        return results

    responses = run_with_server(lambda request: Response(200, request.body), script)
    assert responses == [(200, b"one"), (200, b"two"), (200, b"three")]


def test_call_to_address_without_listener_raises_connect_error() -> None:
    async def script(net: MemoryNet) -> None:
        with pytest.raises(ConnectError, match="no connection"):
            await call(net, "10.0.0.9:1", "GET", "/")

    run_with_server(lambda request: Response(200), script)


def test_too_long_or_reset_response_raises_its_error() -> None:
    async def script(net: MemoryNet) -> None:
        with pytest.raises(ResponseTooLongError):
            await call(net, ADDRESS, "GET", "/long")
        with pytest.raises(ConnectionLostError):
            await call(net, ADDRESS, "GET", "/reset")

    def respond(request: Request) -> Response:
        if request.target == "/long":
            return Response(200, b"x" * (MAX_RESPONSE_BYTES + 1))
        return Response(0, failure="reset")

    run_with_server(respond, script)


async def send_parts(parts: list[bytes], stay_open: bool = False) -> AsyncIterator[bytes]:
    """Yield the parts; then wait 1000 s if the stream is to stay open."""
    for part in parts:
        yield part
    if stay_open:
        await anyio.sleep(1000)


def test_line_stream_that_ends_falls_silent_or_sends_too_long_a_line_raises_its_error() -> None:
    async def script(net: MemoryNet) -> None:
        with pytest.raises(StreamEndedError):
            await read_lines(net)
        with pytest.raises(LineTooLongError):
            await read_lines(net, max_line_bytes=2)
        with pytest.raises(SilentPeerError):
            await read_lines(net, max_silence_seconds=0.5)

    responses = iter(
        [
            Response(200, lines=send_parts([b"a\nb", b"c\n"])),
            Response(200, lines=send_parts([b"abc"])),
            Response(200, lines=send_parts([b"a\n"], stay_open=True)),
        ]
    )
    run_with_server(lambda request: next(responses), script)


def test_rejected_line_stream_reports_status_and_retry_after() -> None:
    async def script(net: MemoryNet) -> None:
        with pytest.raises(StatusError) as raised:
            await read_lines(net)
        assert raised.value.status == 503 and raised.value.retry_after_seconds == 1.5

    run_with_server(lambda request: Response(503, headers={"retry-after-ms": "1500"}), script)
