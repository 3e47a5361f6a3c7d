"""Decodes and validates the endpoint list in discovery's format. Does no I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from gullmount.decisions.model import Endpoint, EndpointState, EndpointUpdateKind
from gullmount.net.types import AddressError, parse_address
from gullmount.platform.errors import InvalidEndpointFieldError, InvalidEndpointPageError

# Capacity hints have no unit: they are relative to those of other servers.
MAX_CAPACITY_HINT = 1e9
# The decisions divide by the hint, so a smaller one is treated as absent.
MIN_CAPACITY_HINT = 1e-9
ENDPOINT_STATES = {
    "ready": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}


class EndpointEntry(msgspec.Struct):
    """One server in discovery's list."""

    server_id: str = msgspec.field(name="id")
    address: str = msgspec.field(name="host_port")
    zone: str = msgspec.field(name="locality")
    cell: int
    state: str = msgspec.field(name="phase")
    build: int = msgspec.field(name="version_no")
    capacity_hint: float = msgspec.field(default=1.0, name="size")
    started_at_ms: float | None = msgspec.field(default=0, name="up_since_ms")
    """Unix time in milliseconds; 0 or None if unknown."""


class EndpointPage(msgspec.Struct):
    """One response of discovery: the complete list, or the entries that changed."""

    revision: int
    complete: bool
    entries: list[EndpointEntry] = msgspec.field(name="members")

    @property
    def kind(self) -> EndpointUpdateKind:
        """SNAPSHOT if the page is the complete list, else UPDATE."""
        return EndpointUpdateKind.SNAPSHOT if self.complete else EndpointUpdateKind.UPDATE


def decode_page(data: bytes) -> EndpointPage:
    """Decode the body of a response.

    Raises:
        InvalidEndpointPageError: The body is not JSON of the expected form.
    """
    try:
        return msgspec.json.decode(data, type=EndpointPage)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidEndpointPageError(str(error)) from None


def convert_page(fields: dict[str, Any]) -> EndpointPage:
    """Convert the list from the configuration file.

    Raises:
        InvalidEndpointPageError: The list does not have the expected form.
    """
    try:
        return msgspec.convert(fields, type=EndpointPage)
    except msgspec.ValidationError as error:
        raise InvalidEndpointPageError(str(error)) from None


def decode_endpoint(entry: EndpointEntry, started_at: float) -> Endpoint:
    """Convert an entry to the router's `Endpoint`.

    Args:
        entry: The entry to convert.
        started_at: The server's start in seconds of the monotonic clock, 0 if unknown.

    Raises:
        InvalidEndpointFieldError: The state, capacity hint or address is invalid.
    """
    if entry.state not in ENDPOINT_STATES:
        raise InvalidEndpointFieldError("phase", "has no such value")
    if not 0 <= entry.capacity_hint <= MAX_CAPACITY_HINT:
        raise InvalidEndpointFieldError("size", "is out of range")
    try:
        parse_address(entry.address)
    except AddressError as error:
        raise InvalidEndpointFieldError("host_port", f"is {error}") from None
    return Endpoint(
        server_id=entry.server_id,
        zone=entry.zone,
        cell=entry.cell,
        build=entry.build,
        state=ENDPOINT_STATES[entry.state],
        capacity_hint=entry.capacity_hint if entry.capacity_hint >= MIN_CAPACITY_HINT else 0.0,
        started_at=started_at,
    )
