"""Quantities and budgets that several requirements share. No I/O.

Budgets that the target does not name are assumptions, and say so.
"""

from __future__ import annotations

from collections.abc import Callable

from gullmount.scale.figures import Target
from gullmount.scale.requirements.model import Budget, CostTerm, FleetSize, SizeFunction

ENTRY_SAMPLE_SERVERS = 1000.0  # of a list by whose bytes one entry's are taken
LOSS_SPREAD_SECONDS = 10.0  # in which a zone's loss is sent, as configuration is
LATENCY_OBJECTIVE_SECONDS = 0.3  # a usual one
DISCOVERY_MEMORY_BYTES = 4e9  # of a machine set aside for control
NETWORK_BYTES_PER_SECOND = 1.25e9  # 10 Gbit


def servers(size: FleetSize) -> float:
    """Return the number of servers."""
    return size.servers


def routes(size: FleetSize) -> float:
    """Return the number of routes."""
    return size.routes


def proxies(size: FleetSize) -> float:
    """Return the number of proxy instances."""
    return size.proxies


def endpoint_changes(size: FleetSize) -> float:
    """Return the mean rate of changed endpoints a second."""
    return size.endpoint_changes_per_second


def in_burst(rate: SizeFunction) -> SizeFunction:
    """Return the rate of a burst that has this mean rate."""
    return lambda size: rate(size) * size.target.burst_factor


def endpoint_entries(count: SizeFunction, slope: str = "page-bytes") -> CostTerm:
    """Return the bytes of so many endpoints, by the format that `slope` was measured with."""
    return CostTerm(slope, lambda _: ENTRY_SAMPLE_SERVERS, lambda size: count(size) / ENTRY_SAMPLE_SERVERS)


def fixed(value: float) -> Callable[[Target], float]:
    """Return a limit that does not depend on the target."""
    return lambda _: value


CONTROL_CORES = Budget(lambda target: target.control_cores, "1.3% of a core for an umpire's control")
CONTROL_MEMORY = Budget(lambda target: target.control_memory_bytes, "64 MB for an umpire's control")
CONTROL_TRAFFIC = Budget(
    lambda target: target.control_bytes_per_second, "7 KB a second for an umpire's control"
)
CONTROL_BYTES_UNTIL_IN_FORCE = Budget(
    lambda target: target.control_bytes_per_second * target.in_force_seconds,
    "7 KB a second for 10 s, as for configuration (assumption)",
)
IN_FORCE_TIME = Budget(lambda target: target.in_force_seconds, "10 s until in force")
ADDED_LATENCY = Budget(lambda target: target.added_latency_seconds, "5.8 ms added to a req, all of it")
ONE_CORE = Budget(fixed(1.0), "one core of a process with one thread (assumption)")
ONE_CORE_UNTIL_IN_FORCE = Budget(
    lambda target: target.in_force_seconds, "one core for 10 s (assumption)"
)  # core seconds
LATENCY_OBJECTIVE = Budget(fixed(LATENCY_OBJECTIVE_SECONDS), "0.3 s, a usual latency objective (assumption)")
NETWORK_FOR_LOSS = Budget(
    fixed(NETWORK_BYTES_PER_SECOND * LOSS_SPREAD_SECONDS), "10 Gbit a second for 10 s (assumption)"
)
DISCOVERY_MEMORY = Budget(fixed(DISCOVERY_MEMORY_BYTES), "4 GB of a machine set aside (assumption)")
