"""Faults drawn by a seed, several at once. No I/O."""

from __future__ import annotations

from random import Random
from typing import Literal

from gullmount.rig.terms import Drawn, Fault

WAYS: tuple[Literal["both", "out", "in"], ...] = ("both", "both", "out", "in")
DISKS = ("blank", "older")


def draw(random: Random, told: Drawn, length: float, umpires: int, keepers: int) -> list[Fault]:
    """So many faults over the script's length. At most one disk loses its word: two are more than three
    keepers bear, and what is told of them would be no breach."""
    out: list[Fault] = []
    names = [*(f"umpire {one}" for one in range(umpires)), *(f"keeper {one + 1}" for one in range(keepers))]
    places = [*names, "umpires", "keepers", "owner", "receiver"]
    kinds = list(told.kinds)
    for _ in range(random.randint(*told.count)):
        do = random.choice(kinds)
        if do in DISKS:
            kinds = [kind for kind in kinds if kind not in DISKS]
            who = f"keeper {random.randint(1, keepers)}"
        else:
            whole = ["receiver"] if do not in ("term", "stop") else []
            who = random.choice(["owner", "owner", "keepers", *whole, *names])
        out.append(
            Fault(
                at=round(random.uniform(0.5, length * 0.8), 3),
                do=do,
                who=who,
                where=random.choice(["", *places]) if do in ("cut", "slow", "reset") else "",
                way=random.choice(WAYS),
                length=round(random.uniform(*told.lengths), 3),
                size=round(random.uniform(*told.sizes), 3),
            )
        )
    return sorted(out, key=lambda fault: fault.at)
