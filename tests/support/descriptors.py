"""Changes the descriptor limits of processes, to provoke a shortage (EMFILE)."""

from __future__ import annotations

import os
import resource
from collections.abc import Iterator
from contextlib import contextmanager


def set_descriptor_limit(pid: int, limit: int) -> int:
    """Set the descriptor limit of a running process and return the previous limit."""
    previous_limit, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, hard))
    return previous_limit


@contextmanager
def no_free_descriptor() -> Iterator[None]:
    """Let every call of this process that needs a new descriptor fail with EMFILE."""
    previous_limit = set_descriptor_limit(os.getpid(), 1)
    try:
        yield
    finally:
        set_descriptor_limit(os.getpid(), previous_limit)
