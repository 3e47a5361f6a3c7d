"""The emulator of discovery: endpoint lists that come late, at times refused or not at all, over watches.

docs/protocols.md describes the messages. Only the structs here turn a name on the wire into the term that
the code uses; their fields stand in the order in which they are written.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable
from enum import StrEnum
from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup
from msgspec import Struct, field

from gullmount.emulators.fleet import Fleet, Machine
from gullmount.emulators.links import HostNetwork, source_of
from gullmount.emulators.record import Record, RecordEvent
from gullmount.net import Stream
from gullmount.rpc import MESSAGE_VERSION, InjectedFailure, Request, Response, serve

HEARTBEAT_SECONDS = 5.0  # between lines on a quiet watch
HEARTBEAT_LINE = b'{"v":1,"kind":"alive"}\n'
CACHED_CHANGES = 400  # for watches that come back; to older ones a snapshot is sent
LEAST_DELAY_FACTOR = 0.7
DELAY_FACTOR_RANGE = 0.6  # a delay is drawn from LEAST_DELAY_FACTOR times itself up to this much more


class EndpointState(StrEnum):
    """The state of an endpoint, as it is on the wire."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointMessageKind(StrEnum):
    """What the endpoints of a message are, as it is on the wire."""

    SNAPSHOT = "full"
    UPDATE = "changes"


class EmulatedEndpoint(Struct, frozen=True, kw_only=True):
    """A server as discovery shows it.

    Attributes:
        server_id: its address.
        capacity_hint: its capacity relative to others.
        start_id: names its process; None where it has run since before the scenario.
        started_at: seconds on the record's clock.
    """

    server_id: str = field(name="box")
    zone: str
    cell: int
    build: int
    state: EndpointState
    capacity_hint: float = field(name="power")
    start_id: str | None = field(name="start")
    started_at: float = field(name="started")


class _EndpointEntry(Struct):
    """An endpoint in a message; `age` is in seconds."""

    server_id: str = field(name="box")
    zone: str
    cell: int
    build: int
    state: EndpointState
    capacity_hint: float = field(name="power")
    start_id: str | None = field(name="start")
    age: float | None


class _EndpointMessage(Struct, kw_only=True):
    v: int = MESSAGE_VERSION
    kind: EndpointMessageKind
    revision: int = field(name="index")
    endpoints: list[_EndpointEntry] = field(name="boxes")


