"""Competing models of why all servers slow down at once, fitted by least squares and ranked.

A build that hurts what all share slows them as far as its share has moved, each time that it moves; a
dependency slows them whatever the shares do; load slows them as it rises. Each model pays for its free
parameters by the Bayesian information criterion (BIC).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import log
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

from gullmount.decisions.attribution.findings import Cause

SLICE_MEAN_DEVIATION_OCTAVES = (
    0.16  # octaves by which a slice's mean latency varies beyond chance: loads, queues
)
BUILD_STRENGTHS = tuple(
    0.25 * 1.25**step for step in range(20)
)  # slowdown per whole share, tried in turn: to 17
RECENT_SLICES = 3  # over which the present rise is taken
MIN_STEP_SLICES = 2  # of a step that is over
BUILD_PARAMETERS = 2.0  # a build's strength, and that there is one
LOAD_PARAMETERS = 2.0
STEP_PARAMETERS = 3.0  # height, begin and end
MIN_SHARE_RANGE = 0.03  # of all attempts, that a share must have spanned to explain anything
MIN_SPREAD = 1e-12  # keeps a step that covers every slice from dividing by zero

FloatArray = NDArray[np.float64]


@dataclass(frozen=True)
class LatencySeries:
    """Mean latency of what serves, slice by slice.

    Attributes:
        means: Mean latency, in octaves.
        variances: Variance of each mean by chance, in octaves squared.
        loads: Attempts per serving server.
        shares: Share of all attempts that a build got, by build.
    """

    means: FloatArray
    variances: FloatArray
    loads: FloatArray
    shares: Mapping[int, FloatArray]


class Fit(NamedTuple):
    """A fitted model: weighted squares left over, and the rise that it sees now, in octaves."""

    residual: float
    rise: float


class LineFit(NamedTuple):
    """A fitted straight line: weighted squares left over, and the slope, at least 0."""

    residual: float
    slope: float


class Model(NamedTuple):
    """A cause with the build that it names (0 for none) and its distance from the best model in BIC."""

    cause: Cause
    build: int
    excess: float


class _ScoredModel(NamedTuple):
    score: float
    cause: Cause
    build: int
    rise: float


@dataclass(frozen=True)
class Explanation:
    """All models, the best first; `rise` in octaves above normal service now, as the best sees it."""

    models: Sequence[Model]
    rise: float

    @property
    def best(self) -> Model:
        """The model with the lowest BIC."""
        return self.models[0]

    @property
    def margin(self) -> float:
        """By how much the second model is worse than the best; 0 where there is one model only."""
        return self.models[1].excess if len(self.models) > 1 else 0.0

    def excess_of_no_slowdown(self) -> float:
        """Return by how much "nothing has happened" is worse than the best model."""
        return next(model.excess for model in self.models if model.cause is Cause.NOTHING)


def explain(series: LatencySeries) -> Explanation:
    """Fit all models to the series and rank them."""
    means = series.means
    count = len(means)
    weights = 1 / (series.variances + SLICE_MEAN_DEVIATION_OCTAVES**2)
    parameter_cost = log(max(2, count))
    no_slowdown = fit_line(means, weights, np.zeros(count))
    ranked = [_ScoredModel(no_slowdown.residual, Cause.NOTHING, 0, 0.0)]
    for build, share in sorted(series.shares.items()):
        if share.max() - share.min() >= MIN_SHARE_RANGE:
            fit = fit_share(means, weights, share)
            score = fit.residual + BUILD_PARAMETERS * parameter_cost
            ranked.append(_ScoredModel(score, Cause.BUILD, build, fit.rise))
    fit = fit_load(means, weights, series.loads)
    ranked.append(_ScoredModel(fit.residual + LOAD_PARAMETERS * parameter_cost, Cause.LOAD, 0, fit.rise))
    fit = fit_step(means, weights)
    ranked.append(_ScoredModel(fit.residual + STEP_PARAMETERS * parameter_cost, Cause.SHARED, 0, fit.rise))
    ranked.sort(key=lambda model: model.score)
    best = ranked[0]
    models = [Model(scored.cause, scored.build, scored.score - best.score) for scored in ranked]
    return Explanation(models, best.rise)


def fit_line(means: FloatArray, weights: FloatArray, regressor: FloatArray) -> LineFit:
    """Fit a level and the shape with a slope that isn't negative."""
    total = weights.sum()
    mean, regressor_mean = (weights * means).sum() / total, (weights * regressor).sum() / total
    spread = (weights * (regressor - regressor_mean) ** 2).sum()
    slope = 0.0
    if spread > 0:
        slope = max(0.0, float((weights * (regressor - regressor_mean) * (means - mean)).sum() / spread))
    intercept = float(mean - slope * regressor_mean)
    return LineFit(float((weights * (means - intercept - slope * regressor) ** 2).sum()), slope)


def fit_load(means: FloatArray, weights: FloatArray, loads: FloatArray) -> Fit:
    """Fit latencies that follow the load, both in octaves."""
    load = np.log2(np.maximum(loads, 1.0))
    line = fit_line(means, weights, load)
    return Fit(line.residual, line.slope * float(load[-RECENT_SLICES:].mean() - np.median(load)))


def fit_share(means: FloatArray, weights: FloatArray, share: FloatArray) -> Fit:
    """Fit latencies that follow 1 + strength x share; of all strengths the best."""
    best = Fit(float("inf"), 0.0)
    for strength in BUILD_STRENGTHS:
        regressor = np.log2(1 + strength * share)
        intercept = float((weights * (means - regressor)).sum() / weights.sum())
        residual = float((weights * (means - intercept - regressor) ** 2).sum())
        if residual < best.residual:
            best = Fit(residual, float(regressor[-RECENT_SLICES:].mean()))
    return best


def fit_step(means: FloatArray, weights: FloatArray) -> Fit:
    """Fit latencies that rose at some slice and may have fallen again; of all such steps the best.

    All steps are fitted at once by running sums: a step explains covariance squared over spread.
    """
    count = len(means)
    deviations = means - (weights * means).sum() / weights.sum()
    total = weights.sum()
    running_weights = np.concatenate(([0.0], np.cumsum(weights)))
    running_sums = np.concatenate(([0.0], np.cumsum(weights * deviations)))
    start, end = np.triu_indices(count + 1, 1)
    has_ended = (end - start >= MIN_STEP_SLICES) & (end < count - 1)
    allowed = (start > 0) & ((end == count) | has_ended)
    start, end = start[allowed], end[allowed]
    inside = running_weights[end] - running_weights[start]
    covariance = np.maximum(0.0, running_sums[end] - running_sums[start])
    spread = np.maximum(inside * (1 - inside / total), MIN_SPREAD)
    residual_reduction = covariance**2 / spread
    best = int(np.argmax(residual_reduction))
    residual = float((weights * deviations**2).sum() - residual_reduction[best])
    rise = float(covariance[best] / spread[best]) if end[best] == count else 0.0
    return Fit(residual, rise)
