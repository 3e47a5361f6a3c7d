"""Tables of the capacity page that show requirements. No I/O.

They are the breaking points, the roles, the services that a proxy fronts, and how changes bunch.
"""

from __future__ import annotations

from collections.abc import Sequence

from gullmount.scale.figures import Figures, RunRow
from gullmount.scale.page.formatting import (
    COUNTED_UNIT,
    format_amount,
    format_estimate,
    format_extrapolation,
    format_number,
    markdown_table,
)
from gullmount.scale.requirements.assessment import MAX_SHARE, MIN_SHARE, Assessment, CapacityModel
from gullmount.scale.requirements.catalogue import FRONTED_SERVICES, REQUIREMENTS
from gullmount.scale.requirements.model import Aspect, CostTerm, FleetSize, Requirement, Role, SizeFunction
from gullmount.scale.requirements.quantities import endpoint_entries

NOT_MEASURED = "not measured"
NO_BUDGET = "none told"
EMPTY = "-"
# The columns of the table of roles.
ASPECT_COLUMNS = (
    ("state and memory", (Aspect.STATE, Aspect.MEMORY)),
    ("messages", (Aspect.MESSAGES,)),
    ("processor time", (Aspect.PROCESSOR_TIME,)),
    ("time", (Aspect.TIME,)),
)
RELAYS = "relays"  # the mechanism of the runs that the roles of runs are taken from
SUBSCRIBER = "follower"
ROLES_OF_RUNS = ("relay", "source", SUBSCRIBER)


def format_share(share: float) -> str:
    """Return a share of the target."""
    if share <= MIN_SHARE:
        return "any size"
    if share >= MAX_SHARE:
        return f"above {MAX_SHARE:.0%}"
    return f"{format_number(100 * share, 2)}%"


def format_breaking_point(assessment: Assessment) -> str:
    """Return the share of the target at which the budget is spent, or why there is none."""
    if assessment.requirement.unmet_reason:
        return "0%"
    share = assessment.breaking_point
    if share is None:
        return NOT_MEASURED if assessment.need is None else "no budget told"
    text = format_share(share.value)
    if format_share(share.low) != format_share(share.high):
        text += f" ({format_share(share.low)} to {format_share(share.high)})"
    return text + (format_extrapolation(share.extrapolation) if MIN_SHARE < share.value < MAX_SHARE else "")


def format_need(assessment: Assessment) -> str:
    """Return the need at the target, or what it lacks."""
    requirement = assessment.requirement
    if requirement.unmet_reason:
        return requirement.unmet_reason
    if assessment.need is None:
        missing = [f"`{name}`" for name in assessment.missing_slopes]
        return f"{NOT_MEASURED}{': ' if missing else ''}{', '.join(missing)}"
    return format_estimate(assessment.need, requirement.unit)


def format_budget(assessment: Assessment) -> str:
    """Return the budget and where it comes from."""
    requirement = assessment.requirement
    if assessment.budget is None or requirement.budget is None:
        return NO_BUDGET
    return f"{format_amount(assessment.budget, requirement.unit)}: {requirement.budget.source}"


def _format_need_of_budget(assessment: Assessment) -> str:
    requirement = assessment.requirement
    text = f"{requirement.description}: {format_need(assessment)}"
    if assessment.need is not None and assessment.budget is not None:
        text += f" of {format_amount(assessment.budget, requirement.unit)}"
    return text


def breaks_table(assessments: Sequence[Assessment]) -> list[str]:
    """Return the table of breaking points, in the order of the assessments."""
    rows = []
    for assessment in assessments:
        requirement = assessment.requirement
        slopes = ", ".join(dict.fromkeys(f"`{term.slope}`" for term in requirement.terms)) or EMPTY
        rows.append(
            [
                format_breaking_point(assessment),
                requirement.role,
                f"{requirement.aspect}: {requirement.description}",
                format_need(assessment),
                format_budget(assessment),
                requirement.mechanism,
                slopes,
            ]
        )
    heads = ("breaks at", "role", "what", "need at the target", "budget", "carried by", "from")
    return markdown_table(heads, rows)


def roles_table(assessments: Sequence[Assessment], figures: Figures) -> list[str]:
    """Return by role and mechanism all needs at the target, then the roles that a run showed."""
    rows = []
    for role, mechanism in dict.fromkeys((one.role, one.mechanism) for one in REQUIREMENTS):
        cells = [str(role), mechanism]
        for _, aspects in ASPECT_COLUMNS:
            needs = [
                _format_need_of_budget(assessment)
                for assessment in assessments
                if (assessment.requirement.role, assessment.requirement.mechanism) == (role, mechanism)
                and assessment.requirement.aspect in aspects
            ]
            cells.append("; ".join(needs) or EMPTY)
        rows.append(cells)
    rows += [_row_of_run(name, figures) for name in ROLES_OF_RUNS]
    return markdown_table(("role", "carried by", *(head for head, _ in ASPECT_COLUMNS)), rows)


