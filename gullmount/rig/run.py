"""Plays a script: umpires and keepers among the stand-ins of a day, every link between them through a
wire."""

from __future__ import annotations

import shutil
import signal
from pathlib import Path
from random import Random
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from gullmount.days.run import BLOCK, Deployment, Life, in_virtual_time
from gullmount.keepers.client import KeeperCalls, NoKeeper
from gullmount.keepers.node import Keeper
from gullmount.keepers.store import MemoryStore
from gullmount.keepers.terms import KeeperTerms
from gullmount.net import Datagrams, Stream, TcpNet
from gullmount.ownership.lease import state_of
from gullmount.ownership.terms import OwnedUmpireTerms
from gullmount.ownership.umpire import OwningUmpire
from gullmount.rig.drawn import draw
from gullmount.rig.probers import Prober
from gullmount.rig.processes import Process
from gullmount.rig.terms import WHO, Fault, RigTerms, names_in
from gullmount.rig.wires import Messages, Wire
from gullmount.standins.links import Party
from gullmount.standins.owners import OwnersStandIn
from gullmount.umpire import UmpireTerms

# Ports by what is reached; where each source has a wire of its own its number is added.
KEEPER, OWNERS, PEER = 7299, 7003, 7100
WIRE_KEEPER, WIRE_ANY_KEEPER, WIRE_OWNERS, WIRE_PROBER, WIRE_PEER = 7300, 7400, 7700, 7200, 8200
KEEPERS_WITHIN = 20.0  # s in which the keepers admit each other at the start
STARTS = 0.2  # s of a core that a process needs until it serves, by which the clients wait for it
STOP_WITHIN = 15.0  # s after SIGTERM in which a process ends: a req's route timeout and what it gives up
RECEIVER = "receiver 0"  # whom owners announce themselves to
OVERRUN = 60.0  # s beyond its length after which a script on processes is broken off


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


class UmpireProcess(Life):
    """One umpire as a process."""

    day: RigDeployment
    process: Process | None = None

    async def live(self, scope: anyio.CancelScope) -> None:
        self.births += 1
        day = self.day
        Party(day.links, day.host_of(self.number), f"umpire {self.number}", self.zone, day.tasks)
        folder = day.folder / f"umpire-{self.number}"
        folder.mkdir(parents=True, exist_ok=True)
        terms = day.owned_terms(day.umpire_terms(self.number, self.zone))
        told = terms.model_dump(mode="json") | {
            "remembered": str(folder / "boxes.json"),
            "connect_from": day.host_of(self.number),
            "seed": day.random.getrandbits(60),
        }
        (folder / "umpire.yaml").write_bytes(msgspec.json.encode(told))
        with scope:
            day.record.note("umpire_up", umpire=self.number)
            process = Process(["umpire", str(folder / "umpire.yaml")], folder / "log.jsonl")
            self.process = process
            try:
                await process.ended()
                if self.scope is scope and not day.over:
                    self.scope = None
            finally:
                day.record.note("process_ended", who=f"umpire {self.number}", code=process.kill())
                if self.process is process:
                    self.process = None

    async def kill(self) -> None:
        process = self.process
        if self.scope is None or process is None:
            return
        self.day.record.note("umpire_killed", umpire=self.number)
        scope, self.scope = self.scope, None
        process.kill()
        scope.cancel()
        await self.day.clients[self.number].close()
        self.day.record.note("umpire_dead", umpire=self.number)

    async def roll(self, pause: float) -> None:
        process = self.process
        if self.scope is None or process is None:
            return
        self.day.record.note("umpire_stopping", umpire=self.number)
        process.send(signal.SIGTERM)
        with anyio.move_on_after(STOP_WITHIN):
            await process.ended()
        await self.kill()
        await anyio.sleep(pause)
        self.begin()


