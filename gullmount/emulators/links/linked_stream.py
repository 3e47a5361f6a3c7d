"""A stream over an emulated link."""

from __future__ import annotations

import anyio

from gullmount.emulators.links.handovers import ConnectionEnds
from gullmount.emulators.links.network_links import NetworkLinks
from gullmount.emulators.links.open_streams import is_closed
from gullmount.emulators.links.party_link import LinkDirection
from gullmount.net import Stream, source_host

MAX_READ_BYTES = 65536


class LinkedStream(Stream):
    """A stream that is slower by the link's delay, and held up while the link is cut, as TCP is."""

    def __init__(
        self,
        inner: Stream,
        links: NetworkLinks,
        zone: str,
        other_zone: str,
        ends: ConnectionEnds,
        connecting_since: float,
        accepted: bool = False,
    ) -> None:
        """Put a stream on a link.

        Args:
            inner: the stream without delays.
            links: all links.
            zone: of the party on this side.
            other_zone: of the party on the other side.
            ends: the host that connected and the address that it connected to.
            connecting_since: when connecting began, in seconds on anyio's clock.
            accepted: whether it comes from another process, which does not emulate its side of the link.
        """
        self.inner = inner
        self._links = links
        self._zone = zone
        self._other_zone = other_zone
        self._ends = ends
        self._accepted = accepted
        self._link = links.link_between(ends)
        self._link.add_stream(inner)
        self._sending, self._receiving = LinkDirection.OUT, LinkDirection.IN
        if accepted:
            self._sending, self._receiving = self._receiving, self._sending
        self._connecting_since: float | None = connecting_since  # until the first bytes are sent
        self._received: bytes | None = None  # read from the inner stream, still on its way
        self._received_at = 0.0
        self._due = 0.0

    @property
    def closed(self) -> bool:
        """Whether the inner stream was closed on this side."""
        return is_closed(self.inner)

    async def receive(self, max_bytes: int = MAX_READ_BYTES) -> bytes:
        """Return the next bytes once they have come over the link. Raises one of STREAM_ERRORS."""
        if self._received is None:
            self._received = await self.inner.receive(max_bytes)
            self._received_at = anyio.current_time()
            delay = self._links.delay(self._other_zone, self._zone)
            self._due = self._received_at + delay + self._link.added_delay[self._receiving]
        await anyio.sleep_until(self._due)
        await self._links.wait_while_partitioned(self._zone, self._other_zone)
        await self._link.wait_while_cut(self._receiving)
        if self._accepted:
            self._links.handovers.note(self._ends, self._received_at)
        data, self._received = self._received, None
        return data

    async def send(self, item: bytes) -> None:
        """Write once the bytes have come over the link. Raises one of STREAM_ERRORS."""
        since = anyio.current_time() if self._connecting_since is None else self._connecting_since
        self._connecting_since = None
        delay = self._links.delay(self._zone, self._other_zone)
        if delay:
            await anyio.sleep(delay)
        await self._links.wait_while_partitioned(self._zone, self._other_zone)
        await self._link.wait_for_passage(self._sending)
        if not self._accepted:
            self._links.handovers.note(self._ends, since)
        await self.inner.send(item)

    async def send_eof(self) -> None:
        """End our side."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Close the stream."""
        await self.inner.aclose()

    def abort(self) -> None:
        """Close at once with a reset, where the inner stream can."""
        reset = getattr(self.inner, "abort", None)
        if reset is not None:
            reset()


def source_of(stream: Stream) -> str:
    """Return the host that the other side connected from."""
    return source_host(stream.inner if isinstance(stream, LinkedStream) else stream)
