"""Connections that a server holds from all proxies that know it.

The upstream is the one that `run` uses, in memory and virtual time, as the count depends on rates and idle
times only.
"""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from statistics import fmean

import anyio
import trio.testing
from anyio.abc import TaskGroup

from gullmount.net import STREAM_ERRORS, MemoryNet, Stream
from gullmount.platform.configuration import read_configuration
from gullmount.platform.http_adapter import PlatformAdapter
from gullmount.proxy.buffered_upstream import BufferedUpstream
from gullmount.proxy.messages import RequestHead, Response
from gullmount.proxy.outcomes import AttemptEnd
from gullmount.proxy.request_exchange import RequestExchange
from gullmount.proxy.runtime import read_clock
from gullmount.proxy.timers import Timers
from gullmount.scale.slopes.configuration_file import encode_configuration, written_to_file
from gullmount.scale.slopes.errors import FailedTrafficError
from gullmount.scale.slopes.measurement import Measurement

SERVER_ID, ADDRESS = "box", "127.0.0.1:8200"
REQUESTS_PER_SECOND = 20.0  # at a server at the peak: the target's
LATENCY_SECONDS = 0.05  # of the server's responses
TIMEOUT_SECONDS = 1.0
SETTLE_SECONDS = 40.0  # before the count: idle connections are closed after 15
COUNT_SECONDS = 20.0
COUNT_INTERVAL_SECONDS = 0.25
SEEDS = 3
MIN_ANSWERED_SHARE = 0.99  # of the requests: else it is not traffic that is measured
MAX_CONNECTIONS = 1024  # of a proxy, as the platform's limits have them
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class OneServer:
    """Proxies before one server; each request comes to any of them at random.

    Attributes:
        open_connections: at the server.
    """

    def __init__(self, proxies: int, seed: int) -> None:
        self.proxies = proxies
        self.random = Random(seed)
        self.net = MemoryNet()
        self.open_connections = 0
        self.sent = 0
        self.answered = 0

    async def _serve(self, stream: Stream) -> None:
        self.open_connections += 1
        try:
            while True:
                await stream.receive()
                await anyio.sleep(LATENCY_SECONDS)
                await stream.send(RESPONSE)
        except STREAM_ERRORS:
            pass
        finally:
            self.open_connections -= 1

    def _attempt_ended(
        self, _exchange: RequestExchange, _number: int, end: AttemptEnd, _response: Response | None, _: float
    ) -> None:
        self.answered += end is AttemptEnd.RESPONSE_COMPLETE

    def _start_upstream(self, tasks: TaskGroup) -> BufferedUpstream:
        with written_to_file(encode_configuration(1)) as path:
            configuration = read_configuration({"PROXY_CONFIG": str(path)})
        adapter = PlatformAdapter(configuration.instance, configuration.sockets, MAX_CONNECTIONS, read_clock)
        adapter.addresses[SERVER_ID] = ADDRESS
        timers = Timers(read_clock)
        upstream = BufferedUpstream(
            adapter, self.net, tasks, timers, self._attempt_ended, lambda _exchange, _number: True
        )
        tasks.start_soon(timers.run)
        tasks.start_soon(upstream.sweep)
        return upstream

    async def _send_requests(self, upstreams: list[BufferedUpstream]) -> None:
        while True:
            await anyio.sleep(self.random.expovariate(REQUESTS_PER_SECOND))
            self.sent += 1
            head = RequestHead(b"GET", b"/route", [(b"host", b"x")])
            exchange = RequestExchange(f"r{self.sent}", head, b"", read_clock() + TIMEOUT_SECONDS)
            self.random.choice(upstreams).start_attempt(exchange, 0, SERVER_ID, TIMEOUT_SECONDS)

    async def mean_connections(self) -> float:
        """Return the mean number of open connections.

        Raises:
            FailedTrafficError: if requests fail.
        """
        counts = []
        async with anyio.create_task_group() as tasks:
            self.net.task_group = tasks
            listening = anyio.Event()
            tasks.start_soon(self.net.serve, ADDRESS, self._serve, listening)
            await listening.wait()
            upstreams = [self._start_upstream(tasks) for _ in range(self.proxies)]
            tasks.start_soon(self._send_requests, upstreams)
            await anyio.sleep(SETTLE_SECONDS)
            for _ in range(round(COUNT_SECONDS / COUNT_INTERVAL_SECONDS)):
                await anyio.sleep(COUNT_INTERVAL_SECONDS)
                counts.append(self.open_connections)
            tasks.cancel_scope.cancel()
        if self.answered < MIN_ANSWERED_SHARE * (self.sent - REQUESTS_PER_SECOND * TIMEOUT_SECONDS):
            raise FailedTrafficError(self.answered, self.sent)
        return fmean(counts)


def _connections_over_proxies(proxies: float) -> Iterator[float]:
    """Yield one sample for each seed."""
    for seed in range(SEEDS):
        clock = trio.testing.MockClock(autojump_threshold=0)
        server = OneServer(round(proxies), seed)
        yield anyio.run(server.mean_connections, backend="trio", backend_options={"clock": clock})


MEASUREMENTS = (
    Measurement(
        "box-connections",
        "connections at a box that gets 20 reqs a second, by chance from any umpire before it (virtual time)",
        "umpires before the box",
        "connections",
        (1.0, 11.0, 53.0, 250.0, 1000.0, 7300.0),
        _connections_over_proxies,
    ),
)
