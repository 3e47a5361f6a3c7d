"""One umpire on the platform: its tasks, its start, its move to other addresses, its stop."""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from gullmount.net import Net
from gullmount.platform.control import ControlService
from gullmount.platform.discovery import Discovery
from gullmount.platform.entrance import PlatformEntrance
from gullmount.platform.peers import Peers
from gullmount.platform.told import Start, Unreadable, read
from gullmount.platform.watched import Spoilt
from gullmount.umpire.doors import DirectDoors
from gullmount.umpire.host import LONG_AGO, DirectHost, Log, read_clock

COMING = 0.55  # s after SIGTERM in which reqs are still taken: clients come for 0.4 s
LATENESS_EVERY = 5.0  # s between notes of how late the loop came
LATE = 0.05  # s from which that is noted: a sixth of a usual objective, which then reads as slowness of boxes


class PlatformUmpire:
    """`serve` it; `move` and `stop` may be called while it serves."""

    def __init__(
        self,
        start: Start,
        net: Net,
        log: Log,
        *,
        wall: Callable[[], float] = time.time,
        clock: Callable[[], float] = read_clock,
    ) -> None:
        self.start = start
        self.clock = clock
        self.net = net
        self.log = log
        self.wall = wall

    async def serve(self, tasks: TaskGroup) -> None:
        """Set up and return once clients are let in; `tasks` hold what goes on."""
        told, terms = self.start.told, self.start.terms
        self.entrance = PlatformEntrance(self.start.grounds, terms, told.limits.sockets, self.clock)
        self.host = host = DirectHost(
            self.entrance, self.start.grounds, self.net, tasks, self.log, self.clock
        )
        self.discovery = Discovery(host, self.entrance, self.net, told.discovery, self.wall)
        self.control = ControlService(host, self.net, told.platform.address, terms.vote_within)
        self.doors = DirectDoors(host, self.net, tasks)
        host.on_vote = self.control.vote
        host.on_subscribe = self.discovery.ask
        try:
            if told.known is not None:
                self.discovery.believe(told.known)
            if told.platform.news is not None:
                self.control.believe(told.platform.news)
        except Spoilt as fault:
            self.log("start not understood", why=str(fault))
        if told.peer_listen is not None and self.start.grounds.may_tell:
            peers = Peers(host, await self.net.datagrams(told.peer_listen), told.peers)
            host.on_tell = peers.tell
            tasks.start_soon(peers.hear)
        self.discovery.ask()
        tasks.start_soon(self.control.watch)
        tasks.start_soon(self.doors.listen, told.listen)
        await self.doors.listening.wait()
        tasks.start_soon(self.note_lateness)
        self.log("listening", address=told.listen)

    async def note_lateness(self) -> None:
        while True:
            await anyio.sleep(LATENESS_EVERY)
            latest = self.host.timers.take_latest()
            if latest > LATE:
                self.log("loop late", most=round(latest, 3))

    def move(self, start: Start) -> None:
        """The configuration was replaced: only addresses move, the settings stay those of the start."""
        self.discovery.move(start.told.discovery)
        self.control.move(start.told.platform.address)

    async def stop(self) -> None:
        await self.doors.stop(COMING)


def monotonic() -> float:
    """Seconds of the system's clock: the loop's own stands still while it works through what came."""
    return time.monotonic() + LONG_AGO


async def run(start: Start, net: Net, log: Log) -> None:
    """Until SIGTERM or SIGINT; SIGHUP reads the configuration again."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with anyio.create_task_group() as tasks:
            umpire = PlatformUmpire(start, net, log, clock=monotonic)
            await umpire.serve(tasks)
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                try:
                    umpire.move(read(os.environ))
                    log("configuration read again")
                except Unreadable as fault:
                    log("configuration not understood", why=str(fault))
            await umpire.stop()
            tasks.cancel_scope.cancel()
