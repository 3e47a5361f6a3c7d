"""Queries the kernel for when a TCP connection last received data and whether its peer has ended it."""

from __future__ import annotations

import select
import socket
import struct

# Size of the part of struct tcp_info that every Linux since 2.6.2 has.
TCP_INFO_BYTES = 104
# Byte offset in struct tcp_info (linux/tcp.h) of tcpi_last_data_recv, which is in milliseconds.
LAST_DATA_RECEIVED_OFFSET = 52
MILLISECONDS_PER_SECOND = 1000


def seconds_since_data(descriptor: int) -> float | None:
    """Return the seconds since the connection last received data; None if the kernel doesn't tell."""
    if not hasattr(socket, "TCP_INFO") or descriptor < 0:
        return None
    try:
        connection = socket.socket(fileno=descriptor)
    except OSError:
        return None
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        milliseconds: int = struct.unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)[0]
    except (OSError, struct.error):
        return None
    finally:
        # The descriptor belongs to the caller, so it stays open.
        connection.detach()
    return milliseconds / MILLISECONDS_PER_SECOND


def has_ended(descriptor: int) -> bool:
    """Return whether the peer has closed or reset the connection, even if unread data precedes the end."""
    if descriptor < 0 or not hasattr(select, "POLLRDHUP"):
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))
