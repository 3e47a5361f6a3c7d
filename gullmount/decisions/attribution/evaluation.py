"""Evaluates the evidence: which candidates to roll back, which one may be promoted, and why."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from gullmount.decisions.attribution.candidate_checks import check_build, choose_baseline, has_enough_evidence
from gullmount.decisions.attribution.comparison import ServerLatencies
from gullmount.decisions.attribution.evidence import SLICE_SECONDS, Evidence, Sample, sum_over_slices
from gullmount.decisions.attribution.findings import Assessment, Cause, Finding
from gullmount.decisions.attribution.general_slowdown import GeneralSlowdown
from gullmount.decisions.attribution.transitions import Transitions
from gullmount.decisions.attribution.views import CandidateView, ServerView, find_unreleased_builds
from gullmount.decisions.model import ReleasePhase

# Builds are compared over a span long enough for the few attempts of a first stage, and over one short enough
# for a degradation that began in the middle of a stage.
LONG_SPAN_SECONDS = 20.0
SHORT_SPAN_SECONDS = 8.0


@dataclass(frozen=True)
class Evaluation:
    """The result of one evaluation.

    Attributes:
        assessment: The assessment to send to the peers.
        findings: All findings, at least one; the new ones are logged.
        slowdown: The finding on a slowdown of all servers or of one zone.
    """

    assessment: Assessment
    findings: list[Finding]
    slowdown: Finding


class EvidenceAnalyzer:
    """Evaluates the evidence, and keeps the state that spans several evaluations."""

    def __init__(self) -> None:
        self.transitions = Transitions()
        self.general_slowdown = GeneralSlowdown()

    def evaluate(
        self,
        now: float,
        evidence: Evidence,
        candidates: Sequence[CandidateView],
        servers: Sequence[ServerView],
        *,
        evaluator_count: int,
        token: int,
    ) -> Evaluation:
        """Evaluate the samples of all instances.

        Args:
            now: Time on the clock of the instance, in seconds.
            evidence: The samples of all instances.
            candidates: All builds under release, the oldest first.
            servers: All servers in the endpoint list.
            evaluator_count: Number of instances that evaluate.
            token: Fencing token of the assessment; 0 if there is no leader.
        """
        samples = list(evidence.since(now, LONG_SPAN_SECONDS))
        sums = sum_over_slices(samples)
        checks = self._check_builds(now, samples, sums, candidates, evaluator_count)
        findings = checks.findings
        assessment = Assessment(Finding(Cause.NOTHING), token=token)
        for finding in findings:
            assessment.rollback_reasons.setdefault(finding.build, finding.summary())
            if finding.route:
                assessment.failing_routes.setdefault(finding.build, []).append(finding.route)
        slowdown = self.general_slowdown.find(now, evidence, samples, candidates, self.transitions)
        if slowdown.cause is Cause.BUILD:
            assessment.rollback_reasons.setdefault(slowdown.build, slowdown.summary())
            findings.append(slowdown)
        if slowdown.cause in (Cause.NOTHING, Cause.ZONE):
            held_builds = checks.builds_to_hold | assessment.rollback_reasons.keys()
            promotable = self._promotable_candidate(now, sums, candidates, servers, held_builds)
            if promotable is not None:
                assessment.promotable_stages[promotable.build] = promotable.stage
        findings = findings or [slowdown]
        assessment.finding = max(findings, key=lambda finding: finding.confidence)
        return Evaluation(assessment, findings, slowdown)

    def _check_builds(
        self,
        now: float,
        samples: Sequence[Sample],
        sums: Sequence[Sample],
        candidates: Sequence[CandidateView],
        evaluator_count: int,
    ) -> _CheckSummary:
        """Compare each build that may be blamed with its baseline, over the long and the short span."""
        unreleased_builds = find_unreleased_builds(candidates)
        suspected_builds = [
            suspect.build for suspect in candidates if self.transitions.may_be_blamed(suspect, now)
        ]
        first_recent_slice = int((now - SHORT_SPAN_SECONDS) / SLICE_SECONDS)
        recent_samples = [sample for sample in samples if sample.slice_number >= first_recent_slice]
        checks = _CheckSummary([], set())
        for span_samples, span_sums in ((samples, sums), (recent_samples, sum_over_slices(recent_samples))):
            # The key is the build that the baseline excludes.
            latencies: dict[int, ServerLatencies] = {}
            for build in suspected_builds:
                baseline = choose_baseline(span_sums, build, unreleased_builds)
                if baseline.excluded_build not in latencies:
                    latencies[baseline.excluded_build] = ServerLatencies(span_samples, baseline.includes)
                check = check_build(
                    span_sums,
                    latencies[baseline.excluded_build],
                    build,
                    baseline.includes,
                    evaluator_count,
                )
                checks.findings.extend(check.findings)
                if check.should_hold and span_samples is samples:
                    checks.builds_to_hold.add(build)
        return checks

    def _promotable_candidate(
        self,
        now: float,
        sums: Sequence[Sample],
        candidates: Sequence[CandidateView],
        servers: Sequence[ServerView],
        held_builds: set[int],
    ) -> CandidateView | None:
        """Return the oldest candidate that may be promoted, or None.

        Candidates are promoted one at a time, so that the effects of a promotion can be attributed to it.
        """
        for candidate in candidates:
            if (
                candidate.phase is ReleasePhase.CANDIDATE
                and candidate.build not in held_builds
                and self.transitions.others_are_settled(candidate.build, now)
                and has_enough_evidence(sums, candidate, now, servers)
            ):
                return candidate
        return None


@dataclass(frozen=True)
class _CheckSummary:
    """Results of comparing all suspected builds with their baselines."""

    findings: list[Finding]
    builds_to_hold: set[int]
