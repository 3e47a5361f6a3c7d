"""Checks that accepted settings give a router that runs, and that rejected ones name the invalid field."""

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

EXTREME_VALUES = (
    0, 1, 2, 3, 4, 15, 210, 7300, 10**6, 10**9, 10**15, 10**18, 10**19, 2**63, -1, 0.0, 1e-12, 1e-9,
    1e-6, 0.5, 1.0, 1.5, 1e9, 1e18, 1e300, float("inf"), float("nan"), True, False, None, "any",
    "share", "timer", "class", [], [0.0], [1.0], [1e-9, 1.0], [0.0, 1.0],
)  # fmt: skip
SCENARIO_SECONDS = 6
REQUESTS_PER_SECOND = 8

fuzz_settings = settings(
    derandomize=True, max_examples=400, deadline=None, database=None,
    suppress_health_check=[HealthCheck.too_slow],
)  # fmt: skip


def leaf_paths(node: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all values that are not objects, nor lists of objects."""
    if isinstance(node, dict):
        return [leaf_path for key, value in node.items() for leaf_path in leaf_paths(value, (*path, key))]
    if isinstance(node, list) and node and isinstance(node[0], dict):
        return [
            leaf_path for index, value in enumerate(node) for leaf_path in leaf_paths(value, (*path, index))
        ]
    return [path]


def apply_changes(document: Any, changes: dict[tuple[Any, ...], Any]) -> Any:
    """Set the value at each path in place; return the document."""
    for path, value in changes.items():
        container = document
        for key in path[:-1]:
            container = container[key]
        container[path[-1]] = value
    return document


def run_short_scenario(decoded: InstanceSettings) -> None:
    """Run servers of two builds, a rollout through its stages, requests, failures and peers' votes."""
    harness = RouterHarness()
    router = harness.router = Router(harness, decoded)
    harness.list_servers({"a1": 1, "a2": 1, "b1": 2}, started_at=harness.now())
    harness.set_release(build=1, phase=ReleasePhase.RELEASED, cap=1.0)
    for second in range(SCENARIO_SECONDS):
        stage = min(second // 2, len(decoded.release.exposure_limits) - 1)
        harness.set_release(build=2, stage=stage, cap=decoded.release.exposure_limits[stage])
        for number in range(REQUESTS_PER_SECOND):
            route = list(decoded.routes)[number % len(decoded.routes)]
            request = router.accept(f"r{second}-{number}", route, harness.now() + 1.0, f"k{number}")
            harness.end_attempt(request, Outcome.ERROR if number == 1 else Outcome.COMPLETED)
            harness.advance_clock(1 / REQUESTS_PER_SECOND)
        router.receive_vote(1, 2, stage, Vote.ROLLBACK)
        router.vote_failed()
    harness.set_release(build=2, phase=ReleasePhase.ROLLED_BACK, cap=0.0)
    harness.advance_clock(1.0)


def field_changes(paths: list[tuple[Any, ...]]) -> st.SearchStrategy[dict[tuple[Any, ...], Any]]:
    """Draw one to four of the paths, each with an extreme value."""
    return st.dictionaries(st.sampled_from(paths), st.sampled_from(EXTREME_VALUES), min_size=1, max_size=4)


@fuzz_settings
@given(field_changes(leaf_paths(SETTINGS)))
def test_altered_platform_settings_are_rejected_with_a_path_or_run(
    changes: dict[tuple[Any, ...], Any],
) -> None:
    """Guards against accepted settings with which building the router fails with StatisticsError."""
    document = apply_changes(json.loads(json.dumps(SETTINGS)), changes)
    try:
        decoded = decode_instance_settings(1, document)
    except InvalidSettingsError as error:
        assert error.path
        return
    run_short_scenario(decoded)


GENERIC_PROXY_FIELDS = {
    name: value
    for name, value in make_proxy_config().model_dump(mode="json").items()
    if name in ("number", "of", "routes", "boxes", "releases", "max_retry_after")
}


@fuzz_settings
@given(field_changes(leaf_paths(GENERIC_PROXY_FIELDS)))
def test_altered_proxy_config_is_rejected_with_errors_or_runs(
    changes: dict[tuple[Any, ...], Any],
) -> None:
    config = make_proxy_config().model_dump(mode="json")
    try:
        decoded = ProxyConfig.model_validate(apply_changes(config, changes))
    except ValidationError as error:
        assert error.errors()
        return
    run_short_scenario(decoded.instance_settings(1, False))


@pytest.mark.parametrize(
    ("back_votes", "siblings"), [(15, 1), (10**9, 2), (1, 10**18), (10**18, 10**18), (0, 1), (2, 2)]
)
def test_extreme_vote_counts_are_accepted_and_run(back_votes: int, siblings: int) -> None:
    document = json.loads(json.dumps(SETTINGS)) | {"Siblings": siblings}
    document["Specifics"]["BackVotes"] = back_votes
    run_short_scenario(decode_instance_settings(1, document))
