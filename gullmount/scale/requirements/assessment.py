"""Requirements held against measured slopes. No I/O.

Each gets its need at the target and the size of the fleet at which its budget is spent. A requirement whose
slopes were not measured says so.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import cached_property
from math import log10

from gullmount.scale.figures import MIN_DECADES, MIN_POINTS, Figures, Slope
from gullmount.scale.fit import Curve, Estimate
from gullmount.scale.requirements.model import FleetSize, Requirement

# Shares of the target between which a breaking point is looked for, by bisection on a logarithmic axis.
MIN_SHARE, MAX_SHARE = 1e-4, 10.0
BISECTIONS = 40


@dataclass(frozen=True)
class Assessment:
    """A requirement with its figures.

    Attributes:
        need: at the target; None where it was not measured.
        budget: at the target, in the requirement's unit.
        breaking_point: the share of the target at which the budget is spent, by the need and by the ends of
            its interval.
        missing_slopes: names of the slopes that the need lacks.
    """

    requirement: Requirement
    need: Estimate | None = None
    budget: float | None = None
    breaking_point: Estimate | None = None
    missing_slopes: tuple[str, ...] = ()


def is_usable(slope: Slope) -> bool:
    """Return whether a slope has enough points over enough decades to rest a requirement on."""
    xs = [point.x for point in slope.points]
    return len(xs) >= MIN_POINTS and log10(xs[-1] / xs[0]) >= MIN_DECADES


class CapacityModel:
    """Assesses requirements by figures.

    Attributes:
        slopes: those that are usable, by name.
    """

    def __init__(self, figures: Figures) -> None:
        self.target = figures.target
        self.slopes = {name: slope for name, slope in figures.slopes.items() if is_usable(slope)}

    @cached_property
    def curves(self) -> Mapping[str, Curve]:
        """Return the usable slopes as functions, by name."""
        return {name: Curve(slope.points) for name, slope in self.slopes.items()}

    def need(self, requirement: Requirement, share: float) -> Estimate:
        """Return the need at a share of the target; all slopes of the requirement must be usable."""
        size = FleetSize(self.target, share)
        value = low = high = 0.0
        extrapolation = 1.0
        for term in requirement.terms:
            times = term.times(size)
            cost = self.curves[term.slope].estimate(term.x(size))
            value, low, high = value + cost.value * times, low + cost.low * times, high + cost.high * times
            extrapolation = max(extrapolation, cost.extrapolation)
        return Estimate(value, low, high, extrapolation)

    def _share_that_spends(
        self, requirement: Requirement, budget: float, end_of: Callable[[Estimate], float]
    ) -> float:
        """Return the smallest share at which the need reaches the budget, or an end of the searched span."""
        if end_of(self.need(requirement, MIN_SHARE)) >= budget:
            return MIN_SHARE
        if end_of(self.need(requirement, MAX_SHARE)) < budget:
            return MAX_SHARE
        low, high = log10(MIN_SHARE), log10(MAX_SHARE)
        for _ in range(BISECTIONS):
            middle = (low + high) / 2
            if end_of(self.need(requirement, 10**middle)) >= budget:
                high = middle
            else:
                low = middle
        return float(10**high)

    def _breaking_point(self, requirement: Requirement, budget: float) -> Estimate:
        share = self._share_that_spends(requirement, budget, lambda need: need.value)
        low = self._share_that_spends(requirement, budget, lambda need: need.high)
        high = self._share_that_spends(requirement, budget, lambda need: need.low)
        return Estimate(share, low, high, self.need(requirement, share).extrapolation)

    def assess(self, requirement: Requirement) -> Assessment:
        """Return the requirement's need at the target and its breaking point, as far as they are known."""
        missing = tuple(term.slope for term in requirement.terms if term.slope not in self.slopes)
        budget = requirement.budget.limit(self.target) if requirement.budget is not None else None
        if requirement.unmet_reason:
            return Assessment(requirement, budget=budget, breaking_point=Estimate(0.0, 0.0, 0.0))
        if missing or not requirement.terms:
            return Assessment(requirement, budget=budget, missing_slopes=missing)
        need = self.need(requirement, 1.0)
        if budget is None:
            return Assessment(requirement, need)
        return Assessment(requirement, need, budget, self._breaking_point(requirement, budget))

    def assess_all(self, requirements: Iterable[Requirement]) -> list[Assessment]:
        """Return what breaks first first, then what has no budget, then what was not measured."""

        def order(assessment: Assessment) -> tuple[float, str, str]:
            without_break = 2 * MAX_SHARE + (assessment.need is None)
            share = assessment.breaking_point.value if assessment.breaking_point else without_break
            return share, assessment.requirement.role, assessment.requirement.description

        return sorted(map(self.assess, requirements), key=order)
