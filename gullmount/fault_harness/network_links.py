"""Links between the program's processes, over sockets or in memory, which faults cut, delay and reset.

Whoever connects to a party reaches a `LinkSwitch` instead. It knows by the connecting host which link the
connection goes through, and connects on from that same host: both ends see what they would see without it.
Datagrams have a socket of the target's host for each source.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators.links import CURRENT_PROCESS, PartyLink
from gullmount.fault_harness.config import FaultKind
from gullmount.net import STREAM_ERRORS, DatagramSocket, Stream, StreamNet, abort, source_host

CHUNK_BYTES = 65536  # read at once
MAX_CHUNKS = 64  # of one direction on a slow or cut link; the sender waits then, as for a full buffer
REORDER_DELAY_SECONDS = 0.05  # of a datagram that loses its place


class HarnessLink(PartyLink):
    """The link from one party to another; what the source sends goes `out`. Lives as long as the script.

    Attributes:
        source: the party that connects.
        target: the party it connects to.
        tasks: run the deliveries of datagrams.
        shares: of datagrams, by the fault that happens to them.
    """

    def __init__(self, source: str, target: str, tasks: TaskGroup) -> None:
        """Build a link without faults."""
        super().__init__()
        self.source = source
        self.target = target
        self.tasks = tasks
        self.shares: dict[str, float] = {
            FaultKind.LOSE_DATAGRAMS: 0.0,
            FaultKind.DUPLICATE_DATAGRAMS: 0.0,
            FaultKind.REORDER_DATAGRAMS: 0.0,
        }
        self._connections: set[anyio.CancelScope] = set()

    def change(self, what: str, way: str, by: int, size: float) -> None:
        """Begin a fault, where `by` is 1, or end it, where it is -1."""
        if what in self.shares:
            self.shares[what] = max(0.0, self.shares[what] + by * size)
        else:
            super().change(what, way, by, size)

    async def reset(self) -> None:
        """Reset its connections."""
        for connection in list(self._connections):
            connection.cancel()

    async def forward(self, near: Stream, network: StreamNet, address: str) -> None:
        """Forward one connection to an address until it ends.

        What was read of it is under way and arrives even if the source has died.
        """
        CURRENT_PROCESS.set("")
        out, back = StreamDirection(self, "out"), StreamDirection(self, "in")
        far: Stream | None = None
        with anyio.CancelScope() as scope:
            self._connections.add(scope)
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(out.read, near)
                    await self.wait_for_passage("out")
                    await self.wait_for_passage("in")
                    try:
                        far = await network.connect(address)
                    except OSError:
                        tasks.cancel_scope.cancel()
                        return
                    tasks.start_soon(back.read, far)
                    tasks.start_soon(out.write, far, tasks.cancel_scope)
                    tasks.start_soon(back.write, near, tasks.cancel_scope)
            finally:
                self._connections.discard(scope)
                with anyio.CancelScope(shield=True):
                    for stream in (near, far):
                        if stream is not None:
                            await abort(stream)


class LinkSwitch:
    """Listens where others find a party, and puts each connection on the link of whoever connects."""

    def __init__(self, target_address: str) -> None:
        """Build a switch without links.

        Args:
            target_address: where the party itself listens.
        """
        self._target_address = target_address
        self._links: dict[str, tuple[HarnessLink, StreamNet]] = {}  # by the host that connects

    def add_link(self, source_host: str, link: HarnessLink, network: StreamNet) -> None:
        """Put connections of a host on a link, to be connected on from a network."""
        self._links[source_host] = link, network

    async def run(self, network: StreamNet, address: str) -> None:
        """Listen at the address, until cancelled."""
        await network.serve(address, self._forward)

    async def _forward(self, near: Stream) -> None:
        known = self._links.get(source_host(near))
        if known is None:
            await abort(near)
        else:
            link, network = known
            await link.forward(near, network, self._target_address)


class StreamDirection:
    """One direction of one connection on a link."""

    def __init__(self, link: HarnessLink, direction: str) -> None:
        """Build it; `direction` is out or in."""
        self._link = link
        self._direction = direction
        self._put, self._take = anyio.create_memory_object_stream[tuple[float, bytes | None]](MAX_CHUNKS)
        self._waiting = 0  # chunks that are not written yet
        self._destination: Stream | None = None  # once it is connected

    async def read(self, stream: Stream) -> None:
        """Read the stream until it ends; None is queued for a broken end, no bytes for a regular one."""
        last: bytes | None = b""
        with self._put:
            try:
                while True:
                    await self._pass_on(await stream.receive(CHUNK_BYTES))
            except anyio.EndOfStream:
                pass
            except STREAM_ERRORS:
                last = None
            try:
                link = self._link
                await self._put.send((anyio.current_time() + link.added_delay[self._direction], last))
            except anyio.BrokenResourceError:
                pass  # the other side ended before

    async def _pass_on(self, data: bytes) -> None:
        link = self._link
        delay = link.added_delay[self._direction]
        if self._destination is not None and not (self._waiting or delay or link.cut_counts[self._direction]):
            await self._destination.send(data)  # no fault on the link: no need of the queue
        else:
            self._waiting += 1
            await self._put.send((anyio.current_time() + delay, data))

    async def write(self, stream: Stream, connection: anyio.CancelScope) -> None:
        """Write what was read to the stream, when the link lets it pass; end the connection with it."""
        self._destination = stream
        link = self._link
        with self._take:
            async for due, data in self._take:
                if due > anyio.current_time():
                    await anyio.sleep_until(due)
                await link.wait_while_cut(self._direction)
                try:
                    if data:
                        await stream.send(data)
                    elif data is None or self._direction == "in":
                        connection.cancel()
                    else:
                        await stream.send_eof()
                except STREAM_ERRORS:
                    return
                self._waiting -= 1


class DatagramForwarder:
    """Forwards the datagrams from one party to another; a cut link loses them, a slow one delays them."""

    def __init__(self, link: HarnessLink, chance: Callable[[], float]) -> None:
        """Build the forwarder.

        Args:
            link: from the source to the target.
            chance: draws numbers from 0 to 1, for what is lost, reordered and duplicated.
        """
        self._link = link
        self._chance = chance

    async def run(self, near: DatagramSocket, far: DatagramSocket, target_address: str) -> None:
        """Forward what arrives, until cancelled.

        Args:
            near: receives the source's datagrams; it is closed at the end, as the next script in this process
                binds the same address.
            far: sends them on: the socket of the opposite direction.
            target_address: where the target listens.
        """
        link, chance = self._link, self._chance
        try:
            while True:
                data, _ = await near.receive()
                shares = link.shares
                if link.cut_counts["out"] or chance() < shares[FaultKind.LOSE_DATAGRAMS]:
                    continue
                reordered = chance() < shares[FaultKind.REORDER_DATAGRAMS]
                delay = link.added_delay["out"] + (REORDER_DELAY_SECONDS if reordered else 0.0)
                for _ in range(2 if chance() < shares[FaultKind.DUPLICATE_DATAGRAMS] else 1):
                    link.tasks.start_soon(self._deliver, delay, far, data, target_address)
        finally:
            with anyio.CancelScope(shield=True):
                await near.aclose()

    async def _deliver(self, delay: float, far: DatagramSocket, data: bytes, target_address: str) -> None:
        await anyio.sleep(delay)
        try:
            await far.send(data, target_address)
        except STREAM_ERRORS:
            pass  # lost, as datagrams are
