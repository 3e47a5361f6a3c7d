"""Delivery by relays: versioned changes, scoped to services. Origin and relays are the program's own."""

from __future__ import annotations

import json
import time
from typing import Any, ClassVar

import anyio
import numpy as np

from gullmount.rpc import CallError, call
from gullmount.scale.fleet.checks import check_summary
from gullmount.scale.fleet.config import Delivery, FaultConfig
from gullmount.scale.fleet.deployment import LOAD_TIMEOUT_SECONDS, POLL_SECONDS, Deployment, HostGroup
from gullmount.scale.fleet.errors import SummaryUnavailableError
from gullmount.scale.fleet.managed_process import READY_TIMEOUT_SECONDS
from gullmount.scale.fleet.process_messages import (
    Command,
    CounterSample,
    HollowProcessFile,
    RelayLocation,
    Reply,
)
from gullmount.scale.fleet.proxy_settings import subscribed_proxy_file
from gullmount.scale.fleet.run_record import RelayLoss, Role
from gullmount.scale.fleet.sockets import SocketCounters

ORIGIN_PORT, RELAY_PORT, PROXY_PORT = 7201, 7202, 7100


class RelayDeployment(Deployment):
    """A run of origin and relays."""

    delivery: ClassVar[Delivery] = Delivery.RELAYS
    sockets: SocketCounters | None = None  # there once the services have started

    @property
    def origin(self) -> str:
        """The origin's address."""
        return f"{self.host(HostGroup.SERVICES)}:{ORIGIN_PORT}"

    def relay(self, number: int) -> RelayLocation:
        """A relay's address and zone: one a zone, those beyond that spread over zones."""
        address = f"{self.host(HostGroup.RELAYS, number)}:{RELAY_PORT}"
        return RelayLocation(address, self.drawn.zones[number % len(self.drawn.zones)])

    @property
    def relays(self) -> list[RelayLocation]:
        """All relays, by number."""
        return [self.relay(number) for number in range(self.fleet.relays)]

    @property
    def real_hosts(self) -> list[str]:
        """The hosts that real proxies connect from, by number."""
        return [self.host(HostGroup.REAL_PROXIES, number) for number in range(len(self.real_proxies))]

    async def start_services(self) -> None:
        """Start release status, origin and relays."""
        await self.start_release_status()
        await self.start_origin()
        await self.start_relays()
        hosts = [f"src {host}" for host in self.real_hosts]
        self.sockets = SocketCounters(" or ".join([f"dst {self.origin}", *hosts]))
        self.tasks.start_soon(self.sockets.sample_regularly)

    async def start_origin(self) -> None:
        """Start the origin, and wait until it accepts connections."""
        config = {
            "listen": self.origin,
            "zones": self.drawn.zones,
            "relays": {f"relay-{number}": relay.zone for number, relay in enumerate(self.relays)},
            "kept": str(self.folder / "kept"),
        }
        path = self.write_file("source.json", config)
        origin = self.processes.start(
            Role.ORIGIN, "source", ["gullmount", "source", "--found", str(path)], speaks=False
        )
        await origin.wait_until_accepting(self.origin, self.network.connect, READY_TIMEOUT_SECONDS)

    async def start_relays(self) -> None:
        """Start all relays, and wait until they accept connections."""
        for number, relay in enumerate(self.relays):
            config = {
                "name": f"relay-{number}",
                "zones": self.drawn.zones,
                "zone": relay.zone,
                "listen": relay.address,
                "source": self.origin,
                "connect_from": self.host(HostGroup.RELAYS, number),
            }
            path = self.write_file(f"relay-{number}.json", config)
            arguments = ["gullmount", "relay", str(path)]
            self.processes.start(Role.RELAY, f"relay-{number}", arguments, speaks=False)
        for relay, process in zip(self.relays, self.processes.of(Role.RELAY), strict=True):
            await process.wait_until_accepting(relay.address, self.network.connect, READY_TIMEOUT_SECONDS)

    async def load(self) -> None:
        """Have the origin loaded with the state before the first change."""
        self.progress(f"loading {self.fleet.servers} servers and {self.fleet.services} configurations")
        self.change_writer.command(Command.LOAD)
        epoch, revision = await self.change_writer.wait_for_reply(Reply.LOADED, LOAD_TIMEOUT_SECONDS)
        self.record.loaded_version = (epoch, revision)

    def hollow_file(self, part: int) -> HollowProcessFile:
        """The file of one process of hollow clients: they connect to relays."""
        return HollowProcessFile(
            **self.common_fields, part=part, relays=self.relays, release_controller=self.control
        )

    def start_real_proxies(self) -> None:
        """Start the proxies that are processes of their own."""
        for number, (proxy, host) in enumerate(zip(self.real_proxies, self.real_hosts, strict=True)):
            config = subscribed_proxy_file(
                proxy,
                self.fleet,
                listen=f"{self.host(HostGroup.SERVICES, 1 + number)}:{PROXY_PORT}",
                relays=self.relays,
                release_controller=self.control,
                seed=self.seed,
                connect_from=host,
            )
            name = f"real-{number}"
            path = self.write_file(f"{name}.json", config)
            arguments = ["gullmount.scale.fleet.real_proxy", str(path), str(self.folder / f"{name}.report")]
            self.processes.start(Role.REAL, name, arguments, speaks=False)

    def start_faults(self) -> None:
        """Start tasks that kill relays."""
        for fault in self.fleet.faults:
            self.tasks.start_soon(self.kill_relay, fault)

    async def kill_relay(self, fault: FaultConfig) -> None:
        """Kill a relay at the fault's time."""
        await anyio.sleep(max(0.0, self.record.first_phase_at + fault.at - time.monotonic()))
        for process in self.processes.of(Role.RELAY):
            if process.name == f"relay-{fault.relay}":
                at = process.kill_as_planned()
                self.record.relay_losses.append(RelayLoss(fault.relay, self.relay(fault.relay).address, at))

    async def read_summary(self) -> None:
        """Ask the origin until its summary agrees with what was made, or the file's time is over.

        Relays report to it from time to time.
        """
        with anyio.move_on_after(self.fleet.settle_timeout):
            while True:
                try:
                    _, body = await call(self.network, self.origin, "GET", "/v1/in-force")
                except CallError as error:
                    raise SummaryUnavailableError(str(error)) from None
                self.record.in_force_summary = json.loads(body)
                if check_summary(self.record, self.drawn).held:
                    return
                await anyio.sleep(POLL_SECONDS)

    async def collect_samples(self) -> None:
        """Collect samples, with those of relays, real proxies and origin, which the machine counted."""
        await super().collect_samples()
        if self.sockets is None or not self.sockets.samples:
            return  # the machine does not count them
        samples, counters = self.sockets.samples, self.record.counters
        counters[Role.RELAY] = {
            f"relay-{number}": self.relay_counters(number) for number in range(self.fleet.relays)
        }
        counters[Role.REAL] = {
            f"real-{number}": samples[host] for number, host in enumerate(self.real_hosts) if host in samples
        }
        counters[Role.ORIGIN] = {"source": self.origin_counters()}

    def relay_counters(self, number: int) -> list[CounterSample]:
        """A relay's bytes: those of its connection to the origin, and what hollow clients counted of it."""
        assert self.sockets is not None
        address = self.relay(number).address
        upstream = self.sockets.samples.get(self.host(HostGroup.RELAYS, number), [])
        times = np.array([sample.at for sample in upstream])
        to_clients, from_clients = np.zeros(len(times)), np.zeros(len(times))
        for process in self.processes.of(Role.HOLLOW):
            if process.counters:
                at = [sample.at for sample in process.counters]
                counts = [sample.by_address.get(address, [0, 0]) for sample in process.counters]
                to_clients += np.interp(times, at, [received for received, _ in counts], left=0)
                from_clients += np.interp(times, at, [sent for _, sent in counts], left=0)
        return [
            CounterSample(
                at=sample.at,
                bytes_in=sample.bytes_in + from_clients[place],
                bytes_out=sample.bytes_out + to_clients[place],
            )
            for place, sample in enumerate(upstream)
        ]

    def origin_counters(self) -> list[CounterSample]:
        """The origin's bytes: those that relays sent and received, by time."""
        assert self.sockets is not None
        sums: dict[float, list[Any]] = {}
        for host, samples in self.sockets.samples.items():
            if host not in self.real_hosts:
                for sample in samples:
                    total = sums.setdefault(sample.at, [0, 0])
                    total[0] += sample.bytes_out
                    total[1] += sample.bytes_in
        return [
            CounterSample(at=at, bytes_in=bytes_in, bytes_out=bytes_out)
            for at, (bytes_in, bytes_out) in sorted(sums.items())
        ]


DEPLOYMENT = RelayDeployment
