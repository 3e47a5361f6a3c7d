"""Byte streams and datagrams by address, on loopback sockets or in memory; nothing here knows HTTP or
builds."""

from gullmount.net.memory import MemoryNet
from gullmount.net.tcp import TcpNet
from gullmount.net.types import BROKEN, Conduit, Datagrams, Hearer, Net, Stream, Streams, abort, source_host

__all__ = [
    "BROKEN",
    "Conduit",
    "Datagrams",
    "Hearer",
    "MemoryNet",
    "Net",
    "Stream",
    "Streams",
    "TcpNet",
    "abort",
    "source_host",
]
