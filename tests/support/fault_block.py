"""Loopback addresses of one test process, so that test runs and days side by side do not meet."""

from __future__ import annotations

import os
import socket
from functools import cache

from gullmount.scenarios.loopback import CLAIM_PORT

CLAIMS: list[socket.socket] = []  # held until the process ends


@cache
def reserve_loopback_block(first: int = 60, many: int = 150) -> str:
    """`127.N` with N from `first` on. A socket bound among its addresses says that they are taken, as days
    do: numbers of processes alone meet now and then."""
    for step in range(many):
        block = f"127.{first + (os.getpid() + step) % many}"
        claim = socket.socket()
        try:
            claim.bind((f"{block}.9.9", CLAIM_PORT))
        except OSError:
            claim.close()
            continue
        CLAIMS.append(claim)
        return block
    raise OSError("all blocks of loopback addresses are taken")


def reserve_harness_block() -> str:
    """Of those beyond what days draw."""
    return reserve_loopback_block(225, 25)
