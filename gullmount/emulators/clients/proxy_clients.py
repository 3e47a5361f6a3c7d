"""All clients of one proxy."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass
from itertools import accumulate
from math import log, sqrt
from random import Random
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators import headers
from gullmount.emulators.clients.behaviour import (
    ABUSIVE_BACKOFF_SECONDS,
    IMPATIENT_TIMEOUT_SHARE,
    MAX_ATTEMPTS,
    SHORTEST_ATTEMPT_SECONDS,
    ClientFaults,
    ClientOutcome,
    ClientRoute,
    ClientSettings,
    KeyDistribution,
    RetrySafety,
)
from gullmount.emulators.clients.client_connection import ClientConnection, ClientResponse, Headers
from gullmount.emulators.links import HostNetwork
from gullmount.emulators.record import SECONDS_DIGITS, Record, RecordEvent
from gullmount.net import STREAM_ERRORS

HOST_HEADER = ("host", "exam")
ARRIVAL_STEP_SECONDS = 0.02  # between looks at the rate, which faults change
IDLE_TIMEOUT_SECONDS = 20.0  # after which a client closes a connection, well before a proxy does
MAX_IDLE_CONNECTIONS = 32
LISTENING_ON_SECONDS = 0.5  # after a timeout, so that a response that comes late is seen as late
UNEXPECTED_BYTES_WAIT_SECONDS = 0.05  # after a response, at times, for what must not come
UNEXPECTED_BYTES_WAIT_SHARE = 0.05  # of the responses after which a client waits for it


@dataclass(frozen=True)
class ClientRequest:
    """A request of a client, with all its attempts.

    Attributes:
        name: of the request; it is the idempotency key too.
        route: it is for.
        key: the affinity key, if any.
        work: seconds of one core's time.
        timeout: seconds that the client waits for an attempt.
        begun_at: seconds on the record's clock.
    """

    name: str
    route: ClientRoute
    key: str | None
    work: float
    timeout: float
    begun_at: float

    def headers(self, request_id: str, timeout: float) -> Headers:
        """Return the headers of an attempt that the client waits for `timeout` seconds for."""
        fields = [
            HOST_HEADER,
            (headers.REQUEST_ID, request_id),
            (headers.ROUTE, self.route.name),
            (headers.WORK, f"{self.work:.6f}"),
            (headers.TIMEOUT, str(int(timeout * 1000))),
        ]
        if self.key is not None:
            fields.append((headers.AFFINITY_KEY, self.key))
        if self.route.retry_safety == RetrySafety.DEDUPLICATED:
            fields.append((headers.IDEMPOTENCY_KEY, self.name))
        return fields


class AttemptEnd(NamedTuple):
    """How an attempt ended for the client; `retry_after` is in seconds, 0 where there is none."""

    outcome: str
    retry_after: float = 0.0


class ProxyClients:
    """All clients of one proxy.

    Attributes:
        in_flight: requests that have begun and not ended.
        idle_connections: open connections, each with the time on the record's clock since when it is idle.
    """

    def __init__(
        self,
        proxy_number: int,
        address: str,
        network: HostNetwork,
        record: Record,
        tasks: TaskGroup,
        settings: ClientSettings,
        routes: list[ClientRoute],
        keys: KeyDistribution | None,
        seed: int,
        arrival_rate: Callable[[int], float],
        work_multiple: Callable[[str], float],
        faults: ClientFaults,
    ) -> None:
        """Make clients that send nothing yet.

        Args:
            proxy_number: of the proxy.
            address: of the proxy.
            network: of the clients' host.
            record: takes what clients see.
            tasks: runs their requests.
            settings: of all clients.
            routes: what they call.
            keys: draws affinity keys; requests have none without it.
            seed: of their random draws.
            arrival_rate: returns the requests a second that now begin at a proxy of this number.
            work_multiple: returns how many times the usual work the next request of a route is.
            faults: of all clients.
        """
        self._proxy_number = proxy_number
        self._address = address
        self._network = network
        self._record = record
        self._tasks = tasks
        self._settings = settings
        self._routes = routes
        self._share_sums = list(accumulate(route.share for route in routes))
        self._keys = keys
        self._random = Random(seed)
        self._arrival_rate = arrival_rate
        self._work_multiple = work_multiple
        self._faults = faults
        self._request_count = 0
        self.idle_connections: list[tuple[ClientConnection, float]] = []
        self.in_flight = 0

    async def run(self, until: float) -> None:
        """Begin requests at the proxy's rate until then, in seconds on the record's clock."""
        due = 0.0
        while self._record.now() < until:
            due += ARRIVAL_STEP_SECONDS * self._arrival_rate(self._proxy_number)
            while due > 0:
                due -= -log(1 - self._random.random())
                self._request_count += 1
                self._tasks.start_soon(self._run_request, f"{self._proxy_number}.{self._request_count}")
            await anyio.sleep(ARRIVAL_STEP_SECONDS)

    async def close(self) -> None:
        """Close the idle connections."""
        idle, self.idle_connections = self.idle_connections, []
        for connection, _ in idle:
            await connection.close()

    # Requests

    def _draw_request(self, name: str) -> ClientRequest:
        route = self._routes[bisect(self._share_sums, self._random.random() * self._share_sums[-1])]
        key = self._keys.draw() if self._keys is not None else None
        deviation = sqrt(log(1 + route.spread**2))
        work = route.work * self._random.lognormvariate(-(deviation**2) / 2, deviation)
        work *= self._work_multiple(route.name)
        impatient = self._random.random() < self._settings.impatient_share
        share = IMPATIENT_TIMEOUT_SHARE if impatient else self._settings.timeout_share
        timeout = route.timeout * share * (1 - self._faults.lost_patience_share)
        return ClientRequest(name, route, key, work, timeout, self._record.now())

    async def _run_request(self, name: str) -> None:
        request = self._draw_request(name)
        self._record.note_event(
            RecordEvent.REQUEST_BEGUN,
            first_request_id=name,
            proxy=self._proxy_number,
            route=request.route.name,
        )
        self.in_flight += 1
        try:
            await self._send_attempts(request)
        finally:
            self.in_flight -= 1
        self._record.note_event(RecordEvent.REQUEST_ENDED, first_request_id=name, proxy=self._proxy_number)

    async def _send_attempts(self, request: ClientRequest) -> None:
        """Send the request until it succeeds or may not be sent again."""
        for number in range(MAX_ATTEMPTS):
            if number > self._settings.max_retries and not self._faults.retries_without_end:
                return
            left = request.route.timeout - (self._record.now() - request.begun_at)
            if left < SHORTEST_ATTEMPT_SECONDS:
                return
            end = await self._send_attempt(request, number, min(request.timeout, left))
            if end.outcome in (ClientOutcome.COMPLETED, ClientOutcome.WRONG):
                return
            if not request.route.may_retry(end.outcome, self._record.now() - request.begun_at):
                return
            if number < self._settings.max_retries or self._faults.retries_without_end:
                await anyio.sleep(self._wait_before_retry(number, end.retry_after))

    def _wait_before_retry(self, retries: int, retry_after: float) -> float:
        if self._faults.retries_without_end:
            return ABUSIVE_BACKOFF_SECONDS
        return self._settings.wait_before_retry(retries, retry_after, self._random)

    # Attempts

    async def _send_attempt(self, request: ClientRequest, number: int, timeout: float) -> AttemptEnd:
        """Send the request to the proxy once."""
        request_id = f"{request.name}.{number}"
        sent_at = self._record.now()
        self._record.note_event(
            RecordEvent.ATTEMPT_SENT,
            request_id=request_id,
            proxy=self._proxy_number,
            route=request.route.name,
            key=request.key,
            timeout=round(timeout, SECONDS_DIGITS),
            first_request_id=request.name,
        )
        connection: ClientConnection | None = None
        response = None
        with anyio.move_on_after(timeout + LISTENING_ON_SECONDS) as scope:
            try:
                connection = await self._connection()
            except OSError:
                self._note_end(request_id, ClientOutcome.UNREACHED)
                return AttemptEnd(ClientOutcome.UNREACHED)
            response = await connection.exchange(
                request.route.method, request.route.path, request.headers(request_id, timeout)
            )
        latency = round(self._record.now() - sent_at, SECONDS_DIGITS)
        if response is None or connection is None:
            # Where the proxy died or never answered the client only knows that nothing came.
            outcome = ClientOutcome.TIMED_OUT if scope.cancelled_caught else ClientOutcome.BROKEN
            self._note_end(request_id, outcome, latency=latency)
            if connection is not None:
                await connection.close()
            return AttemptEnd(outcome)
        end = self._note_response(request_id, response, latency)
        await self._release(request_id, connection)
        return end

    def _note_end(self, request_id: str, outcome: str, **fields: float | bool) -> None:
        self._record.note_event(
            RecordEvent.RESPONSE_RECEIVED,
            request_id=request_id,
            proxy=self._proxy_number,
            outcome=outcome,
            **fields,
        )

    def _note_response(self, request_id: str, response: ClientResponse, latency: float) -> AttemptEnd:
        fields = response.headers
        outcome = fields.get(headers.OUTCOME, f"unsaid {response.status}")
        self._note_end(
            request_id,
            outcome,
            status=response.status,
            latency=latency,
            build=int(fields.get(headers.BUILD, "0")),
            **({"wrong": True} if fields.get(headers.WRONG_RESPONSE) == "1" else {}),
        )
        return AttemptEnd(outcome, float(fields.get(headers.RETRY_AFTER, "0")) / 1000)

    # Connections

    async def _connection(self) -> ClientConnection:
        """Return the connection used last, or a new one. Raises OSError."""
        while self.idle_connections:
            connection, since = self.idle_connections.pop()
            if self._record.now() - since < IDLE_TIMEOUT_SECONDS:
                return connection
            await connection.close()
        return ClientConnection(await self._network.connect(self._address))

    async def _release(self, request_id: str, connection: ClientConnection) -> None:
        """Look for bytes behind the response, at times wait a little for them; then reuse or close."""
        unexpected = connection.unexpected_bytes()
        if not unexpected and self._random.random() < UNEXPECTED_BYTES_WAIT_SHARE:
            with anyio.move_on_after(UNEXPECTED_BYTES_WAIT_SECONDS):
                try:
                    unexpected = await connection.receive()
                except STREAM_ERRORS:
                    await connection.close()
                    return
        if unexpected:
            self._record.note_event(
                RecordEvent.UNEXPECTED_BYTES,
                request_id=request_id,
                proxy=self._proxy_number,
                bytes=len(unexpected),
            )
        elif connection.start_next_request() and len(self.idle_connections) < MAX_IDLE_CONNECTIONS:
            self.idle_connections.append((connection, self._record.now()))
            return
        await connection.close()
