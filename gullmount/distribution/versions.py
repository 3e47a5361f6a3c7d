"""The version of a topic: an epoch of the origin and a revision within it.

No I/O, clock or randomness.
"""

from __future__ import annotations

from typing import NamedTuple


class Version(NamedTuple):
    """A point in the origin's history; versions compare by epoch, then by revision.

    Attributes:
        epoch: One run of the origin, with its own count of revisions.
        revision: The number of a change within the epoch.
    """

    epoch: int
    revision: int


# The version of a topic of which nothing was received yet.
NO_VERSION = Version(0, 0)
