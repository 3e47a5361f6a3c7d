"""Curves through measured points, with intervals. No I/O.

Between the points a value is interpolated on the straight line through its two neighbours on logarithmic
axes; beyond them it is extrapolated by a fit, of the form with the least cross-validation error. Noise is
taken as proportional to the value.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import exp, inf, isfinite, log, sqrt
from statistics import median

import numpy as np
from numpy.typing import NDArray

from gullmount.scale.figures import Point

# Two-sided 95% quantiles of Student's t by degrees of freedom from 1, and for more than the table has.
STUDENT_T_95 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)
STUDENT_T_95_MANY = 1.96
LAST_DECADES_SPAN = 200.0  # times that the last x is above the first of the points of the last decades
MIN_FITTED_POINTS = 4
FREER_FORM_GAIN = 0.9  # share of the error that a form with more parameters must get below
LAST_DECADES_GAIN = 0.8  # share of the error that leaving out small points must get below
NEGLIGIBLE = 1e-12  # share of a value below which a residual is rounding
MAX_EXPONENT = 700.0  # beyond which exp() overflows

Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Estimate:
    """A value with the ends of its interval.

    Attributes:
        extrapolation: how many times the largest measured x the value's x is; 1 within the points.
    """

    value: float
    low: float
    high: float
    extrapolation: float = 1.0


@dataclass(frozen=True)
class ModelForm:
    """A sum of terms in x; a power law is one term, fitted on logarithmic axes."""

    name: str
    terms: tuple[Callable[[Floats], Floats], ...]
    is_power_law: bool = False


MODEL_FORMS = (
    ModelForm("a + b x", (np.ones_like, lambda x: x)),
    ModelForm("a x^b", (np.ones_like, np.log), is_power_law=True),
    ModelForm("a + b / x", (np.ones_like, lambda x: 1 / x)),
    ModelForm("a + b x + c x^2", (np.ones_like, lambda x: x, lambda x: x**2)),
)


def student_t(degrees_of_freedom: int) -> float:
    """Return the two-sided 95% quantile of Student's t; infinite where there is no freedom."""
    if degrees_of_freedom < 1:
        return inf
    if degrees_of_freedom <= len(STUDENT_T_95):
        return STUDENT_T_95[degrees_of_freedom - 1]
    return STUDENT_T_95_MANY


class Fit:
    """A form fitted by least squares of the residuals as shares of the values.

    Attributes:
        used_terms: indices of the form's terms that were not left out.
        coefficients: of the used terms.
        residuals: by point, as shares of its value.
    """

    def __init__(self, form: ModelForm, xs: Sequence[float], ys: Sequence[float]) -> None:
        self.form = form
        x, y = np.array(xs, dtype=float), np.array(ys, dtype=float)
        self.used_terms = list(range(len(form.terms)))
        self._solve(x, y)
        while not form.is_power_law and min(self.coefficients) < 0 and len(self.used_terms) > 1:
            # A cost has no negative part: the term that would be one is left out.
            del self.used_terms[int(np.argmin(self.coefficients))]
            self._solve(x, y)

    def _design_matrix(self, x: Floats) -> Floats:
        return np.stack([self.form.terms[index](x) for index in self.used_terms], axis=-1)

    def _solve(self, x: Floats, y: Floats) -> None:
        design = self._design_matrix(x)
        if self.form.is_power_law:
            rows, wanted = design, np.log(y)
        else:
            rows, wanted = design / y[:, None], np.ones_like(y)
        scale = np.abs(rows).max(axis=0)
        self.coefficients: Floats = np.linalg.lstsq(rows / scale, wanted, rcond=None)[0] / scale
        left = rows @ self.coefficients - wanted
        shares = np.exp(left) - 1 if self.form.is_power_law else left
        self.residuals = [float(share) for share in shares]
        self.degrees_of_freedom = len(y) - len(self.used_terms)
        self.noise = (
            sqrt(float(left @ left) / self.degrees_of_freedom) if self.degrees_of_freedom > 0 else inf
        )
        covariance = np.linalg.pinv((rows / scale).T @ (rows / scale))
        self.covariance: Floats = covariance / np.outer(scale, scale)

    def value(self, x: float) -> float:
        """Return the fitted value."""
        total = float((self._design_matrix(np.array([x])) @ self.coefficients)[0])
        return exp(min(MAX_EXPONENT, total)) if self.form.is_power_law else total

    def interval(self, x: float) -> tuple[float, float]:
        """Return the ends of the 95% prediction interval of a new point."""
        value, row = self.value(x), self._design_matrix(np.array([x]))[0]
        fit_variance = float(row @ self.covariance @ row)
        if self.form.is_power_law:
            width = student_t(self.degrees_of_freedom) * self.noise * sqrt(1 + fit_variance)
            return value * exp(-width), value * exp(min(MAX_EXPONENT, width))
        width = student_t(self.degrees_of_freedom) * self.noise * sqrt(value**2 + fit_variance)
        return max(0.0, value - width), value + width

    def formula(self) -> str:
        """Return the fitted form with its coefficients, for people."""
        if self.form.is_power_law:
            return f"{exp(self.coefficients[0]):.3g} x^{self.coefficients[1]:.2f}"
        names = self.form.name.split(" + ")
        shown = (
            names[term].replace("abc"[term], f"{coefficient:.3g}", 1)
            for term, coefficient in zip(self.used_terms, self.coefficients, strict=True)
        )
        return " + ".join(shown)


