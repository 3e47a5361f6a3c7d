"""What the leader needs, which evaluates releases and votes for all proxies. No I/O."""

from __future__ import annotations

from gullmount.scale.requirements.model import Aspect, CostTerm, Requirement, Role, SizeFunction
from gullmount.scale.requirements.quantities import CONTROL_CORES, routes

EVALUATION = "the module's judge"
GOSSIP = "datagrams to peers"


def _evaluations(description: str, slope: str, route_count: SizeFunction) -> Requirement:
    terms = (CostTerm(slope, route_count),)
    return Requirement(
        Role.LEADER, Aspect.PROCESSOR_TIME, description, EVALUATION, "cores", terms, CONTROL_CORES
    )


EVALUATION_REQUIREMENTS = (
    _evaluations("the looks of a module with all routes, nothing on trial", "judge-routes", routes),
    _evaluations("the looks of a module with all routes, in a trial", "judge-routes-trial", routes),
    _evaluations(
        "the looks of a module with the 38 routes of one service, nothing on trial",
        "judge-routes",
        lambda size: size.target.routes / size.target.services,
    ),
)

GOSSIP_REQUIREMENTS = (  # not measured
    Requirement(Role.LEADER, Aspect.MESSAGES, "evidence of 7,300 umpires to two judges", GOSSIP),
    Requirement(Role.LEADER, Aspect.MEMORY, "evidence held by a judge", GOSSIP),
)
