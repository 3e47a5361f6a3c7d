"""Does the faults of a script to parties and links, each at its time."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from gullmount.consensus.errors import GroupChangeRejectedError, NoReplicaError, OutcomeUnknownError
from gullmount.consensus.group_client import ReplicaGroupClient
from gullmount.consensus.membership import Members
from gullmount.emulators.lease_announcements import LeaseAnnouncementReceiver
from gullmount.emulators.release_controller import ReleaseControllerEmulator
from gullmount.fault_harness.clocks import ClockCommand
from gullmount.fault_harness.config import (
    CLOCK_FAULTS,
    GROUP_FAULTS,
    LINK_FAULTS,
    Direction,
    FaultConfig,
    FaultKind,
    split_names,
)
from gullmount.fault_harness.deployment import HarnessDeployment, ProxyUnderFaults
from gullmount.fault_harness.fault_targets import links_between, resolve_names
from gullmount.fault_harness.party_names import RECEIVER, RELEASE_CONTROLLER, PartyKind, split_name
from gullmount.fault_harness.replica_instances import ReplicaInstance

GROUP_POLL_SECONDS = 0.3  # between an operator's looks at the group
OPPOSITE: dict[Direction, Direction] = {"both": "both", "out": "in", "in": "out"}
STANDS, UNDER_WAY = "stands", "under way"  # what the record says of a change of the group


class FaultInjector:
    """Does faults to one deployment; each runs in a task of its own."""

    def __init__(self, harness: HarnessDeployment) -> None:
        """Build the injector of a deployment."""
        self._harness = harness

    async def run(self, number: int, fault: FaultConfig) -> None:
        """Do a fault at its time, and end it after its duration.

        Args:
            number: of the fault in the script; names copies of disks.
            fault: to do.
        """
        harness = self._harness
        record = harness.record
        if not harness.virtual:  # in virtual time the moment is known from the start
            await harness.serving.wait()
        begin = fault.at + harness.startup_seconds
        if fault.kind == FaultKind.OLDER_DISK:
            await anyio.sleep(max(0.0, begin - fault.size - record.now()))
            for name in split_names(fault.targets):
                harness.replicas[int(split_name(name).number)].copy_disk(number)
        await anyio.sleep(max(0.0, begin - record.now()))
        targets = resolve_names(harness, fault.targets)
        peers = resolve_names(harness, fault.peers)
        fields = {"do": fault.kind, "who": targets, "where": peers, "way": fault.direction}
        record.note("fault", **fields, length=fault.duration)
        if fault.kind in LINK_FAULTS:
            await self._fault_links(fault, targets, peers)
        else:
            async with anyio.create_task_group() as tasks:
                for target in targets:
                    tasks.start_soon(self._fault_party, fault, number, target)
        record.note("fault_over", **fields)

    # Links

    async def _fault_links(self, fault: FaultConfig, targets: list[str], peers: list[str]) -> None:
        faulted = links_between(self._harness, targets, peers, delays=fault.kind == FaultKind.SLOW_LINK)
        if fault.kind == FaultKind.RESET_CONNECTIONS:
            for link, _ in faulted:
                await link.reset()
            return
        for link, is_source in faulted:
            link.begin_fault(fault.kind, _direction(fault, is_source), fault.size)
        await anyio.sleep(fault.duration)
        for link, is_source in faulted:
            link.end_fault(fault.kind, _direction(fault, is_source), fault.size)

    # Parties

    async def _fault_party(self, fault: FaultConfig, number: int, name: str) -> None:
        harness = self._harness
        if name == RECEIVER:
            await self._restart_service(harness.receiver, fault)
        elif name == RELEASE_CONTROLLER:
            await self._restart_service(harness.release_controller, fault)
        else:
            kind, instance_number = split_name(name)
            if kind == PartyKind.REPLICA:
                await self._fault_replica(harness.replicas[int(instance_number)], fault, number)
            else:
                await self._fault_proxy(harness.proxy(int(instance_number)), fault)

    async def _restart_service(
        self, service: LeaseAnnouncementReceiver | ReleaseControllerEmulator, fault: FaultConfig
    ) -> None:
        service.kill()
        await anyio.sleep(fault.duration)
        self._harness.tasks.start_soon(service.serve_calls)

    async def _fault_proxy(self, proxy: ProxyUnderFaults, fault: FaultConfig) -> None:
        if fault.kind == FaultKind.PAUSE:
            await self._pause(proxy, PartyKind.PROXY, fault)
        elif fault.kind in CLOCK_FAULTS:
            await self._set_clock(proxy, fault)
        elif fault.kind == FaultKind.FULL_DISK:
            await self._fill_disk(proxy, PartyKind.PROXY, fault)
        elif fault.kind == FaultKind.TERMINATE:
            await proxy.restart(fault.duration)
        else:
            await proxy.kill()
            await anyio.sleep(fault.duration)
            proxy.begin()

    async def _fault_replica(self, replica: ReplicaInstance, fault: FaultConfig, number: int) -> None:
        if fault.kind == FaultKind.PAUSE:
            await self._pause(replica, PartyKind.REPLICA, fault)
        elif fault.kind == FaultKind.FULL_DISK:
            await self._fill_disk(replica, PartyKind.REPLICA, fault)
            if replica.wanted:
                await replica.kill()
                replica.begin()
        elif fault.kind in GROUP_FAULTS:
            await self._change_group(replica, fault)
        elif replica.wanted:
            await self._restart_replica(replica, fault, number)

    async def _pause(
        self, instance: ProxyUnderFaults | ReplicaInstance, kind: PartyKind, fault: FaultConfig
    ) -> None:
        record = self._harness.record
        resume = instance.pause()
        record.note(f"{kind}_frozen", **{kind: instance.number})
        await anyio.sleep(fault.duration)
        record.note(f"{kind}_thawed", **{kind: instance.number})
        resume()

    async def _set_clock(self, proxy: ProxyUnderFaults, fault: FaultConfig) -> None:
        if fault.kind == FaultKind.STEP_WALL_CLOCK:
            command, undone = ClockCommand.STEP_WALL, -fault.size
        else:
            command, undone = ClockCommand.LEASE_SPEED, 1.0
        proxy.set_clock(f"{command} {fault.size}")
        await anyio.sleep(fault.duration)
        proxy.set_clock(f"{command} {undone}")

    async def _fill_disk(
        self, instance: ProxyUnderFaults | ReplicaInstance, kind: PartyKind, fault: FaultConfig
    ) -> None:
        record = self._harness.record
        name = f"{kind} {instance.number}"
        record.note("disk_full", who=name)
        instance.set_disk_full(True)
        await anyio.sleep(fault.duration)
        instance.set_disk_full(False)
        record.note("disk_freed", who=name)

    async def _restart_replica(self, replica: ReplicaInstance, fault: FaultConfig, number: int) -> None:
        """End the replica, do to its disk what the fault says, and start it again."""
        if fault.kind == FaultKind.TERMINATE:
            await replica.stop()
        await replica.kill()
        if fault.kind == FaultKind.BLANK_DISK:
            replica.erase_disk()
        elif fault.kind == FaultKind.OLDER_DISK:
            replica.restore_disk(number)
        elif fault.kind == FaultKind.TORN_DISK:
            replica.tear_disk(fault.size)
        await anyio.sleep(fault.duration)
        replica.begin()

    # The group

    async def _change_group(self, replica: ReplicaInstance, fault: FaultConfig) -> None:
        """Change the group as an operator does.

        Start the replica that joins, ask until the change is accepted and stands, then end the one that left.
        """
        harness, me = self._harness, replica.number
        joins = fault.kind == FaultKind.JOIN_GROUP
        leaving = int(split_name(fault.peers).number or 0) if joins else me  # 0: none
        if joins:
            replica.begin()

        def changed(members: Members) -> Members:
            rest = {number: address for number, address in members.items() if number != leaving}
            return rest | {me: harness.replica_address(me)} if joins else rest

        client, status = harness.group_client(), ""
        while status != STANDS:
            await anyio.sleep(GROUP_POLL_SECONDS)
            status = await _advance_change(client, changed)
            harness.record.note("group", who=replica.name, do=fault.kind, said=status)
        if leaving:
            left = harness.replicas[leaving]
            left.wanted = False
            await left.kill()


def _direction(fault: FaultConfig, is_source: bool) -> Direction:
    """Return the direction of a fault as the link has it, whose out is what its source sends."""
    return fault.direction if is_source else OPPOSITE[fault.direction]


async def _advance_change(client: ReplicaGroupClient, changed: Callable[[Members], Members]) -> str:
    """Look whether a change stands and begin it if not; return what the record says of it."""
    try:
        group = await client.show()
        if group.next:
            return UNDER_WAY
        if changed(group.current) == group.current:
            return STANDS
        await client.change(changed)
    except GroupChangeRejectedError as error:
        return str(error)
    except (NoReplicaError, OutcomeUnknownError) as error:
        return type(error).__name__
    return UNDER_WAY
