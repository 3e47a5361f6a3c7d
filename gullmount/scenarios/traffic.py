"""How much traffic each proxy instance gets, and how costly it is, as faults change both."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from gullmount.scenarios.config import ScenarioConfig


class HeavyTail(NamedTuple):
    """A share of a route's requests, from 0 to 1, which cost so many times their usual work."""

    share: float
    multiple: float


class Traffic:
    """Rates of requests and costs of them.

    Attributes:
        total_rate: first attempts a second at all instances, without faults.
        rates: likewise at each instance, by its number.
        multiple: how many times the usual traffic comes, for a fault.
        extra_shares: what an instance gets for a fault beyond its rate, as a share of `total_rate`; by its
            number.
        heavy_tails: faults by route.
    """

    def __init__(self, config: ScenarioConfig, fleet_speed: float, seed: int) -> None:
        """Spread the scenario's traffic; `fleet_speed` is the sum of the servers' speeds."""
        count = config.umpires.count
        total_share = sum(route.share for route in config.routes)
        work_per_request = sum(route.share * route.work for route in config.routes) / total_share
        capacity = fleet_speed * config.boxes.cores / work_per_request
        self.total_rate = config.load.rate or config.load.share * capacity
        weights: list[float] = [(number + 1) ** -config.umpires.skew for number in range(count)]
        self.rates = [self.total_rate * weight / sum(weights) for weight in weights]
        self.multiple = 1.0
        self.extra_shares: dict[int, float] = {}
        self.heavy_tails: dict[str, HeavyTail] = {}
        self._draw = Random(seed).random

    def rate(self, number: int) -> float:
        """Return the first attempts a second that now come to instance `number`."""
        return self.rates[number] * self.multiple + self.extra_shares.get(number, 0.0) * self.total_rate

    def work_multiple(self, route: str) -> float:
        """Draw how many times its usual work a request of the route costs."""
        heavy_tail = self.heavy_tails.get(route)
        if heavy_tail is None or self._draw() >= heavy_tail.share:
            return 1.0
        return heavy_tail.multiple
