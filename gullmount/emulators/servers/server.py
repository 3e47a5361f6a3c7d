"""The emulator of a server: cores, a queue, a cold start, overload, deduplication, drains and bad builds."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import anyio

from gullmount.emulators import headers
from gullmount.emulators.links import HostNetwork, source_of
from gullmount.emulators.record import RecordEvent
from gullmount.emulators.servers.build_defects import BuildDefect
from gullmount.emulators.servers.capacity import WARM_STARTED_AT, ServerCapacity, ServerSettings
from gullmount.emulators.servers.environment import ServerEnvironment
from gullmount.net import STREAM_ERRORS, Stream
from gullmount.rpc import InjectedFailure, Request, Response, serve

HEALTH_CHECK_PATH = "/healthz"
LOAD_REPORT_WINDOW_SECONDS = 1.0  # over which the requests a second of a load report are counted
DEFAULT_WORK_SECONDS = 0.01  # where an attempt does not say how much work it is
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
DEDUPLICATED_ANSWER_SECONDS = 0.001  # that the answer to a duplicate takes


class CancellationMode(StrEnum):
    """What ends when a proxy closes the connection of an attempt."""

    NONE = "none"
    QUEUED = "queued"
    ALL = "all"


@dataclass(frozen=True)
class AttemptHead:
    """What the headers of an attempt say; `work` is in seconds of one core's time."""

    request_id: str
    route: str
    idempotency_key: str
    work: float

    @classmethod
    def parse(cls, fields: Mapping[str, str]) -> AttemptHead:
        """Return what headers by lower-case name say. Raises ValueError where the work is no number."""
        return cls(
            request_id=fields.get(headers.REQUEST_ID, ""),
            route=fields.get(headers.ROUTE, ""),
            idempotency_key=fields.get(headers.IDEMPOTENCY_KEY, ""),
            work=float(fields.get(headers.WORK, DEFAULT_WORK_SECONDS)),
        )


