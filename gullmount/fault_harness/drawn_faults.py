"""Draws faults by a seed. No I/O."""

from __future__ import annotations

from random import Random

from gullmount.fault_harness.config import (
    CLOCK_FAULTS,
    DATAGRAM_FAULTS,
    DISK_FAULTS,
    LINK_FAULTS,
    Direction,
    DrawnFaultsConfig,
    FaultConfig,
    FaultKind,
    ReplicasConfig,
)
from gullmount.fault_harness.party_names import proxy_name, replica_name

DIRECTIONS: tuple[Direction, ...] = ("both", "both", "out", "in")  # drawn evenly: half are in both
CLOCK_SPEEDS = (0.99, 1.01)  # as far as leases allow for
CLOCK_STEPS_SECONDS = (-600.0, 600.0)
EARLIEST_SECONDS = 0.5
LATEST_SHARE = 0.8  # of the script's length


def draw_faults(
    random: Random,
    drawn: DrawnFaultsConfig,
    length_seconds: float,
    proxies: int,
    replicas: ReplicasConfig,
) -> list[FaultConfig]:
    """Draw faults over the script's length, in the order of their times.

    At most one disk loses its replica's state: two are more than three replicas bear, and a violation after
    that would be none.

    Args:
        random: draws them.
        drawn: how many and which.
        length_seconds: of the script.
        proxies: how many there are.
        replicas: how many there are.
    """
    faults: list[FaultConfig] = []
    proxy_names = [proxy_name(number) for number in range(proxies)]
    replica_names = [replica_name(number + 1) for number in range(replicas.count)]
    names = [*proxy_names, *replica_names]
    peers = [*names, "umpires", "keepers", "owner", "receiver", "roster", "launcher", "boxes"]
    kinds = list(drawn.kinds)
    spares = list(range(replicas.count + 1, replicas.count + replicas.spares + 1))
    for _ in range(random.randint(*drawn.count)):
        kind = random.choice(kinds)
        size, replaced = random.uniform(*drawn.sizes), ""
        if kind in DISK_FAULTS:
            kinds = [one for one in kinds if one not in DISK_FAULTS]
            target = replica_name(random.randint(1, replicas.count))
            size = min(size, 1.0) if kind == FaultKind.TORN_DISK else size
        elif kind == FaultKind.JOIN_GROUP:
            if not spares:
                continue
            target = replica_name(spares.pop(0))
            replaced = random.choice(["", *replica_names])
        elif kind in CLOCK_FAULTS:
            target = random.choice(["owner", *proxy_names])
            if kind == FaultKind.CLOCK_SPEED:
                size = random.choice(CLOCK_SPEEDS)
            else:
                size = random.uniform(*CLOCK_STEPS_SECONDS)
        else:
            services = ["receiver"] if kind in (FaultKind.KILL, *LINK_FAULTS) else []
            target = random.choice(["owner", "owner", "keepers", *services, *names])
            size = min(size, 1.0) if kind in DATAGRAM_FAULTS else size
        faults.append(
            FaultConfig.model_validate(
                {
                    "at": round(random.uniform(EARLIEST_SECONDS, length_seconds * LATEST_SHARE), 3),
                    "do": kind,
                    "who": target,
                    "where": random.choice(["", *peers]) if kind in LINK_FAULTS else replaced,
                    "way": random.choice(DIRECTIONS),
                    "length": round(random.uniform(*drawn.durations), 3),
                    "size": round(size, 3),
                }
            )
        )
    return sorted(faults, key=lambda fault: fault.at)
