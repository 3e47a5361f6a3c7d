"""Fits competing models of a slowdown of all servers by least squares and ranks them.

- A build that impairs a shared resource slows all servers in step with each change of its traffic share.
- A dependency slows all servers independently of the shares.
- Load slows all servers as it rises.

The models are ranked by the Bayesian information criterion (BIC), which adds a penalty for each free
parameter.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import log
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

from gullmount.decisions.attribution.findings import Cause

# Standard deviation of the mean latency of a slice beyond chance, caused by changing loads and queues.
SLICE_MEAN_DEVIATION_OCTAVES = 0.16

# Strengths of the effect of a build that are tried in turn, up to 17. The strength is the relative slowdown
# of all servers while the build has the whole traffic.
BUILD_STRENGTHS = tuple(0.25 * 1.25**step for step in range(20))

# The current rise is the mean over this many slices.
RECENT_SLICES = 3

# Minimum length of a step that has ended.
MIN_STEP_SLICES = 2

# Free parameters: the strength of a build and the presence of its effect.
BUILD_PARAMETERS = 2.0

LOAD_PARAMETERS = 2.0

# Free parameters: the height, start and end of a step.
STEP_PARAMETERS = 3.0

# A build whose traffic share varied by less than this is not considered as the cause.
MIN_SHARE_RANGE = 0.03

# Prevents a division by zero for a step that covers every slice.
MIN_SPREAD = 1e-12

FloatArray = NDArray[np.float64]


@dataclass(frozen=True)
class LatencySeries:
    """Mean latency of the released builds in each slice, with the variables that may explain it.

    Attributes:
        means: Mean latencies, in octaves.
        variances: Variance of each mean by chance, in octaves squared.
        loads: Number of attempts per server of the released builds.
        shares: Maps each build to its share of all attempts.
    """

    means: FloatArray
    variances: FloatArray
    loads: FloatArray
    shares: Mapping[int, FloatArray]


class Fit(NamedTuple):
    """A fitted model: the weighted residual sum of squares, and the current rise in octaves."""

    residual: float
    rise: float


class LineFit(NamedTuple):
    """A fitted straight line: the weighted residual sum of squares, and the slope, which is at least 0."""

    residual: float
    slope: float


class Model(NamedTuple):
    """A cause, its build (0 for none), and by how much its BIC exceeds that of the best model."""

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
    """All models, the best first.

    `rise` is the current latency above that of normal service by the best model, in octaves.
    """

    models: Sequence[Model]
    rise: float

    @property
    def best(self) -> Model:
        """The model with the lowest BIC."""
        return self.models[0]

    @property
    def margin(self) -> float:
        """BIC difference between the second-best and the best model; 0 if there is only one model."""
        return self.models[1].excess if len(self.models) > 1 else 0.0

    def excess_of_no_slowdown(self) -> float:
        """Return the BIC difference between the model of no slowdown and the best model."""
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
    """Fit an intercept, and a slope on the regressor that is not negative."""
    total = weights.sum()
    mean, regressor_mean = (weights * means).sum() / total, (weights * regressor).sum() / total
    spread = (weights * (regressor - regressor_mean) ** 2).sum()
    slope = 0.0
    if spread > 0:
        slope = max(0.0, float((weights * (regressor - regressor_mean) * (means - mean)).sum() / spread))
    intercept = float(mean - slope * regressor_mean)
    return LineFit(float((weights * (means - intercept - slope * regressor) ** 2).sum()), slope)


def fit_load(means: FloatArray, weights: FloatArray, loads: FloatArray) -> Fit:
    """Fit latencies that are linear in the load, both in octaves."""
    load = np.log2(np.maximum(loads, 1.0))
    line = fit_line(means, weights, load)
    return Fit(line.residual, line.slope * float(load[-RECENT_SLICES:].mean() - np.median(load)))


def fit_share(means: FloatArray, weights: FloatArray, share: FloatArray) -> Fit:
    """Fit latencies proportional to 1 + strength x share, with the best of `BUILD_STRENGTHS`."""
    best = Fit(float("inf"), 0.0)
    for strength in BUILD_STRENGTHS:
        regressor = np.log2(1 + strength * share)
        intercept = float((weights * (means - regressor)).sum() / weights.sum())
        residual = float((weights * (means - intercept - regressor) ** 2).sum())
        if residual < best.residual:
            best = Fit(residual, float(regressor[-RECENT_SLICES:].mean()))
    return best


def fit_step(means: FloatArray, weights: FloatArray) -> Fit:
    """Fit latencies that rose at one slice and may have fallen again at another; return the best such step.

    All steps are fitted at once by cumulative sums. A step reduces the residual by its squared covariance
    with the latencies, divided by its own spread.
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
