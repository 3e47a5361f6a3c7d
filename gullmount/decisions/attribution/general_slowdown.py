"""Detects a slowdown of all released builds and attributes it to a build, a dependency or the load.

A build is blamed only if its traffic share explains the slowdown much better than any other cause does, has
done so for some time, and no recently rolled-back build can be the cause. A less certain cause is reported
and holds the candidates at their stages.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import exp
from typing import NamedTuple

from gullmount.decisions.attribution.evidence import Evidence, Sample
from gullmount.decisions.attribution.findings import Cause, Finding, Symptom
from gullmount.decisions.attribution.latency_series import observe_series
from gullmount.decisions.attribution.slowdown_models import Explanation, LatencySeries, explain
from gullmount.decisions.attribution.transitions import Transitions
from gullmount.decisions.attribution.views import CandidateView, find_unreleased_builds
from gullmount.decisions.attribution.zone_slowdown import find_zone_slowdown
from gullmount.decisions.model import ROLLBACK_PHASES, ReleasePhase

# Minimum number of slices for explaining a slowdown.
MIN_SLICES = 8

# A smaller rise of the latency above normal service is not a degradation.
MIN_RISE_OCTAVES = 0.4

# Minimum BIC difference between the model of no slowdown and the best model for holding the candidates.
HOLD_BIC_MARGIN = 1.5

# Minimum BIC difference to the second-best model for naming a cause other than a build, which leads to no
# rollback.
CAUSE_BIC_MARGIN = 4.0

# Minimum BIC difference to the second-best model for blaming a build. At this limit, one of 90 evaluations is
# wrong.
BLAME_BIC_MARGIN = 9.0

# A build must explain the slowdown for this long before it is blamed, because the course of a slowdown that
# has just begun is not known yet.
MIN_SUSPECT_SECONDS = 1.5


class Suspect(NamedTuple):
    """The build whose share explains the slowdown much better than other causes do; 0 for none.

    `since` is the time in seconds at which that began.
    """

    build: int
    since: float


class GeneralSlowdown:
    """Explains a slowdown of all servers, and keeps track of the suspected build."""

    def __init__(self) -> None:
        self.suspect = Suspect(0, 0.0)

    def find(
        self,
        now: float,
        evidence: Evidence,
        recent_samples: Iterable[Sample],
        candidates: Sequence[CandidateView],
        transitions: Transitions,
    ) -> Finding:
        """Return the cause of a slowdown of all servers, or the finding on zones if there is none.

        Args:
            now: Time on the clock of the instance, in seconds.
            evidence: The samples of all instances.
            recent_samples: The newest of these samples, over which zones are compared.
            candidates: All builds under release.
            transitions: The newest transition of each candidate.
        """
        unreleased_builds = find_unreleased_builds(candidates)
        series, attempts = observe_series(now, evidence, unreleased_builds)
        if len(series.means) < MIN_SLICES:
            return Finding(Cause.NOTHING, attempts=attempts)
        explanation = explain(series)
        if explanation.rise < MIN_RISE_OCTAVES or explanation.excess_of_no_slowdown() < HOLD_BIC_MARGIN:
            self.suspect = Suspect(0, now)
            return find_zone_slowdown(now, recent_samples, unreleased_builds, attempts)
        return self._attribute(now, explanation, series, attempts, candidates, transitions)

    def _attribute(
        self,
        now: float,
        explanation: Explanation,
        series: LatencySeries,
        attempts: int,
        candidates: Sequence[CandidateView],
        transitions: Transitions,
    ) -> Finding:
        best, margin = explanation.best, explanation.margin
        confidence = 1 - exp(-margin / 2)
        figures = summarize(explanation, series)
        rollbacks_settled = transitions.rollbacks_are_settled(now)
        blamable_builds = {
            candidate.build
            for candidate in candidates
            if candidate.phase in ROLLBACK_PHASES
            or (rollbacks_settled and transitions.may_be_blamed(candidate, now))
        }
        is_conclusive = (
            best.cause is Cause.BUILD and best.build in blamable_builds and margin >= BLAME_BIC_MARGIN
        )
        self._update_suspect(now, best.build if is_conclusive else 0)
        if is_conclusive and now - self.suspect.since >= MIN_SUSPECT_SECONDS:
            return Finding(
                Cause.BUILD,
                best.build,
                Symptom.SLOWS_ALL,
                confidence=confidence,
                figures=figures,
                attempts=attempts,
            )
        if best.cause is not Cause.BUILD and margin >= CAUSE_BIC_MARGIN:
            return Finding(best.cause, confidence=confidence, figures=figures, attempts=attempts)
        return Finding(
            Cause.UNKNOWN,
            _most_likely_build(explanation, candidates) if rollbacks_settled else 0,
            confidence=confidence,
            figures=figures,
            settled_by="the next change of a traffic share",
            attempts=attempts,
        )

    def _update_suspect(self, now: float, build: int) -> None:
        if not build or self.suspect.build != build:
            self.suspect = Suspect(build, now)


def _most_likely_build(explanation: Explanation, candidates: Sequence[CandidateView]) -> int:
    """Return the candidate whose share explains the slowdown best, or 0 for none."""
    builds = [one.build for one in candidates if one.phase is ReleasePhase.CANDIDATE]
    return next(
        (model.build for model in explanation.models if model.cause is Cause.BUILD and model.build in builds),
        0,
    )


def summarize(explanation: Explanation, series: LatencySeries) -> str:
    """Return the figures behind an explanation as human-readable text."""
    shares = ", ".join(
        f"build {build} {share[0]:.2f} to {share[-1]:.2f}" for build, share in sorted(series.shares.items())
    )
    others = ", ".join(
        f"{model.cause.value}{f' {model.build}' if model.build else ''} {model.excess:.1f} higher"
        for model in explanation.models[1:]
    )
    best = explanation.best
    name = f"build {best.build}'s share" if best.cause is Cause.BUILD else best.cause.value
    return (
        f"latency of all servers rose {2**explanation.rise:.2f} times; lowest BIC for {name} ({others}); "
        f"shares {shares}"
    )
