"""Endpoints of a proxy's services, as relays send them, and the discovery messages built from them.

An endpoint that several services list is removed when the last of them removes it. The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gullmount.distribution.errors import MalformedMessageError
from gullmount.net.types import parse_address
from gullmount.proxy.discovery_client import ServerStartTimes
from gullmount.rpc import MESSAGE_VERSION, InvalidMessageError, check_fields

# The fields of an endpoint as a discovery service lists them, except that `since` (wall clock seconds)
# replaces the age.
Entry = dict[str, Any]

# The field of a discovery message that holds the endpoint's address.
ADDRESS_FIELD = "box"
# The fields, besides its address, that a discovery message has for a removed endpoint.
REMOVED: Entry = {
    "zone": "",
    "cell": 0,
    "build": 0,
    "state": "gone",
    "power": 0.0,
    "start": None,
    "age": None,
}


@dataclass
class EndpointChanges:
    """The result of an update: the addresses that changed, and the errors of the malformed entries."""

    changed: dict[str, None] = field(default_factory=dict)
    problems: set[str] = field(default_factory=set)


class EndpointTable:
    """Endpoints by service and address. Its size is bounded by what the services list."""

    def __init__(self, services: Sequence[str], wall: Callable[[], float]) -> None:
        """Create a table without endpoints.

        Args:
            services: The names of the services.
            wall: Returns the wall clock time in seconds, from which ages are computed.
        """
        self.wall = wall
        self.by_service: dict[str, dict[str, Entry]] = {service: {} for service in services}
        # The services that list an address; the one that listed it last is at the end.
        self.listed_by: dict[str, list[str]] = {}
        self.malformed_entries = 0

    def apply(self, service: str, is_snapshot: bool, entries: Mapping[str, Any | None]) -> EndpointChanges:
        """Apply an update of a service; malformed entries are skipped and counted.

        Args:
            service: The service whose endpoints are updated.
            is_snapshot: Whether endpoints that `entries` does not contain are removed.
            entries: The endpoints by address; None for one that was removed.
        """
        result = EndpointChanges()
        if is_snapshot:
            for address in [address for address in self.by_service[service] if address not in entries]:
                self.remove(service, address)
                result.changed[address] = None
        for address, entry in entries.items():
            if entry is None:
                self.remove(service, address)
            else:
                try:
                    self.check(address, entry)
                except InvalidMessageError as error:
                    self.malformed_entries += 1
                    result.problems.add(str(error))
                    continue
                self.put(service, address, entry)
            result.changed[address] = None
        return result

    def put(self, service: str, address: str, entry: Entry) -> None:
        """Add an endpoint to a service, or replace it."""
        self.by_service[service][address] = entry
        services = self.listed_by.setdefault(address, [])
        if service in services:
            services.remove(service)
        services.append(service)

    def remove(self, service: str, address: str) -> None:
        """Remove an endpoint from a service; do nothing if the service does not list it."""
        if self.by_service[service].pop(address, None) is None:
            return
        self.listed_by[address].remove(service)
        if not self.listed_by[address]:
            del self.listed_by[address]

    def check(self, address: str, entry: Any) -> None:
        """Raise InvalidMessageError for an entry that a discovery service would not list."""
        try:
            parse_address(address)
        except ValueError:
            raise MalformedMessageError(ADDRESS_FIELD, "no address") from None
        ServerStartTimes().decode_endpoint(self.listing(address, check_fields(entry, {})), 0.0)

    def listing(self, address: str, entry: Entry) -> Entry:
        """Return the endpoint as a discovery service lists it, with its current age."""
        fields = {"start": None, "age": None, **entry, ADDRESS_FIELD: address}
        since = fields.pop("since", None)
        if isinstance(since, int | float):
            fields["age"] = max(0.0, self.wall() - since)
        return fields

    def current_listing(self, address: str) -> Entry:
        """Return the endpoint as listed by the latest service that has it, or as removed if none has it."""
        services = self.listed_by.get(address)
        if not services:
            return {**REMOVED, ADDRESS_FIELD: address}
        return self.listing(address, self.by_service[services[-1]][address])

    def discovery_message(self, kind: str, index: int, addresses: Iterable[str]) -> bytes:
        """Encode these endpoints as a message of a discovery service; `kind` is `full` or `changes`."""
        listings = [self.current_listing(address) for address in addresses]
        return msgspec.json.encode({"v": MESSAGE_VERSION, "kind": kind, "index": index, "boxes": listings})
