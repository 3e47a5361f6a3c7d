"""The links between the program's processes: each goes through one wire here, which can fail.

A wire listens at its target's host, at a port of its own for each source, and connects on from its source's
host: both ends see the host that they would see without it. Over sockets or in memory.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from gullmount.net import BROKEN, Datagrams, Stream, Streams, abort

CHUNK = 65536  # bytes read at once
CHUNKS_MOST = 64  # chunks of one way on a slow or cut link; the sender waits then, as for a full buffer


class Wire:
    """From one party to another: `out` is what the source sends. Lives as long as the script."""

    def __init__(self, source: str, target: str, tasks: TaskGroup) -> None:
        self.source = source
        self.target = target
        self.tasks = tasks
        self.cuts = {"out": 0, "in": 0}  # by way: how many faults cut it now
        self.slower = {"out": 0.0, "in": 0.0}  # s more
        self.mended = anyio.Event()
        self.scopes: set[anyio.CancelScope] = set()

    # Faults

    def cut(self, way: str, by: int) -> None:
        for one in ("out", "in") if way == "both" else (way,):
            self.cuts[one] += by
        self.mended.set()
        self.mended = anyio.Event()

    def slow(self, way: str, by: float) -> None:
        for one in ("out", "in") if way == "both" else (way,):
            self.slower[one] = max(0.0, self.slower[one] + by)

    def reset(self) -> None:
        for scope in list(self.scopes):
            scope.cancel()

    async def passable(self, way: str) -> None:
        """What is on its way on a cut link waits, as TCP's bytes do."""
        if self.slower[way]:
            await anyio.sleep(self.slower[way])
        while self.cuts[way]:
            await self.mended.wait()

    # Streams

    async def run(self, listening: Streams, listen: str, dialling: Streams, address: str) -> None:
        """Pass on until cancelled what comes to `listen`."""

        async def carry(near: Stream) -> None:
            await self.carry(near, dialling, address)

        await listening.serve(listen, carry)

    async def carry(self, near: Stream, dialling: Streams, address: str) -> None:
        """One connection. What was read of it is on its way: it comes out even if the source has died."""
        out, back = Lane(self, "out"), Lane(self, "in")
        far: Stream | None = None
        with anyio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(out.read, near)
                    await self.passable("out")
                    await self.passable("in")
                    try:
                        far = await dialling.connect(address)
                    except OSError:
                        tasks.cancel_scope.cancel()
                        return
                    tasks.start_soon(back.read, far)
                    tasks.start_soon(out.write, far, tasks.cancel_scope)
                    tasks.start_soon(back.write, near, tasks.cancel_scope)
            finally:
                self.scopes.discard(scope)
                with anyio.CancelScope(shield=True):
                    for stream in (near, far):
                        if stream is not None:
                            await abort(stream)


class Lane:
    """One way of one connection."""

    def __init__(self, wire: Wire, way: str) -> None:
        self.wire = wire
        self.way = way
        self.put, self.take = anyio.create_memory_object_stream[tuple[float, bytes | None]](CHUNKS_MOST)

    async def read(self, stream: Stream) -> None:
        """Until it ends; None stands for a broken end, empty bytes for one in peace."""
        last: bytes | None = b""
        with self.put:
            try:
                while True:
                    data = await stream.receive(CHUNK)
                    await self.put.send((anyio.current_time() + self.wire.slower[self.way], data))
            except anyio.EndOfStream:
                pass
            except BROKEN:
                last = None
            try:
                await self.put.send((anyio.current_time() + self.wire.slower[self.way], last))
            except anyio.BrokenResourceError:
                pass  # the other side is gone before

    async def write(self, stream: Stream, scope: anyio.CancelScope) -> None:
        with self.take:
            async for due, data in self.take:
                await anyio.sleep_until(due)
                while self.wire.cuts[self.way]:
                    await self.wire.mended.wait()
                try:
                    if data:
                        await stream.send(data)
                    elif data is None or self.way == "in":
                        scope.cancel()
                    else:
                        await stream.send_eof()
                except BROKEN:
                    return


class Messages:
    """Datagrams between two parties, one socket for each way; those on a cut link are lost, slow ones
    late."""

    def __init__(self, there: Wire, back: Wire, chance: Callable[[], float]) -> None:
        self.there = there
        self.back = back
        self.chance = chance
        self.lost = 0.0  # share
        self.doubled = 0.0
        self.reordered = 0.0  # share that come `late` seconds later
        self.late = 0.05

    async def run(self, near: Datagrams, far: Datagrams, far_address: str) -> None:
        """What comes to `near` leaves from `far`, the socket of the way back, for `far_address`. `near` is
        closed with it: the next script in this process binds the same address."""
        try:
            while True:
                data, _ = await near.receive()
                if self.there.cuts["out"] or self.chance() < self.lost:
                    continue
                wait = self.there.slower["out"] + (self.late if self.chance() < self.reordered else 0.0)
                for _ in range(2 if self.chance() < self.doubled else 1):
                    self.there.tasks.start_soon(self.deliver, wait, far, data, far_address)
        finally:
            with anyio.CancelScope(shield=True):
                await near.aclose()

    async def deliver(self, wait: float, far: Datagrams, data: bytes, address: str) -> None:
        await anyio.sleep(wait)
        try:
            await far.send(data, address)
        except BROKEN:
            pass
