"""Reads a stream ahead in a task of its own, so that its end is seen while nobody waits for data."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio

from gullmount.net import STREAM_ERRORS, Stream

MAX_BUFFERED_BYTES = 65536  # read ahead before the reading waits: a usual socket buffer
CHUNK_BYTES = 65536  # of one read


class ReadAheadStream:
    """The incoming side of a stream; `run` is its task.

    Attributes:
        ended: whether the stream has ended.
        on_end: is called then.
        received_at: when what was received last had arrived, as `arrival_time` told it.
    """

    def __init__(self, stream: Stream, arrival_time: Callable[[], float] = anyio.current_time) -> None:
        self.stream = stream
        self.arrival_time = arrival_time
        self.received_at = 0.0
        self.chunks: deque[bytes] = deque()
        self.arrival_times: deque[float] = deque()
        self.buffered_bytes = 0
        self.ended = False
        self.on_end: Callable[[], None] | None = None
        self._data_available = anyio.Event()
        self._data_consumed = anyio.Event()

    async def run(self) -> None:
        """Read until the stream ends."""
        try:
            while True:
                data = await self.stream.receive(CHUNK_BYTES)
                self.chunks.append(data)
                self.arrival_times.append(self.arrival_time())
                self.buffered_bytes += len(data)
                self._data_available.set()
                while self.buffered_bytes >= MAX_BUFFERED_BYTES:
                    self._data_consumed = anyio.Event()
                    await self._data_consumed.wait()
        except STREAM_ERRORS:
            pass
        finally:
            self.ended = True
            self._data_available.set()
            if self.on_end is not None:
                self.on_end()

    async def receive(self) -> bytes:
        """Return the next bytes, or none once the stream has ended. Cancelling loses none."""
        while not self.chunks:
            if self.ended:
                return b""
            self._data_available = anyio.Event()
            await self._data_available.wait()
        data = self.chunks.popleft()
        self.received_at = self.arrival_times.popleft()
        self.buffered_bytes -= len(data)
        self._data_consumed.set()
        return data
