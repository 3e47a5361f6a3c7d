"""Reads lines of the release controller's protocol from a stream."""

from __future__ import annotations

from gullmount.net import Stream
from gullmount.platform.errors import InvalidLineError, LineProblem

MAX_LINE_BYTES = 8192


class LineReader:
    """Splits the bytes of one connection into lines.

    Attributes:
        stream: the connection.
        buffer: bytes received and not yet returned.
    """

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.buffer = b""

    async def next_line(self) -> str:
        """Return the next line without CR LF.

        Raises:
            InvalidLineError: The line is too long, does not end with CR LF or is not ASCII.
            Exception: Any error of the stream is passed on.
        """
        while b"\n" not in self.buffer:
            if len(self.buffer) >= MAX_LINE_BYTES:
                raise InvalidLineError(LineProblem.TOO_LONG)
            self.buffer += await self.stream.receive()
        line, _, self.buffer = self.buffer.partition(b"\n")
        if not line.endswith(b"\r") or len(line) >= MAX_LINE_BYTES:
            raise InvalidLineError(LineProblem.BAD_END)
        try:
            return line[:-1].decode("ascii")
        except UnicodeDecodeError:
            raise InvalidLineError(LineProblem.NOT_ASCII) from None
