"""What one proxy instance and one server need by the present mechanisms. No I/O."""

from __future__ import annotations

from gullmount.platform.discovery_client import MAX_LIST_BYTES
from gullmount.rpc.line_stream import MAX_LINE_BYTES
from gullmount.scale.requirements.model import Aspect, Budget, CostTerm, Requirement, Role
from gullmount.scale.requirements.quantities import (
    ADDED_LATENCY,
    CONTROL_BYTES_UNTIL_IN_FORCE,
    CONTROL_CORES,
    CONTROL_MEMORY,
    CONTROL_TRAFFIC,
    IN_FORCE_TIME,
    LATENCY_OBJECTIVE,
    ONE_CORE,
    endpoint_changes,
    endpoint_entries,
    fixed,
    in_burst,
    proxies,
    routes,
    servers,
)

CONFIGURATION_FILE = "a file an umpire and SIGHUP"
COMPLETE_LIST = "one list for the fleet, whole to each umpire (discovery)"
COMPLETE_LINE = "one line for the fleet, whole to each umpire (the general roster)"
ROUTING = "the module's `take` over all that is listed"
AFFINITY = "the module's `met`"
CONNECTION_POOL = "a pool a box at each umpire"
MAX_LIST = Budget(fixed(float(MAX_LIST_BYTES)), "the client's bound of an answer")
MAX_LINE = Budget(fixed(float(MAX_LINE_BYTES)), "the client's bound of a line")


def _proxy(
    aspect: Aspect, description: str, mechanism: str, unit: str, term: CostTerm, budget: Budget
) -> Requirement:
    return Requirement(Role.PROXY, aspect, description, mechanism, unit, (term,), budget)


def _server_connections(description: str, term: CostTerm) -> Requirement:
    return Requirement(Role.SERVER, Aspect.STATE, description, CONNECTION_POOL, "connections", (term,))


CONFIGURATION_REQUIREMENTS = (
    Requirement(
        Role.PROXY, Aspect.MESSAGES, "a changed route in force everywhere within 10 s", CONFIGURATION_FILE,
        unmet_reason="no way: the signal moves addresses only, and nobody writes the file, counts or asks",
    ),
    _proxy(
        Aspect.TIME, "a changed route at one umpire, by a restart of its process", CONFIGURATION_FILE, "s",
        CostTerm("config-restart", routes), IN_FORCE_TIME,
    ),
    _proxy(
        Aspect.TIME, "a changed address at one umpire, from file and signal on", CONFIGURATION_FILE, "s",
        CostTerm("config-address", routes), IN_FORCE_TIME,
    ),
    _proxy(
        Aspect.MESSAGES, "all configuration sent whole at each change, if it were sent", CONFIGURATION_FILE,
        "bytes a second",
        CostTerm("config-bytes", routes, lambda size: size.configuration_changes_per_second), CONTROL_TRAFFIC,
    ),
    _proxy(
        Aspect.PROCESSOR_TIME, "all configuration read at each change, if it were sent", CONFIGURATION_FILE,
        "cores", CostTerm("config-read", routes, lambda size: size.configuration_changes_per_second),
        CONTROL_CORES,
    ),
    _proxy(
        Aspect.MEMORY, "all configuration as it is read and held", CONFIGURATION_FILE, "bytes",
        CostTerm("config-memory", routes), CONTROL_MEMORY,
    ),
)  # fmt: skip

ENDPOINT_LIST_REQUIREMENTS = (
    _proxy(
        Aspect.MESSAGES, "the list that is taken at all: a longer one is refused as spoilt", COMPLETE_LIST,
        "bytes", CostTerm("page-bytes", servers), MAX_LIST,
    ),
    _proxy(
        Aspect.MESSAGES, "the list that is taken at all, where names are long", COMPLETE_LIST, "bytes",
        CostTerm("page-bytes-long", servers), MAX_LIST,
    ),
    _proxy(
        Aspect.MESSAGES, "the general roster's line that is taken at all", COMPLETE_LINE, "bytes",
        CostTerm("roster-bytes", servers), MAX_LINE,
    ),
    _proxy(
        Aspect.MESSAGES, "the first list at a start", COMPLETE_LIST, "bytes",
        CostTerm("page-bytes", servers), CONTROL_BYTES_UNTIL_IN_FORCE,
    ),
    _proxy(
        Aspect.MESSAGES, "a zone lost: its entries", COMPLETE_LIST, "bytes",
        endpoint_entries(lambda size: size.target.servers_lost_with_zone * size.share),
        CONTROL_BYTES_UNTIL_IN_FORCE,
    ),
    _proxy(
        Aspect.MESSAGES, "an hour without a region and its return: its entries, twice", COMPLETE_LIST,
        "bytes",
        endpoint_entries(lambda size: 2 * size.target.servers_lost_with_region * size.share),
        CONTROL_BYTES_UNTIL_IN_FORCE,
    ),
    _proxy(
        Aspect.MESSAGES, "the ordinary day's changes of the list", COMPLETE_LIST, "bytes a second",
        endpoint_entries(endpoint_changes), CONTROL_TRAFFIC,
    ),
    _proxy(
        Aspect.MESSAGES, "the ordinary day's changes of the list in bursts of ten", COMPLETE_LIST,
        "bytes a second", endpoint_entries(in_burst(endpoint_changes)), CONTROL_TRAFFIC,
    ),
    _proxy(
        Aspect.PROCESSOR_TIME, "the ordinary day's changes heard", COMPLETE_LIST, "cores",
        CostTerm("change-heard", servers, endpoint_changes), CONTROL_CORES,
    ),
    _proxy(
        Aspect.PROCESSOR_TIME, "the ordinary day's changes heard, in bursts of ten", COMPLETE_LIST, "cores",
        CostTerm("change-heard", servers, in_burst(endpoint_changes)), CONTROL_CORES,
    ),
    _proxy(
        Aspect.PROCESSOR_TIME, "the whole list heard, in which no req goes on", COMPLETE_LIST, "s",
        CostTerm("page-heard", servers), LATENCY_OBJECTIVE,
    ),
    _proxy(
        Aspect.STATE, "list, addresses and module", COMPLETE_LIST, "bytes",
        CostTerm("client-memory", servers), CONTROL_MEMORY,
    ),
)  # fmt: skip

ROUTING_REQUIREMENTS = (
    _proxy(
        Aspect.PROCESSOR_TIME, "one req's `take` and end", ROUTING, "s",
        CostTerm("take-boxes", servers), ADDED_LATENCY,
    ),
    _proxy(
        Aspect.PROCESSOR_TIME, "`take` and end of 384 reqs a second", ROUTING, "cores",
        CostTerm("take-boxes", servers, lambda size: size.requests_per_second_per_proxy), ONE_CORE,
    ),
)  # fmt: skip

AFFINITY_REQUIREMENT = _proxy(
    Aspect.MEMORY, "keys that met a build, all tenants through one umpire", AFFINITY, "bytes",
    CostTerm("memory-keys", lambda size: size.tenants), CONTROL_MEMORY,
)  # fmt: skip

SERVER_REQUIREMENTS = (
    _server_connections(
        "connections from all umpires, each fronting all services", CostTerm("box-connections", proxies)
    ),
    _server_connections(
        "connections from the umpires that front its service, one service each",
        CostTerm("box-connections", lambda size: size.target.proxies / size.target.services),
    ),
)
