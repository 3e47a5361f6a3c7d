"""Datagrams over emulated links."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators.links.current_process import CURRENT_PROCESS
from gullmount.emulators.links.network_links import NetworkLinks
from gullmount.net import STREAM_ERRORS, DatagramSocket


class LinkedDatagrams:
    """Messages that arrive late, or not at all where the link is cut or chance has it."""

    def __init__(self, inner: DatagramSocket, links: NetworkLinks, zone: str, tasks: TaskGroup) -> None:
        self._inner = inner
        self._links = links
        self._zone = zone
        self._tasks = tasks

    async def send(self, data: bytes, address: str) -> None:
        """Send one datagram, which `tasks` delivers."""
        await anyio.lowlevel.checkpoint()
        self._tasks.start_soon(self._deliver, data, address)

    async def _deliver(self, data: bytes, address: str) -> None:
        CURRENT_PROCESS.set("")  # it has left the machine
        links = self._links
        other_zone = links.zone_at(address)
        lost = links.random() < links.datagram_loss or links.datagrams_blocked
        least, most = links.datagram_delay
        await anyio.sleep(least + links.random() * (most - least))
        if lost or links.is_partitioned(self._zone, other_zone):
            return
        try:
            await self._inner.send(data, address)
        except STREAM_ERRORS:
            return

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and the address it came from."""
        return await self._inner.receive()

    async def aclose(self) -> None:
        """Close the socket."""
        await self._inner.aclose()
