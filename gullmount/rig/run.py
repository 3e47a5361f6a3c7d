"""Plays a script: umpires and keepers among the stand-ins of a day, every link between them through a
wire."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from gullmount.days.run import BLOCK, Deployment, in_virtual_time
from gullmount.keepers.client import GroupCalls, KeeperCalls, NoKeeper
from gullmount.net import Datagrams, Stream, TcpNet
from gullmount.ownership.lease import state_of
from gullmount.ownership.terms import OwnedUmpireTerms
from gullmount.ownership.umpire import OwningUmpire
from gullmount.rig import stopped
from gullmount.rig.drawn import draw
from gullmount.rig.faults import RECEIVER, Faults
from gullmount.rig.lives import KEEPER_ITSELF, KeeperLife, UmpireHere, UmpireProcess
from gullmount.rig.probers import Prober
from gullmount.rig.terms import RigTerms
from gullmount.rig.wires import Messages, Switch, Wire
from gullmount.standins.links import Line, Party
from gullmount.standins.owners import OwnersStandIn
from gullmount.umpire import UmpireTerms

# Ports by what is reached. Where calls go to, the rig's switch listens; the party itself has another port.
KEEPER, OWNERS, OWNERS_ITSELF, PEER = 7299, 7003, 7004, 7100
WIRE_PEER = 8200  # and the number of the source: datagrams have a socket for each
STARTS = 0.2  # s of a core that a process needs until it serves, by which the clients wait for it
OVERRUN = 60.0  # s beyond its length after which a script on processes is broken off
COMMAND_WITHIN = 2.5  # s for a call that changes the group: a keeper takes 2 for a change
COMMAND = "command 0"  # who changes the group of keepers
BOXES = "boxes"  # the links of one umpire to all of them fail together


class Seat:
    """The network as one host sees it, without links of a day: wires dial and listen from it."""

    def __init__(self, party: Party) -> None:
        self.party = party
        base = party.links.base
        self.net: Any = TcpNet(party.host) if base is None else base

    async def connect(self, address: str) -> Stream:
        if self.party.links.base is None:
            out: Stream = await self.net.connect(address)
        else:
            out = await self.net.connect(address, self.party.host)
        return out

    async def serve(self, address: str, handler: Any, started: anyio.Event | None = None) -> None:
        await self.net.serve(address, handler, started)

    async def datagrams(self, address: str) -> Datagrams:
        out: Datagrams = await self.net.datagrams(address)
        return out


class RigDeployment(Deployment):
    """A script under way."""

    terms: RigTerms

    def __init__(
        self, terms: RigTerms, seed: int, tasks: TaskGroup, virtual: bool, block: str, folder: Path
    ) -> None:
        self.virtual = virtual
        self.folder = folder
        for old in [*folder.glob("keeper-*"), *folder.glob("umpire-*")]:
            shutil.rmtree(old)  # disks of an earlier script would be taken for this one's
        self.life = UmpireHere if virtual else UmpireProcess
        if not virtual:
            self.lead = 2.0 + STARTS * terms.umpires.count
        self.founders = range(1, terms.keepers.count + 1)
        self.chance = Random(seed)
        super().__init__(terms, seed, tasks, virtual, block, self.start_owning)
        self.links.outside = not virtual
        self.links.many = lambda host: BOXES if host.startswith(f"{block}.2.") else host
        last = terms.keepers.count + terms.keepers.spare
        self.keepers = {number: KeeperLife(self, number) for number in range(1, last + 1)}
        self.owners = OwnersStandIn(
            self.seat(RECEIVER), f"{block}.3.3:{OWNERS_ITSELF}", self.record, self.learn
        )
        self.wires: dict[tuple[str, str], Wire] = {}
        self.failing = Faults(self)
        self.faults = list(terms.faults)
        if terms.drawn is not None:
            chance, umpires = Random(seed), terms.umpires.count
            self.faults += draw(chance, terms.drawn, terms.length, umpires, terms.keepers)

    async def learn(self, job: str) -> int | None:
        """The token that the register of a job holds, for a receiver that has just started; None where no
        keeper says."""
        within = self.terms.ownership.answer_within
        calls = KeeperCalls(Seat(self.seat(RECEIVER)), self.keeper_addresses(), self.chance, within)
        try:
            return state_of((await calls.read(job)).value).token
        except NoKeeper:
            return None

    def group_calls(self) -> GroupCalls:
        addresses = [self.keeper_address(one) for one in self.keepers]
        return GroupCalls(Seat(self.seat(COMMAND)), addresses, COMMAND_WITHIN)

    def umpire(self, number: int) -> UmpireHere | UmpireProcess:
        life = self.lives[number]
        assert isinstance(life, UmpireHere | UmpireProcess)
        return life

    def start_owning(self, terms: UmpireTerms, **given: Any) -> Any:
        life = self.umpire(terms.number)
        assert isinstance(life, UmpireHere)
        clocks = {"clock": life.clocks.awake.now, "wall": life.clocks.wall.now}
        return OwningUmpire(self.owned_terms(terms), **given | clocks)

    def owned_terms(self, terms: UmpireTerms) -> OwnedUmpireTerms:
        me, told = f"umpire {terms.number}", self.terms.ownership
        owned = {
            "switched_on": True,
            "keepers": {one: self.keeper_address(one) for one in self.founders},
            "term": told.term,
            "margin": told.margin,
            "answer_within": told.answer_within,
            "announce": {"address": f"{self.host_named(RECEIVER)}:{OWNERS}", "every": told.announce_every},
        }
        peers = terms.peers
        if peers is not None:
            others = {
                one: self.peer_address(me, f"umpire {one}") if one != terms.number else address
                for one, address in peers.addresses.items()
            }
            peers = peers.model_copy(update={"addresses": others})
        fields = terms.model_dump() | {"peers": peers and peers.model_dump(), "ownership": owned}
        return OwnedUmpireTerms.model_validate(fields)

    # Places

    @property
    def keeper_names(self) -> list[str]:
        return [f"keeper {one}" for one in self.keepers]

    @property
    def umpire_names(self) -> list[str]:
        return [f"umpire {one}" for one in range(self.terms.umpires.count)]

    def host_named(self, name: str) -> str:
        kind, _, number = name.partition(" ")
        if kind == "umpire":
            return self.host_of(int(number))
        if kind == "prober":
            return f"{self.block}.6.{number}"
        if kind == "keeper":
            return f"{self.block}.5.{number}"
        return f"{self.block}.3.{4 if name == COMMAND else 3}"

    def keeper_address(self, number: int) -> str:
        return f"{self.host_named(f'keeper {number}')}:{KEEPER}"

    def keeper_addresses(self) -> list[str]:
        return [self.keeper_address(one) for one in self.founders]

    def peer_address(self, source: str, target: str) -> str:
        """Where the messages of one umpire to another go."""
        return f"{self.host_named(target)}:{WIRE_PEER + int(source.partition(' ')[2])}"

    def seat(self, name: str) -> Party:
        zones = self.terms.zones
        kind, _, number = name.partition(" ")
        zone = zones[int(number) % len(zones)] if kind in ("umpire", "keeper") else zones[0]
        return Party(self.links, self.host_named(name), name, zone, self.tasks)

    # Links

    async def lay_wires(self) -> None:
        umpires, keepers = self.umpire_names, self.keeper_names
        probers = [f"prober {one}" for one in range(1, self.terms.probers + 1)]
        for number, keeper in zip(self.keepers, keepers, strict=True):
            itself = f"{self.host_named(keeper)}:{KEEPER_ITSELF}"
            sources = [one for one in [*keepers, *umpires, *probers, RECEIVER, COMMAND] if one != keeper]
            self.lay_switch(keeper, self.keeper_address(number), itself, sources)
        self.lay_switch(RECEIVER, f"{self.host_named(RECEIVER)}:{OWNERS}", self.owners.address, umpires)
        if self.terms.umpires.may_tell:
            await self.lay_messages(umpires)

    def lay_switch(self, target: str, address: str, itself: str, sources: list[str]) -> None:
        switch = Switch(itself)
        for source in sources:
            wire = self.wires[source, target] = Wire(source, target, self.tasks)
            switch.wires[self.host_named(source)] = wire, Seat(self.seat(source))
        self.tasks.start_soon(switch.run, Seat(self.seat(target)), address)

    def links_between(self) -> Iterator[tuple[tuple[str, str], Line]]:
        yield from self.wires.items()
        hosts = {"roster": self.roster.party.host, "launcher": self.launcher.party.host, BOXES: BOXES}
        for umpire in self.umpire_names:
            for service, host in hosts.items():
                yield (umpire, service), self.links.lines[self.host_named(umpire), host]

    async def lay_messages(self, umpires: list[str]) -> None:
        pairs = [(one, other) for one in umpires for other in umpires if one != other]
        sockets = {}
        for pair in pairs:
            self.wires[pair] = Wire(*pair, self.tasks)
            sockets[pair] = await Seat(self.seat(pair[1])).datagrams(self.peer_address(*pair))
        chance = Random(self.random.getrandbits(60)).random
        for source, target in pairs:
            messages = Messages(self.wires[source, target], self.wires[target, source], chance)
            far = f"{self.host_named(target)}:{PEER}"
            self.tasks.start_soon(messages.run, sockets[source, target], sockets[target, source], far)

    # The script

    async def play(self) -> None:
        await self.lay_wires()
        self.tasks.start_soon(self.owners.take)
        for number in self.founders:
            self.keepers[number].begin(found=True)
        for number in range(1, self.terms.probers + 1):
            name, bits = f"prober {number}", self.random.getrandbits(60)
            seat = Seat(self.seat(name))
            prober = Prober(number, seat, self.keeper_addresses(), self.record, bits, self.terms.probe_every)
            self.tasks.start_soon(prober.run)
        for number, fault in enumerate(self.faults):
            self.tasks.start_soon(self.failing.run, number, fault)
        await super().play()
        if self.virtual:
            stopped.end()


async def play(
    terms: RigTerms, seed: int, virtual: bool, block: str, folder: Path
) -> tuple[dict[str, Any], bytes]:
    """Play the script; its terms and its record."""
    limit = terms.length + OVERRUN
    with anyio.fail_after(float("inf") if virtual else limit):
        async with anyio.create_task_group() as tasks:
            rig = RigDeployment(terms, seed, tasks, virtual, block, folder)
            await rig.play()
            tasks.cancel_scope.cancel()
    about = {"v": 1, "seed": seed, "virtual": virtual, "lead": rig.lead, "day": terms.model_dump(mode="json")}
    return about, rig.record.lines()


def run(
    terms: RigTerms, seed: int, virtual: bool, block: str, folder: Path
) -> tuple[dict[str, Any], bytes]:
    """The same from plain code. `folder` takes the processes' files, disks and logs."""
    if not virtual:
        return anyio.run(play, terms, seed, virtual, block, folder, backend="asyncio")
    out: tuple[dict[str, Any], bytes] = in_virtual_time(play, seed, terms, seed, virtual, BLOCK, folder)
    return out
