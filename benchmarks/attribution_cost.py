"""Time of one evaluation of the evidence, by number of servers and routes; requests wait meanwhile.

python benchmarks/attribution_cost.py
"""

from __future__ import annotations

import random
import time

import click

from gullmount.decisions.attribution.attribution import Attribution
from gullmount.decisions.endpoints import Server
from gullmount.decisions.model import (
    DeduplicationScope,
    Endpoint,
    EndpointState,
    ReleasePhase,
    RetrySafety,
    Route,
)
from gullmount.decisions.releases import Candidate

SECONDS = 45  # of evidence, all that is kept
EVALUATIONS = 5  # timed, of which the median counts


def cost(servers: int, routes: int, rate: int) -> tuple[float, int]:
    """Milliseconds of an evaluation, and samples kept."""
    draw = random.Random(1)
    kinds = [Route(f"r{n}", 1.0, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0.0) for n in range(routes)]
    placed = [
        Server(Endpoint(f"b{n}", "abc"[n % 3], 0, build, EndpointState.READY, 1.0, 0.0), 0.5, 0.0)
        for n, build in enumerate([1, 1, 1, 1, 2, 1, 1, 1, 1, 3] * (servers // 10 + 1))
        if n < servers
    ]
    attribution = Attribution(0, 1, False, False)
    candidates = [Candidate(2, 0, ReleasePhase.CANDIDATE, 0.2), Candidate(3, 0, ReleasePhase.CANDIDATE, 0.2)]
    for second in range(SECONDS):
        for _ in range(rate):
            at = 1000.0 + second + draw.random()
            time_taken = draw.lognormvariate(-2, 0.6)
            attribution.record_attempt(at, draw.choice(placed), draw.choice(kinds), time_taken, 1.0, False)
    now = 1000.0 + SECONDS
    attribution.update(now, candidates, placed)
    times = []
    for _ in range(EVALUATIONS):
        start = time.perf_counter()
        attribution.evaluate(now, candidates, placed)
        times.append(time.perf_counter() - start)
    return 1000 * sorted(times)[EVALUATIONS // 2], attribution.evidence.sample_count


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Time an evaluation for fleets of several sizes."""
    click.echo("| servers | routes | attempts a second | samples | ms an evaluation, two a second |")
    click.echo("| --- | --- | --- | --- | --- |")
    for servers, routes, rate in ((20, 3, 80), (77, 3, 400), (77, 3, 2000), (77, 12, 2000)):
        took, cells = cost(servers, routes, rate)
        click.echo(f"| {servers} | {routes} | {rate} | {cells} | {took:.0f} |")


if __name__ == "__main__":
    main()
