"""Simulates instances with two candidates and seeded random traffic, for the tests of attribution."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from gullmount.decisions.attribution import Assessment, SampleRow
from gullmount.decisions.attribution.attribution import Attribution
from gullmount.decisions.attribution.votes import CandidateVote
from gullmount.decisions.endpoints import Server
from gullmount.decisions.model import (
    DeduplicationScope,
    Endpoint,
    EndpointState,
    ReleasePhase,
    RetrySafety,
    Route,
    Vote,
)
from gullmount.decisions.releases import Candidate, CastVote

ROUTE = Route("look", 1.0, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0.0)
ZONES = "abc"


def make_server(name: str, build: int, started_at: float = 0.0) -> Server:
    """Return a ready server; its zone is the first letter of its name."""
    return Server(Endpoint(name, name[0], 0, build, EndpointState.READY, 1.0, started_at), 0.5, 0.0)


class TrafficSimulation:
    """Instances whose attempts are drawn from a seeded random generator.

    Attributes:
        attempts_per_second: Rate of attempts over all instances.
        isolated_instances: Numbers of the instances that receive nothing and whose assessments are lost.
        latency_factor: Returns the factor on the latency of an attempt, by server and time.
        failure_probability: Returns the probability that an attempt fails, by server and time.
    """

    def __init__(
        self, instance_count: int = 1, attempts_per_second: float = 60.0, one_way: bool = False, seed: int = 1
    ) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.attempts_per_second = attempts_per_second
        self.attributions = [
            Attribution(number, instance_count, instance_count > 1, one_way)
            for number in range(instance_count)
        ]
        for number, attribution in enumerate(self.attributions):
            attribution.connect_peers(self.send_samples, partial(self.send_assessment, number))
        self.isolated_instances: set[int] = set()
        self.servers = [make_server(f"{ZONES[number % 3]}{number}", 1) for number in range(12)]
        self.servers += [make_server(f"{ZONES[number % 3]}x{number}", 2) for number in range(3)]
        self.servers += [make_server(f"{ZONES[number % 3]}y{number}", 3) for number in range(3)]
        self.candidates = [
            Candidate(2, 0, ReleasePhase.CANDIDATE, 0.2),
            Candidate(3, 0, ReleasePhase.CANDIDATE, 0.2),
        ]
        self.shares = {2: 0.15, 3: 0.15}
        self.latency_factor: Callable[[Server, float], float] = lambda server, now: 1.0
        self.failure_probability: Callable[[Server, float], float] = lambda server, now: 0.0
        self.votes: list[tuple[float, int, Vote]] = []

    def send_samples(self, peer: int, rows: list[SampleRow]) -> None:
        if peer not in self.isolated_instances:
            self.attributions[peer].receive_samples(self.now, rows)

    def send_assessment(self, sender: int, peer: int, assessment: Assessment) -> None:
        if sender not in self.isolated_instances and peer not in self.isolated_instances:
            self.attributions[peer].receive_assessment(self.now, sender, assessment)

    def run(self, duration: float, watched_instance: int = 0) -> list[CandidateVote[Candidate]]:
        """Simulate `duration` seconds of traffic; return the last votes of the watched instance."""
        last_votes: list[CandidateVote[Candidate]] = []
        for _ in range(round(duration / 0.25)):
            self.now += 0.25
            for _ in range(round(self.attempts_per_second * 0.25)):
                self.simulate_attempt()
            for attribution in self.attributions:
                votes = attribution.update(self.now, self.candidates, self.servers)
                if attribution.instance_number == watched_instance:
                    last_votes = votes
                    self.votes += [(self.now, candidate.build, vote) for candidate, vote, _ in votes]
                    for candidate, vote, _ in votes:
                        candidate.voting_state.last_vote = CastVote(vote, conclusive=True)
        return last_votes

    def simulate_attempt(self) -> None:
        build_draw = self.random.random()
        build = 2 if build_draw < self.shares[2] else 3 if build_draw > 1 - self.shares[3] else 1
        server = self.random.choice([one for one in self.servers if one.build == build])
        failed = self.random.random() < self.failure_probability(server, self.now)
        latency = 0.15 * self.random.lognormvariate(0.0, 0.6) * self.latency_factor(server, self.now)
        attribution = self.random.choice(self.attributions)
        attribution.record_attempt(self.now, server, ROUTE, latency, 1.0, failed)

    def votes_cast(self) -> set[tuple[int, Vote]]:
        return {(build, vote) for _, build, vote in self.votes}


def simulation_with_leader(leader: int | None = 2, token: int = 5) -> TrafficSimulation:
    simulation = TrafficSimulation(instance_count=4)
    for attribution in simulation.attributions:
        attribution.set_leader(simulation.now, leader, token)
    return simulation
