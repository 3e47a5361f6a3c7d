"""How clients behave: what they call, how long they wait, whether and when they retry. No I/O."""

from __future__ import annotations

from bisect import bisect
from dataclasses import dataclass
from enum import StrEnum
from itertools import accumulate
from random import Random

IMPATIENT_TIMEOUT_SHARE = 0.05  # of the route's timeout that an impatient client waits
SHORTEST_ATTEMPT_SECONDS = 0.02  # shorter attempts are not made
MAX_ATTEMPTS = 12  # of a request, by clients that retry without end
ABUSIVE_BACKOFF_SECONDS = 0.01


class ClientOutcome(StrEnum):
    """How an attempt ended for the client; the first three are the proxy's words."""

    COMPLETED = "completed"
    WRONG = "wrong"
    REJECTED = "shed"
    UNREACHED = "unreached"
    TIMED_OUT = "late"
    BROKEN = "broken"


class RetrySafety(StrEnum):
    """Whether a request may be sent again, by the words of a scenario's file."""

    IDEMPOTENT = "retriable"
    DEDUPLICATED = "deduped"


class Backoff(StrEnum):
    """Waits between attempts, by the words of a scenario's file; any other word is a fixed wait."""

    NONE = "none"
    EXPONENTIAL = "exp"


WHOLE_FLEET_SCOPE = "all"  # in which every server deduplicates


@dataclass(frozen=True)
class ClientRoute:
    """A route as clients know it; times are in seconds.

    Attributes:
        name: of the route.
        method: of its requests.
        path: of its requests.
        share: of the requests, relative to other routes.
        work: mean time of one core.
        spread: of the work, as standard deviation divided by the mean.
        timeout: how long clients wait at most.
        retry_safety: a `RetrySafety` where a request may be sent again.
        deduplication_scope: in which servers deduplicate.
        deduplication_window: for how long.
    """

    name: str
    method: str
    path: str
    share: float
    work: float
    spread: float
    timeout: float
    retry_safety: str
    deduplication_scope: str
    deduplication_window: float

    def may_retry(self, outcome: str, elapsed: float) -> bool:
        """Whether a client may send a request again, `elapsed` seconds after it began."""
        if outcome in (ClientOutcome.REJECTED, ClientOutcome.UNREACHED):
            return True
        if self.retry_safety == RetrySafety.IDEMPOTENT:
            return True
        return (
            self.retry_safety == RetrySafety.DEDUPLICATED
            and self.deduplication_scope == WHOLE_FLEET_SCOPE
            and elapsed < self.deduplication_window
        )


@dataclass(frozen=True)
class ClientSettings:
    """How clients behave; times are in seconds, shares from 0 to 1.

    Attributes:
        max_retries: of a request.
        backoff: a `Backoff`, or another word for a fixed wait.
        backoff_time: the first wait.
        timeout_share: of the route's timeout that a client waits for an attempt.
        retry_after_share: of Retry-After that are obeyed.
        impatient_share: of requests whose client waits for a small part of the timeout only.
        max_retry_after: longest Retry-After that is obeyed in full.
    """

    max_retries: int
    backoff: str
    backoff_time: float
    timeout_share: float
    retry_after_share: float
    impatient_share: float
    max_retry_after: float

    def wait_before_retry(self, retries: int, retry_after: float, random: Random) -> float:
        """Draw the seconds until the next attempt after so many retries; `retry_after` is 0 where none is."""
        if retry_after and random.random() < self.retry_after_share:
            return min(retry_after, self.max_retry_after)
        if self.backoff == Backoff.NONE:
            return 0.0
        wait = self.backoff_time * (2**retries if self.backoff == Backoff.EXPONENTIAL else 1)
        return wait * (0.5 + random.random())


@dataclass
class ClientFaults:
    """What faults do to all clients.

    Attributes:
        lost_patience_share: of the time that clients wait, from 0 to 1.
        retries_without_end: whether clients retry without end or backoff.
    """

    lost_patience_share: float = 0.0
    retries_without_end: bool = False


class KeyDistribution:
    """Affinity keys, a few far more popular than the rest."""

    def __init__(self, random: Random, count: int, skew: float) -> None:
        self._random = random.random
        self._sums = list(accumulate(1 / (rank + 1) ** skew for rank in range(count)))

    def draw(self) -> str:
        """Draw a key."""
        return f"k{bisect(self._sums, self._random() * self._sums[-1])}"
