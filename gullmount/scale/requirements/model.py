"""What a requirement is: a role's need as a sum of measured costs, and its budget. No I/O.

A fleet's size is a share of the target: proxies, servers, services, routes, tenants and the changes of a day
grow together, so that a proxy always carries as many requests.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from gullmount.scale.figures import Target

SECONDS_PER_DAY = 86_400.0


@dataclass(frozen=True)
class FleetSize:
    """A share of the target; 1 is the target itself."""

    target: Target
    share: float = 1.0

    @property
    def servers(self) -> float:
        """Return the number of servers."""
        return self.target.servers * self.share

    @property
    def proxies(self) -> float:
        """Return the number of proxy instances."""
        return self.target.proxies * self.share

    @property
    def routes(self) -> float:
        """Return the number of routes."""
        return self.target.routes * self.share

    @property
    def tenants(self) -> float:
        """Return the number of tenants."""
        return self.target.tenants * self.share

    @property
    def requests_per_second_per_proxy(self) -> float:
        """Return the rate at one proxy, which is the same at each size."""
        return self.target.requests_per_second / self.target.proxies

    @property
    def endpoint_changes_per_second(self) -> float:
        """Return the mean rate of changed endpoints on an ordinary day."""
        return self.target.endpoint_changes_per_day * self.share / SECONDS_PER_DAY

    @property
    def configuration_changes_per_second(self) -> float:
        """Return the mean rate of changes of configuration."""
        return self.target.configuration_changes_per_day * self.share / SECONDS_PER_DAY

    @property
    def restarts_per_second(self) -> float:
        """Return the mean rate of restarts, all of which are taken for restarts of proxies."""
        return self.target.restarts_per_day * self.share / SECONDS_PER_DAY


SizeFunction = Callable[[FleetSize], float]


class Role(StrEnum):
    """What has a need; the values are the words of the capacity page."""

    PROXY = "umpire"
    SERVER = "box"
    DISCOVERY = "list service"
    RELEASE_CONTROLLER = "control service"
    REPLICA = "keeper"
    LEADER = "owner, judge"


class Aspect(StrEnum):
    """What a need is for; the values are the words of the capacity page."""

    STATE = "state"
    MEMORY = "memory"
    MESSAGES = "messages"
    PROCESSOR_TIME = "processor time"
    TIME = "time"


@dataclass(frozen=True)
class CostTerm:
    """The cost that slope `slope` has at `x`, `times` over."""

    slope: str
    x: SizeFunction
    times: SizeFunction = lambda _: 1.0


@dataclass(frozen=True)
class Budget:
    """What may be spent, in the requirement's unit, and where the limit comes from."""

    limit: Callable[[Target], float]
    source: str


@dataclass(frozen=True)
class Requirement:
    """One need of a role.

    Attributes:
        mechanism: what carries it at present.
        unit: of need and budget.
        terms: costs whose sum is the need; without any it was not measured.
        budget: None where the target names none.
        unmet_reason: stands in place of figures where no mechanism exists, so that no size is carried.
    """

    role: Role
    aspect: Aspect
    description: str
    mechanism: str
    unit: str = ""
    terms: tuple[CostTerm, ...] = ()
    budget: Budget | None = None
    unmet_reason: str = ""
