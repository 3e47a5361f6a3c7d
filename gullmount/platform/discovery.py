"""The list of boxes: a watch over HTTP, opened when the module asks, re-armed at once while it is answered.

A list that cannot be read ends the watch, and the list in hand stays. The module says when to ask again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from gullmount.interface import BoxState, Listed, ListKind
from gullmount.net import BROKEN, Net, Stream
from gullmount.net.types import split
from gullmount.platform.entrance import PlatformEntrance
from gullmount.platform.watched import Spoilt, Watched
from gullmount.umpire.host import DirectHost
from gullmount.umpire.messages import Answer
from gullmount.umpire.wire import AnswerReader, End, Fault

WAIT = 3.0  # s a watch may wait: what a lost answer would have told counts as told 2 s after that
SLACK = 1.0  # s beyond that after which a watch is given up as silent
CONNECT_WITHIN = 0.8  # s; also what a connection of another kind that never comes up may take of those 2 s
CALLS_MORE = 2  # after a watch that fell silent: one at once, one more if that fails
AGAIN = 0.1, 0.3  # s between those two, by chance between these
HEAD_MOST = 8192  # bytes of an answer's head
ANSWER_MOST = 1 << 20  # bytes of a list: some five thousand boxes
SIZE_MOST = 1e9  # of a box, against the others
SIZE_LEAST = 1e-9  # below it a box counts as one of no told size, as with 0: the module divides by it
OK = 200

STATES = {"ready": BoxState.READY, "draining": BoxState.DRAINING, "gone": BoxState.GONE}


class Silent(Spoilt):
    """The watch neither answers nor ends."""


class Entry(msgspec.Struct):
    """One box as discovery writes it."""

    id: str
    host_port: str
    locality: str
    cell: int
    phase: str
    version_no: int
    size: float = 1.0
    up_since_ms: float | None = 0


class Page(msgspec.Struct):
    revision: int
    complete: bool
    members: list[Entry]


class Discovery(Watched):
    """Lives as long as the instance. `wall` is the clock of `up_since_ms`, in seconds."""

    def __init__(
        self,
        host: DirectHost,
        entrance: PlatformEntrance,
        net: Net,
        address: str,
        wall: Callable[[], float],
    ) -> None:
        self.host = host
        self.entrance = entrance
        self.net = net
        super().__init__(address)
        self.revision = 0
        self.first = anyio.Event()  # what was asked first was answered, or failed
        self.calls = 0  # made so far; the number names a call in the log
        self.calls_more = 0  # that a silence still allows
        self.ahead = host.now() - wall()  # of the wall clock: taken once, so that a start stays the same
        self.processes: dict[str, tuple[str, int, float]] = {}  # which process stands at a box's id

    def believe(self, known: dict[str, Any]) -> None:
        """Begin from the list as it was last had. Raises Spoilt."""
        try:
            page = msgspec.convert(known, type=Page)
        except msgspec.ValidationError as fault:
            raise Spoilt(str(fault)) from None
        self.hear(page, ListKind.REMEMBERED)

    def ask(self) -> None:
        if self.scope is None:
            self.scope = anyio.CancelScope()
            self.host.tasks.start_soon(self.watch)

    def move(self, address: str) -> None:
        """The other service may count its revisions in its own way: it is asked for all, at once."""
        if address != self.address:
            self.revision = 0
        super().move(address)
        self.ask()

    async def watch(self) -> None:
        """Until it breaks; a move begins it anew, also one that crosses the break."""
        while True:
            self.scope = scope = anyio.CancelScope()
            with scope:
                await self.watch_on()
            if not scope.cancel_called:
                break
            self.revision = 0  # also where an answer of the old service was heard as it moved
        self.scope = None
        self.first.set()
        self.host.umpire.listed(ListKind.REFUSED, [])

    async def watch_on(self) -> None:
        """Until it breaks. A watch that fell silent is opened anew at once, and once more if that fails.

        Guards against the clock of what it missed: that counts as told 6 s after it fell silent, of which the
        silence takes up to 4, and the module's next call would come 1 to 3 s later.
        """
        while True:
            try:
                while True:
                    await self.watch_at(self.address)
            except (Spoilt, Fault, TimeoutError, *BROKEN) as fault:
                why = f"{type(fault).__name__} {fault}"
                self.host.write_log("watch ended", call=self.calls, revision=self.revision, why=why)
                self.calls_more = CALLS_MORE if isinstance(fault, Silent) else self.calls_more - 1
            if self.calls_more <= 0:
                return
            if self.calls_more < CALLS_MORE:
                await anyio.sleep(self.host.random.uniform(*AGAIN))

    async def watch_at(self, address: str) -> None:
        """Until the connection may not be used again after a good answer; then another is opened at once."""
        with anyio.fail_after(CONNECT_WITHIN):
            stream = await self.net.connect(address)
        try:
            kept = True
            while kept:
                with anyio.move_on_after(WAIT + SLACK) as scope:
                    data, kept = await self.call(stream, address)
                if scope.cancelled_caught:
                    raise Silent("no answer")
                try:
                    page = msgspec.json.decode(data, type=Page)
                except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
                    raise Spoilt(str(fault)) from None
                self.hear(page, ListKind.FULL if page.complete else ListKind.CHANGES)
        finally:
            await anyio.aclose_forcefully(stream)

    async def call(self, stream: Stream, address: str) -> tuple[bytes, bool]:
        """One call on the watch's connection: the body, and whether the connection may carry another.

        Guards against what stands behind a good answer: it would be taken for the next one. Raises Spoilt,
        Fault or what a broken stream does.
        """
        self.calls += 1
        began = self.host.now()
        self.host.write_log("discovery call", call=self.calls, after=self.revision, wait=WAIT)
        target = f"/v1/servers?after={self.revision}&wait_ms={round(WAIT * 1000)}"
        await stream.send(f"GET {target} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
        reader = AnswerReader(HEAD_MOST, "GET")
        body: list[bytes] = []
        size = 0
        while True:
            while not reader.parts:
                if reader.fault is not None:
                    raise reader.fault
                reader.feed(await stream.receive())
            part = reader.parts.popleft()
            if isinstance(part, Answer) and part.status >= OK:
                if part.status != OK:
                    raise Spoilt(f"status {part.status}")
            elif isinstance(part, bytes):
                size += len(part)
                if size > ANSWER_MOST:
                    raise Spoilt("list too long")
                body.append(part)
            elif isinstance(part, End):
                took = round(self.host.now() - began, 3)
                self.host.write_log("discovery answer", call=self.calls, took=took, size=size)
                return b"".join(body), reader.keep and reader.fault is None and not reader.parts

    def hear(self, page: Page, kind: ListKind) -> None:
        lines = [self.listed(entry) for entry in page.members]
        told = {"held": self.revision, "revision": page.revision, "entries": len(lines)}
        self.host.write_log("list", kind=kind.value, call=self.calls, **told)
        for entry, line in zip(page.members, lines, strict=True):
            process = entry.host_port, line.build, line.started
            if self.processes.get(line.box, process) != process or line.state is not BoxState.READY:
                self.host.upstream.forget(line.box)
            if line.state is BoxState.GONE:
                self.processes.pop(line.box, None)
                self.entrance.addresses.pop(line.box, None)
            else:
                self.processes[line.box] = process
                self.entrance.addresses[line.box] = entry.host_port
        if kind is not ListKind.CHANGES:
            named = {line.box for line in lines}
            for box in [box for box in self.processes if box not in named]:
                self.host.upstream.forget(box)
                del self.processes[box], self.entrance.addresses[box]
        # A lower one: the service counts anew, and knows nothing of what we hold. It is asked for all.
        back = kind is ListKind.CHANGES and page.revision < self.revision
        self.revision = 0 if back else page.revision
        self.host.umpire.listed(kind, lines)
        if kind is not ListKind.REMEMBERED:
            self.calls_more = 0
            self.first.set()

    def listed(self, entry: Entry) -> Listed:
        if entry.phase not in STATES:
            raise Spoilt("field phase has no such value")
        if not 0 <= entry.size <= SIZE_MOST:
            raise Spoilt("field size is out of range")
        try:
            split(entry.host_port)
        except ValueError as fault:
            raise Spoilt(f"field host_port: {fault}") from None
        started = entry.up_since_ms / 1000 + self.ahead if entry.up_since_ms else 0.0
        return Listed(
            box=entry.id,
            zone=entry.locality,
            cell=entry.cell,
            build=entry.version_no,
            state=STATES[entry.phase],
            power=entry.size if entry.size >= SIZE_LEAST else 0.0,
            started=started,
        )
