"""Stream wrappers, among them one that breaks when its peer stalls."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import anyio

from gullmount.net.types import Stream

# Data is written in chunks of this size; each chunk has its own timeout.
WRITE_CHUNK_BYTES = 65536
# Time within which the network must accept a chunk.
WRITE_TIMEOUT_SECONDS = 10.0
# Time without a byte after which a connection that waits for data breaks.
READ_TIMEOUT_SECONDS = 60.0
RECEIVE_BYTES = 65536


class WrappedStream(Stream):
    """A stream that passes every call on to an inner stream."""

    def __init__(self, inner: Stream) -> None:
        """Wrap `inner`."""
        self.inner = inner
        # Only in-memory streams have a source.
        self.source = getattr(inner, "source", None)

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """Receive from the inner stream."""
        return await self.inner.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        """Send on the inner stream."""
        await self.inner.send(item)

    async def send_eof(self) -> None:
        """End the sending side of the inner stream."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Close the inner stream."""
        await self.inner.aclose()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """The attributes of the inner stream."""
        return self.inner.extra_attributes


class DeadlineStream(WrappedStream):
    """A stream that breaks if the peer accepts no data, or sends none, for too long."""

    def __init__(self, inner: Stream, on_stalled: Callable[[], None] | None = None) -> None:
        """Wrap `inner`; `on_stalled` is called when a write times out."""
        super().__init__(inner)
        self.on_stalled = on_stalled

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """Receive the next bytes; raise anyio.BrokenResourceError after READ_TIMEOUT_SECONDS without any."""
        try:
            with anyio.fail_after(READ_TIMEOUT_SECONDS):
                return await self.inner.receive(max_bytes)
        except TimeoutError:
            raise anyio.BrokenResourceError from None

    async def send(self, item: bytes) -> None:
        """Send in chunks; raise anyio.BrokenResourceError if one takes longer than WRITE_TIMEOUT_SECONDS."""
        view = memoryview(item)
        for start in range(0, len(item), WRITE_CHUNK_BYTES):
            try:
                with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
                    await self.inner.send(bytes(view[start : start + WRITE_CHUNK_BYTES]))
            except TimeoutError:
                if self.on_stalled is not None:
                    self.on_stalled()
                raise anyio.BrokenResourceError from None
