"""Loopback addresses of one test process, so that test runs and days side by side do not meet."""

from __future__ import annotations

import os
import socket
from functools import cache

from gullmount.scenarios.loopback import CLAIM_PORT

CLAIM_SOCKETS: list[socket.socket] = []  # held until the process ends


@cache
def reserve_loopback_block(first_number: int = 60, block_count: int = 150) -> str:
    """`127.N` with N from `first` on. A socket bound among its addresses says that they are taken, as days
    do: numbers of processes alone meet now and then."""
    for offset in range(block_count):
        block = f"127.{first_number + (os.getpid() + offset) % block_count}"
        claim_socket = socket.socket()
        try:
            claim_socket.bind((f"{block}.9.9", CLAIM_PORT))
        except OSError:
            claim_socket.close()
            continue
        CLAIM_SOCKETS.append(claim_socket)
        return block
    raise OSError("all blocks of loopback addresses are taken")


def reserve_harness_block() -> str:
    """Of those beyond what days draw."""
    return reserve_loopback_block(225, 25)
