"""Reads lines of the release controller's protocol from a stream.

A peer may send any number of lines at once. Each costs as much as its length, and the event loop serves
others in between.
"""

from __future__ import annotations

import anyio.lowlevel

from gullmount.net import Stream
from gullmount.platform.errors import InvalidLineError, LineProblem

MAX_LINE_BYTES = 8192
# Lines that are returned in one turn of the event loop.
MAX_LINES_PER_TURN = 16


class LineReader:
    """Splits the bytes of one connection into lines.

    Attributes:
        stream: the connection.
        buffer: bytes received and not yet returned.
        lines_in_turn: number of lines returned since the event loop last served others.
    """

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.buffer = bytearray()
        self.lines_in_turn = 0

    async def next_line(self) -> str:
        """Return the next line without CR LF.

        Raises:
            InvalidLineError: The line is too long, does not end with CR LF or is not ASCII.
            Exception: Any error of the stream is passed on.
        """
        if self.lines_in_turn >= MAX_LINES_PER_TURN:
            await anyio.lowlevel.checkpoint()
            self.lines_in_turn = 0
        while (end := self.buffer.find(b"\n")) < 0:
            if len(self.buffer) >= MAX_LINE_BYTES:
                raise InvalidLineError(LineProblem.TOO_LONG)
            self.buffer += await self.stream.receive()
            self.lines_in_turn = 0
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 1]
        self.lines_in_turn += 1
        if not line.endswith(b"\r") or len(line) >= MAX_LINE_BYTES:
            raise InvalidLineError(LineProblem.BAD_END)
        try:
            return line[:-1].decode("ascii")
        except UnicodeDecodeError:
            raise InvalidLineError(LineProblem.NOT_ASCII) from None