class KeeperLife:
    """One keeper, as a process or as a task; its disk outlives it."""

    def __init__(self, day: RigDeployment, number: int) -> None:
        self.day = day
        self.number = number
        self.store = MemoryStore()
        self.party = day.seat(f"keeper {number}")
        self.folder = day.folder / f"keeper-{number}"
        self.process: Process | None = None
        self.scope: anyio.CancelScope | None = None
        self.copies: dict[int, Any] = {}  # of its disk, by the fault they are for
        self.admitted = anyio.Event()

    def terms(self) -> KeeperTerms:
        day, me = self.day, self.number
        members = {
            one: day.keeper_address(one) if one == me else day.wire_address(f"keeper {me}", f"keeper {one}")
            for one in day.keeper_numbers
        }
        told = {"number": me, "group": day.terms.name, "members": members, "disk": str(self.folder / "disk")}
        return KeeperTerms.model_validate(told)

    def begin(self, found: bool = False) -> None:
        if self.scope is None and not self.day.over:
            self.scope = anyio.CancelScope()
            self.day.tasks.start_soon(self.live, self.scope, found)

    async def live(self, scope: anyio.CancelScope, found: bool) -> None:
        self.day.record.note("keeper_up", keeper=self.number)
        with scope:
            await (self.live_here(found) if self.day.virtual else self.live_apart(found))

    async def live_here(self, found: bool) -> None:
        self.party = self.day.seat(f"keeper {self.number}")
        made = Keeper(
            self.terms(),
            net=self.party,
            store=self.store,
            chance=Random(self.day.random.getrandbits(60)),
            log=self.log,
            found=found,
        )
        self.admitted = made.admitted
        await made.run()

    def log(self, event: str, **fields: Any) -> None:
        self.day.record.note("log", keeper=self.number, event=event, **fields)

    async def live_apart(self, found: bool) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        file = self.folder / "keeper.yaml"
        file.write_bytes(msgspec.json.encode(self.terms().model_dump(mode="json")))
        process = Process(["keeper", str(file), *(["--found"] if found else [])], self.folder / "log.jsonl")
        self.process = process
        try:
            await process.ended()
        finally:
            self.day.record.note("process_ended", who=f"keeper {self.number}", code=process.kill())
            self.process = None

    async def kill(self) -> None:
        if self.scope is None:
            return
        self.day.record.note("keeper_killed", keeper=self.number)
        scope, self.scope = self.scope, None
        if self.process is not None:
            self.process.kill()
        scope.cancel()
        await self.party.kill()

    # Its disk

    def blank(self) -> None:
        self.store = MemoryStore()
        shutil.rmtree(self.folder / "disk", ignore_errors=True)

    def copy(self, name: int) -> None:
        self.copies[name] = dict(self.store.rows)
        if not self.day.virtual:
            shutil.copytree(self.folder / "disk", self.folder / f"copy-{name}", dirs_exist_ok=True)

    def put_back(self, name: int) -> None:
        self.blank()
        self.store.rows = dict(self.copies[name])
        if not self.day.virtual:
            shutil.copytree(self.folder / f"copy-{name}", self.folder / "disk")


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
        if not virtual:
            self.life = UmpireProcess
            self.lead = 2.0 + STARTS * terms.umpires.count
        super().__init__(terms, seed, tasks, virtual, block, self.start_owning)
        self.links.outside = not virtual
        self.keeper_numbers = range(1, terms.keepers.count + 1)
        self.keepers = {number: KeeperLife(self, number) for number in self.keeper_numbers}
        services = Party(self.links, f"{block}.3.3", "owners", terms.zones[0], tasks)
        self.owners = OwnersStandIn(services, f"{block}.3.3:{OWNERS}", self.record, self.learn)
        self.wires: dict[tuple[str, str], Wire] = {}
        self.chance = Random(self.random.getrandbits(60))
        self.faults = list(terms.faults)
        if terms.drawn is not None:
            chance, umpires = Random(seed), terms.umpires.count
            self.faults += draw(chance, terms.drawn, terms.length, umpires, terms.keepers.count)

    async def learn(self, job: str) -> int | None:
        """The token that the register of a job holds, for a receiver that has just started; None where no
        keeper says."""
        addresses = [self.wire_address(RECEIVER, f"keeper {one}") for one in self.keeper_numbers]
        within = self.terms.ownership.answer_within
        calls = KeeperCalls(Seat(self.seat(RECEIVER)), addresses, self.chance, within)
        try:
            return state_of((await calls.read(job)).value).token
        except NoKeeper:
            return None

    def start_owning(self, terms: UmpireTerms, **given: Any) -> Any:
        return OwningUmpire(self.owned_terms(terms), clock=anyio.current_time, **given)

    def owned_terms(self, terms: UmpireTerms) -> OwnedUmpireTerms:
        me, told = f"umpire {terms.number}", self.terms.ownership
        owned = {
            "switched_on": True,
            "keepers": {one: self.wire_address(me, f"keeper {one}") for one in self.keeper_numbers},
            "term": told.term,
            "margin": told.margin,
            "answer_within": told.answer_within,
            "announce": {"address": self.wire_address(me, RECEIVER), "every": told.announce_every},
        }
        peers = terms.peers
        if peers is not None:
            others = {
                one: self.wire_address(me, f"umpire {one}") if one != terms.number else address
                for one, address in peers.addresses.items()
            }
            peers = peers.model_copy(update={"addresses": others})
        fields = terms.model_dump() | {"peers": peers and peers.model_dump(), "ownership": owned}
        return OwnedUmpireTerms.model_validate(fields)

    # Places

    def host_named(self, name: str) -> str:
        kind, _, number = name.partition(" ")
        if kind == "umpire":
            return self.host_of(int(number))
        if kind == "prober":
            return f"{self.block}.6.{number}"
        return f"{self.block}.5.{number}" if kind == "keeper" else f"{self.block}.3.3"

    def keeper_address(self, number: int) -> str:
        return f"{self.block}.5.{number}:{KEEPER}"

    def seat(self, name: str) -> Party:
        zones = self.terms.zones
        kind, _, number = name.partition(" ")
        zone = zones[int(number) % len(zones)] if kind in ("umpire", "keeper") else zones[0]
        return Party(self.links, self.host_named(name), name, zone, self.tasks)

    def wire_address(self, source: str, target: str) -> str:
        """Where `source` finds the wire to `target`."""
        kind, _, number = source.partition(" ")
        if target == RECEIVER:
            port = WIRE_OWNERS
        elif target.startswith("umpire"):
            port = WIRE_PEER
        else:
            port = {"keeper": WIRE_KEEPER, "umpire": WIRE_ANY_KEEPER}.get(kind, WIRE_PROBER)
        return f"{self.host_named(target)}:{port + int(number)}"

    async def lay_wires(self) -> None:
        umpires = [f"umpire {one}" for one in range(self.terms.umpires.count)]
        keepers = [f"keeper {one}" for one in self.keeper_numbers]
        pairs = [(one, other) for one in keepers for other in keepers if one != other]
        pairs += [(one, other) for one in umpires for other in [*keepers, RECEIVER]]
        probers = [f"prober {one}" for one in range(1, self.terms.probers + 1)]
        pairs += [(one, other) for one in [*probers, RECEIVER] for other in keepers]
        for source, target in pairs:
            wire = self.wires[source, target] = Wire(source, target, self.tasks)
            address = self.owners.address
            if target != RECEIVER:
                address = self.keeper_address(int(target.partition(" ")[2]))
            there, here = Seat(self.seat(target)), Seat(self.seat(source))
            self.tasks.start_soon(wire.run, there, self.wire_address(source, target), here, address)
        if self.terms.umpires.may_tell:
            await self.lay_messages(umpires)

    async def lay_messages(self, umpires: list[str]) -> None:
        pairs = [(one, other) for one in umpires for other in umpires if one != other]
        sockets = {}
        for pair in pairs:
            self.wires[pair] = Wire(*pair, self.tasks)
            sockets[pair] = await Seat(self.seat(pair[1])).datagrams(self.wire_address(*pair))
        chance = Random(self.random.getrandbits(60)).random
        for source, target in pairs:
            messages = Messages(self.wires[source, target], self.wires[target, source], chance)
            far = f"{self.host_named(target)}:{PEER}"
            self.tasks.start_soon(messages.run, sockets[source, target], sockets[target, source], far)

    # The script

    async def play(self) -> None:
        await self.lay_wires()
        self.tasks.start_soon(self.owners.run)
        for keeper in self.keepers.values():
            keeper.begin(found=True)
        for number in range(1, self.terms.probers + 1):
            name, bits = f"prober {number}", self.random.getrandbits(60)
            addresses = [self.wire_address(name, f"keeper {one}") for one in self.keeper_numbers]
            seat = Seat(self.seat(name))
            prober = Prober(number, seat, addresses, self.record, bits, self.terms.probe_every)
            self.tasks.start_soon(prober.run)
        for number, fault in enumerate(self.faults):
            self.tasks.start_soon(self.run_fault, number, fault)
        await super().play()

    async def run_fault(self, number: int, fault: Fault) -> None:
        at = fault.at + self.lead
        if fault.do == "older":
            await anyio.sleep(max(0.0, at - fault.size - self.record.now()))
            self.keepers[int(fault.who.partition(" ")[2])].copy(number)
        await anyio.sleep(max(0.0, at - self.record.now()))
        who, where = self.named(fault.who), self.named(fault.where)
        told = {"do": fault.do, "who": who, "where": where, "way": fault.way}
        self.record.note("fault", **told, length=fault.length)
        if fault.do in ("cut", "slow", "reset"):
            await self.fail_wires(fault, who, where)
        else:
            async with anyio.create_task_group() as tasks:
                for one in who:
                    tasks.start_soon(self.fail_process, fault, number, one)
        self.record.note("fault_over", **told)

    def named(self, told: str) -> list[str]:
        return [name for one in names_in(told) for name in self.meant(one)]

    def meant(self, told: str) -> list[str]:
        match = WHO.fullmatch(told)
        if match is None:
            return []
        if match[1]:
            return [told]
        if match[3] == "receiver":
            return [RECEIVER]
        if match[3] == "umpires":
            return [f"umpire {one}" for one in range(self.terms.umpires.count)]
        if match[3] == "keepers":
            return [f"keeper {one}" for one in self.keeper_numbers]
        owner = self.owners.owners.get("judge")
        return [] if owner is None else [f"umpire {owner}"]

    def ends(self, who: list[str], where: list[str]) -> list[tuple[Wire, bool]]:
        """The wires between these and those, and whether one of `who` is the source."""
        out = []
        for (source, target), wire in self.wires.items():
            if source in who and (target in where or not where):
                out.append((wire, True))
            elif target in who and (source in where or not where):
                out.append((wire, False))
        return out

    async def fail_wires(self, fault: Fault, who: list[str], where: list[str]) -> None:
        ends = self.ends(who, where)
        turned = {"both": "both", "out": "in", "in": "out"}
        for wire, source in ends:
            way = fault.way if source else turned[fault.way]
            if fault.do == "reset":
                wire.reset()
            elif fault.do == "cut":
                wire.cut(way, 1)
            else:
                wire.slow(way, fault.size)
        if fault.do == "reset":
            return
        await anyio.sleep(fault.length)
        for wire, source in ends:
            way = fault.way if source else turned[fault.way]
            if fault.do == "cut":
                wire.cut(way, -1)
            else:
                wire.slow(way, -fault.size)

    async def fail_process(self, fault: Fault, number: int, name: str) -> None:
        kind, _, text = name.partition(" ")
        if name == RECEIVER:
            self.owners.kill()
            await anyio.sleep(fault.length)
            self.tasks.start_soon(self.owners.run)
        elif fault.do == "stop":
            await self.stop_process(name, fault.length)
        elif kind == "umpire":
            life = self.lives[int(text)]
            if fault.do == "term":
                await life.roll(fault.length)
            else:
                await life.kill()
                await anyio.sleep(fault.length)
                life.begin()
        else:
            keeper = self.keepers[int(text)]
            if fault.do == "term" and keeper.process is not None:
                keeper.process.send(signal.SIGTERM)
                with anyio.move_on_after(STOP_WITHIN):
                    await keeper.process.ended()
            await keeper.kill()
            if fault.do == "blank":
                keeper.blank()
            elif fault.do == "older":
                keeper.put_back(number)
            await anyio.sleep(fault.length)
            keeper.begin()

    async def stop_process(self, name: str, length: float) -> None:
        """It stands still. In virtual time all that it says and hears is held instead: its clock goes on,
        so that what it does meanwhile comes late, as from a process that was stopped before its send."""
        kind, _, text = name.partition(" ")
        process = self.keepers[int(text)].process if kind == "keeper" else None
        if kind == "umpire":
            process = getattr(self.lives[int(text)], "process", None)
        if process is not None:
            process.send(signal.SIGSTOP)
            self.record.note(f"{kind}_frozen", **{kind: int(text)})
            await anyio.sleep(length)
            self.record.note(f"{kind}_thawed", **{kind: int(text)})
            process.send(signal.SIGCONT)
            return
        ends = self.ends([name], [])
        for wire, _ in ends:
            wire.cut("both", 1)
        await anyio.sleep(length)
        for wire, _ in ends:
            wire.cut("both", -1)


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
