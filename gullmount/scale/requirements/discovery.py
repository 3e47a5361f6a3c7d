"""What discovery needs to serve the endpoint list to all proxies, by each of its two mechanisms. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from gullmount.scale.requirements.model import Aspect, Budget, CostTerm, Requirement, Role, SizeFunction
from gullmount.scale.requirements.quantities import (
    DISCOVERY_MEMORY,
    ENTRY_SAMPLE_SERVERS,
    NETWORK_FOR_LOSS,
    ONE_CORE,
    ONE_CORE_UNTIL_IN_FORCE,
    endpoint_changes,
    in_burst,
    proxies,
    servers,
)


@dataclass(frozen=True)
class DiscoveryMechanism:
    """How discovery sends the list; its slopes are named `<slopes>-whole` and the like."""

    description: str
    slopes: str


LONG_POLLING = DiscoveryMechanism("calls that wait 3 s (the platform's list)", "page")
STREAMING = DiscoveryMechanism("a stream a watch (the general roster)", "roster")


def discovery_requirements(mechanism: DiscoveryMechanism) -> Iterator[Requirement]:
    """Yield the requirements of discovery by one mechanism."""

    def requirement(
        aspect: Aspect, description: str, unit: str, *terms: CostTerm, budget: Budget | None
    ) -> Requirement:
        return Requirement(Role.DISCOVERY, aspect, description, mechanism.description, unit, terms, budget)

    idle = CostTerm(f"{mechanism.slopes}-watches-idle", proxies)
    change = f"{mechanism.slopes}-watches-change"
    snapshot = f"{mechanism.slopes}-whole"

    def entries_to_each_proxy(count: SizeFunction) -> CostTerm:
        return CostTerm(
            f"{mechanism.slopes}-bytes",
            lambda _: ENTRY_SAMPLE_SERVERS,
            lambda size: count(size) * size.share / ENTRY_SAMPLE_SERVERS * size.proxies,
        )

    yield requirement(
        Aspect.PROCESSOR_TIME, "watches of all umpires, nothing changes", "cores", idle, budget=ONE_CORE
    )
    yield requirement(
        Aspect.PROCESSOR_TIME, "the ordinary day's changes told to all umpires", "cores",
        idle, CostTerm(change, proxies, endpoint_changes), budget=ONE_CORE,
    )  # fmt: skip
    yield requirement(
        Aspect.PROCESSOR_TIME, "the ordinary day's changes told to all umpires, in bursts of ten", "cores",
        idle, CostTerm(change, proxies, in_burst(endpoint_changes)), budget=ONE_CORE,
    )  # fmt: skip
    yield requirement(
        Aspect.PROCESSOR_TIME, "a cold start of all: the whole list once to each umpire", "core s",
        CostTerm(snapshot, servers, proxies), budget=ONE_CORE_UNTIL_IN_FORCE,
    )  # fmt: skip
    yield requirement(
        Aspect.PROCESSOR_TIME,
        "10,000 restarts a day, ten times as many at a time: the whole list to each", "cores",
        CostTerm(snapshot, servers, in_burst(lambda size: size.restarts_per_second)), budget=ONE_CORE,
    )  # fmt: skip
    yield requirement(
        Aspect.MESSAGES, "a zone lost: its entries to each umpire", "bytes",
        entries_to_each_proxy(lambda size: size.target.servers_lost_with_zone), budget=NETWORK_FOR_LOSS,
    )  # fmt: skip
    yield requirement(
        Aspect.MESSAGES,
        "an hour without a region and its return: its entries to each umpire, twice", "bytes",
        entries_to_each_proxy(lambda size: 2 * size.target.servers_lost_with_region), budget=None,
    )  # fmt: skip
    yield requirement(
        Aspect.MEMORY, "watches of all umpires", "bytes",
        CostTerm(f"{mechanism.slopes}-watches-memory", proxies), budget=DISCOVERY_MEMORY,
    )  # fmt: skip
