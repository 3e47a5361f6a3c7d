"""Reserves loopback addresses for one test process.

Test runs and scenario runs on the same machine therefore don't use the same addresses.
"""

from __future__ import annotations

import os
import socket
from functools import cache

from gullmount.scenarios.loopback import CLAIM_PORT

# These sockets stay open, and thus the blocks reserved, until the process ends.
CLAIM_SOCKETS: list[socket.socket] = []


@cache
def reserve_loopback_block(first_number: int = 60, block_count: int = 150) -> str:
    """Return a free block `127.N`, with N from `first_number` on, and reserve it for this process.

    A socket bound to an address of the block marks it as taken, as scenario runs do, too. Process ids alone
    are not enough, since two of them sometimes lead to the same block.
    """
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
    """Reserve a block above the range that scenario runs use."""
    return reserve_loopback_block(225, 25)
