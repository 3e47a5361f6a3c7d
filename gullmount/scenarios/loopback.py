"""Blocks of loopback addresses, one for each process that plays scenarios, so that two do not meet.

A block is 127.N.0.0/16 and is named by its first half, `127.N`.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

from gullmount.scenarios.errors import NoFreeBlockError

FIRST_BLOCK = 20  # N of the first block
BLOCK_COUNT = 200
CLAIM_HOST = "9.9"  # second half of the address at which a block's first user listens
CLAIM_PORT = 7999
DEFAULT_BLOCK = "127.77"  # for where no other process can be met: in virtual time


def loopback_block(number: int) -> str:
    """Return the block that a process tries first; `number` is its id."""
    return f"127.{FIRST_BLOCK + number % BLOCK_COUNT}"


@contextmanager
def claimed_block() -> Iterator[str]:
    """Hold a block that no other process has; a socket bound among its addresses says so.

    Raises NoFreeBlockError where others have all.
    """
    for step in range(BLOCK_COUNT):
        block = loopback_block(os.getpid() + step)
        with socket.socket() as claim:
            try:
                claim.bind((f"{block}.{CLAIM_HOST}", CLAIM_PORT))
            except OSError:
                continue
            yield block
            return
    raise NoFreeBlockError
