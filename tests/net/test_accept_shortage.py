"""A shortage of descriptors delays connections; it ends no listener and closes no connection."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from gullmount.net import HandlerErrors, Stream, TcpNet, Transport
from tests.support.descriptors import no_free_descriptor
from tests.support.fault_block import reserve_loopback_block

ADDRESS = f"{reserve_loopback_block()}.0.2:8400"
SHORTAGE_SECONDS = 0.2
# Time for the response once descriptors are available again, also on a busy machine.
RESPONSE_TIMEOUT_SECONDS = 5.0
ServeFunction = Callable[[TcpNet, anyio.Event, list[OSError]], Awaitable[Any]]


class EchoProtocol:
    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)
        self.transport.close()

    def connection_ended(self, clean: bool) -> None:
        pass


async def echo(stream: Stream) -> None:
    with anyio.CancelScope(shield=True):
        await stream.send(await stream.receive())


async def serve_streams(net: TcpNet, started: anyio.Event, shortages: list[OSError]) -> None:
    await net.serve(ADDRESS, echo, started, shortages.append)


async def serve_transports(net: TcpNet, started: anyio.Event, shortages: list[OSError]) -> None:
    await net.serve_transports(ADDRESS, EchoProtocol, started, shortages.append)


async def serve_streams_without_callback(net: TcpNet, started: anyio.Event, _: list[OSError]) -> None:
    await net.serve(ADDRESS, echo, started)


def client() -> socket.socket:
    host, port = ADDRESS.split(":")
    connection = socket.create_connection((host, int(port)))
    connection.sendall(b"request")
    return connection


async def receive(connection: socket.socket) -> bytes:
    with anyio.fail_after(RESPONSE_TIMEOUT_SECONDS):
        await anyio.to_thread.run_sync(connection.settimeout, RESPONSE_TIMEOUT_SECONDS)
        return await anyio.to_thread.run_sync(connection.recv, 100)


@pytest.mark.parametrize("use_uvloop", [False, True])
@pytest.mark.parametrize("serve", [serve_streams, serve_transports, serve_streams_without_callback])
def test_connection_waits_while_no_descriptor_is_free(serve: ServeFunction, use_uvloop: bool) -> None:
    """Guards against a listener that ends with its process at the first EMFILE, or closes the connection."""
    shortages: list[OSError] = []
    errors = HandlerErrors(lambda *_, **__: None)

    async def scenario() -> None:
        started = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve, TcpNet(handler_errors=errors), started, shortages)
            await started.wait()
            connection = client()
            with no_free_descriptor():
                await anyio.sleep(SHORTAGE_SECONDS)
            assert await receive(connection) == b"request"
            later_connection = client()
            assert await receive(later_connection) == b"request"
            connection.close()
            later_connection.close()
            tasks.cancel_scope.cancel()

    anyio.run(scenario, backend_options={"use_uvloop": use_uvloop})
    assert shortages or errors.count


@pytest.mark.parametrize("serve", [serve_streams, serve_transports])
def test_connection_in_the_backlog_is_accepted_if_descriptors_return_while_the_listener_stops(
    serve: ServeFunction,
) -> None:
    """Guards against a stop that resets what waits in the backlog because one accept failed."""

    async def scenario() -> None:
        started = anyio.Event()
        serve_scope = anyio.CancelScope()

        async def run_server() -> None:
            with serve_scope:
                await serve(TcpNet(), started, [])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_server)
            await started.wait()
            connection = client()
            with no_free_descriptor():
                serve_scope.cancel()
                await anyio.sleep(SHORTAGE_SECONDS)
            assert await receive(connection) == b"request"
            connection.close()

    anyio.run(scenario)
