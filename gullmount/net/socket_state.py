"""Queries the kernel for what a TCP connection has received and sent, and whether its peer has ended it."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

# Size of the part of struct tcp_info that every Linux since 2.6.2 has.
TCP_INFO_BYTES = 104
# Byte offset in struct tcp_info (linux/tcp.h) of tcpi_state.
TCP_STATE_OFFSET = 0
# The states (net/tcp_states.h) in which the end of the stream was sent and is not acknowledged: FIN_WAIT1,
# LAST_ACK and CLOSING.
END_UNACKNOWLEDGED_STATES = (4, 9, 11)
# Byte offset in struct tcp_info (linux/tcp.h) of tcpi_last_data_recv, which is in milliseconds.
LAST_DATA_RECEIVED_OFFSET = 52
MILLISECONDS_PER_SECOND = 1000


def read_tcp_info(descriptor: int) -> bytes | None:
    """Return the kernel's struct tcp_info of the connection; None if the kernel does not tell."""
    if not hasattr(socket, "TCP_INFO") or descriptor < 0:
        return None
    try:
        connection = socket.socket(fileno=descriptor)
    except OSError:
        return None
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    finally:
        # The descriptor belongs to the caller, so it stays open.
        connection.detach()
    return info if len(info) == TCP_INFO_BYTES else None


def seconds_since_data(descriptor: int) -> float | None:
    """Return the seconds since the connection last received data; None if the kernel does not tell."""
    info = read_tcp_info(descriptor)
    if info is None:
        return None
    milliseconds: int = struct.unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)[0]
    return milliseconds / MILLISECONDS_PER_SECOND


def has_ended(descriptor: int) -> bool:
    """Return whether the peer has closed or reset the connection, even if unread data precedes the end."""
    if descriptor < 0 or not hasattr(select, "POLLRDHUP"):
        return False
    return has_event(descriptor, select.POLLRDHUP)


def is_readable(descriptor: int) -> bool:
    """Return whether unread bytes, an end of stream or a new connection is pending on the descriptor."""
    return has_event(descriptor, select.POLLIN)


def has_event(descriptor: int, event: int) -> bool:
    """Return whether the event, or an error, is pending; poll accepts descriptors of any number."""
    poll = select.poll()
    poll.register(descriptor, event)
    return bool(poll.poll(0))


def unacknowledged_bytes(descriptor: int) -> int:
    """Return the bytes that were sent and that the peer has not acknowledged; 0 if the kernel does not tell.

    An end of stream that was sent does not count.
    """
    if descriptor < 0:
        return 0
    try:
        answer = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(struct.calcsize("i")))
    except OSError:
        return 0
    count: int = struct.unpack("i", answer)[0]
    # The kernel counts an unacknowledged end of stream as one byte.
    return count - 1 if count and end_is_unacknowledged(descriptor) else count


def end_is_unacknowledged(descriptor: int) -> bool:
    """Return whether the end of the stream was sent and the peer has not acknowledged it."""
    info = read_tcp_info(descriptor)
    return info is not None and info[TCP_STATE_OFFSET] in END_UNACKNOWLEDGED_STATES
