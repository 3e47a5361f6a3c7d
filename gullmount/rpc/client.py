"""Makes calls with one small response, each on a new connection or over a connection pool."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio

from gullmount.net import StreamNet
from gullmount.rpc.connection import ClientConnection, ResponseHead, connect
from gullmount.rpc.errors import CallError, ResponseTooLongError

# Longest body of the response to one call.
MAX_RESPONSE_BYTES = 65536
# Idle connections that a pool keeps for each address.
MAX_IDLE_CONNECTIONS = 8


class CallResponse(NamedTuple):
    """A complete response: its HTTP status and body."""

    status: int
    body: bytes


async def call(net: StreamNet, address: str, method: str, target: str, body: bytes = b"") -> CallResponse:
    """Make one call on a new connection. Raises CallError if it gets no complete response."""
    connection = await connect(net, address, keep_alive=False)
    try:
        return await read_response(connection.request(method, target, body))
    finally:
        await connection.aclose()


async def read_response(parts: AsyncIterator[ResponseHead | bytes]) -> CallResponse:
    """Collect the parts of a response. Raises CallError if it is incomplete or too long."""
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
    """Makes calls to a few addresses over connections that stay open.

    A call that fails on an idle connection is repeated on another one. Only calls that the server may safely
    receive twice may therefore use a pool.

    Attributes:
        net: The network to connect on.
        idle: The idle connections by address.
    """

    def __init__(self, net: StreamNet) -> None:
        self.net = net
        self.idle: dict[str, list[ClientConnection]] = {}

    async def call(self, address: str, method: str, target: str, body: bytes = b"") -> CallResponse:
        """Make one call. Raises CallError if it gets no complete response."""
        idle = self.idle.setdefault(address, [])
        while idle:
            connection = idle.pop()
            try:
                return await self._call_on(connection, method, target, body)
            except CallError:
                # The server closed the connection while it was idle.
                continue
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
