"""The YAML file of a scenario: fields have its keys, the other modules the terms of the field.

Times are in seconds from the first client on, shares from 0 to 1. A pair is a range, from which the seed
draws one value.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal, Self

from pydantic import Field, NonNegativeFloat, PositiveFloat, PositiveInt, model_validator

from gullmount.scenarios.errors import (
    ReleaseOrderError,
    StageLimitsError,
    UnknownRouteError,
    UnknownZoneError,
)
from gullmount.yamlfile import YamlModel

Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=0)]
Range = tuple[NonNegativeFloat, NonNegativeFloat]


class LinksConfig(YamlModel):
    """The network between the processes.

    Attributes:
        same: delay one way within a zone.
        cross: delay one way between zones.
        jitter: share of the delay by which it varies.
        messages: delay of a datagram between proxy instances.
        message_loss: share of the datagrams that get lost.
    """

    same: NonNegativeFloat = 0.0002
    cross: NonNegativeFloat = 0.002
    jitter: Share = 0.2
    messages: Range = (0.001, 0.02)
    message_loss: Share = 0.0


class ProxiesConfig(YamlModel):
    """The proxy instances.

    Attributes:
        count: of them.
        skew: how unevenly traffic is spread over them, 0 for evenly.
        may_tell: whether they exchange gossip.
    """

    count: Annotated[int, Field(ge=1, le=250)]
    skew: NonNegativeFloat = 0.5
    may_tell: bool = False


class ServersConfig(YamlModel):
    """The servers.

    Proxy instances are configured with `cold_share` and `warm_time`; the true values are drawn from a range
    beside them.

    Attributes:
        count: of them.
        cores: of each.
        speed: of each, 1 for the usual.
        slots_per_core: requests in flight at a core that don't slow it.
        queue_per_core: requests that wait for a core.
        thrash: how much slower a server gets with twice as many.
        cold_share: of its capacity that a server has as it starts.
        warm_time: until it has all of its capacity.
        cell_size: servers of one cell.
        error_rate: share of the requests that fail without a fault.
        stops: which attempts end when the caller gives up.
        connections: that a server accepts at once.
        handshake_work: of a core for each new connection.
        boot: from the start of the process until it listens.
        drain_time: from the withdrawal of the endpoint until the process ends.
    """

    count: PositiveInt
    cores: PositiveInt = 2
    speed: Range = (0.9, 1.1)
    slots_per_core: PositiveFloat = 4.0
    queue_per_core: PositiveFloat = 16.0
    thrash: NonNegativeFloat = 0.1
    cold_share: Share = 0.32
    warm_time: PositiveFloat = 4.9
    cell_size: PositiveInt = 4
    error_rate: Share = 0.0002
    stops: Literal["none", "queued", "all"] = "all"
    connections: PositiveInt = 800
    handshake_work: NonNegativeFloat = 0.0005
    boot: Range = (1.2, 2.4)
    drain_time: PositiveFloat = 2.0


class LoadConfig(YamlModel):
    """The traffic.

    Attributes:
        share: of the servers' capacity that is asked for.
        rate: first attempts a second; if it is given, `share` is not used.
        keys: number of affinity keys, 0 for requests without.
        key_skew: how much more popular some keys are, 0 for all alike.
    """

    share: PositiveFloat = 0.5
    rate: PositiveFloat | None = None
    keys: Count = 4000
    key_skew: NonNegativeFloat = 0.6


class ClientsConfig(YamlModel):
    """How clients behave.

    Attributes:
        retries: of one request at most.
        backoff: how the wait before a retry grows.
        backoff_time: the first wait.
        patience_share: of the route's timeout that a client waits for one attempt.
        honour: share of the Retry-After answers that a client obeys.
        impatient: share of the requests whose client gives up early.
    """

    retries: Count = 2
    backoff: Literal["none", "fixed", "exp"] = "fixed"
    backoff_time: NonNegativeFloat = 0.1
    patience_share: Annotated[float, Field(gt=0, le=1)] = 0.8
    honour: Share = 0.6
    impatient: Share = 0.0


class ScenarioRouteConfig(YamlModel):
    """A route: what clients send on it, and what proxy instances are configured with.

    Attributes:
        share: of the traffic, relative to the other routes'.
        work: seconds of a core for a request, in the mean.
        spread: standard deviation of the work, relative to the mean.
        objective: the latency objective.
        timeout: until which a client waits in all.
        repeats: the retry safety.
        group: the deduplication scope.
        dedupe_window: for which servers of the scope drop a repeat.
        payoff: value of a response within the objective.
        late_payoff: share of the payoff that a later response is worth.
    """

    name: str
    method: str = "GET"
    path: str
    share: PositiveFloat
    work: PositiveFloat
    spread: NonNegativeFloat = 0.7
    objective: PositiveFloat
    timeout: PositiveFloat
    repeats: Literal["retriable", "deduped", "non_retriable"]
    group: Literal["all", "zone", "cell"] = "all"
    dedupe_window: NonNegativeFloat = 0.0
    payoff: PositiveFloat = 1.0
    late_payoff: Share = 0.2


class DiscoveryEmulatorConfig(YamlModel):
    """How discovery learns of servers and sends updates.

    Attributes:
        how: whether proxy instances watch or poll.
        notice: delay until a server that drains or stops is noticed.
        silent_notice: delay until a server that died is noticed.
        add: delay until a new server is listed.
        period: between updates.
        refuse: share of the calls that are refused.
    """

    how: Literal["push", "ask"] = "push"
    notice: NonNegativeFloat = 1.5
    silent_notice: NonNegativeFloat = 6.0
    add: NonNegativeFloat = 0.6
    period: PositiveFloat = 0.3
    refuse: Share = 0.0


class ReleaseControllerEmulatorConfig(YamlModel):
    """How the release controller offers builds, counts votes and sends release statuses.

    Attributes:
        control: `timer` where stages advance without votes; else as the votes say.
        at_once: candidates beside each other.
        beside: whether a candidate's servers run beside the baseline's, not in their place.
        shares: of the servers that run the candidate, by stage.
        caps: exposure limit, by stage.
        bake: from a stage's clock on, before votes to promote count.
        step: of a stage that a timer ends.
        to_advance: votes that a stage needs.
        back_votes: votes that a rollback needs.
        hold_votes: votes that stop a stage's timer.
        vote_life: for which a vote counts.
        votes_per_s: votes a second that are taken from all instances together.
        answer_time: until a vote is answered.
        answer_within: after which instances give up such a call.
        told_late: delay of a release status.
        push_every: within which a status is sent again where nothing changes.
        tally_period: that one report of the metrics covers, 0 for none.
        tally_sample: share of the attempts that the metrics count.
        tally_late: delay of the metrics.
    """

    control: Literal["any", "share", "timer"] = "any"
    at_once: Annotated[int, Field(ge=1, le=2)] = 1
    beside: bool = False
    shares: list[Share] = [0.05, 0.2, 0.5, 1.0]
    caps: list[Share] = [0.07, 0.28, 0.7, 1.0]
    bake: NonNegativeFloat = 1.0
    step: PositiveFloat = 4.0
    to_advance: PositiveInt = 1
    back_votes: PositiveInt = 1
    hold_votes: Count = 0
    vote_life: PositiveFloat = 10.0
    votes_per_s: PositiveFloat = 50.0
    answer_time: Range = (0.03, 0.15)
    answer_within: PositiveFloat = 2.0
    told_late: Range = (0.2, 0.8)
    push_every: PositiveFloat = 4.0
    tally_period: NonNegativeFloat = 0.0
    tally_sample: Share = 0.2
    tally_late: NonNegativeFloat = 1.0

    @model_validator(mode="after")
    def _validate_stages(self) -> Self:
        if len(self.shares) != len(self.caps) or not self.caps:
            raise StageLimitsError
        return self


class RulesConfig(YamlModel):
    """The figures of the rules that the checker and, in part, the proxy instances go by.

    Attributes:
        answer_slack: after the client's time, within which a response still counts as in time.
        drain_grace: for which a draining server may still be sent attempts.
        fall_multiple: times its capacity that a server which warms up bears.
        fall_time: over which that is counted.
        window: in which attempts count against the exposure limit.
        spare_tries: attempts allowed beyond the limit in each window.
        by_route: whether the exposure limit holds for each route by itself.
        closed_stages: first stages that admit idempotent requests only.
        one_way: whether a key that a newer build answered goes to no older one.
        max_tries: attempts of one request.
        connect_within: until which a server must have accepted a connection.
    """

    answer_slack: NonNegativeFloat = 0.02
    drain_grace: PositiveFloat = 0.5
    fall_multiple: PositiveFloat = 4.0
    fall_time: PositiveFloat = 2.0
    window: PositiveFloat = 3.0
    spare_tries: NonNegativeFloat = 2.0
    by_route: bool = False
    closed_stages: Count = 0
    one_way: bool = False
    max_tries: PositiveInt = 4
    connect_within: PositiveFloat = 0.25


class CandidateConfig(YamlModel):
    """A build that is offered for release.

    Attributes:
        at: when.
        speed: of its servers, 1 for the usual.
        bad: what is wrong with it, empty for nothing; docs/scenarios.md says what each word means.
        size: how bad it is.
        route: the route on which it is bad, drawn if empty and needed.
        zone: the one zone in which it is bad, empty for all.
    """

    at: NonNegativeFloat
    speed: PositiveFloat = 1.0
    bad: Literal["", "errors", "class", "slow", "load", "late", "wrong", "shared"] = ""
    size: Share = 0.5
    route: str = ""
    zone: str = ""


class FaultKind(StrEnum):
    """What can go wrong, by the word in files and records."""

    RESPONSES_LOST = "answer_lost"
    TRAFFIC_BURST = "burst"
    SERVER_CRASH = "crash"
    FALSE_LOAD_REPORTS = "false_reports"
    IMPATIENT_CLIENTS = "give_up"
    SLOW_HANDSHAKES = "handshake_slow"
    HEAVY_TAIL = "heavy_tail"
    HOT_PROXIES = "hot_caller"
    LATE_RELEASE_STATUS = "launcher_late"
    RELEASE_CONTROLLER_STALL = "launcher_stalls"
    GOSSIP_LOST = "messages_lost"
    NOISY_NEIGHBOUR = "neighbour"
    FAILING_HEALTH_CHECKS = "probe_fail"
    ENDLESS_RETRIES = "retry_abuse"
    DISCOVERY_DOWN = "roster_down"
    DISCOVERY_LATE = "roster_late"
    SHARED_SLOWDOWN = "shared_slow"
    SLOW_LINKS = "slow_link"
    PROXY_KILL = "umpire_killed"
    ROLLING_PROXY_RESTART = "umpires_rolled"
    VOTES_LOST = "votes_lost"
    ZONE_PARTITION = "zone_cut"
    ZONE_LOSS = "zone_lost"


class FaultConfig(YamlModel):
    """Something that goes wrong; docs/scenarios.md says what each kind makes of the figures.

    Attributes:
        at: when it begins.
        length: how long it lasts.
        part: of the servers or instances that it hits.
        size: how hard it hits.
        extra: a second figure of some kinds.
        how: the variant of some kinds.
        zone: the zone that it hits, drawn if empty and needed.
        route: the route that it hits, likewise.
        build: the build that it hits, 0 for all.
    """

    kind: FaultKind
    at: NonNegativeFloat
    length: PositiveFloat = 5.0
    part: Share = 0.3
    size: NonNegativeFloat = 0.5
    extra: NonNegativeFloat = 0.0
    how: str = ""
    zone: str = ""
    route: str = ""
    build: Count = 0


class ScenarioConfig(YamlModel):
    """A scenario.

    Attributes:
        name: of the scenario.
        about: what it is for.
        length: for which clients come.
        seed: of all draws, if the command names no other.
        zones: names of the zones.
        links: the network.
        umpires: the proxy instances.
        boxes: the servers.
        load: the traffic.
        clients: how they behave.
        routes: what they ask for.
        roster: discovery.
        launcher: the release controller.
        rules: what is checked.
        max_retry_after: the longest Retry-After that clients take.
        releases: builds that are offered, in the order of their times.
        troubles: the faults, in any order.
    """

    name: str
    about: str = ""
    length: PositiveFloat
    seed: int = 1
    zones: Annotated[list[str], Field(min_length=1)] = ["makati", "pasig", "quezon-city"]
    links: LinksConfig = LinksConfig()
    umpires: ProxiesConfig
    boxes: ServersConfig
    load: LoadConfig = LoadConfig()
    clients: ClientsConfig = ClientsConfig()
    routes: Annotated[list[ScenarioRouteConfig], Field(min_length=1)]
    roster: DiscoveryEmulatorConfig = DiscoveryEmulatorConfig()
    launcher: ReleaseControllerEmulatorConfig = ReleaseControllerEmulatorConfig()
    rules: RulesConfig = RulesConfig()
    max_retry_after: NonNegativeFloat = 0.5
    releases: list[CandidateConfig] = []
    troubles: list[FaultConfig] = []

    @model_validator(mode="after")
    def _validate_scenario(self) -> Self:
        routes = {route.name for route in self.routes}
        for index, fault in enumerate(self.troubles):
            if fault.zone and fault.zone not in self.zones:
                raise UnknownZoneError(f"troubles.{index}", fault.zone)
            if fault.route and fault.route not in routes:
                raise UnknownRouteError(f"troubles.{index}", fault.route)
        for index, release in enumerate(self.releases):
            if release.zone and release.zone not in self.zones:
                raise UnknownZoneError(f"releases.{index}", release.zone)
        times = [release.at for release in self.releases]
        if times != sorted(times):
            raise ReleaseOrderError
        return self
