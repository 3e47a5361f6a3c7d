"""Calls with one small answer, over a connection each or over kept connections."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio

from gullmount.net import StreamNet
from gullmount.rpc.connection import ClientConnection, ResponseHead, connect
from gullmount.rpc.errors import CallError, ResponseTooLongError

MAX_RESPONSE_BYTES = 65536  # of one call
MAX_IDLE_CONNECTIONS = 8  # to one address, kept for the next call


class CallResponse(NamedTuple):
    """A complete answer: its HTTP status and body."""

    status: int
    body: bytes


async def call(net: StreamNet, address: str, method: str, target: str, body: bytes = b"") -> CallResponse:
    """Make one call on a connection of its own; raise CallError where it gets no answer."""
    connection = await connect(net, address, keep_alive=False)
    try:
        return await read_response(connection.request(method, target, body))
    finally:
        await connection.aclose()


async def read_response(parts: AsyncIterator[ResponseHead | bytes]) -> CallResponse:
    """Collect an answer; raise CallError where it breaks off or is too long."""
    status = 0
    body = b""
    async for part in parts:
        if isinstance(part, ResponseHead):
            status = part.status
            continue
        body += part
        if len(body) > MAX_RESPONSE_BYTES:
            raise ResponseTooLongError(MAX_RESPONSE_BYTES)
    return CallResponse(status, body)


class ConnectionPool:
    """Calls to a few addresses over connections that stay open.

    A call whose kept connection turns out closed is made again on a new one, so only calls that may come
    twice may go through a pool.
    """

    def __init__(self, net: StreamNet) -> None:
        self.net = net
        self.idle: dict[str, list[ClientConnection]] = {}

    async def call(self, address: str, method: str, target: str, body: bytes = b"") -> CallResponse:
        """Make one call; raise CallError where it gets no answer."""
        idle = self.idle.setdefault(address, [])
        while idle:
            connection = idle.pop()
            try:
                return await self._call_on(connection, method, target, body)
            except CallError:
                continue  # it was closed while it was idle
        connection = await connect(self.net, address, keep_alive=True)
        return await self._call_on(connection, method, target, body)

    async def _call_on(
        self, connection: ClientConnection, method: str, target: str, body: bytes
    ) -> CallResponse:
        idle = self.idle[connection.address]
        reusable = False
        try:
            response = await read_response(connection.request(method, target, body))
            reusable = connection.start_next_call() and len(idle) < MAX_IDLE_CONNECTIONS
            if reusable:
                idle.append(connection)
            return response
        finally:
            if not reusable:
                await connection.aclose()

    async def aclose(self) -> None:
        """Close the idle connections."""
        idle, self.idle = self.idle, {}
        with anyio.CancelScope(shield=True):
            for connections in idle.values():
                for connection in connections:
                    await connection.aclose()
