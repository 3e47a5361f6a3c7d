"""All requirements of the present mechanisms, in the order of the capacity page's table of roles."""

from __future__ import annotations

from gullmount.scale.requirements.discovery import LONG_POLLING, STREAMING, discovery_requirements
from gullmount.scale.requirements.leader import EVALUATION_REQUIREMENTS, GOSSIP_REQUIREMENTS
from gullmount.scale.requirements.model import Aspect, Requirement, Role
from gullmount.scale.requirements.proxy import (
    AFFINITY_REQUIREMENT,
    CONFIGURATION_REQUIREMENTS,
    ENDPOINT_LIST_REQUIREMENTS,
    ROUTING_REQUIREMENTS,
    SERVER_REQUIREMENTS,
)

RELEASE_STATUS = "a line a second and a call a vote"
REPLICA_GROUP = "a group of keepers"

NOT_MEASURED_REQUIREMENTS = (
    Requirement(
        Role.RELEASE_CONTROLLER,
        Aspect.PROCESSOR_TIME,
        "news of builds and votes of all umpires",
        RELEASE_STATUS,
    ),
    Requirement(Role.RELEASE_CONTROLLER, Aspect.MEMORY, "connections of all umpires", RELEASE_STATUS),
    Requirement(
        Role.REPLICA, Aspect.PROCESSOR_TIME, "reads and writes of registers at the target", REPLICA_GROUP
    ),
    Requirement(Role.REPLICA, Aspect.MEMORY, "registers", REPLICA_GROUP),
)

REQUIREMENTS = (
    *CONFIGURATION_REQUIREMENTS,
    *ENDPOINT_LIST_REQUIREMENTS,
    *ROUTING_REQUIREMENTS,
    *EVALUATION_REQUIREMENTS,
    AFFINITY_REQUIREMENT,
    *SERVER_REQUIREMENTS,
    *discovery_requirements(LONG_POLLING),
    *discovery_requirements(STREAMING),
    *NOT_MEASURED_REQUIREMENTS,
    *GOSSIP_REQUIREMENTS,
)
NEEDED_SLOPES = frozenset(term.slope for requirement in REQUIREMENTS for term in requirement.terms)

# How many services one proxy fronts is open: the page tells several counts, None for all.
FRONTED_SERVICES: tuple[int | None, ...] = (1, 8, 40, None)
