"""Tracks which instances evaluate the evidence of all, and the assessments received from them.

Without a leader, the instances with the lowest numbers evaluate. With a leader, only its assessments are
used, and only those with the fencing token of its appointment.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from gullmount.decisions.attribution.findings import Assessment

# Number of evaluators without a leader; one of them may crash or be partitioned.
MAX_EVALUATORS = 2

# An assessment is used for so long after its receipt, so that several later ones may be lost.
ASSESSMENT_LIFETIME_SECONDS = 2.5


class ReceivedAssessment(NamedTuple):
    """An assessment and its time of receipt in seconds."""

    assessment: Assessment
    at: float


class Evaluators:
    """The numbers of the instances that evaluate. Without gossip, each instance evaluates for itself."""

    def __init__(self, instance_number: int, instance_count: int, gossip_enabled: bool) -> None:
        count = min(MAX_EVALUATORS, instance_count) if gossip_enabled else instance_count
        self.instance_number = instance_number
        self.numbers: Collection[int] = range(count)
        # Stays True after an appointment that names no leader for now.
        self.has_leader = False
        # Fencing token of the newest appointment.
        self.token = 0
        self.received: dict[int, ReceivedAssessment] = {}

    @property
    def includes_this_instance(self) -> bool:
        """Whether this instance is an evaluator."""
        return self.instance_number in self.numbers

    def set_leader(self, leader: int | None, token: int) -> bool:
        """Make one instance, or none for now, the only evaluator; return False if the token is outdated."""
        if token < self.token:
            return False
        if token > self.token:
            self.received.clear()
        self.has_leader = True
        self.numbers = () if leader is None else (leader,)
        self.token = token
        return True

    def receive(self, now: float, sender: int, assessment: Assessment) -> None:
        """Keep the assessment of an evaluator; drop those of other instances and of earlier leaders."""
        if sender in self.numbers and assessment.token == self.token:
            self.received[sender] = ReceivedAssessment(assessment, now)

    def recent_assessments(self, now: float, senders: Collection[int]) -> list[Assessment]:
        """Return the unexpired assessments of these senders."""
        return [
            received.assessment
            for sender, received in self.received.items()
            if sender in senders and now - received.at < ASSESSMENT_LIFETIME_SECONDS
        ]

    def assessments_of_all(self, now: float) -> list[Assessment]:
        """Return the unexpired assessments of all evaluators."""
        return self.recent_assessments(now, self.numbers)

    def preceding_assessments(self, now: float) -> list[Assessment]:
        """Return the unexpired assessments of instances with a lower number, which take precedence."""
        return self.recent_assessments(now, range(self.instance_number))