class DiscoveryEmulator:
    """Serves watches of the endpoint list; lives as long as the scenario.

    Attributes:
        is_down: whether calls get no answer and watches end.
        added_delay: seconds by which all changes come later.
        revision: grows by one with each published change.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        network: HostNetwork,
        address: str,
        fleet: Fleet,
        record: Record,
        seed: int,
        removal_delay: float,
        crash_detection_delay: float,
        start_delay: float,
        update_interval: float,
        rejection_share: float,
    ) -> None:
        """Follow the fleet's changes.

        Args:
            tasks: runs what is published later.
            network: of the host that discovery runs on.
            address: where it listens.
            fleet: whose servers it shows.
            record: takes what each proxy was sent.
            seed: of its random draws.
            removal_delay: mean seconds until a drain or removal shows.
            crash_detection_delay: mean seconds until it shows that a server has died.
            start_delay: mean seconds until a started server shows.
            update_interval: least seconds between updates on one watch.
            rejection_share: share of the calls that are rejected, from 0 to 1.
        """
        self.tasks = tasks
        self.network = network
        self.address = address
        self.record = record
        self.random = Random(seed).random
        self.removal_delay = removal_delay
        self.crash_detection_delay = crash_detection_delay
        self.start_delay = start_delay
        self.update_interval = update_interval
        self.rejection_share = rejection_share
        self.added_delay = 0.0
        self.is_down = False
        self.revision = 1
        self.endpoints: dict[str, EmulatedEndpoint] = {}
        self.changes: list[tuple[int, EmulatedEndpoint]] = []
        self.published = anyio.Event()
        fleet.on_change = self.schedule_change

    # Changes

    def schedule_change(self, machine: Machine, silent: bool) -> None:
        """Publish some time later that a machine has started, drains, has ended or, if `silent`, has died."""
        server = machine.server
        if server is None:
            return
        state, delay = self._state_and_delay(machine)
        endpoint = EmulatedEndpoint(
            server_id=machine.address,
            zone=machine.zone,
            cell=machine.cell,
            build=machine.build,
            state=state,
            capacity_hint=round(machine.speed, 3),
            start_id=server.start_id if server.started_at > 0 else None,
            started_at=server.started_at,
        )
        if self.record.now() == 0 or (state == EndpointState.READY and server.started_at <= 0):
            self.publish(endpoint)
            return

        async def publish_later() -> None:
            factor = LEAST_DELAY_FACTOR + DELAY_FACTOR_RANGE * self.random()
            await anyio.sleep(delay * factor + self.added_delay)
            if silent and machine.running:
                return  # it came back before anyone noticed
            self.publish(endpoint)

        self.tasks.start_soon(publish_later)

    def _state_and_delay(self, machine: Machine) -> tuple[EndpointState, float]:
        """Return what is to be shown of the machine and the mean seconds until it shows."""
        if machine.removed:
            return EndpointState.REMOVED, self.removal_delay
        if machine.draining:
            return EndpointState.DRAINING, self.removal_delay
        if not machine.running:
            return EndpointState.REMOVED, self.crash_detection_delay
        return EndpointState.READY, self.start_delay

    def publish(self, endpoint: EmulatedEndpoint) -> None:
        """Show the endpoint from now on; one that drains does not become ready again."""
        before = self.endpoints.get(endpoint.server_id)
        if (
            before is not None
            and before.state == EndpointState.DRAINING
            and endpoint.state == EndpointState.READY
        ):
            return
        self.revision += 1
        if endpoint.state == EndpointState.REMOVED:
            self.endpoints.pop(endpoint.server_id, None)
        else:
            self.endpoints[endpoint.server_id] = endpoint
        self.changes.append((self.revision, endpoint))
        del self.changes[:-CACHED_CHANGES]
        self.published.set()
        self.published = anyio.Event()

    # Calls

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.network.serve(self.address, self._serve_connection)

    async def _serve_connection(self, stream: Stream) -> None:
        await serve(stream, self._answer)

    async def _answer(self, request: Request, stream: Stream) -> Response:
        if self.is_down:
            return Response(0, failure=InjectedFailure.SILENCE)
        if self.random() < self.rejection_share:
            return Response(503, b"too many calls\n")
        after = int(request.parse_target().query.get("after", "0"))
        host = source_of(stream)
        proxy = self.network.links.names_by_host.get(host, "")
        return Response(200, lines=self._watch(host, proxy, after))

    async def _watch(self, host: str, proxy: str, after: int) -> AsyncIterator[bytes]:
        """Yield the lines of one watch by a proxy that knows the list up to the revision `after`."""
        sent = after
        await self.network.wait_until_reachable(host)
        if sent <= 0 or sent > self.revision or (self.changes and self.changes[0][0] > sent + 1):
            sent = self.revision
            yield self._snapshot(proxy)
        while True:
            await self.network.wait_until_reachable(host)
            changes = [endpoint for revision, endpoint in self.changes if revision > sent]
            if changes:
                if len(changes) < self.revision - sent:  # some are no longer cached
                    yield self._snapshot(proxy)
                else:
                    yield self._message(proxy, changes, EndpointMessageKind.UPDATE)
                sent = self.revision
                await anyio.sleep(self.update_interval)
                continue
            with anyio.move_on_after(HEARTBEAT_SECONDS):
                await self.published.wait()
                continue
            if self.is_down:
                return
            yield HEARTBEAT_LINE

    def _snapshot(self, proxy: str) -> bytes:
        return self._message(proxy, self.endpoints.values(), EndpointMessageKind.SNAPSHOT)

    def _message(self, proxy: str, endpoints: Iterable[EmulatedEndpoint], kind: EndpointMessageKind) -> bytes:
        """Return the line that tells a proxy of these endpoints, and put it into the record."""
        now = self.record.now()
        entries = [_entry(endpoint, now) for endpoint in endpoints]
        shown = {entry.server_id: [entry.state, entry.build] for entry in entries}
        self.record.note_event(RecordEvent.ENDPOINTS_SENT, proxy=proxy, kind=kind, endpoints=shown)
        message = _EndpointMessage(kind=kind, revision=self.revision, endpoints=entries)
        return msgspec.json.encode(message) + b"\n"


def _entry(endpoint: EmulatedEndpoint, now: float) -> _EndpointEntry:
    return _EndpointEntry(
        endpoint.server_id,
        endpoint.zone,
        endpoint.cell,
        endpoint.build,
        endpoint.state,
        endpoint.capacity_hint,
        endpoint.start_id,
        None if endpoint.start_id is None else round(now - endpoint.started_at, 4),
    )
