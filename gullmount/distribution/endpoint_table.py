"""The endpoints of a proxy's services, as relays send them, and the discovery message made from them.

An endpoint that two services list is removed when the last of them removes it. No I/O.
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

Entry = dict[str, Any]  # an endpoint's fields as a discovery service lists them, with `since` for an age

ADDRESS_FIELD = "box"  # on the wire
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
    """What an update came to: the addresses that changed, and what was left out as malformed."""

    changed: dict[str, None] = field(default_factory=dict)
    problems: set[str] = field(default_factory=set)


class EndpointTable:
    """Endpoints by service and address. Bounded by what the services list."""

    def __init__(self, services: Sequence[str], wall: Callable[[], float]) -> None:
        """Start without endpoints; `wall`: seconds of the wall clock, for ages."""
        self.wall = wall
        self.by_service: dict[str, dict[str, Entry]] = {service: {} for service in services}
        self.listed_by: dict[str, list[str]] = {}  # services by address, the latest last
        self.malformed_entries = 0

    def apply(self, service: str, is_snapshot: bool, entries: Mapping[str, Any | None]) -> EndpointChanges:
        """Apply a service's update; malformed entries are left out and counted."""
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
        """Add or replace a service's endpoint."""
        self.by_service[service][address] = entry
        services = self.listed_by.setdefault(address, [])
        if service in services:
            services.remove(service)
        services.append(service)

    def remove(self, service: str, address: str) -> None:
        """Remove a service's endpoint, if it lists it."""
        if self.by_service[service].pop(address, None) is None:
            return
        self.listed_by[address].remove(service)
        if not self.listed_by[address]:
            del self.listed_by[address]

    def check(self, address: str, entry: Any) -> None:
        """Refuse what a discovery service would not list. Raises InvalidMessageError."""
        try:
            parse_address(address)
        except ValueError:
            raise MalformedMessageError(ADDRESS_FIELD, "no address") from None
        ServerStartTimes().decode_endpoint(self.listing(address, check_fields(entry, {})), 0.0)

    def listing(self, address: str, entry: Entry) -> Entry:
        """The endpoint as a discovery service lists it: its age is of now."""
        fields = {"start": None, "age": None, **entry, ADDRESS_FIELD: address}
        since = fields.pop("since", None)
        if isinstance(since, int | float):
            fields["age"] = max(0.0, self.wall() - since)
        return fields

    def current_listing(self, address: str) -> Entry:
        """The endpoint as the service that listed it last has it, or that it was removed."""
        services = self.listed_by.get(address)
        if not services:
            return {**REMOVED, ADDRESS_FIELD: address}
        return self.listing(address, self.by_service[services[-1]][address])

    def discovery_message(self, kind: str, index: int, addresses: Iterable[str]) -> bytes:
        """A discovery service's message (`full` or `changes`) of these endpoints."""
        listings = [self.current_listing(address) for address in addresses]
        return msgspec.json.encode({"v": MESSAGE_VERSION, "kind": kind, "index": index, "boxes": listings})
