"""What a fleet is drawn of: proxies, servers, configurations, and changes of them. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, NamedTuple

BUILD = 41  # released and served by all servers: a fleet's run has no candidate release
UNREACHABLE_NETWORK = "198.18"  # of servers' addresses: RFC 2544's, which nothing here connects to
STARTED_AT_MS = 1_790_000_000_000  # of the wall clock, at which servers' first processes started, less one
HOSTS_PER_SUBNET = 250
TENANTS_PER_ROUTE = 3  # 98 tenants a service over 38 routes
CONFIGURATION_KEY = "routes"  # the one entry of a topic `config/SERVICE`
TIMEOUT_STEPS = 100  # hundredths of a second by which a change of configuration moves a route's timeout


class ChangeKind(StrEnum):
    """What changes; the first part of its topic."""

    SERVERS = "boxes"
    CONFIGURATION = "config"


class ServerState(StrEnum):
    """A server's state in discovery, in the order that a replaced one goes through."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


STATES = tuple(ServerState)


class ServerRow(NamedTuple):
    """What a proxy's router holds of a server; a row of digests."""

    id: str
    address: str
    zone: str
    cell: int
    ready: bool
    build: int
    started_at_ms: int


def proxy_name(number: int) -> str:
    """A proxy's name in records."""
    return f"umpire-{number}"


@dataclass(frozen=True, slots=True)
class DrawnProxy:
    """One proxy instance, hollow or real, and the services that it fronts."""

    number: int
    zone: str
    services: tuple[str, ...]

    @property
    def name(self) -> str:
        """Its name in records."""
        return proxy_name(self.number)

    @property
    def topics(self) -> list[str]:
        """The topics that it subscribes to."""
        return [f"{kind.value}/{service}" for kind in ChangeKind for service in self.services]


@dataclass(frozen=True, slots=True)
class DrawnServer:
    """A server as discovery has it; a later process has a higher `incarnation`."""

    number: int
    service: str
    zone: str
    cell: int
    state: ServerState = ServerState.READY
    incarnation: int = 1

    @property
    def id(self) -> str:
        """Its name in discovery."""
        return f"box-{self.number}"

    @property
    def address(self) -> str:
        """Host and port, of its own."""
        high, low = divmod(self.number, HOSTS_PER_SUBNET)
        subnet = high % HOSTS_PER_SUBNET
        return f"{UNREACHABLE_NETWORK}.{subnet}.{low + 1}:{8000 + high // HOSTS_PER_SUBNET}"

    @property
    def started_at_ms(self) -> int:
        """When its process started, in ms of the wall clock."""
        return STARTED_AT_MS + self.incarnation

    def changed(self) -> DrawnServer:
        """The server after one more change: draining, removed, then ready again as another process."""
        state = STATES[(STATES.index(self.state) + 1) % len(STATES)]
        started = state is ServerState.READY
        return replace(self, state=state, incarnation=self.incarnation + started)

    def topic_entry(self) -> dict[str, Any] | None:
        """Its entry of the topic `boxes/SERVICE`; None where it is removed."""
        if self.state is ServerState.REMOVED:
            return None
        return {
            "zone": self.zone,
            "cell": self.cell,
            "build": BUILD,
            "state": self.state.value,
            "power": 1.0,
            "start": f"life-{self.incarnation}",
            "since": self.started_at_ms / 1000,
        }

    def router_row(self) -> ServerRow:
        """What a proxy's router holds of it."""
        return ServerRow(
            self.id,
            self.address,
            self.zone,
            self.cell,
            self.state is ServerState.READY,
            BUILD,
            self.started_at_ms,
        )

    def discovery_entry(self) -> dict[str, Any]:
        """Its entry of the platform's discovery."""
        return {
            "id": self.id,
            "host_port": self.address,
            "locality": self.zone,
            "flavor": "m2",
            "cell": self.cell,
            "phase": self.state.value,
            "size": 1.0,
            "up_since_ms": self.started_at_ms,
            "version_no": BUILD,
        }


@dataclass(frozen=True, slots=True)
class DrawnChange:
    """A change of a server or a configuration, `at` seconds from the first phase's start."""

    at: float
    phase: int
    kind: ChangeKind
    service: str
    server: DrawnServer | None  # as it is from then on; None: a change of configuration
    configuration_number: int  # of the service's configuration from then on; 0 for a server

    @property
    def topic(self) -> str:
        """The topic that it is a change of."""
        return f"{self.kind.value}/{self.service}"

    @property
    def key(self) -> str:
        """The entry of the topic that changes."""
        return CONFIGURATION_KEY if self.server is None else self.server.address


def service_configuration(service: str, number: int, routes: int) -> dict[str, Any]:
    """The entry of `config/SERVICE` after `number` changes: routes as a proxy's file has them."""
    return {
        "routes": [
            {
                "name": f"{service}-{route}",
                "match": {
                    "method": ["GET"],
                    "path": f"/{service}/{route}/*",
                    "headers": {"x-tenant": f"tenant-{route * TENANTS_PER_ROUTE}"},
                },
                "objective": 0.4,
                "timeout": 2.0 + (number % TIMEOUT_STEPS if route == 0 else 0) / TIMEOUT_STEPS,
                "repeats": "retriable",
            }
            for route in range(routes)
        ]
    }
