"""The RPC server on sockets: malformed requests and handler errors end one connection at most."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import pytest
import trio.testing

from gullmount.errors import ProcessFatalError
from gullmount.net import STREAM_ERRORS, HandlerErrors, Stream, TcpNet
from gullmount.net.memory import connected_pair
from gullmount.net.wrapped_streams import READ_TIMEOUT_SECONDS, WRITE_TIMEOUT_SECONDS
from gullmount.rpc import Request, Response, serve
from gullmount.rpc.errors import InvalidTargetError
from gullmount.rpc.target import RequestTarget, parse_target
from tests.support.fault_block import reserve_loopback_block

VALID_REQUEST = b"GET /good HTTP/1.1\r\nhost: x\r\n\r\n"
WATCH_REQUEST = VALID_REQUEST.replace(b"/good", b"/watch")
Handler = Callable[[Request, Stream], Awaitable[Response]]


async def failing_lines() -> AsyncIterator[bytes]:
    yield b"first\n"
    raise KeyError("planted")


async def respond(request: Request, _stream: Stream) -> Response:
    match request.target:
        case "/fails":
            raise KeyError("planted")
        case "/disk":
            raise OSError("planted")
        case "/lines":
            return Response(200, lines=failing_lines())
    return Response(200, b"ok\n")


async def exchange(net: TcpNet, address: str, data: bytes) -> bytes:
    stream, received = await net.connect(address), b""
    await stream.send(data)
    with anyio.move_on_after(0.5):
        try:
            while True:
                received += await stream.receive()
        except STREAM_ERRORS:
            pass
    await stream.aclose()
    return received


def exchange_all(*requests: bytes, handler: Handler = respond) -> tuple[list[bytes], list[dict[str, Any]]]:
    """Send each request, then a valid one, on connections of their own; return the responses and the log."""
    log_lines: list[dict[str, Any]] = []

    def log(event: str, **fields: Any) -> None:
        log_lines.append({"event": event, **fields})

    async def main() -> list[bytes]:
        with socket.socket() as free_socket:
            free_socket.bind((f"{reserve_loopback_block()}.7.1", 0))
            address = f"{reserve_loopback_block()}.7.1:{free_socket.getsockname()[1]}"
        net, errors, started = TcpNet(), HandlerErrors(log), anyio.Event()

        async def serve_connection(stream: Stream) -> None:
            await serve(stream, handler, errors=errors)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(net.serve, address, serve_connection, started)
            await started.wait()
            received = [await exchange(net, address, data) for data in (*requests, VALID_REQUEST)]
            tasks.cancel_scope.cancel()
        return received

    return anyio.run(main), log_lines


@pytest.mark.parametrize("path", [b"/fails", b"/disk"])
def test_raising_handler_gets_500_and_the_next_connection_is_served(path: bytes) -> None:
    """Guards against a request whose handler error ends the server process."""
    (failed, valid), log_lines = exchange_all(b"GET %s HTTP/1.1\r\nhost: x\r\n\r\n" % path)
    assert failed.startswith(b"HTTP/1.1 500 ") and valid.startswith(b"HTTP/1.1 200 ")
    assert [line["event"] for line in log_lines] == ["handler_failed"]
    assert log_lines[0]["count"] == 1 and "planted" in log_lines[0]["traceback"]


def test_error_in_streamed_lines_truncates_that_response_alone() -> None:
    """Guards against a stream that is ended as complete although the source of its lines has failed."""
    (truncated, valid), log_lines = exchange_all(b"GET /lines HTTP/1.1\r\nhost: x\r\n\r\n")
    assert (
        truncated.startswith(b"HTTP/1.1 200 ")
        and b"first" in truncated
        and not truncated.endswith(b"0\r\n\r\n")
    )
    assert valid.startswith(b"HTTP/1.1 200 ") and len(log_lines) == 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nhost: x\r\ncontent-length: x\r\n\r\n", b"400"),
        (b"\x00\x00\r\n\r\n", b"400"),
        (b"HEAD / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", b"400"),
        (b"CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n", b"501"),
        (b"HEAD /lines HTTP/1.1\r\nhost: x\r\n\r\n", b"200"),
    ],
)
def test_malformed_or_bodyless_request_gets_its_status_without_a_handler_error(
    data: bytes, status: bytes
) -> None:
    (received, valid), log_lines = exchange_all(data)
    assert received.startswith(b"HTTP/1.1 " + status) and valid.startswith(b"HTTP/1.1 200 ") and not log_lines


def test_process_fatal_error_of_a_handler_propagates() -> None:
    """Guards against a replica that continues to send responses after its disk has failed."""

    async def fail(request: Request, stream: Stream) -> Response:
        raise ProcessFatalError

    async def main() -> None:
        client, server = connected_pair()
        await client.send(VALID_REQUEST)
        await serve(server, fail)

    with pytest.raises(ProcessFatalError):
        anyio.run(main)


@pytest.mark.parametrize("target", ["//[", "/a//b", "//x/v1/register", "/"])
def test_origin_form_target_is_taken_as_a_path(target: str) -> None:
    assert parse_target(target) == RequestTarget(target)


def test_target_yields_path_and_first_value_of_each_query_field() -> None:
    assert parse_target("/w?register=a%20b&register=c&x=") == RequestTarget(
        "/w", {"register": "a b", "x": ""}
    )
    assert parse_target("http://h:1/w?a=1") == RequestTarget("/w", {"a": "1"})


@pytest.mark.parametrize(
    "target", ["http://[::1/v1/register", "*", "", "a", "http:///x", "/w?" + "a=1&" * 200]
)
def test_unparsable_target_raises_invalid_target_error(target: str) -> None:
    with pytest.raises(InvalidTargetError):
        parse_target(target)


async def endless_lines() -> AsyncIterator[bytes]:
    while True:
        yield b"x" * 10_000 + b"\n"


@pytest.mark.parametrize(
    ("sent", "is_stalled"),
    [(b"", False), (b"GET /good HT", False), (VALID_REQUEST, False), (WATCH_REQUEST, True)],
    ids=["silent", "half a request", "idle", "stops reading"],
)
def test_connection_of_a_client_that_never_closes_ends(sent: bytes, is_stalled: bool) -> None:
    """Guards against connections without a deadline, which use up the descriptors of a replica."""
    stalled_calls: list[None] = []

    async def answer(request: Request, _stream: Stream) -> Response:
        return Response(200, lines=endless_lines()) if request.target == "/watch" else Response(200)

    async def main() -> None:
        client, server = connected_pair()
        await client.send(sent)
        with anyio.fail_after(2 * max(READ_TIMEOUT_SECONDS, WRITE_TIMEOUT_SECONDS)):
            await serve(server, answer, on_stalled=lambda: stalled_calls.append(None))
        assert server.closed

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})
    assert len(stalled_calls) == is_stalled
