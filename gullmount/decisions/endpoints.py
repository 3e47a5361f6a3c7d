"""Keeps the table of servers by build, which endpoint updates from discovery change."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from gullmount.decisions.latency_estimate import LatencyEstimate
from gullmount.decisions.model import Endpoint, EndpointState, EndpointUpdateKind
from gullmount.decisions.outlier_ejection import EjectionState
from gullmount.decisions.slow_start import SlowStart, SlowStartCredit


class Server:
    """A listed server with the state that each rule keeps for it."""

    def __init__(self, endpoint: Endpoint, initial_credit: float, now: float) -> None:
        self.id = endpoint.server_id
        self.initial_credit = initial_credit
        """Slow start credit of a new process, below one; random, so that instances do not act in step."""
        self.attempts_in_flight = 0
        """Number of attempts of this instance at the server."""
        self._reset_process_state(now)
        self._copy_endpoint(endpoint)

    def update(self, endpoint: Endpoint, now: float) -> None:
        """Apply a new entry; one with another build or start time is a new process and resets the state."""
        if endpoint.build != self.build or endpoint.started_at != self.started_at:
            self._reset_process_state(now)
        self._copy_endpoint(endpoint)

    def age(self, now: float) -> float:
        """Return the seconds since the start, or since the clock's zero if the start is not known."""
        return now - self.started_at if self.started_at > 0 else now

    def _reset_process_state(self, now: float) -> None:
        self.latency = LatencyEstimate()
        self.ejection = EjectionState()
        self.slow_start = SlowStartCredit(self.initial_credit, now)
        self.connected_until = 0.0
        """Seconds on the runtime's clock until which a connection is believed to be open."""

    def _copy_endpoint(self, endpoint: Endpoint) -> None:
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.build = endpoint.build
        self.ready = endpoint.state is EndpointState.READY
        self.capacity_hint = endpoint.capacity_hint or 1.0
        self.started_at = endpoint.started_at


class EndpointTable:
    """All listed servers."""

    def __init__(self, slow_start: SlowStart, draw: Callable[[], float]) -> None:
        self.slow_start = slow_start
        self.draw = draw
        """Returns a random number from 0 to 1."""
        self.servers: dict[str, Server] = {}
        self.ready_by_build: dict[int, list[Server]] = {}
        """Ready servers by build; a build without ready servers has no entry."""
        self.ready_count = 0
        """Number of ready servers of all builds."""
        self.warming: list[Server] = []
        """Ready servers that were in slow start at the last check."""

    def update(self, kind: EndpointUpdateKind, endpoints: Iterable[Endpoint], now: float) -> None:
        """Apply a snapshot, or an update of changed entries."""
        if kind is EndpointUpdateKind.SNAPSHOT:
            self._remove_unlisted({endpoint.server_id for endpoint in endpoints})
        for endpoint in endpoints:
            self._apply(endpoint, now)
        self._rebuild_index(now)

    def prune_warming(self, now: float) -> None:
        """Remove servers from `warming` that have their full capacity by now or are not ready any more."""
        self.warming = [
            server
            for server in self.warming
            if server.ready and self.slow_start.weight(server.started_at, now) < 1
        ]

    def _remove_unlisted(self, listed_ids: set[str]) -> None:
        for server_id in [server_id for server_id in self.servers if server_id not in listed_ids]:
            del self.servers[server_id]

    def _apply(self, endpoint: Endpoint, now: float) -> None:
        if endpoint.state is EndpointState.REMOVED:
            self.servers.pop(endpoint.server_id, None)
        elif endpoint.server_id in self.servers:
            self.servers[endpoint.server_id].update(endpoint, now)
        else:
            self.servers[endpoint.server_id] = Server(endpoint, self.draw(), now)

    def _rebuild_index(self, now: float) -> None:
        self.ready_by_build = {}
        self.warming = []
        for server in self.servers.values():
            if server.ready:
                self.ready_by_build.setdefault(server.build, []).append(server)
                if self.slow_start.weight(server.started_at, now) < 1:
                    self.warming.append(server)
        self.ready_count = sum(map(len, self.ready_by_build.values()))
