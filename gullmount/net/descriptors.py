"""Counts the file descriptors of this process and names the errors of a shortage."""

from __future__ import annotations

import errno
import os
import resource

OPEN_DESCRIPTORS_PATH = "/proc/self/fd"
# Errors of accept, socket and connect while the machine lacks descriptors or memory.
RESOURCE_SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


def count_open_descriptors() -> int | None:
    """Return the number of open file descriptors of this process; None if the system does not tell.

    If none is free to read the count with, the process is at its limit, which is returned.
    """
    try:
        # The descriptor that reads the folder is in the list.
        return len(os.listdir(OPEN_DESCRIPTORS_PATH)) - 1
    except OSError as error:
        if error.errno != errno.EMFILE:
            return None
        return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def connect_errno(error: BaseException) -> int | None:
    """Return the errno of a failed connect, also if anyio wrapped the error in one without an errno."""
    cause = error.__cause__ if error.__cause__ is not None else error
    return getattr(cause, "errno", None)
