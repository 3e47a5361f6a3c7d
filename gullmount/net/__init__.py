"""Byte streams, transports and datagram sockets by address, over real sockets or in memory.

Nothing in this package depends on HTTP.
"""

from gullmount.net.descriptors import RESOURCE_SHORTAGE_ERRNOS, connect_errno, count_open_descriptors
from gullmount.net.handler_errors import HandlerErrors, ends_process
from gullmount.net.memory import MemoryNet
from gullmount.net.process_memory import resident_bytes
from gullmount.net.tcp import TcpNet
from gullmount.net.types import (
    STREAM_ERRORS,
    AddressError,
    DatagramSocket,
    Net,
    ShortageCallback,
    Stream,
    StreamNet,
    Transport,
    TransportProtocol,
    abort,
    parse_address,
    source_host,
    stream_peer_has_ended,
    stream_seconds_since_data,
)
from gullmount.net.wrapped_streams import RECEIVE_BYTES, DeadlineStream, WrappedStream

__all__ = [
    "RECEIVE_BYTES",
    "RESOURCE_SHORTAGE_ERRNOS",
    "STREAM_ERRORS",
    "AddressError",
    "DatagramSocket",
    "DeadlineStream",
    "HandlerErrors",
    "MemoryNet",
    "Net",
    "ShortageCallback",
    "Stream",
    "StreamNet",
    "TcpNet",
    "Transport",
    "TransportProtocol",
    "WrappedStream",
    "abort",
    "connect_errno",
    "count_open_descriptors",
    "ends_process",
    "parse_address",
    "resident_bytes",
    "source_host",
    "stream_peer_has_ended",
    "stream_seconds_since_data",
]
