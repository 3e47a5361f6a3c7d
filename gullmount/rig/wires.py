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
        far: Stream | None = None
        with anyio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                await self.passable("out")
                await self.passable("in")
                try:
                    far = await dialling.connect(address)
                except OSError:
                    return
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.pump, near, far, "out", tasks.cancel_scope)
                    tasks.start_soon(self.pump, far, near, "in", tasks.cancel_scope)
            finally:
                self.scopes.discard(scope)
                with anyio.CancelScope(shield=True):
                    for stream in (near, far):
                        if stream is not None:
                            await abort(stream)

    async def pump(self, near: Stream, far: Stream, way: str, scope: anyio.CancelScope) -> None:
        try:
            while True:
                data = await near.receive(CHUNK)
                await self.passable(way)
                await far.send(data)
        except anyio.EndOfStream:
            await self.passable(way)
            if way == "out":
                try:
                    await far.send_eof()
                    return
                except BROKEN:
                    pass
        except BROKEN:
            pass
        scope.cancel()


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
        """What comes to `near` leaves from `far`, the socket of the way back, for `far_address`."""
        while True:
            data, _ = await near.receive()
            if self.there.cuts["out"] or self.chance() < self.lost:
                continue
            wait = self.there.slower["out"] + (self.late if self.chance() < self.reordered else 0.0)
            for _ in range(2 if self.chance() < self.doubled else 1):
                self.there.tasks.start_soon(self.deliver, wait, far, data, far_address)

    async def deliver(self, wait: float, far: Datagrams, data: bytes, address: str) -> None:
        await anyio.sleep(wait)
        try:
            await far.send(data, address)
        except BROKEN:
            pass