def _row_of_run(role: str, figures: Figures) -> list[str]:
    """Return what a run at the target's size showed of a role; a subscriber is a proxy that relays serve."""
    role_in_run = Role.PROXY if role == SUBSCRIBER else role
    size = figures.target.proxies
    found = [
        row
        for run in figures.runs.values()
        for row in run.rows
        if (row.role, row.mechanism, row.proxies) == (role_in_run, RELAYS, size)
    ]
    if not found:
        return [role, *[NOT_MEASURED] * (1 + len(ASPECT_COLUMNS))]
    cells = [
        "; ".join(_format_run_row(row) for row in found if aspect_of(row) in aspects) or EMPTY
        for _, aspects in ASPECT_COLUMNS
    ]
    return [role, f"{RELAYS}, as run at {size:,} umpires", *cells]


def _format_run_row(row: RunRow) -> str:
    budget = "" if row.budget is None else f" of {format_amount(row.budget, row.unit)}"
    return f"{row.description}: {format_amount(row.value, row.unit)}{budget}"


def aspect_of(row: RunRow) -> Aspect:
    """Return what a figure of a run is about, by its unit and description."""
    if row.unit == "cores" or "processor time" in row.description:
        return Aspect.PROCESSOR_TIME
    if row.unit == "s":
        return Aspect.TIME
    is_memory = "memory" in row.description or row.unit == COUNTED_UNIT
    return Aspect.MEMORY if is_memory else Aspect.MESSAGES


def _need_text(model: CapacityModel, unit: str, term: CostTerm) -> str:
    requirement = Requirement(Role.PROXY, Aspect.STATE, "", "", unit, (term,))
    return format_need(model.assess(requirement))


def fronted_table(model: CapacityModel) -> list[str]:
    """Return what a proxy needs by the number of services that it fronts, if it received those alone."""
    target = model.target
    servers_per_service = target.servers / target.services
    routes_per_service = target.routes / target.services

    def need(slope: str, x: float, unit: str, times: float = 1.0) -> str:
        return _need_text(model, unit, CostTerm(slope, lambda _: x, lambda _: times))

    rows = []
    for fronted in FRONTED_SERVICES:
        services = fronted or target.services
        servers, routes = services * servers_per_service, services * routes_per_service
        changes = FleetSize(target).endpoint_changes_per_second * services / target.services
        rows.append(
            [
                "all" if fronted is None else str(services),
                format_number(servers, 4),
                need("take-boxes", servers, "s"),
                need("take-services", services, "s"),
                need("change-heard", servers, "cores", changes * target.burst_factor),
                need("judge-routes", routes, "cores"),
                need("judge-services", services, "cores"),
                need("client-memory", servers, "bytes"),
                need("memory-services", services, "bytes"),
                need("page-bytes", servers, "bytes"),
                need("config-bytes", routes, "bytes"),
                need("box-connections", services * target.proxies / target.services, "connections"),
            ]
        )
    heads = (
        "services fronted", "boxes", "`take` and end, one module", "the same, a module a service",
        "changes heard, bursts of ten", "judge's looks, one module", "the same, a module a service",
        "list and module", "modules, one a service", "its list", "its configuration",
        "connections at a box",
    )  # fmt: skip
    return markdown_table(heads, rows)


def _changes_in_burst(factor: float) -> SizeFunction:
    return lambda size: size.endpoint_changes_per_second * factor


def bursts_table(model: CapacityModel) -> list[str]:
    """Return the bytes a second that changes send to one proxy, by burst and by the size of an entry."""
    size = FleetSize(model.target)
    rows = []
    for name, factor in (("mean", 1.0), ("in bursts of ten", model.target.burst_factor)):
        changes = _changes_in_burst(factor)
        rows.append(
            [
                name,
                format_number(changes(size)),
                format_number(size.configuration_changes_per_second * factor),
                *(
                    _need_text(model, "bytes a second", endpoint_entries(changes, slope))
                    for slope in ("page-bytes", "page-bytes-long", "roster-bytes")
                ),
            ]
        )
    heads = (
        "changes", "of boxes a second", "of configuration a second", "bytes of boxes' news at each umpire",
        "with long names", "as roster lines",
    )  # fmt: skip
    return markdown_table(heads, rows)
