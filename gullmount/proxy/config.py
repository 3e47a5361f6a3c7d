"""Defines the YAML configuration file of one proxy instance.

Fields are named after the keys of the file; the methods that return settings translate them to the names
that other modules use. The file is read and validated once, at the start. Times are in seconds, sizes in
bytes.
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
from gullmount.yamlfile import YamlModel

# Suffix for the name of the variant of a route that serves requests which cannot be sent twice.
AT_MOST_ONCE_SUFFIX = " once"


def check_address(text: str) -> str:
    """Return the address unchanged.

    Raises:
        ValueError: The text is not of the form `host:port`.
    """
    parse_address(text)
    return text


def normalize_header(text: str) -> str:
    """Return the header name in lower case.

    Raises:
        HeaderNameError: The text is not a valid header name.
    """
    if not re.fullmatch(r"[A-Za-z0-9!#$%&'*+.^_`|~-]+", text):
        raise HeaderNameError
    return text.lower()


Address = Annotated[str, AfterValidator(check_address)]
HeaderName = Annotated[str, AfterValidator(normalize_header)]
Fraction = Annotated[float, Field(ge=0, le=1)]
NonNegativeFloat = Annotated[float, Field(ge=0)]
NonNegativeInt = Annotated[int, Field(ge=0)]


class RouteMatch(YamlModel):
    """Selects the requests of a route; each condition that is set must match.

    Attributes:
        method: Allowed methods; empty for any.
        path: Pattern of the path. `*` matches within one segment, or at the end everything that follows.
        headers: Required headers with their values.
    """

    method: list[str] = []
    path: str = "/*"
    headers: dict[HeaderName, str] = {}

    def pattern(self) -> re.Pattern[str]:
        """Return a regular expression for the targets that match, with or without a query."""
        parts = self.path.split("*")
        prefix_pattern = "[^/?]*".join(re.escape(part) for part in parts[:-1])
        if len(parts) == 1:
            return re.compile(re.escape(self.path) + r"(\?.*)?", re.ASCII | re.DOTALL)
        pattern_text = prefix_pattern + "[^/?]*" if parts[-1] else prefix_pattern + ".*"
        return re.compile(pattern_text + re.escape(parts[-1]) + r"(\?.*)?", re.ASCII | re.DOTALL)


class RouteConfig(YamlModel):
    """One route.

    Attributes:
        name: Unique name.
        match: Selects the requests of the route.
        objective: Latency objective in seconds.
        timeout: Longest timeout of a request, in seconds; a client may ask for a shorter one.
        repeats: Retry safety.
        group: Deduplication scope.
        dedupe_window: Seconds for which the servers of the scope drop a repeated request.
        dedupe_mark: Header by which they recognise it. A request without this header is sent at most once.
        stream: Whether responses are relayed as they arrive.
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
        """Return the route unchanged.

        Raises:
            ConfigError: Values contradict each other.
        """
        if self.name.endswith(AT_MOST_ONCE_SUFFIX):
            raise ReservedRouteNameError(AT_MOST_ONCE_SUFFIX)
        if self.repeats is RetrySafety.DEDUPLICATED and not (self.dedupe_window and self.dedupe_mark):
            raise DeduplicationUnconfiguredError
        if self.objective > self.timeout:
            raise LatencyObjectiveError
        return self

    def route(self, name: str, retry_safety: RetrySafety, deduplication_window: float) -> Route:
        """Return the route in the form that the router uses."""
        return Route(name, self.objective, retry_safety, self.group, deduplication_window)


class AffinityKeyConfig(YamlModel):
    """Where to find a request's affinity key; the first place that has one counts.

    Attributes:
        header: Header with the key.
        cookie: Cookie with the key.
        segment: Index of the path segment with the key, from 0.
    """

    header: HeaderName | None = None
    cookie: str | None = None
    segment: NonNegativeInt | None = None


class DownstreamConfig(YamlModel):
    """Limits on clients and their connections.

    Attributes:
        patience_header: Header in which a client states its timeout, in milliseconds.
        margin: Time before the client's deadline at which the response must be sent, in seconds.
        head_most: Maximum size of a request's head, in bytes.
        body_most: Maximum size of a request's body, in bytes.
        body_kept: Maximum size of a body that is buffered and can be sent twice, in bytes.
        connections: Maximum number of client connections.
        read_within: Time to wait for the next bytes of a request, in seconds.
        idle: Time that a connection may be idle between requests, in seconds.
        write_within: Time for the client to accept written data, in seconds.
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


class UpstreamConfig(YamlModel):
    """Limits on servers and their connections.

    Attributes:
        cold_share: Share of its capacity that a server has when it starts, from 0 to 1.
        warm_time: Time from its start until it has its full capacity, in seconds.
        tip_multiple: Multiple of its capacity at which a cold server collapses.
        max_tries: Maximum number of attempts per request.
        connect_within: Time to open a connection, in seconds.
        link_idle: Idle time after which a connection is not reused, in seconds.
        links: Maximum number of connections to one server.
        answer_kept: Maximum size of a buffered response, in bytes. A longer one is relayed as it arrives.
        not_begun_header: Response header by which a server states that it did not begin the request.
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


class ReleaseConfig(YamlModel):
    """How builds are exposed and what votes cause.

    `release_settings` maps the fields to those of `ReleaseSettings`, which are documented there.
    """

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
        """Return these settings in the form that the router uses."""
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


class DiscoveryConfig(YamlModel):
    """Address of discovery, and when it is watched: `push` from the start, `ask` at the router's request."""

    address: Address
    how: Literal["push", "ask"] = "push"


class ReleaseControllerConfig(YamlModel):
    """Address of the release controller and its response timeout for votes, in seconds."""

    address: Address
    answer_within: PositiveFloat = 2.0


class PeerConfig(YamlModel):
    """Address at which this instance receives gossip, and the addresses of all instances by number."""

    listen: Address
    addresses: dict[NonNegativeInt, Address]


class ProxyConfig(YamlModel):
    """The configuration file.

    Attributes:
        number: Number of this instance, from 0.
        of: Number of instances.
        zone: Zone in which this instance runs.
        listen: Address at which clients are accepted.
        connect_from: Host address that outgoing connections use, on machines that have several.
        seed: Seed of all random numbers; random by default.
        remembered: Path of the file that keeps state across restarts; by default nothing is kept.
        roster: Address of discovery and when it is watched.
        launcher: Address of the release controller and its response timeout.
        peers: Gossip with the other instances; off by default.
        routes: The routes; the first one that matches a request counts.
        key: Where to find a request's affinity key.
        clients: Limits on clients.
        boxes: Limits on servers.
        releases: How builds are released.
        max_retry_after: Longest Retry-After of a rejected request, in seconds; 0 for none.
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
        """Return the configuration unchanged.

        Raises:
            ConfigError: Values contradict each other.
        """
        names = [route.name for route in self.routes]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise DuplicateRouteError(duplicates)
        if self.number >= self.of:
            raise InstanceNumberError(self.number, self.of)
        return self

    def instance_settings(self, seed: int, restarted: bool) -> InstanceSettings:
        """Return these settings in the form that the router uses.

        Each route gets a second variant for requests that are sent at most once.

        Args:
            seed: Seed of the router's random numbers.
            restarted: Whether attempts of an earlier process may still count for the exposure limit.
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
