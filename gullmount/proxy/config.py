"""The YAML file of one proxy instance: fields have its keys, the other modules the terms of the field.

Validated once at the start; nothing reads the file later. Times are in seconds, sizes in bytes.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal, Self

from pydantic import AfterValidator, Field, PositiveFloat, PositiveInt, model_validator

from gullmount.decisions.model import (
    DeduplicationScope,
    InstanceSettings,
    ReleaseSettings,
    RetrySafety,
    Route,
)
from gullmount.net.types import parse_address
from gullmount.proxy.errors import (
    DeduplicationUnconfiguredError,
    DuplicateRouteError,
    HeaderNameError,
    InstanceNumberError,
    LatencyObjectiveError,
    ReservedRouteNameError,
)
from gullmount.yamlfile import Described

AT_MOST_ONCE_SUFFIX = " once"  # ends the name of a route's variant for requests that cannot be sent twice


def check_address(text: str) -> str:
    """Return the address. Raises ValueError where it is none."""
    parse_address(text)
    return text


def normalize_header(text: str) -> str:
    """Return the header's name in lower case. Raises HeaderNameError where it is none."""
    if not re.fullmatch(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+", text):
        raise HeaderNameError
    return text.lower()


Address = Annotated[str, AfterValidator(check_address)]
HeaderName = Annotated[str, AfterValidator(normalize_header)]
Fraction = Annotated[float, Field(ge=0, le=1)]
NonNegativeFloat = Annotated[float, Field(ge=0)]
NonNegativeInt = Annotated[int, Field(ge=0)]


class RouteMatch(Described):
    """Which requests belong to a route; all that is given must match.

    `*` in the path stands for one segment or, at its end, for all that follows.
    """

    method: list[str] = []
    path: str = "/*"
    headers: dict[HeaderName, str] = {}

    def pattern(self) -> re.Pattern[str]:
        """Return the pattern of matching targets, with any query."""
        parts = self.path.split("*")
        leading_segments = "[^/?]*".join(re.escape(part) for part in parts[:-1])
        if len(parts) == 1:
            return re.compile(re.escape(self.path) + r"(\?.*)?", re.ASCII | re.DOTALL)
        pattern_text = leading_segments + "[^/?]*" if parts[-1] else leading_segments + ".*"
        return re.compile(pattern_text + re.escape(parts[-1]) + r"(\?.*)?", re.ASCII | re.DOTALL)


class RouteConfig(Described):
    """A route.

    Attributes:
        objective: the latency objective.
        repeats: the retry safety.
        group: the deduplication scope.
        dedupe_window: for which servers of the scope drop a repeat.
        dedupe_mark: the header by which they know it; a request without it goes out once only.
        stream: whether responses are relayed as they come.
    """

    name: Annotated[str, Field(min_length=1, max_length=100)]
    match: RouteMatch = RouteMatch()
    objective: PositiveFloat
    timeout: PositiveFloat
    repeats: RetrySafety
    group: DeduplicationScope = DeduplicationScope.ALL
    dedupe_window: NonNegativeFloat = 0.0
    dedupe_mark: HeaderName | None = None
    stream: bool = False

    @model_validator(mode="after")
    def check_consistency(self) -> Self:
        """Return the route. Raises ConfigError where its values contradict each other."""
        if self.name.endswith(AT_MOST_ONCE_SUFFIX):
            raise ReservedRouteNameError(AT_MOST_ONCE_SUFFIX)
        if self.repeats is RetrySafety.DEDUPLICATED and not (self.dedupe_window and self.dedupe_mark):
            raise DeduplicationUnconfiguredError
        if self.objective > self.timeout:
            raise LatencyObjectiveError
        return self

    def route(self, name: str, retry_safety: RetrySafety, deduplication_window: float) -> Route:
        """Return the route as the router takes it."""
        return Route(name, self.objective, retry_safety, self.group, deduplication_window)


class AffinityKeyConfig(Described):
    """Where a request's affinity key is: a header, a cookie or a segment of the path, counted from 0.

    The first one found counts.
    """

    header: HeaderName | None = None
    cookie: str | None = None
    segment: NonNegativeInt | None = None


class DownstreamConfig(Described):
    """Limits on clients, and how they say for how long they wait.

    Attributes:
        patience_header: says it in milliseconds.
        margin: before the client's deadline, by which the response leaves here.
        head_most: of a request's head.
        body_most: of a request's body.
        body_kept: of a body that is buffered, and can be sent twice.
        read_within: for the next bytes of a request.
        idle: between requests of a connection.
        write_within: for the client to take what is written.
    """

    patience_header: HeaderName = "x-patience-ms"
    margin: NonNegativeFloat = 0.005
    head_most: PositiveInt = 32768
    body_most: PositiveInt = 16 << 20
    body_kept: NonNegativeInt = 1 << 20
    connections: PositiveInt = 4096
    read_within: PositiveFloat = 10.0
    idle: PositiveFloat = 60.0
    write_within: PositiveFloat = 10.0


class UpstreamConfig(Described):
    """Limits on servers.

    Attributes:
        cold_share: part of its capacity that a server has when it starts.
        warm_time: until it has all of it.
        tip_multiple: of its expected latency, from which a server counts as overloaded.
        max_tries: attempts of one request.
        link_idle: after which an idle connection is not used any more.
        links: connections to one server.
        answer_kept: of a response that is buffered; a longer one is relayed as it comes.
        not_begun_header: by which a server says that it did not begin a request.
    """

    cold_share: Fraction
    warm_time: PositiveFloat
    tip_multiple: PositiveFloat
    max_tries: PositiveInt
    connect_within: PositiveFloat = 0.25
    link_idle: PositiveFloat = 15.0
    links: PositiveInt = 256
    answer_kept: NonNegativeInt = 1 << 20
    not_begun_header: HeaderName = "x-not-begun"


class ReleaseConfig(Described):
    """How builds are exposed and what votes bring about; `ReleaseSettings` has the field's terms."""

    caps: Annotated[list[Fraction], Field(min_length=1)]
    by_route: bool = False
    closed_stages: NonNegativeInt = 0
    one_way: bool = False
    window: PositiveFloat
    spare_tries: NonNegativeFloat
    timed: bool = False
    vote_life: PositiveFloat
    to_advance: NonNegativeInt
    back_votes: PositiveInt
    votes_per_s: PositiveFloat
    tally_period: NonNegativeFloat = 0.0
    at_once: PositiveInt = 1

    def release_settings(self) -> ReleaseSettings:
        """Return the same in the terms of the decisions."""
        return ReleaseSettings(
            exposure_limits=self.caps,
            counted_by_route=self.by_route,
            idempotent_only_stages=self.closed_stages,
            one_way=self.one_way,
            exposure_window=self.window,
            exposure_slack=self.spare_tries,
            advances_by_timer=self.timed,
            vote_lifetime=self.vote_life,
            votes_to_promote=self.to_advance,
            votes_to_roll_back=self.back_votes,
            votes_per_second=self.votes_per_s,
            metrics_period=self.tally_period,
            concurrent_candidates=self.at_once,
        )


class DiscoveryConfig(Described):
    """Where discovery is: `push` is watched from the start, `ask` when the router asks."""

    address: Address
    how: Literal["push", "ask"] = "push"


class ReleaseControllerConfig(Described):
    """Where the release controller is, and within which time it answers a vote."""

    address: Address
    answer_within: PositiveFloat = 2.0


class PeerConfig(Described):
    """Where this instance receives gossip, and where all do, by number."""

    listen: Address
    addresses: dict[NonNegativeInt, Address]


class ProxyConfig(Described):
    """The whole file.

    Attributes:
        number: of this instance, from 0.
        of: how many instances there are.
        connect_from: the host that connections come from, where the machine has several.
        remembered: path of the file that outlives the process.
        key: where a request's affinity key is.
        max_retry_after: highest Retry-After of a rejected request; 0 for none.
    """

    number: NonNegativeInt
    of: PositiveInt
    zone: str
    listen: Address
    connect_from: str | None = None
    seed: int | None = None
    remembered: str | None = None
    roster: DiscoveryConfig
    launcher: ReleaseControllerConfig
    peers: PeerConfig | None = None
    routes: Annotated[list[RouteConfig], Field(min_length=1)]
    key: list[AffinityKeyConfig] = []
    clients: DownstreamConfig = DownstreamConfig()
    boxes: UpstreamConfig
    releases: ReleaseConfig
    max_retry_after: NonNegativeFloat = 0.0

    @model_validator(mode="after")
    def check_consistency(self) -> Self:
        """Return the configuration. Raises ConfigError where its values contradict each other."""
        names = [route.name for route in self.routes]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise DuplicateRouteError(duplicates)
        if self.number >= self.of:
            raise InstanceNumberError(self.number, self.of)
        return self

    def instance_settings(self, seed: int, restarted: bool) -> InstanceSettings:
        """Return the same as the router takes it.

        Each route has a variant for requests that go out once only.
        """
        routes: dict[str, Route] = {}
        for config in self.routes:
            at_most_once_name = config.name + AT_MOST_ONCE_SUFFIX
            routes[config.name] = config.route(config.name, config.repeats, config.dedupe_window)
            routes[at_most_once_name] = config.route(config.name, RetrySafety.AT_MOST_ONCE, 0.0)
        return InstanceSettings(
            seed=seed,
            routes=routes,
            release=self.releases.release_settings(),
            zone=self.zone,
            instance_number=self.number,
            instance_count=self.of,
            gossip_enabled=self.peers is not None,
            connection_idle_timeout=self.boxes.link_idle,
            cold_capacity=self.boxes.cold_share,
            warm_up_time=self.boxes.warm_time,
            overload_multiple=self.boxes.tip_multiple,
            max_attempts=self.boxes.max_tries,
            may_watch_endpoints=self.roster.how == "ask",
            max_retry_after=self.max_retry_after,
            restarted=restarted,
        )
