"""The program around one decision module: sockets and timers in, what the module asks for out. Decides
nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from random import Random

import anyio
from anyio.abc import TaskGroup

from gullmount.blame import Finding
from gullmount.interface import Outcome, Verdict
from gullmount.net import Net
from gullmount.policy import Umpire
from gullmount.state import Req
from gullmount.umpire.exchange import Exchange
from gullmount.umpire.messages import Head, error_answer, key_of, patience_of, shed_answer
from gullmount.umpire.outcomes import Ending, outcome_of
from gullmount.umpire.terms import ONCE, RouteTerms, UmpireTerms
from gullmount.umpire.upstream import Upstream

LONG_AGO = 1e6  # s added to the clock, so that a box of which no start is told is older than any warm-up

Log = Callable[..., None]
Votes = Callable[[int, int, Verdict], None]
Tells = Callable[[int, int, int, Verdict], None]


def read_clock() -> float:
    """Seconds; the event loop's own clock, so that it is virtual where the loop's is."""
    return anyio.current_time() + LONG_AGO


class SocketHost:
    """Implements `gullmount.interface.Host`; lives as long as the instance."""

    def __init__(
        self, terms: UmpireTerms, net: Net, tasks: TaskGroup, seed: int, restarted: bool, log: Log
    ) -> None:
        self.terms = terms
        self.tasks = tasks
        self.write_log = log
        self.random = Random(seed)  # of the host: only waits before asking again
        self.stopping = False
        self.exchanges: dict[str, Exchange] = {}
        self.emptied = anyio.Event()
        self.count = 0
        self.routes = [(route, route.match.pattern()) for route in terms.routes]
        self.upstream = Upstream(terms.boxes, net, tasks, terms.number)
        self.on_vote: Votes | None = None
        self.on_tell: Tells | None = None
        self.on_subscribe: Callable[[], None] | None = None
        self.wants_list = False  # asked for before there was anyone to ask
        self.prefix = f"{terms.number}-{self.random.getrandbits(32):08x}"
        self.umpire = Umpire(self, terms.grounds(seed, restarted))
        if self.umpire.inquest is not None:
            self.umpire.inquest.on_finding = self.log_finding

    # What the module asks

    def now(self) -> float:
        return read_clock()

    def send(self, req: str, box: str, patience: float) -> None:
        exchange = self.exchanges[req]
        number = exchange.tries
        exchange.tries += 1
        exchange.open += 1
        self.tasks.start_soon(self.carry, exchange, number, box, patience)

    def shed(self, req: str, retry_after: float) -> None:
        self.exchanges[req].settle(shed_answer(retry_after))

    def error(self, req: str) -> None:
        exchange = self.exchanges[req]
        exchange.settle(exchange.failure or error_answer(502))

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        self.tasks.start_soon(self.wait_and_call, delay, callback)

    def vote(self, build: int, stage: int, verdict: Verdict) -> None:
        if self.on_vote is not None:
            self.on_vote(build, stage, verdict)

    def tell(self, peer: int, build: int, stage: int, verdict: Verdict) -> None:
        if self.on_tell is not None:
            self.on_tell(peer, build, stage, verdict)

    def subscribe(self) -> None:
        if self.on_subscribe is not None:
            self.on_subscribe()
        else:
            self.wants_list = True

    def log(self, text: str) -> None:
        self.write_log("judge", said=text)

    def log_finding(self, found: Finding) -> None:
        told = asdict(found) | {"cause": found.cause.value, "sure": round(found.sure, 6)}
        self.write_log("blame", **told)

    # Reqs

    def route_of(self, head: Head) -> RouteTerms | None:
        """The first route whose method, path and headers the req matches."""
        for route, pattern in self.routes:
            match = route.match
            if match.method and head.method not in match.method:
                continue
            if not pattern.fullmatch(head.target):
                continue
            if all(head.get(name) == value for name, value in match.headers.items()):
                return route
        return None

    def exchange(self, head: Head, body: bytes, arrived: float, route: RouteTerms) -> Exchange:
        clients = self.terms.clients
        patience = patience_of(head, clients.patience_header, route.timeout)
        self.count += 1
        made = Exchange(f"{self.prefix}-{self.count}", head, body, arrived + patience - clients.margin)
        made.stream = route.stream
        return made

    def take(self, exchange: Exchange, route: RouteTerms, once: bool) -> None:
        """Give the req to the module: as one that goes out once only if its body or its mark is missing."""
        unmarked = route.dedupe_mark is not None and exchange.head.get(route.dedupe_mark) is None
        name = route.name + ONCE if once or unmarked else route.name
        self.exchanges[exchange.id] = exchange
        exchange.req = req = self.umpire.take(
            exchange.id, name, exchange.give_up, key_of(exchange.head, self.terms.key)
        )
        if exchange.settled and not req.open_tries:
            self.drop(exchange)

    async def carry(self, exchange: Exchange, number: int, box: str, patience: float) -> None:
        """One upstream try, from its first byte to the module's hearing of its end."""
        sent = self.now()
        ending, answer = await self.upstream.attempt(exchange, number, box, patience)
        not_begun = answer is not None and self.upstream.not_begun(answer.headers)
        outcome = outcome_of(ending, answer.status if answer else 0, not_begun)
        exchange.open -= 1
        if outcome is Outcome.COMPLETED and answer is not None:
            exchange.settle(answer)
        elif outcome is Outcome.ERROR and answer is not None and ending is Ending.ANSWERED:
            answer.word = b"errored"
            exchange.failure = answer
        elif outcome is Outcome.TIMEOUT:
            exchange.failure = error_answer(504)
        req = exchange.req
        assert isinstance(req, Req)
        req.ended(number, outcome, self.now() - sent, exchange.settled)
        if exchange.settled and not exchange.open:
            self.drop(exchange)

    def drop(self, exchange: Exchange) -> None:
        self.exchanges.pop(exchange.id, None)
        if not self.exchanges:
            self.emptied.set()

    async def wait_and_call(self, delay: float, callback: Callable[[], None]) -> None:
        await anyio.sleep(delay)
        callback()

    async def settled(self) -> None:
        """Until every taken req has its answer."""
        while self.exchanges:
            self.emptied = anyio.Event()
            await self.emptied.wait()
