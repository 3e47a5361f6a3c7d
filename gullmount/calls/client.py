"""Calls from here: one answer, or a watch whose lines come one by one."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import h11

from gullmount.net import BROKEN, Streams

LINE_MOST = 4 << 20  # bytes of one line: a list of some ten thousand boxes
SILENT = 15.0  # s without a line after which a watch is given up: the sender says something each 5 s
ANSWER_MOST = 65536  # bytes of a call's answer


class Refused(Exception):
    """A call that got no good answer."""


class Unreached(Refused):
    """Nothing was sent: there was no connection."""


async def call(net: Streams, address: str, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
    """One small call on a connection of its own. Raises Refused."""
    status, parts = 0, []
    async for part in open_call(net, address, method, target, body):
        if isinstance(part, int):
            status = part
        else:
            parts.append(part)
            if sum(map(len, parts)) > ANSWER_MOST:
                raise Refused("answer too long")
    return status, b"".join(parts)


async def open_call(
    net: Streams, address: str, method: str, target: str, body: bytes = b""
) -> AsyncIterator[int | bytes]:
    """The status, then the body as it comes. Raises Refused whatever goes wrong."""
    try:
        stream = await net.connect(address)
    except OSError as fault:
        raise Unreached(f"no connection: {fault}") from None
    try:
        conn = h11.Connection(h11.CLIENT)
        headers = [("host", address), ("connection", "close"), ("content-length", str(len(body)))]
        out = conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            out += conn.send(h11.Data(data=body)) or b""
        await stream.send(out + (conn.send(h11.EndOfMessage()) or b""))
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                try:
                    conn.receive_data(await stream.receive())
                except anyio.EndOfStream:
                    conn.receive_data(b"")
            elif isinstance(event, h11.Response):
                yield event.status_code
            elif isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            elif not isinstance(event, h11.InformationalResponse):
                raise Refused("closed")
    except BROKEN as fault:
        raise Refused(f"broken: {type(fault).__name__}") from None
    except (h11.RemoteProtocolError, RuntimeError) as fault:
        raise Refused(f"not HTTP: {fault}") from None
    finally:
        await anyio.aclose_forcefully(stream)


async def watch_lines(net: Streams, address: str, target: str) -> AsyncIterator[bytes]:
    """The lines of a watch, which never ends by itself in peace: raises Refused."""
    rest = b""
    parts = open_call(net, address, "GET", target)
    try:
        while True:
            try:
                with anyio.fail_after(SILENT):
                    part = await anext(parts)
            except StopAsyncIteration:
                raise Refused("ended") from None
            except TimeoutError:
                raise Refused("silent") from None
            if isinstance(part, int):
                if part != 200:  # noqa: PLR2004 (HTTP: ok)
                    raise Refused(f"status {part}")
                continue
            *lines, rest = (rest + part).split(b"\n")
            if len(rest) > LINE_MOST:
                raise Refused("line too long")
            for line in lines:
                if line:
                    yield line
    finally:
        await parts.aclose()  # type: ignore[attr-defined]
