"""Whether all that serves has slowed down, and what explains it: a build, a dependency or the load.

A build is blamed only where its share explains the slowdown by far, for a while, and no build that was rolled
back lately can be the cause. What explains it less well is reported, and holds the candidates.
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

MIN_SLICES = 8  # to explain anything
MIN_RISE_OCTAVES = 0.4  # octaves above normal service from which on it has degraded
HOLD_BIC_MARGIN = 1.5  # BIC difference to no slowdown from which on candidates are held
CAUSE_BIC_MARGIN = 4.0  # BIC difference from which on a cause that rolls nothing back is named
BLAME_BIC_MARGIN = 9.0  # BIC difference from which on a build is blamed: wrong once in 90 evaluations
MIN_SUSPECT_SECONDS = 1.5  # seconds for which a build must explain it: what has just begun has no shape yet


class Suspect(NamedTuple):
    """The build whose share explains the slowdown by far (0 for none), and since when in seconds."""

    build: int
    since: float


class GeneralSlowdown:
    """Explains a slowdown of all servers; remembers which build it suspects, and since when."""

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
        """Return what explains the slowdown, or that nothing or only one zone has slowed down.

        Args:
            now: Seconds on the instance's clock.
            evidence: The samples of all instances.
            recent_samples: Those of them over which zones are compared.
            candidates: All builds under release.
            transitions: When each of them changed last.
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
            settled_by="the next move of a share",
            attempts=attempts,
        )

    def _update_suspect(self, now: float, build: int) -> None:
        if not build or self.suspect.build != build:
            self.suspect = Suspect(build, now)


def _most_likely_build(explanation: Explanation, candidates: Sequence[CandidateView]) -> int:
    """Return the candidate whose share explains the slowdown best, 0 for none."""
    builds = [one.build for one in candidates if one.phase is ReleasePhase.CANDIDATE]
    return next(
        (model.build for model in explanation.models if model.cause is Cause.BUILD and model.build in builds),
        0,
    )


def summarize(explanation: Explanation, series: LatencySeries) -> str:
    """Return the figures behind an explanation, for people."""
    shares = ", ".join(
        f"build {build} {share[0]:.2f} to {share[-1]:.2f}" for build, share in sorted(series.shares.items())
    )
    others = ", ".join(
        f"{model.cause.value}{f' {model.build}' if model.build else ''} {model.excess:.1f} worse"
        for model in explanation.models[1:]
    )
    best = explanation.best
    name = f"build {best.build}'s share" if best.cause is Cause.BUILD else best.cause.value
    return (
        f"all boxes {2**explanation.rise:.2f} times slower; best told by {name} ({others}); shares {shares}"
    )
