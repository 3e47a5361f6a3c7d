"""A server of requests, on sockets: what a peer sends, or a handler raises, ends one connection at most."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import pytest

from gullmount.errors import ProcessFatalError
from gullmount.net import STREAM_ERRORS, HandlerErrors, Stream, TcpNet
from gullmount.net.memory import connected_pair
from gullmount.rpc import Request, Response, serve
from gullmount.rpc.errors import InvalidTargetError
from gullmount.rpc.target import RequestTarget, parse_target
from tests.support.fault_block import reserve_loopback_block

GOOD = b"GET /good HTTP/1.1\r\nhost: x\r\n\r\n"
Handler = Callable[[Request, Stream], Awaitable[Response]]


async def failing_lines() -> AsyncIterator[bytes]:
    yield b"first\n"
    raise KeyError("planted")


async def answer(request: Request, _stream: Stream) -> Response:
    match request.target:
        case "/fails":
            raise KeyError("planted")
        case "/disk":
            raise OSError("planted")
        case "/lines":
            return Response(200, lines=failing_lines())
    return Response(200, b"ok\n")


async def exchange(net: TcpNet, address: str, data: bytes) -> bytes:
    stream, got = await net.connect(address), b""
    await stream.send(data)
    with anyio.move_on_after(0.5):
        try:
            while True:
                got += await stream.receive()
        except STREAM_ERRORS:
            pass
    await stream.aclose()
    return got


def played(*requests: bytes, handler: Handler = answer) -> tuple[list[bytes], list[dict[str, Any]]]:
    """What each request got, the good one last, and what was logged."""
    logged: list[dict[str, Any]] = []

    def log(event: str, **fields: Any) -> None:
        logged.append({"event": event, **fields})

    async def scene() -> list[bytes]:
        with socket.socket() as free:
            free.bind((f"{reserve_loopback_block()}.7.1", 0))
            address = f"{reserve_loopback_block()}.7.1:{free.getsockname()[1]}"
        net, errors, started = TcpNet(), HandlerErrors(log), anyio.Event()

        async def connection(stream: Stream) -> None:
            await serve(stream, handler, errors=errors)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(net.serve, address, connection, started)
            await started.wait()
            got = [await exchange(net, address, data) for data in (*requests, GOOD)]
            tasks.cancel_scope.cancel()
        return got

    return anyio.run(scene), logged


@pytest.mark.parametrize("path", [b"/fails", b"/disk"])
def test_handler_that_raises_is_answered_500_and_the_next_connection_is_served(path: bytes) -> None:
    """Guards against one request that ends the process that serves all."""
    (failed, good), logged = played(b"GET %s HTTP/1.1\r\nhost: x\r\n\r\n" % path)
    assert failed.startswith(b"HTTP/1.1 500 ") and good.startswith(b"HTTP/1.1 200 ")
    assert [line["event"] for line in logged] == ["handler_failed"]
    assert logged[0]["count"] == 1 and "planted" in logged[0]["traceback"]


def test_lines_that_raise_after_the_headers_end_their_connection_alone() -> None:
    """Guards against a stream whose source fails: it is cut off, not ended as if it were complete."""
    (cut, good), logged = played(b"GET /lines HTTP/1.1\r\nhost: x\r\n\r\n")
    assert cut.startswith(b"HTTP/1.1 200 ") and b"first" in cut and not cut.endswith(b"0\r\n\r\n")
    assert good.startswith(b"HTTP/1.1 200 ") and len(logged) == 1


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
def test_what_is_no_request_for_a_handler_gets_its_status_and_is_no_error_of_one(
    data: bytes, status: bytes
) -> None:
    (got, good), logged = played(data)
    assert got.startswith(b"HTTP/1.1 " + status) and good.startswith(b"HTTP/1.1 200 ") and not logged


def test_error_that_must_end_the_process_is_not_contained() -> None:
    """Guards against a replica that goes on answering once its disk has failed."""

    async def fails(request: Request, stream: Stream) -> Response:
        raise ProcessFatalError

    async def scene() -> None:
        client, server = connected_pair()
        await client.send(GOOD)
        await serve(server, fails)

    with pytest.raises(ProcessFatalError):
        anyio.run(scene)


@pytest.mark.parametrize("target", ["//[", "/a//b", "//x/v1/register", "/"])
def test_origin_form_is_a_path_whatever_it_looks_like(target: str) -> None:
    assert parse_target(target) == RequestTarget(target)


def test_target_has_its_path_and_the_first_value_of_each_field() -> None:
    assert parse_target("/w?register=a%20b&register=c&x=") == RequestTarget(
        "/w", {"register": "a b", "x": ""}
    )
    assert parse_target("http://h:1/w?a=1") == RequestTarget("/w", {"a": "1"})


@pytest.mark.parametrize(
    "target", ["http://[::1/v1/register", "*", "", "a", "http:///x", "/w?" + "a=1&" * 200]
)
def test_target_without_meaning_is_an_invalid_message(target: str) -> None:
    with pytest.raises(InvalidTargetError):
        parse_target(target)
