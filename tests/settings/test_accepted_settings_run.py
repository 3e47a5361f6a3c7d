"""Settings that are accepted give a router that runs; others are refused with their place."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from pydantic import ValidationError

from gullmount.decisions.model import InstanceSettings, Outcome, ReleasePhase, Vote
from gullmount.decisions.router import Router
from gullmount.proxy import ProxyConfig
from gullmount.settings import InvalidSettingsError, decode_instance_settings
from tests.support.decisions import RouterHarness
from tests.support.platform_world import SETTINGS
from tests.support.proxy_edge import make_proxy_config

EXTREMES = (
    0, 1, 2, 3, 4, 15, 210, 7300, 10**6, 10**9, 10**15, 10**18, 10**19, 2**63, -1, 0.0, 1e-12, 1e-9,
    1e-6, 0.5, 1.0, 1.5, 1e9, 1e18, 1e300, float("inf"), float("nan"), True, False, None, "any",
    "share", "timer", "class", [], [0.0], [1.0], [1e-9, 1.0], [0.0, 1.0],
)  # fmt: skip
SECONDS = 6
REQUESTS_PER_SECOND = 8

many = settings(
    derandomize=True, max_examples=400, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow],
)  # fmt: skip


def leaves(held: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """The paths of all values that are no objects, lists included."""
    if isinstance(held, dict):
        return [place for key, value in held.items() for place in leaves(value, (*path, key))]
    if isinstance(held, list) and held and isinstance(held[0], dict):
        return [place for index, value in enumerate(held) for place in leaves(value, (*path, index))]
    return [path]


def changed(made: Any, changes: dict[tuple[Any, ...], Any]) -> Any:
    for path, value in changes.items():
        around = made
        for key in path[:-1]:
            around = around[key]
        around[path[-1]] = value
    return made


def short_day(configured: InstanceSettings) -> None:
    """Servers of two builds, a release through its stages, requests, failures and peers' votes."""
    harness = RouterHarness()
    router = harness.router = Router(harness, configured)
    harness.list_servers({"a1": 1, "a2": 1, "b1": 2}, started_at=harness.now())
    harness.set_release(build=1, phase=ReleasePhase.RELEASED, cap=1.0)
    for second in range(SECONDS):
        stage = min(second // 2, len(configured.release.exposure_limits) - 1)
        harness.set_release(build=2, stage=stage, cap=configured.release.exposure_limits[stage])
        for number in range(REQUESTS_PER_SECOND):
            route = list(configured.routes)[number % len(configured.routes)]
            request = router.accept(f"r{second}-{number}", route, harness.now() + 1.0, f"k{number}")
            harness.end_attempt(request, Outcome.ERROR if number == 1 else Outcome.COMPLETED)
            harness.advance_clock(1 / REQUESTS_PER_SECOND)
        router.receive_vote(1, 2, stage, Vote.ROLLBACK)
        router.vote_failed()
    harness.set_release(build=2, phase=ReleasePhase.ROLLED_BACK, cap=0.0)
    harness.advance_clock(1.0)


def some_changes(places: list[tuple[Any, ...]]) -> st.SearchStrategy[dict[tuple[Any, ...], Any]]:
    return st.dictionaries(st.sampled_from(places), st.sampled_from(EXTREMES), min_size=1, max_size=4)


@many
@given(some_changes(leaves(SETTINGS)))
def test_platform_settings_are_refused_with_their_place_or_run_a_short_day(
    changes: dict[tuple[Any, ...], Any],
) -> None:
    """Guards against accepted settings that the router cannot be built with (StatisticsError)."""
    made = changed(json.loads(json.dumps(SETTINGS)), changes)
    try:
        configured = decode_instance_settings(1, made)
    except InvalidSettingsError as error:
        assert error.path
        return
    short_day(configured)


GENERIC = {
    name: value
    for name, value in make_proxy_config().model_dump(mode="json").items()
    if name in ("number", "of", "routes", "boxes", "releases", "max_retry_after")
}


@many
@given(some_changes(leaves(GENERIC)))
def test_a_proxys_file_is_refused_with_its_place_or_runs_a_short_day(
    changes: dict[tuple[Any, ...], Any],
) -> None:
    whole = make_proxy_config().model_dump(mode="json")
    try:
        configured = ProxyConfig.model_validate(changed(whole, changes))
    except ValidationError as error:
        assert error.errors()
        return
    short_day(configured.instance_settings(1, False))


@pytest.mark.parametrize(
    ("back_votes", "siblings"), [(15, 1), (10**9, 2), (1, 10**18), (10**18, 10**18), (0, 1), (2, 2)]
)
def test_vote_counts_at_both_ends_of_what_is_accepted_run_a_short_day(back_votes: int, siblings: int) -> None:
    made = json.loads(json.dumps(SETTINGS)) | {"Siblings": siblings}
    made["Specifics"]["BackVotes"] = back_votes
    short_day(decode_instance_settings(1, made))
