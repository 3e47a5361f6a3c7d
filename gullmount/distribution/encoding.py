"""Encodes the messages of distribution.

Lines of a stream are joined from updates that are already encoded, since a relay forwards updates without
decoding them. No I/O, clock or randomness.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gullmount.distribution.messages import HEARTBEAT_LINE_KIND, UPDATE_LINE_KIND, SubscribeRequest
from gullmount.distribution.versions import Version

# The size assumed for the part of a line around its topics.
LINE_FRAME_BYTES = 64


def encode(message: msgspec.Struct) -> bytes:
    """Encodes a message as the body of a request."""
    return msgspec.json.encode(message)


def extension_request(
    subscriber: str, held: dict[str, Version], unsubscribe: Iterable[str] = ()
) -> SubscribeRequest:
    """Returns the request that changes the topics of the current stream."""
    return SubscribeRequest(subscriber, held=held, extends=True, unsubscribe=list(unsubscribe))


def encode_update_line(as_of: Version, complete: Version, more: bool, updates: Iterable[bytes]) -> bytes:
    """Encodes a line that carries updates; the parameters are the fields of `messages.UpdateLine`.

    The updates are encoded already, as JSON objects.
    """
    head = encode_line_head(UPDATE_LINE_KIND, as_of, complete, more)
    return b"".join((head, b',"topics":[', b",".join(updates), b"]}\n"))


def encode_heartbeat(as_of: Version, complete: Version, more: bool, origin_silent_seconds: float) -> bytes:
    """Encodes a line without updates; `origin_silent_seconds` is left out if it is 0."""
    head = encode_line_head(HEARTBEAT_LINE_KIND, as_of, complete, more)
    return head + (b',"stale":%.1f}\n' % origin_silent_seconds if origin_silent_seconds else b"}\n")


def encode_line_head(kind: str, as_of: Version, complete: Version, more: bool) -> bytes:
    """Encodes the first fields of a line's JSON object, without its closing brace."""
    head = b'{"v":1,"kind":"%b","as_of":[%d,%d]' % (kind.encode(), *as_of)
    if complete < as_of:
        head += b',"complete":[%d,%d]' % complete
    if more:
        head += b',"more":true'
    return head
