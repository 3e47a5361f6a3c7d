"""Sets of streams of which closed ones are forgotten."""

from __future__ import annotations

from typing import TypeVar

import anyio
from anyio.abc import SocketAttribute

from gullmount.net import Stream

MAX_STREAMS_UNSORTED = 256  # as many are held before the closed ones are looked for

StreamType = TypeVar("StreamType", bound=Stream)


def without_closed(streams: dict[StreamType, None]) -> dict[StreamType, None]:
    """Return the set without the closed streams where it has grown large, else the set itself."""
    if len(streams) <= MAX_STREAMS_UNSORTED:
        return streams
    return {stream: None for stream in streams if not is_closed(stream)}


def is_closed(stream: Stream) -> bool:
    """Whether the stream was closed on this side, by its own word or by its socket's."""
    closed = getattr(stream, "closed", None)
    if closed is not None:
        return bool(closed)
    try:
        return int(stream.extra(SocketAttribute.raw_socket).fileno()) < 0
    except (anyio.TypedAttributeLookupError, OSError):
        return True
