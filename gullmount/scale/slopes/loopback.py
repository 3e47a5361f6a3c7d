"""Sockets on this machine's loopback address, for measurements."""

from __future__ import annotations

import socket

HOST = "127.0.0.1"


def listen() -> socket.socket:
    """Return a socket that listens at a free port."""
    listener = socket.socket()
    listener.bind((HOST, 0))
    listener.listen()
    return listener


def port_of(listener: socket.socket) -> int:
    """Return the port that a socket is bound to."""
    return int(listener.getsockname()[1])


def free_port() -> int:
    """Return a port that was free just now."""
    with listen() as listener:
        return port_of(listener)
