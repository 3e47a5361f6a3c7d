"""Calls between the program's processes, as HTTP/1.1 requests with JSON bodies or as streams of JSON lines.

docs/protocols.md describes the messages. Nothing in this package depends on proxies, servers or builds.
"""

from gullmount.rpc.client import CallResponse, ConnectionPool, call
from gullmount.rpc.errors import (
    CallError,
    ConnectError,
    InvalidMessageError,
    RpcError,
    SilentPeerError,
    StatusError,
)
from gullmount.rpc.line_stream import stream_lines
from gullmount.rpc.messages import (
    MESSAGE_VERSION,
    Fields,
    check_fields,
    convert,
    decode_as,
    decode_message,
    look_up,
)
from gullmount.rpc.server import InjectedFailure, Request, Response, read_event, serve

__all__ = [
    "MESSAGE_VERSION",
    "CallError",
    "CallResponse",
    "ConnectError",
    "ConnectionPool",
    "Fields",
    "InjectedFailure",
    "InvalidMessageError",
    "Request",
    "Response",
    "RpcError",
    "SilentPeerError",
    "StatusError",
    "call",
    "check_fields",
    "convert",
    "decode_as",
    "decode_message",
    "look_up",
    "read_event",
    "serve",
    "stream_lines",
]
