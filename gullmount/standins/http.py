"""Small HTTP/1.1 servers and clients for the stand-ins, on h11; not the umpire's."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import h11

from gullmount.net import BROKEN, Stream, abort


class Asked:
    """A req as a server got it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.began = False
        self.gone = (
            anyio.CancelScope()
        )  # cancelled when the other side goes away, if the server asks for that


class Said:
    """An answer: with `lines`, a stream of chunks that ends when they do; with `fate`, none at all."""

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        lines: AsyncIterator[bytes] | None = None,
        fate: str = "",
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers or {}
        self.lines = lines
        self.fate = fate  # "silence" or "reset"


Handler = Callable[[Asked, Stream], Awaitable[Said]]


async def read_event(conn: h11.Connection, stream: Stream) -> h11.Event | None:
    while True:
        event = conn.next_event()
        if isinstance(event, h11.Event):
            return event
        if event is not h11.NEED_DATA:
            return None
        try:
            data = await stream.receive()
        except BROKEN:
            data = b""
        conn.receive_data(data)


async def serve(stream: Stream, handler: Handler) -> None:
    """Answer what comes on one connection until it ends."""
    conn = h11.Connection(h11.SERVER)
    try:
        while await serve_one(conn, stream, handler):
            conn.start_next_cycle()
    except (*BROKEN, h11.ProtocolError):
        pass
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


async def serve_one(conn: h11.Connection, stream: Stream, handler: Handler) -> bool:
    event = await read_event(conn, stream)
    if not isinstance(event, h11.Request):
        return False
    headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
    body = b""
    while not isinstance(part := await read_event(conn, stream), h11.EndOfMessage):
        if not isinstance(part, h11.Data):
            return False
        body += bytes(part.data)
    asked = Asked(event.method.decode(), event.target.decode("latin-1"), headers, body)
    said = await handler(asked, stream)
    if said.fate == "reset":
        await abort(stream)
        return False
    if said.fate == "silence":
        await anyio.sleep(60)
        return False
    told = list(said.headers.items())
    if said.lines is None:
        told.append(("content-length", str(len(said.body))))
    out = conn.send(h11.Response(status_code=said.status, headers=told)) or b""
    if said.lines is None:
        if said.body and asked.method != "HEAD":
            out += conn.send(h11.Data(data=said.body)) or b""
        await stream.send(out + (conn.send(h11.EndOfMessage()) or b""))
        return conn.our_state is h11.DONE and conn.their_state is h11.DONE
    await stream.send(out)
    async for line in said.lines:
        await stream.send(conn.send(h11.Data(data=line)) or b"")
    await stream.send(conn.send(h11.EndOfMessage()) or b"")
    return False


class Caller:
    """A client's connection. `ask` sends one req and reads one answer."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.conn = h11.Connection(h11.CLIENT)

    async def ask(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes = b""
    ) -> tuple[int, dict[str, str], bytes] | None:
        """Status, headers and body; None where the connection ended first."""
        conn = self.conn
        if body or method == "POST":
            headers = [*headers, ("content-length", str(len(body)))]
        out = conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            out += conn.send(h11.Data(data=body)) or b""
        out += conn.send(h11.EndOfMessage()) or b""
        try:
            await self.stream.send(out)
            while isinstance(event := await read_event(conn, self.stream), h11.InformationalResponse):
                pass
            if not isinstance(event, h11.Response):
                return None
            told = {name.decode(): value.decode("latin-1") for name, value in event.headers}
            content = b""
            while isinstance(part := await read_event(conn, self.stream), h11.Data):
                content += bytes(part.data)
            if not isinstance(part, h11.EndOfMessage):
                return None
        except (*BROKEN, h11.RemoteProtocolError):
            return None
        return event.status_code, told, content

    def extra(self) -> bytes:
        """What came after the answer: there should be nothing."""
        return bytes(self.conn.trailing_data[0])

    def again(self) -> bool:
        """Whether the connection can carry another req."""
        if self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE:
            self.conn.start_next_cycle()
            return True
        return False

    async def close(self) -> None:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)