def cross_validation_error(form: ModelForm, xs: Sequence[float], ys: Sequence[float]) -> float:
    """Return the root mean square of the logarithm by which a point is missed by the fit of the others."""
    squares = []
    for index in range(len(xs)):
        without = Fit(form, [*xs[:index], *xs[index + 1 :]], [*ys[:index], *ys[index + 1 :]])
        value = without.value(xs[index])
        squares.append(log(value / ys[index]) ** 2 if value > 0 else inf)
    return sqrt(sum(squares) / len(squares))


def choose_form(xs: Sequence[float], ys: Sequence[float]) -> tuple[ModelForm, float]:
    """Return the form with the least cross-validation error, and that error; a simpler one where close."""
    best = MODEL_FORMS[0]
    least = cross_validation_error(best, xs, ys)
    for form in MODEL_FORMS[1:]:
        error = cross_validation_error(form, xs, ys) if len(form.terms) < len(xs) - 1 else inf
        if isfinite(error) and error < FREER_FORM_GAIN * least and least > NEGLIGIBLE:
            best, least = form, error
    return best, least


def fit_points(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Fit all points, or those of the last two decades where that has a clearly smaller error.

    What is small may have other costs.
    """
    form, error = choose_form(xs, ys)
    first = min(len(xs) - MIN_FITTED_POINTS, sum(x < xs[-1] / LAST_DECADES_SPAN for x in xs))
    if first > 0:
        last_form, last_error = choose_form(xs[first:], ys[first:])
        if last_error < LAST_DECADES_GAIN * error and error > NEGLIGIBLE:
            return Fit(last_form, xs[first:], ys[first:])
    return Fit(form, xs, ys)


class Curve:
    """A measured slope as a function of x.

    Points of value 0 are left out, as noise is taken as a share of the value.
    """

    def __init__(self, points: Sequence[Point]) -> None:
        positive = [point for point in points if median(point.values) > 0]
        self.xs = [point.x for point in positive]
        self.medians = [median(point.values) for point in positive]
        self.lows = [min(point.values) for point in positive]
        self.highs = [max(point.values) for point in positive]
        self.fit = fit_points(self.xs, self.medians)

    def estimate(self, x: float) -> Estimate:
        """Return the value at `x`; below the first point its own value stands, as a cost does not vanish."""
        if x <= self.xs[0]:
            return Estimate(self.medians[0], self.lows[0], self.highs[0])
        if x <= self.xs[-1]:
            return Estimate(*(self._interpolate(x, ys) for ys in (self.medians, self.lows, self.highs)))
        value = max(self.fit.value(x), self.medians[-1])  # a cost does not fall as things grow
        low, high = self.fit.interval(x)
        return Estimate(value, max(low, self.lows[-1]), max(high, value), extrapolation=x / self.xs[-1])

    def _interpolate(self, x: float, ys: Sequence[float]) -> float:
        known = np.log(np.maximum(ys, NEGLIGIBLE))
        return float(np.exp(np.interp(log(x), np.log(self.xs), known)))
