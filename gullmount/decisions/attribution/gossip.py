"""Sends the samples of an instance and, from an evaluator, its assessment to the peers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from gullmount.decisions.attribution.evidence import Evidence, SampleKey, SampleRow
from gullmount.decisions.attribution.findings import Assessment

# Interval between messages to one peer.
GOSSIP_INTERVAL_SECONDS = 0.5

# The first argument of both functions is the number of the peer.
SendSamples = Callable[[int, list[SampleRow]], None]
SendAssessment = Callable[[int, Assessment], None]


class Gossip:
    """Collects samples until they are sent to the peers; `peers` is empty if gossip is disabled."""

    def __init__(self, peers: Sequence[int]) -> None:
        self.peers = peers
        self.unsent = Evidence()
        self.send_samples: SendSamples | None = None
        self.send_assessment: SendAssessment | None = None
        self._sent_at = float("-inf")

    def record(self, now: float, key: SampleKey, latency: float | None, failed: bool) -> None:
        """Add an attempt to the samples that are sent next.

        Args:
            now: Time on the clock of the instance, in seconds.
            key: Server, build, zone and route of the attempt.
            latency: Latency as a multiple of the latency objective; None to leave it out.
            failed: Whether the attempt failed.
        """
        if self.peers:
            self.unsent.record(now, key, latency, failed)

    def send_if_due(self, now: float, evaluators: Collection[int], assessment: Assessment | None) -> None:
        """Send the samples to the evaluators, and the assessment, if not None, to all peers."""
        if not self.peers or now - self._sent_at < GOSSIP_INTERVAL_SECONDS:
            return
        self._sent_at = now
        rows = self.unsent.rows(now)
        self.unsent = Evidence()
        for peer in self.peers:
            if peer in evaluators and rows and self.send_samples is not None:
                self.send_samples(peer, rows)
            if assessment is not None and self.send_assessment is not None:
                self.send_assessment(peer, assessment)
