"""The links between zones: delay, cuts, lost messages, and who connects from where. Over sockets or in
memory."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import anyio
from anyio.abc import SocketAttribute

from gullmount.net import BROKEN, Datagrams, MemoryNet, Stream, TcpNet, abort, source_host

HELD_LEAST = 0.005  # s on a link from which on it is kept when the sender handed its bytes over
READ_WITHIN = 0.25  # s in which delivered bytes are read; what was delivered before is of another req
HELD_MOST = 64  # such times kept for two parties


Handed = deque[tuple[float, float]]  # when bytes were handed over, and when they were delivered


class LinkedStream(Stream):
    """A stream over a link: slower by its delay, and held up while it is cut, as TCP is."""

    def __init__(
        self, inner: Stream, links: Links, here: str, there: str, pair: tuple[str, str], begun: float
    ) -> None:
        self.inner = inner
        self.pair = pair
        self.begun: float | None = begun  # when connecting began, until the first bytes are sent
        self.links = links
        self.here = here
        self.there = there
        self.came: bytes | None = None  # read from the inner stream, still on its way
        self.due = 0.0

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if self.came is None:
            self.came = await self.inner.receive(max_bytes)
            self.due = anyio.current_time() + self.links.delay(self.there, self.here)
        await anyio.sleep_until(self.due)
        await self.links.whole(self.here, self.there)
        data, self.came = self.came, None
        return data

    async def send(self, item: bytes) -> None:
        handed = anyio.current_time() if self.begun is None else self.begun
        self.begun = None
        delay = self.links.delay(self.here, self.there)
        if delay:
            await anyio.sleep(delay)
        await self.links.whole(self.here, self.there)
        if anyio.current_time() - handed > HELD_LEAST:
            self.links.held[self.pair].append((handed, anyio.current_time()))
        await self.inner.send(item)

    async def send_eof(self) -> None:
        await self.inner.send_eof()

    async def aclose(self) -> None:
        await self.inner.aclose()

    def abort(self) -> None:
        reset = getattr(self.inner, "abort", None)
        if reset is not None:
            reset()


class LinkedDatagrams:
    """Messages that arrive late, or not at all where the link is cut or chance has it."""

    def __init__(self, inner: Datagrams, links: Links, here: str, tasks: anyio.abc.TaskGroup) -> None:
        self.inner = inner
        self.links = links
        self.here = here
        self.tasks = tasks

    async def send(self, data: bytes, address: str) -> None:
        await anyio.lowlevel.checkpoint()
        self.tasks.start_soon(self.deliver, data, address)

    async def deliver(self, data: bytes, address: str) -> None:
        links = self.links
        there = links.zone_at(address)
        lost = links.random() < links.message_loss or links.messages_down
        await anyio.sleep(
            links.message_delay[0] + links.random() * (links.message_delay[1] - links.message_delay[0])
        )
        if lost or links.is_cut(self.here, there):
            return
        try:
            await self.inner.send(data, address)
        except BROKEN:
            return

    async def receive(self) -> tuple[bytes, str]:
        return await self.inner.receive()

    async def aclose(self) -> None:
        await self.inner.aclose()


class Links:
    """All links of a day; zones are names, parties are known by the host they connect from."""

    def __init__(self, base: MemoryNet | None, seed: int) -> None:
        self.base = base  # None: sockets of the machine
        self.random = Random(seed).random
        self.same = 0.0  # s one way within a zone
        self.cross = 0.0  # s one way between zones
        self.jitter = 0.0  # share of a delay that is chance
        self.slowed: dict[str, float] = {}  # s more one way, to and from a zone
        self.cut: set[str] = set()  # zones cut off from the others
        self.mended = anyio.Event()
        self.message_delay = (0.001, 0.005)
        self.message_loss = 0.0
        self.messages_down = False
        self.handshakes: dict[str, Callable[[], float]] = {}  # by address: s until a connection stands
        self.held: dict[tuple[str, str], Handed] = defaultdict(lambda: deque(maxlen=HELD_MOST))
        self.zones: dict[str, str] = {}  # by host
        self.names: dict[str, str] = {}  # by host
        self.outside = False  # whether parties that connect are other processes: their links are played here

    def handed(self, host: str, address: str) -> float | None:
        """When the bytes that have just come from this host to this address were handed over, if long ago."""
        waiting = self.held.get((host, address))
        while waiting:
            handed, delivered = waiting.popleft()
            if anyio.current_time() - delivered < READ_WITHIN:
                return handed
        return None

    def place(self, host: str, name: str, zone: str) -> None:
        self.zones[host] = zone
        self.names[host] = name

    def zone_at(self, address: str) -> str:
        return self.zones.get(address.rpartition(":")[0], "")

    def delay(self, here: str, there: str) -> float:
        delay = self.same if here == there else self.cross
        delay += self.slowed.get(here, 0.0) + self.slowed.get(there, 0.0) if here != there else 0.0
        return delay * (1 - self.jitter / 2 + self.jitter * self.random()) if delay else 0.0

    def is_cut(self, here: str, there: str) -> bool:
        return here != there and (here in self.cut or there in self.cut)

    async def whole(self, here: str, there: str) -> None:
        while self.is_cut(here, there):
            await self.mended.wait()

    async def passable(self, here: str, host: str) -> None:
        """Until what is said here reaches that host: a message held up by a cut has not been told."""
        await self.whole(here, self.zones.get(host, here))

    def mend(self, zone: str) -> None:
        self.cut.discard(zone)
        self.mended.set()
        self.mended = anyio.Event()


class Party:
    """One machine's view of the network; `kill` ends all that it holds, as a crash would."""

    def __init__(self, links: Links, host: str, name: str, zone: str, tasks: anyio.abc.TaskGroup) -> None:
        self.links = links
        self.host = host
        self.zone = zone
        self.tasks = tasks
        self.open: dict[Stream, None] = {}
        self.dead = False  # what its tasks do while they unwind reaches nobody
        self.tcp = TcpNet(local_host=host)
        links.place(host, name, zone)

    async def connect(self, address: str) -> Stream:
        if self.dead:
            raise ConnectionAbortedError("the machine is dead")
        links, there, begun = self.links, self.links.zone_at(address), anyio.current_time()
        await links.whole(self.zone, there)
        await anyio.sleep(links.delay(self.zone, there) * 2)
        await links.whole(self.zone, there)
        inner: Stream
        if links.base is not None:
            inner = await links.base.connect(address, self.host)
        else:
            inner = await self.tcp.connect(address)
        if address in links.handshakes:
            try:
                await anyio.sleep(links.handshakes[address]())
            except BaseException:
                await abort(inner)
                raise
        return self.hold(LinkedStream(inner, links, self.zone, there, (self.host, address), begun))

    def hold(self, stream: Stream) -> Stream:
        """Remember it, so that a kill ends it; closed ones are forgotten now and then."""
        if len(self.open) > 256:
            self.open = {one: None for one in self.open if not is_closed(one)}
        self.open[stream] = None
        return stream

    async def serve(
        self, address: str, handler: Callable[[Stream], Awaitable[Any]], started: anyio.Event | None = None
    ) -> None:
        async def held(stream: Stream) -> None:
            if self.links.outside:
                there = self.links.zones.get(source_host(stream), self.zone)
                pair = (source_host(stream), address)
                stream = LinkedStream(stream, self.links, self.zone, there, pair, anyio.current_time())
            self.hold(stream)
            await handler(stream)

        if self.links.base is not None:
            await self.links.base.serve(address, held, started)
        else:
            await self.tcp.serve(address, held, started)

    async def datagrams(self, address: str) -> Datagrams:
        if self.links.base is not None:
            inner: Datagrams = await self.links.base.datagrams(address)
        else:
            inner = await self.tcp.datagrams(address)
        return LinkedDatagrams(inner, self.links, self.zone, self.tasks)

    async def kill(self) -> None:
        self.dead = True
        with anyio.CancelScope(shield=True):
            for stream in self.open:
                await abort(stream)
            self.open = {}


def is_closed(stream: Stream) -> bool:
    inner = stream.inner if isinstance(stream, LinkedStream) else stream
    closed = getattr(inner, "closed", None)
    if closed is not None:
        return bool(closed)
    try:
        return int(inner.extra(SocketAttribute.raw_socket).fileno()) < 0
    except (anyio.TypedAttributeLookupError, OSError):
        return True


def source_of(stream: Stream) -> str:
    """The host that the other side connected from."""
    return source_host(stream.inner if isinstance(stream, LinkedStream) else stream)
