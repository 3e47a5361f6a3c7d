"""A fleet's YAML file: its size, how its state is delivered, its changes and faults.

Keys of the file are aliases of fields where the field has another term.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from math import ceil
from typing import Annotated, Self

from pydantic import Field, PositiveFloat, PositiveInt, model_validator

from gullmount.scale.fleet.errors import InvalidFleetError
from gullmount.yamlfile import YamlModel

NotNegative = Annotated[float, Field(ge=0)]
Count = Annotated[int, Field(ge=0)]

MAX_CLIENTS_PER_PROCESS = 2000  # with a few connections each, a tenth of its descriptors
OTHER_PROCESSES = 8  # the run, origin or discovery, change writer, ...: beside relays and proxies


class Delivery(StrEnum):
    """How endpoints and configuration reach proxies."""

    COMPLETE_LISTS = "whole"  # discovery sends the fleet's complete list and its changes to everyone
    RELAYS = "relays"  # relays send each proxy the changes of the services that it fronts


class FaultAction(StrEnum):
    """What is done to a process."""

    KILL_RELAY = "kill_relay"


class PhaseConfig(YamlModel):
    """A part of the run with its own rates of change, drawn as independent arrivals."""

    name: Annotated[str, Field(min_length=1, max_length=40)]
    duration: Annotated[PositiveFloat, Field(alias="length")]  # s
    configuration_rate: Annotated[NotNegative, Field(alias="configuration")]  # changes a second
    server_rate: Annotated[NotNegative, Field(alias="boxes")]  # changes of servers a second
    servers_at_start: Annotated[Count, Field(alias="boxes_at_once")] = 0  # changes at once, as a lost zone


class FaultConfig(YamlModel):
    """What is done to a control process, `at` s after the first phase's start."""

    at: NotNegative
    action: Annotated[FaultAction, Field(alias="do")]
    relay: Count = 0


class FleetConfig(YamlModel):
    """One fleet. Sizes are of the complete fleet; rates are of the complete fleet too, at any size."""

    name: Annotated[str, Field(min_length=1, max_length=60)]
    deliveries: Annotated[list[Delivery], Field(alias="ways", min_length=1, max_length=2)]  # a run each
    proxies: Annotated[int, Field(alias="umpires", ge=1, le=20_000)]
    servers: Annotated[int, Field(alias="boxes", ge=1, le=400_000)]
    services: Annotated[int, Field(ge=1, le=20_000)]
    zones: Annotated[int, Field(ge=1, le=100)]
    regions: Annotated[int, Field(ge=1, le=100)]
    relays: Annotated[int, Field(ge=1, le=100)]
    # services that a proxy fronts: the entries are taken in turn
    services_per_proxy: Annotated[list[PositiveInt], Field(alias="fronts", min_length=1, max_length=10)]
    routes_per_service: Annotated[int, Field(alias="routes", ge=1, le=1000)]  # of its configuration
    real_proxies: Annotated[Count, Field(alias="real")]  # processes of their own, among `proxies`
    hollow_processes: PositiveInt
    # hollow clients of relays that hold router and routes as real proxies do; None: all of them
    full_clients: Annotated[Count | None, Field(alias="with_module")] = None
    phases: Annotated[list[PhaseConfig], Field(min_length=1, max_length=20)]
    faults: list[FaultConfig] = []
    start_timeout: Annotated[PositiveFloat, Field(alias="start_within")]  # s until all proxies are synced
    settle_timeout: Annotated[PositiveFloat, Field(alias="settle_within")]  # s from the last phase
    max_processes: Annotated[PositiveInt, Field(alias="processes_most")] = 300
    max_memory_gib: Annotated[PositiveFloat, Field(alias="memory_most")] = 12.0  # of all processes

    @model_validator(mode="after")
    def consistent(self) -> Self:
        """Refuse a fleet that can't be run. Raises InvalidFleetError."""
        for problem in self.problems():
            raise InvalidFleetError(problem)
        return self

    def problems(self) -> Iterator[str]:
        """What doesn't fit together, as texts for the operator, in the words of the file's keys."""
        if self.processes > self.max_processes:
            yield f"{self.processes} processes are more than {self.max_processes}"
        if self.real_proxies > self.proxies:
            yield "more real umpires than umpires"
        if ceil(self.hollow_clients / self.hollow_processes) > MAX_CLIENTS_PER_PROCESS:
            yield f"more than {MAX_CLIENTS_PER_PROCESS} hollow umpires a process"
        if self.full_clients is not None and self.full_clients > self.hollow_clients:
            yield "more hollow umpires with a module than hollow umpires"
        if max(self.services_per_proxy) > self.services:
            yield "an umpire fronts more services than there are"
        if self.relays < self.zones and Delivery.RELAYS in self.deliveries:
            yield "fewer relays than zones"
        if len(set(self.deliveries)) < len(self.deliveries):
            yield "a way is named twice"
        for fault in self.faults:
            if fault.relay >= self.relays:
                yield f"no relay {fault.relay}, they are counted from 0"
            if fault.at >= self.duration:
                yield f"a fault at {fault.at} s, but the phases last {self.duration} s"

    @property
    def duration(self) -> float:
        """Seconds of all phases."""
        return sum(phase.duration for phase in self.phases)

    @property
    def hollow_clients(self) -> int:
        """Proxies that are played by hollow clients."""
        return self.proxies - self.real_proxies

    @property
    def processes(self) -> int:
        """Processes that a run needs at most."""
        return self.relays + self.real_proxies + self.hollow_processes + OTHER_PROCESSES

    @property
    def full_processes(self) -> int:
        """How many of the hollow processes, the first ones, run clients that hold a router."""
        if self.full_clients is None:
            return self.hollow_processes
        return round(self.hollow_processes * self.full_clients / max(1, self.hollow_clients))

    def phase_starts(self) -> Iterator[tuple[float, PhaseConfig]]:
        """Each phase and its start, in seconds from the first one's."""
        start = 0.0
        for phase in self.phases:
            yield start, phase
            start += phase.duration

    def resized(self, proxies: int) -> FleetConfig:
        """Return the same fleet with so many proxies; raises ValueError where that can't be.

        Servers, services, zones, relays and processes change in proportion, so that zones are as full as
        they were; rates and real proxies stay.
        """
        ratio = proxies / self.proxies
        zones = max(1, round(self.zones * ratio))

        def scaled(count: int, least: int = 1) -> int:
            return max(least, round(count * ratio))

        relays = zones + scaled(self.relays - self.zones)  # one a zone and one more at least
        changed = {
            "proxies": proxies,
            "servers": scaled(self.servers),
            "services": scaled(self.services, max(self.services_per_proxy)),
            "zones": zones,
            "regions": min(zones, scaled(self.regions)),
            "relays": relays,
            "real_proxies": min(self.real_proxies, proxies),
            "full_clients": None
            if self.full_clients is None
            else min(self.full_clients, proxies - self.real_proxies),
            "hollow_processes": scaled(self.hollow_processes),
            "faults": [fault for fault in self.faults if fault.relay < relays],
        }
        return FleetConfig.model_validate(self.model_copy(update=changed).as_file())

    def as_file(self) -> dict[str, object]:
        """The file's keys and values, as JSON has them."""
        return self.model_dump(mode="json", by_alias=True)
