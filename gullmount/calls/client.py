"""Calls from here: one answer, or a watch whose lines come one by one."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import h11

from gullmount.net import BROKEN, Stream, Streams

LINE_MOST = 4 << 20  # bytes of one line: a list of some ten thousand boxes
SILENT = 15.0  # s without a line after which a watch is given up: the sender says something each 5 s
ANSWER_MOST = 65536  # bytes of a call's answer
IDLE_MOST = 8  # connections to one address that are kept for the next call


class Refused(Exception):
    """A call that got no good answer."""


class Unreached(Refused):
    """Nothing was sent: there was no connection."""


async def call(net: Streams, address: str, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
    """One small call on a connection of its own. Raises Refused."""
    return await whole(open_call(net, address, method, target, body))


async def whole(answer: AsyncIterator[int | bytes]) -> tuple[int, bytes]:
    """Its status and its whole body. Raises Refused."""
    status, parts = 0, []
    async for part in answer:
        if isinstance(part, int):
            status = part
        else:
            parts.append(part)
            if sum(map(len, parts)) > ANSWER_MOST:
                raise Refused("answer too long")
    return status, b"".join(parts)


class Spoken:
    """A connection on which one call follows the other, each once the last is answered."""

    def __init__(self, stream: Stream, address: str, kept: bool) -> None:
        self.stream = stream
        self.address = address
        self.kept = kept  # whether it is to be used again
        self.conn = h11.Connection(h11.CLIENT)
        self.answered = 0

    async def ask(self, method: str, target: str, body: bytes) -> AsyncIterator[int | bytes]:
        """The status, then the body as it comes. Raises Refused whatever goes wrong."""
        conn = self.conn
        try:
            headers = [("host", self.address), ("content-length", str(len(body)))]
            if not self.kept:
                headers.append(("connection", "close"))
            out = conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
            if body:
                out += conn.send(h11.Data(data=body)) or b""
            await self.stream.send(out + (conn.send(h11.EndOfMessage()) or b""))
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    try:
                        conn.receive_data(await self.stream.receive())
                    except anyio.EndOfStream:
                        conn.receive_data(b"")
                elif isinstance(event, h11.Response):
                    yield event.status_code
                elif isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self.answered += 1
                    return
                elif not isinstance(event, h11.InformationalResponse):
                    raise Refused("closed")
        except BROKEN as fault:
            raise Refused(f"broken: {type(fault).__name__}") from None
        except (h11.RemoteProtocolError, RuntimeError) as fault:
            raise Refused(f"not HTTP: {fault}") from None

    def again(self) -> bool:
        """Whether another call may follow; made ready for it."""
        if self.conn.our_state is not h11.DONE or self.conn.their_state is not h11.DONE:
            return False
        self.conn.start_next_cycle()
        return True


async def connected(net: Streams, address: str, kept: bool) -> Spoken:
    """Raises Unreached."""
    try:
        return Spoken(await net.connect(address), address, kept)
    except OSError as fault:
        raise Unreached(f"no connection: {fault}") from None


async def open_call(
    net: Streams, address: str, method: str, target: str, body: bytes = b""
) -> AsyncIterator[int | bytes]:
    """The status, then the body as it comes. Raises Refused whatever goes wrong."""
    spoken = await connected(net, address, kept=False)
    try:
        async for part in spoken.ask(method, target, body):
            yield part
    finally:
        await anyio.aclose_forcefully(spoken.stream)


class KeptCalls:
    """Calls to a few addresses over connections that stay open. A call whose kept connection turns out
    closed is made again on a new one: only for calls that may come twice. Lives as long as its user."""

    def __init__(self, net: Streams) -> None:
        self.net = net
        self.idle: dict[str, list[Spoken]] = {}

    async def call(self, address: str, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
        """Raises Refused."""
        waiting = self.idle.setdefault(address, [])
        while waiting:
            spoken = waiting.pop()
            try:
                return await self.speak(spoken, method, target, body)
            except Refused:
                continue  # it was closed while it lay idle
        return await self.speak(await connected(self.net, address, kept=True), method, target, body)

    async def speak(self, spoken: Spoken, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        waiting, good = self.idle[spoken.address], False
        try:
            answer = await whole(spoken.ask(method, target, body))
            good = spoken.again() and len(waiting) < IDLE_MOST
            if good:
                waiting.append(spoken)
            return answer
        finally:
            if not good:
                await anyio.aclose_forcefully(spoken.stream)

    async def aclose(self) -> None:
        idle, self.idle = self.idle, {}
        with anyio.CancelScope(shield=True):
            for waiting in idle.values():
                for spoken in waiting:
                    await anyio.aclose_forcefully(spoken.stream)


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
