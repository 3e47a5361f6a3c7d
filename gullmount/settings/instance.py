"""Decodes the routes, release settings and limits of one proxy instance."""

from __future__ import annotations

from typing import Any

from gullmount.decisions.model import (
    DeduplicationScope,
    InstanceSettings,
    ReleaseSettings,
    RetrySafety,
    Route,
)
from gullmount.settings.section import SettingsSection
from gullmount.settings.units import MIN_DIVISOR

DEDUPLICATION_SCOPES = {scope.value: scope for scope in DeduplicationScope}
RETRY_SAFETIES = {
    "idempotent": RetrySafety.IDEMPOTENT,
    "deduplicated": RetrySafety.DEDUPLICATED,
    "at_most_once": RetrySafety.AT_MOST_ONCE,
}
COUNTED_BY_ROUTE = {"all": False, "class": True}
ADVANCES_BY_TIMER = {"any": False, "share": False, "timer": True}
MAY_WATCH_ENDPOINTS = {"automatic": False, "subscribe": True}


def decode_instance_settings(seed: int, fields: dict[str, Any]) -> InstanceSettings:
    """Decode the settings of one instance, whose random generator starts from `seed`.

    Raises InvalidSettingsError if a field is missing or invalid.
    """
    settings = SettingsSection(fields)
    limits, server_rules = settings.section("Ceilings"), settings.section("Rules")
    release = settings.section("Specifics")
    routes = [decode_route(route) for route in settings.sections("Grades")]
    return InstanceSettings(
        seed=seed,
        routes={route.name: route for route in routes},
        release=decode_release_settings(release),
        zone=settings.text("Zone"),
        instance_number=settings.whole_number("Me"),
        instance_count=settings.whole_number("Siblings", 1),
        gossip_enabled=limits.flag("Peers"),
        connection_idle_timeout=limits.duration("ConnIdleUs"),
        cold_capacity=server_rules.number("ColdFrom", MIN_DIVISOR, 1.0),
        # A duration of 0 means that a server is warm at once; the lower bound avoids a division by zero.
        warm_up_time=max(MIN_DIVISOR, server_rules.duration("WarmAfterUs")),
        overload_multiple=server_rules.number("TipMultiple", MIN_DIVISOR),
        max_attempts=limits.whole_number("MaxAttempts", 1),
        may_watch_endpoints=settings.choice("Discovery", MAY_WATCH_ENDPOINTS),
        max_retry_after=limits.duration("MaxRetryAfterUs") if limits.flag("RetryAfter") else 0.0,
    )


def decode_route(route: SettingsSection) -> Route:
    """Decode one route. Raises InvalidSettingsError."""
    retry_safety = route.choice("Semantics", RETRY_SAFETIES)
    # Only deduplicated routes have a scope and a window; other routes may omit both.
    deduplicated = retry_safety is RetrySafety.DEDUPLICATED
    return Route(
        name=route.text("Name"),
        latency_objective=route.duration("ObjectiveUs", 1),
        retry_safety=retry_safety,
        deduplication_scope=(
            route.choice("Group", DEDUPLICATION_SCOPES) if deduplicated else DeduplicationScope.ALL
        ),
        deduplication_window=route.duration("WindowUs") if deduplicated else 0.0,
    )


def decode_release_settings(release: SettingsSection) -> ReleaseSettings:
    """Decode how candidates are exposed and voted on. Raises InvalidSettingsError.

    These settings support one candidate at a time, so canary analysis evaluates it, not attribution.
    """
    return ReleaseSettings(
        exposure_limits=release.numbers("ExposureCaps", 0.0, 1.0),
        counted_by_route=release.choice("CountedBy", COUNTED_BY_ROUTE),
        idempotent_only_stages=release.whole_number("ClosedStages"),
        one_way=release.flag("OneWay"),
        exposure_window=release.duration("SpanUs"),
        exposure_slack=release.number("SpareTries"),
        advances_by_timer=release.choice("GateMode", ADVANCES_BY_TIMER),
        vote_lifetime=release.duration("VoteLifeUs"),
        votes_to_promote=release.whole_number("ToAdvance"),
        votes_to_roll_back=release.whole_number("BackVotes"),
        votes_per_second=release.number("VotesPerS", MIN_DIVISOR),
        metrics_period=release.duration("MetricsPeriodUs"),
    )
