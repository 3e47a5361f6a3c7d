"""Reads ahead on a stream in a separate task.

The end of the stream is thereby detected even while no caller waits for data.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio

from gullmount.net import STREAM_ERRORS, Stream

# Reading pauses at this many unconsumed bytes, the size of a usual socket buffer.
MAX_BUFFERED_BYTES = 65536
# Maximum size of one read.
CHUNK_BYTES = 65536


class ReadAheadStream:
    """Buffers what a stream receives. `run` must run in a task of its own.

    Attributes:
        arrival_time: returns the arrival time of the data that has just been read.
        ended: whether the stream has ended.
        on_end: called when the stream ends.
        received_at: arrival time of the data that `receive` returned last.
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
        """Read until the stream ends; pause while the buffer is full."""
        try:
            while True:
                data = await self.stream.receive(CHUNK_BYTES)
                self.chunks.append(data)
                self.arrival_times.append(self.arrival_time())
                self.buffered_bytes += len(data)
                self._data_available.set()
                while self.is_full:
                    self._data_consumed = anyio.Event()
                    await self._data_consumed.wait()
        except STREAM_ERRORS:
            pass
        finally:
            self.ended = True
            self._data_available.set()
            if self.on_end is not None:
                self.on_end()

    @property
    def is_full(self) -> bool:
        """Whether reading pauses, so that the end of the stream would not be detected."""
        return self.buffered_bytes >= MAX_BUFFERED_BYTES

    async def receive(self) -> bytes:
        """Return the next bytes, or `b""` once the stream has ended.

        Cancelling this call loses no data.
        """
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