class EmulatedServer:
    """A server's process; a restart is a new one at the same address.

    Attributes:
        started_at: seconds on the record's clock.
        start_id: names the process.
        is_up: whether it listens.
        stolen_cpu_share: share of the machine that another program takes, from 0 to 1.
        lost_response_share: share of the responses that are lost, from 0 to 1.
        lost_response_failure: what happens instead, an `InjectedFailure`.
        fixed_load_report: the load report that it goes on sending, if any.
        slowdown: how many times slower it is.
        fails_health_checks: whether it says so when asked; it serves all the same.
        handshake_slowdown: how many times longer connecting takes.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        cell: int,
        build: int,
        speed: float,
        settings: ServerSettings,
        environment: ServerEnvironment,
        network: HostNetwork,
        cold: bool,
    ) -> None:
        """Make a process that is not running yet.

        Args:
            address: where it listens, and its name.
            zone: where it is.
            cell: where it is within the zone.
            build: which it runs.
            speed: work that a warm core does in a second, but for what the build changes.
            settings: of all servers.
            environment: of all servers.
            network: of its host.
            cold: whether it starts now; else it has been warm since before the scenario.
        """
        self.address = address
        self.zone = zone
        self.cell = cell
        self.build = build
        self.settings = settings
        self.environment = environment
        self.network = network
        self.defect = environment.defects.get(build, BuildDefect()).shown_in(zone)
        self.started_at = environment.record.now() if cold else WARM_STARTED_AT
        self.start_id = f"{address}@{self.started_at:.3f}"
        self.capacity = ServerCapacity(settings, speed * self.defect.speed, self.started_at)
        self.is_up = False
        self.stolen_cpu_share = 0.0
        self.lost_response_share = 0.0
        self.lost_response_failure: str = InjectedFailure.SILENCE
        self.fixed_load_report: str | None = None
        self.slowdown = 1.0
        self.fails_health_checks = False
        self.handshake_slowdown = 1.0
        self._in_flight = 0
        self._queued = 0
        self._connections = 0
        self._cores = anyio.Semaphore(settings.cores, max_value=settings.cores)
        self._recent_attempts: deque[float] = deque()
        self._scope = anyio.CancelScope()

    # The process

    async def run(self, running: anyio.Event | None = None) -> None:
        """Serve until killed; `running` is set once it listens."""
        self.network.links.handshakes[self.address] = self._handshake_seconds
        with self._scope:
            self.is_up = True
            self._note(
                RecordEvent.SERVER_STARTED,
                cold=self.started_at > 0,
                capacity=round(self.settings.cores * self.capacity.speed, 6),
                cores=self.settings.cores,
                cold_capacity=self.settings.cold_capacity,
                warm_up_time=self.settings.warm_up_time,
            )
            try:
                await self.network.serve(self.address, self._serve_connection, running)
            finally:
                self.is_up = False
        self._note(RecordEvent.SERVER_STOPPED)
        await self.network.kill()

    def kill(self) -> None:
        """End the process at once."""
        self._scope.cancel()

    def _note(self, event: RecordEvent, **fields: Any) -> None:
        self.environment.record.note_event(event, server=self.address, build=self.build, **fields)

    def _handshake_seconds(self) -> float:
        """Return the seconds until a connection to it stands: nothing can be sent on it before."""
        return self.settings.handshake_time * self.handshake_slowdown

    def load_report(self, now: float) -> dict[str, str]:
        """Return the header that reports the load."""
        if self.fixed_load_report is not None:
            return {headers.LOAD_REPORT: self.fixed_load_report}
        recent = self._recent_attempts
        while recent and recent[0] < now - LOAD_REPORT_WINDOW_SECONDS:
            recent.popleft()
        report = f"qps={len(recent)};queue={self._queued};inflight={self._in_flight}"
        return {headers.LOAD_REPORT: report}

    # Its attempts

    async def _serve_connection(self, stream: Stream) -> None:
        if self._connections >= self.settings.max_connections:
            await anyio.aclose_forcefully(stream)
            return
        self._connections += 1
        try:
            await serve(stream, self._answer)
        finally:
            self._connections -= 1

    async def _answer(self, request: Request, stream: Stream) -> Response:
        now = self.environment.record.now()
        if request.target == HEALTH_CHECK_PATH:
            return Response(503, b"unwell\n") if self.fails_health_checks else Response(200, b"well\n")
        attempt = AttemptHead.parse(request.headers)
        self._note_received(attempt, source_of(stream))
        self.environment.recent_builds.append((now, self.build))
        self._recent_attempts.append(now)
        if self.capacity.is_overloaded_by(attempt.work, now):
            self._note(RecordEvent.SERVER_OVERLOADED)
            self.kill()
            await anyio.sleep_forever()
        if self._queued >= self.settings.queue_limit:
            self._note(RecordEvent.ATTEMPT_ANSWERED, request_id=attempt.request_id, status=503, begun=False)
            return Response(503, b"full\n", {headers.NOT_BEGUN: "1", **self.load_report(now)})
        self._in_flight += 1
        try:
            if self.settings.cancellation == CancellationMode.NONE:
                status = await self._work(request, attempt)
            else:
                status = await self._work_unless_closed(request, stream, attempt)
        finally:
            self._in_flight -= 1
        return self._response(attempt, status, now)

    def _note_received(self, attempt: AttemptHead, source: str) -> None:
        handed_over_at = self.network.links.handovers.take((source, self.address))
        late = {}
        if handed_over_at is not None:
            late = {"handed_over_at": round(handed_over_at - self.environment.record.started, 6)}
        self._note(
            RecordEvent.ATTEMPT_RECEIVED,
            proxy=self.environment.name_of(source),
            request_id=attempt.request_id,
            route=attempt.route,
            work=attempt.work,
            zone=self.zone,
            cell=self.cell,
            **late,
        )

    def _response(self, attempt: AttemptHead, status: int, received_at: float) -> Response:
        """Return the response to an attempt that ran, or what happens instead."""
        environment = self.environment
        now = environment.record.now()
        if environment.on_attempt is not None:
            environment.on_attempt(
                self.build, attempt.route, status < FIRST_SERVER_ERROR_STATUS, now - received_at
            )
        if self.lost_response_share and environment.random.random() < self.lost_response_share:
            failure = self.lost_response_failure
            self._note(RecordEvent.ANSWER_LOST, request_id=attempt.request_id, failure=failure)
            return Response(0, failure=failure)
        wrong_share = self.defect.wrong_share()
        wrong = {"wrong": True} if wrong_share and environment.random.random() < wrong_share else {}
        self._note(
            RecordEvent.ATTEMPT_ANSWERED, request_id=attempt.request_id, status=status, begun=True, **wrong
        )
        fields = {headers.BUILD: str(self.build), **self.load_report(now)}
        if wrong:
            fields[headers.WRONG_RESPONSE] = "1"
        body = b"ok\n" if status < FIRST_ERROR_STATUS else b"the build fails\n"
        return Response(status, body, fields)

    async def _work_unless_closed(self, request: Request, stream: Stream, attempt: AttemptHead) -> int:
        """Run the attempt until the proxy closes the connection; return the status.

        Raises anyio.BrokenResourceError where that cancelled it.
        """
        status = 500
        async with anyio.create_task_group() as tasks:

            async def cancel_when_closed() -> None:
                try:
                    await stream.receive(1)
                except STREAM_ERRORS:
                    pass
                if self.settings.cancellation == CancellationMode.ALL or not request.work_started:
                    request.cancel_scope.cancel()

            tasks.start_soon(cancel_when_closed)
            with request.cancel_scope:
                status = await self._work(request, attempt)
            tasks.cancel_scope.cancel()
        if request.cancel_scope.cancelled_caught:
            self._note(RecordEvent.ATTEMPT_CANCELLED, request_id=attempt.request_id)
            raise anyio.BrokenResourceError
        return status

    async def _work(self, request: Request, attempt: AttemptHead) -> int:
        """Run the attempt once a core is free; return the status."""
        self._queued += 1
        queued = True
        try:
            async with self._cores:
                self._queued -= 1
                queued = False
                request.work_started = True
                return await self._work_on_core(attempt)
        finally:
            if queued:
                self._queued -= 1

    async def _work_on_core(self, attempt: AttemptHead) -> int:
        environment = self.environment
        now = environment.record.now()
        key, route = attempt.idempotency_key, attempt.route
        scope = environment.deduplication_scope(route, self.zone, self.cell)
        if environment.is_duplicate(route, scope, key, now):
            self._note(RecordEvent.ATTEMPT_DEDUPLICATED, request_id=attempt.request_id, idempotency_key=key)
            await anyio.sleep(DEDUPLICATED_ANSWER_SECONDS)
            return 200
        self._note(RecordEvent.ATTEMPT_STARTED, request_id=attempt.request_id, idempotency_key=key)
        effect = self.defect.effect(
            chance=environment.random.random(),
            error_rate=self.settings.error_rate,
            route=route,
            in_flight=self._in_flight,
            cores=self.settings.cores,
            seconds_up=now - self.started_at,
        )
        await anyio.sleep(attempt.work * effect.slowdown / self._core_rate(now))
        if effect.fails:
            return 500
        if key:
            environment.completed[scope, key] = environment.record.now()
        return 200

    def _core_rate(self, now: float) -> float:
        slowdown = self.environment.shared_slowdown(now) * self.slowdown
        return self.capacity.core_rate(now, self._in_flight, self.stolen_cpu_share, slowdown)
