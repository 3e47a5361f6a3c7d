"""Combines evidence and assessments into the votes of one instance.

Each instance sends its samples to the evaluators and votes by the assessments that they send back. An
instance that receives no assessment votes by its own evidence.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from gullmount.decisions.attribution.evaluation import EvidenceAnalyzer
from gullmount.decisions.attribution.evaluators import Evaluators
from gullmount.decisions.attribution.evidence import Evidence, SampleKey, SampleRow
from gullmount.decisions.attribution.findings import Assessment, Cause, Finding
from gullmount.decisions.attribution.gossip import Gossip, SendAssessment, SendSamples
from gullmount.decisions.attribution.traffic_reduction import RequestReduction, TrafficReduction, can_absorb
from gullmount.decisions.attribution.views import AnyCandidate, CandidateView, ServerView
from gullmount.decisions.attribution.votes import CandidateVote, apply_assessments
from gullmount.decisions.model import Route

ASSESSMENT_INTERVAL_SECONDS = 0.5

# Latencies are multiplied by the slow-start weight. Those with a lower weight are ignored, because the
# correction would be larger than the value that it corrects.
MIN_SLOW_START_WEIGHT = 0.7


class Attribution:
    """Decides how one instance votes on the candidates; lives as long as the instance.

    Attributes:
        assessment: The newest assessment by this instance itself.
        vote_token: Fencing token of the assessments behind the newest votes; 0 if the instance votes by its
            own evidence.
        on_finding: Called with each finding that the previous evaluation did not have.
    """

    def __init__(
        self, instance_number: int, instance_count: int, gossip_enabled: bool, one_way: bool
    ) -> None:
        exchanges_gossip = gossip_enabled and instance_count > 1
        peers = [peer for peer in range(instance_count) if peer != instance_number]
        self.instance_number = instance_number
        self.evidence = Evidence()
        self.evaluators = Evaluators(instance_number, instance_count, exchanges_gossip)
        self.gossip = Gossip(peers if exchanges_gossip else [])
        self.analyzer = EvidenceAnalyzer()
        self.traffic_reduction = TrafficReduction(is_allowed=not one_way)
        self.assessment = Assessment(Finding(Cause.NOTHING))
        self.vote_token = 0
        self.on_finding: Callable[[Finding], None] | None = None
        self._last_finding_keys = {self.assessment.finding.key}
        self._evaluated_at = float("-inf")

    def connect_peers(self, send_samples: SendSamples, send_assessment: SendAssessment) -> None:
        """Set the functions that send to a peer; nothing is sent before this call."""
        self.gossip.send_samples = send_samples
        self.gossip.send_assessment = send_assessment

    def record_attempt(
        self,
        now: float,
        server: ServerView,
        route: Route,
        latency: float,
        slow_start_weight: float,
        failed: bool,
    ) -> None:
        """Record an attempt that its server responded to or left without a response.

        Args:
            now: Time on the clock of the instance, in seconds.
            server: The server that the attempt was sent to.
            route: The route of the request.
            latency: Latency of the attempt, in seconds.
            slow_start_weight: Slow-start weight of the server when the attempt was sent.
            failed: Whether the attempt failed. The latency of a failed attempt is ignored.
        """
        key = SampleKey(server.id, server.build, server.zone, route.name)
        relative_latency = None
        if slow_start_weight >= MIN_SLOW_START_WEIGHT and not failed:
            relative_latency = latency / route.latency_objective * slow_start_weight
        self.evidence.record(now, key, relative_latency, failed)
        self.gossip.record(now, key, relative_latency, failed)

    def receive_samples(self, now: float, rows: Iterable[SampleRow]) -> None:
        """Add samples received from a peer to the evidence."""
        self.evidence.merge(now, rows)

    def receive_assessment(self, now: float, sender: int, assessment: Assessment) -> None:
        """Keep the assessment if its sender is an evaluator and its token is the current one."""
        self.evaluators.receive(now, sender, assessment)

    def set_leader(self, now: float, leader: int | None, token: int, reduced_build: int = 0) -> None:
        """Make one instance, or none for now, the only evaluator. Calls with an older token are ignored.

        Args:
            now: Time on the clock of the instance, in seconds.
            leader: Number of the instance that evaluates for all; None for no instance.
            token: Fencing token of the appointment.
            reduced_build: The build whose traffic an earlier leader requested to reduce; 0 for none. The new
                leader continues that reduction.
        """
        is_new = self.evaluators.set_leader(leader, token)
        if is_new and leader == self.instance_number and reduced_build:
            self.begin_traffic_reduction(now, reduced_build)

    def set_reduction_request_callback(self, request_reduction: RequestReduction) -> None:
        """Set the callback that takes a build to request its reduction, or 0 to report the end of one."""
        self.traffic_reduction.request_reduction = request_reduction

    def begin_traffic_reduction(self, now: float, build: int) -> None:
        """Begin the requested reduction, which is now stored where the next leader finds it."""
        self.traffic_reduction.begin(now, build)

    def update(
        self, now: float, candidates: Sequence[AnyCandidate], servers: Iterable[ServerView]
    ) -> list[CandidateVote[AnyCandidate]]:
        """Evaluate and send gossip if due, set the limits of the candidates, and return the votes to cast."""
        self.analyzer.transitions.record(now, candidates)
        is_evaluator = self.evaluators.includes_this_instance
        assessments = self.evaluators.assessments_of_all(now)
        self.vote_token = self.evaluators.token if assessments or is_evaluator else 0
        if is_evaluator or not assessments:
            if now - self._evaluated_at >= ASSESSMENT_INTERVAL_SECONDS:
                self._evaluated_at = now
                self.evaluate(now, candidates, list(servers))
            assessments.append(self.assessment)
        own_assessment = self.assessment if is_evaluator else None
        self.gossip.send_if_due(now, self.evaluators.numbers, own_assessment)
        return apply_assessments(candidates, assessments)

    def evaluate(
        self, now: float, candidates: Sequence[CandidateView], servers: Sequence[ServerView]
    ) -> None:
        """Replace the assessment with one of all evidence, and report the findings that are new."""
        evaluation = self.analyzer.evaluate(
            now,
            self.evidence,
            candidates,
            servers,
            evaluator_count=len(self.evaluators.numbers),
            token=self.evaluators.token,
        )
        slowdown, assessment = evaluation.slowdown, evaluation.assessment
        can_absorb_traffic = any(
            candidate.build == slowdown.build and can_absorb(candidate, candidates, servers)
            for candidate in candidates
        )
        blamed_builds = assessment.rollback_reasons.keys()
        assessment.reduced_build = self.build_to_reduce(now, slowdown, blamed_builds, can_absorb_traffic)
        self.assessment = assessment
        self._report(evaluation.findings)

    def build_to_reduce(
        self, now: float, slowdown: Finding, blamed_builds: Iterable[int], can_absorb_traffic: bool
    ) -> int:
        """Return the build whose traffic to reduce, or 0 for none.

        The evaluator with the lowest number decides. The effects of two reductions at once could not be told
        apart.
        """
        preceding = self.evaluators.preceding_assessments(now)
        if preceding:
            return self.traffic_reduction.follow(now, preceding[0])
        return self.traffic_reduction.choose(
            now,
            slowdown,
            set(blamed_builds),
            can_absorb_traffic=can_absorb_traffic,
            has_leader=self.evaluators.has_leader,
            is_evaluator=self.evaluators.includes_this_instance,
        )

    def _report(self, findings: Sequence[Finding]) -> None:
        previous_keys, self._last_finding_keys = (
            self._last_finding_keys,
            {finding.key for finding in findings},
        )
        for finding in findings:
            if finding.key not in previous_keys and self.on_finding is not None:
                self.on_finding(finding)
