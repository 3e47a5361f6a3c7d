"""Values that the decisions share with the surrounding program: outcomes, routes, settings and endpoints.

Times are in seconds as floats; identifiers are kept as the runtime passes them. Values of the enumerations
are stored in the records of scenarios and must not change.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How an attempt at a server ended."""

    COMPLETED = "completed"
    """A complete response arrived."""
    ERROR = "error"
    """The server responded with an error."""
    OVERLOADED = "full"
    """The server refused the request for lack of capacity; the request did not run."""
    TIMEOUT = "timeout"
    """The attempt timed out; the request may have run."""
    CONNECT_FAILED = "connect_failed"
    """No connection was established; the request did not run."""
    RESET = "reset"
    """The connection broke before the response was complete; the request may have run."""
    CANCELLED = "cancelled"
    """The client disconnected; the request may have run."""
    EXPIRED = "moot"
    """The attempt was abandoned before anything was sent, or the deadline passed before the server began."""


NOT_EXECUTED_OUTCOMES = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.EXPIRED)
"""Outcomes after which the server cannot have executed the request."""

NO_RESPONSE_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET)
"""Failures without a complete response."""

FAILURE_OUTCOMES = (*NO_RESPONSE_OUTCOMES, Outcome.ERROR)
"""Outcomes that count as failures of the server, for its latency estimate and for outlier ejection."""


class RejectionReason(Enum):
    """Why a request that is rejected or fails gets no further attempt."""

    ENDPOINTS_STALE = "server list out of date"
    DEADLINE_TOO_CLOSE = "too little time left"
    RETRY_BUDGET_EXHAUSTED = "retry budget spent"
    ATTEMPTS_EXHAUSTED = "attempts used up"
    NO_ELIGIBLE_SERVER = "no server may take it"
    """None of the above: no server is ready, or a rule excludes each ready server.

    These rules are the concurrency limit, affinity, the exposure limit, retry safety and slow start.
    """


class Vote(Enum):
    """What an instance votes on a candidate at the release controller."""

    NONE = "none"
    PROMOTE = "on"
    HOLD = "hold"
    ROLLBACK = "back"


class ReleasePhase(Enum):
    """Phase of the release of a build."""

    CANDIDATE = "on_trial"
    ROLLING_BACK = "going_back"
    RELEASED = "released"
    ROLLED_BACK = "withdrawn"


ROLLBACK_PHASES = (ReleasePhase.ROLLING_BACK, ReleasePhase.ROLLED_BACK)
UNFINISHED_PHASES = (ReleasePhase.CANDIDATE, ReleasePhase.ROLLING_BACK)


class RetrySafety(Enum):
    """Which further attempts a route allows once an attempt may have run."""

    IDEMPOTENT = "retriable"
    """Any further attempt."""
    DEDUPLICATED = "deduped"
    """A further attempt within the deduplication scope and window, where servers drop a second run."""
    AT_MOST_ONCE = "non_retriable"
    """No further attempt."""


class DeduplicationScope(Enum):
    """Which servers recognise a second attempt of a request, relative to the server of the first."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class EndpointState(Enum):
    """State of a server as discovery reports it."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointUpdateKind(Enum):
    """Content of an endpoint update."""

    UPDATE = "changes"
    """The changed entries."""
    SNAPSHOT = "full"
    """The complete list."""
    CACHED = "remembered"
    """A list that an earlier process stored."""
    REFUSED = "refused"
    """Nothing: discovery refused the watch."""


@dataclass(frozen=True, slots=True)
class Route:
    """A class of requests with its objective and retry rules, from the settings."""

    name: str
    latency_objective: float
    """Seconds within which a response has its full value."""
    retry_safety: RetrySafety
    deduplication_scope: DeduplicationScope
    deduplication_window: float
    """Seconds after the first attempt that may have run during which servers drop a second run."""


@dataclass(frozen=True, slots=True)
class ReleaseSettings:
    """How candidates are exposed and how votes on them take effect."""

    exposure_limits: Sequence[float]
    """For each stage, the share of requests from 0 to 1 that may be sent to the candidate."""
    counted_by_route: bool
    """Whether the exposure limit applies to each route separately."""
    idempotent_only_stages: int
    """Number of first stages in which a candidate gets idempotent requests only."""
    one_way: bool
    """Whether a key that a newer build served may never go to an older one."""
    exposure_window: float
    """Seconds over which attempts and requests are counted for the exposure limit."""
    exposure_slack: float
    """Attempts allowed beyond the limit in each window."""
    advances_by_timer: bool
    """Whether stages advance by timer, without votes."""
    vote_lifetime: float
    """Seconds for which a vote counts at the release controller."""
    votes_to_promote: int
    votes_to_roll_back: int
    votes_per_second: float
    """Votes per second that the release controller accepts from all instances together."""
    metrics_period: float
    """Seconds that one metrics report of the platform covers."""
    concurrent_candidates: int = 1
    """Number of candidates that may be in release at the same time."""


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Configuration of one instance."""

    seed: int
    routes: Mapping[str, Route]
    release: ReleaseSettings
    zone: str
    """Zone of this instance."""
    instance_number: int
    """Index of this instance among its peers, from 0."""
    instance_count: int
    gossip_enabled: bool
    """Whether instances may send messages to each other."""
    connection_idle_timeout: float
    """Seconds after which a server may close an idle connection."""
    cold_capacity: float
    """Share of its capacity, from 0 to 1, that a server has when it starts."""
    warm_up_time: float
    """Seconds from the start of a server until it has its full capacity."""
    overload_multiple: float
    """Load as a multiple of its capacity at which a cold server collapses."""
    max_attempts: int
    """Largest number of attempts of a request."""
    may_watch_endpoints: bool
    """Whether discovery sends endpoints in response to `Runtime.watch_endpoints`."""
    max_retry_after: float
    """Longest Retry-After of a rejection, in seconds; 0 if clients may not be asked to wait."""
    restarted: bool = False
    """Whether attempts of an earlier process of this instance may still count toward the exposure limit."""
    max_tracked_keys: int | None = None
    """Largest number of affinity keys that are remembered; None for the default."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An entry of the endpoint list of discovery: one server."""

    server_id: str
    zone: str
    cell: int
    """Failure domain within the zone."""
    build: int
    state: EndpointState
    capacity_hint: float
    """Size of the server relative to others; 0 if it is not known."""
    started_at: float
    """Start time in seconds on the runtime's clock; 0 or less if it is not known."""
