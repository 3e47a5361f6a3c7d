"""The network as one emulated host sees it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators.links.current_process import CURRENT_PROCESS
from gullmount.emulators.links.linked_datagrams import LinkedDatagrams
from gullmount.emulators.links.linked_stream import LinkedStream
from gullmount.emulators.links.network_links import NetworkLinks
from gullmount.emulators.links.open_streams import without_closed
from gullmount.emulators.links.party_link import ONE_WAY, LinkDirection
from gullmount.errors import GullmountError
from gullmount.net import DatagramSocket, ShortageCallback, Stream, TcpNet, abort, source_host


class HostDeadError(GullmountError, ConnectionAbortedError):
    """The host connects after it was killed."""

    def __init__(self) -> None:
        super().__init__("the machine is dead")


class HostNetwork:
    """Connects and listens over the links; `kill` ends all that it holds, as a crash would.

    Attributes:
        links: all links.
        host: the address's host that it connects from.
        zone: the host's zone.
    """

    def __init__(self, links: NetworkLinks, host: str, name: str, zone: str, tasks: TaskGroup) -> None:
        self.links = links
        self.host = host
        self.zone = zone
        self._tasks = tasks
        self._streams: dict[Stream, None] = {}
        self._dead = False  # what its tasks do while they unwind reaches nobody
        self._sockets = TcpNet(local_host=host)
        links.add_host(host, name, zone)

    async def connect(self, address: str) -> Stream:
        """Open a stream. Raises OSError."""
        if self._dead:
            raise HostDeadError
        links, other_zone, begun = self.links, self.links.zone_at(address), anyio.current_time()
        link = links.link_between((self.host, address))
        await links.wait_while_partitioned(self.zone, other_zone)
        await anyio.sleep(links.delay(self.zone, other_zone) * 2)
        await links.wait_while_partitioned(self.zone, other_zone)
        for way in ONE_WAY:
            await link.wait_for_passage(way)
        inner: Stream
        if links.memory_network is not None:
            inner = await links.memory_network.connect(address, self.host)
        else:
            inner = await self._sockets.connect(address)
        if address in links.handshakes:
            try:
                await anyio.sleep(links.handshakes[address]())
            except BaseException:
                await abort(inner)
                raise
        return self._hold(LinkedStream(inner, links, self.zone, other_zone, (self.host, address), begun))

    def _hold(self, stream: Stream) -> Stream:
        """Remember the stream, so that a kill ends it."""
        self._streams = without_closed(self._streams)
        self._streams[stream] = None
        return stream

    async def serve(
        self,
        address: str,
        handler: Callable[[Stream], Awaitable[Any]],
        started: anyio.Event | None = None,
        on_shortage: ShortageCallback | None = None,
    ) -> None:
        """Accept until cancelled, with a task that runs `handler` for each stream. Raises OSError."""
        process = CURRENT_PROCESS.get()

        async def handle(stream: Stream) -> None:
            CURRENT_PROCESS.set(process)
            if self.links.emulates_accepted_links:
                stream = self._linked(stream, address)
            self._hold(stream)
            await handler(stream)

        if self.links.memory_network is not None:
            await self.links.memory_network.serve(address, handle, started, on_shortage)
        else:
            await self._sockets.serve(address, handle, started, on_shortage)

    def _linked(self, stream: Stream, address: str) -> LinkedStream:
        """Put an accepted stream on the link of the process that connects."""
        source = source_host(stream)
        other_zone = self.links.zones_by_host.get(source, self.zone)
        now = anyio.current_time()
        return LinkedStream(stream, self.links, self.zone, other_zone, (source, address), now, accepted=True)

    async def datagrams(self, address: str) -> DatagramSocket:
        """Open a socket for datagrams. Raises OSError."""
        if self.links.memory_network is not None:
            inner: DatagramSocket = await self.links.memory_network.datagrams(address)
        else:
            inner = await self._sockets.datagrams(address)
        return LinkedDatagrams(inner, self.links, self.zone, self._tasks)

    async def wait_until_reachable(self, host: str) -> None:
        """Return once what is sent from here reaches that host: a message held up by a cut is not sent."""
        await self.links.wait_while_partitioned(self.zone, self.links.zones_by_host.get(host, self.zone))
        await self.links.party_links[host, self.host].wait_while_cut(LinkDirection.IN)

    async def kill(self) -> None:
        """Reset all connections; what its tasks still connect to reaches nobody."""
        self._dead = True
        with anyio.CancelScope(shield=True):
            for stream in self._streams:
                await abort(stream)
            self._streams = {}
