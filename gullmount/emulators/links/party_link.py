"""The link between two parties, whatever their zones, and the faults that befall it."""

from __future__ import annotations

from enum import StrEnum

import anyio

from gullmount.emulators.links.open_streams import without_closed
from gullmount.net import Stream, abort


class LinkDirection(StrEnum):
    """A direction of a link; what the party that connects sends goes out."""

    OUT = "out"
    IN = "in"
    BOTH = "both"


class LinkFault(StrEnum):
    """What can befall a link."""

    CUT = "cut"
    SLOW = "slow"


ONE_WAY: tuple[str, ...] = (LinkDirection.OUT, LinkDirection.IN)


class PartyLink:
    """A link from the party that connects to the one it connects to; lives as long as the scenario.

    Attributes:
        cut_counts: by direction, how many faults cut it now.
        added_delay: by direction, seconds that faults add now.
        streams: its connections; closed ones are forgotten at times.
    """

    def __init__(self) -> None:
        self.cut_counts: dict[str, int] = dict.fromkeys(ONE_WAY, 0)
        self.added_delay: dict[str, float] = dict.fromkeys(ONE_WAY, 0.0)
        self.streams: dict[Stream, None] = {}
        self._changed = anyio.Event()

    def add_stream(self, stream: Stream) -> None:
        """Remember a connection, so that a reset ends it."""
        self.streams = without_closed(self.streams)
        self.streams[stream] = None

    def begin_fault(self, what: str, way: str, size: float) -> None:
        """Begin a `LinkFault`, in a `LinkDirection`; `size` is the added delay in seconds."""
        self.change(what, way, 1, size)

    def end_fault(self, what: str, way: str, size: float) -> None:
        """End a fault that was begun with the same arguments."""
        self.change(what, way, -1, size)

    def change(self, what: str, way: str, by: int, size: float) -> None:
        """Add a fault, where `by` is 1, or take it away, where it is -1."""
        for direction in ONE_WAY if way == LinkDirection.BOTH else (way,):
            if what == LinkFault.CUT:
                self.cut_counts[direction] += by
            elif what == LinkFault.SLOW:
                self.added_delay[direction] = max(0.0, self.added_delay[direction] + by * size)
        self._changed.set()
        self._changed = anyio.Event()

    async def reset(self) -> None:
        """Break its connections."""
        streams, self.streams = self.streams, {}
        for stream in streams:
            await abort(stream)

    async def wait_while_cut(self, way: str) -> None:
        """Return once the link is not cut in this direction."""
        while self.cut_counts[way]:
            await self._changed.wait()

    async def wait_for_passage(self, way: str) -> None:
        """Wait as what is on its way does: for the added delay, and while the link is cut, as TCP's bytes."""
        if self.added_delay[way]:
            await anyio.sleep(self.added_delay[way])
        await self.wait_while_cut(way)
