"""Scenarios of the simulator as ours: what they become, what is named as left out, what is refused."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result

from gullmount.commands.scenarios import scenario
from gullmount.scenarios.config import ScenarioConfig
from gullmount.scenarios.simulator_import import import_scenario, scenario_yaml
from gullmount.yamlfile import parse_yaml

CLASSES: list[dict[str, Any]] = [
    {"name": "read", "effect": "safe", "share": 0.7, "work": 9000, "io": 1000, "cv": 0.5, "aim": 60000}
    | {"deadline": 400000, "group": "all", "window": 0, "worth": 2.0, "late_worth": 0.3},
    {"name": "write", "effect": "keyed", "share": 0.2, "work": 20000, "io": 0, "cv": 0.7, "aim": 90000}
    | {"deadline": 600000, "group": "zone", "window": 30_000_000, "worth": 5.0, "late_worth": 0.1},
    {"name": "pay", "effect": "unsafe", "share": 0.1, "work": 30000, "io": 5000, "cv": 0.4, "aim": 120000}
    | {"deadline": 900000, "group": "cell", "window": 0, "worth": 9.0, "late_worth": 0.0},
]


def fault(kind: str, at: int, **more: Any) -> dict[str, Any]:
    basis = {"kind": kind, "at": at, "len": 4_000_000, "on": [0, 1], "size": 0.5, "extra": 2.0, "which": 4}
    return basis | more


def simulator_scenario(**changes: Any) -> dict[str, Any]:
    kind = {"cores": 4, "slots": 16, "queue": 64, "thrash": 0.2, "error_rate": 0.001, "cancel": "queued"}
    tier = {"kinds": [kind], "stated_cold_from": 0.4, "stated_cold": 5_000_000, "conn_cap_per_core": 200.4}
    release_family = {
        "places": 6,
        "boot": 2_000_000,
        "drain": 3_000_000,
        "votes": [0.25, 0.6, 0.4],
        "control": "share",
        "beside": True,
        "stages": [0.1, 0.5, 1.0],
        "caps": [0.15, 0.6, 1.0],
        "bake": 1_500_000,
        "step": 50_000,
        "vote_life": 8_000_000,
        "calls_per_s": 40.0,
        "call": 100_000,
        "call_timeout": 1_000_000,
        "told_late": 300_000,
        "push": 2_000_000,
        "tally": 1_000_000,
        "tally_sample": 0.3,
        "tally_late": 400_000,
        "window": 2_500_000,
        "free": 3.0,
        "by_class": True,
        "guarded": 1,
        "one_way": True,
        "releases": [{"at": 10_000_000, "bad": "class", "strength": 0.7, "speed": 1.1, "class": 1}],
    }
    whole = {
        "family": "rollout",
        "site": "basalt",
        "kind": "calm",
        "length": 30_000_000,
        "noise": 2**31 + 17,
        "zones": ["one", "two", "three"],
        "tiers": [tier | {"handshake_work": 700, "connect_timeout": 250_000}],
        "fam": release_family,
        "net": {"same": 150, "cross": 1500, "jitter": 0.3},
        "allow": {"peers": True, "peer_delay": 5000, "retry_after": True, "max_attempts": 3},
        "discovery": {"ask": True, "notice": 10**6, "silent_notice": 5 * 10**6, "add": 600_000}
        | {"period": 250_000},
        "balancers": [{"weight": weight} for weight in (4.0, 2.0, 1.0, 1.0)],
        "servers": [{"speed": 1.0 + number / 10} for number in range(8)],
        "tenants": [],
        "traffic": {"shape": [1.0], "load": 0.6, "keys": 3000, "key_zipf": 0.8, "worth_by_work": True},
        "clients": {"retries": 1, "backoff": "exp", "backoff_us": 80_000, "try_share": 0.9, "honour": 0.5}
        | {"impatient": 0.05, "max_retry_after": 700_000},
        "classes": CLASSES,
        "drain_grace": 400_000,
        "fall_multiple": 3.5,
        "fall_for": 1_800_000,
        "troubles": [],
    }
    return whole | changes


def imported(**changes: Any) -> tuple[ScenarioConfig, list[str]]:
    result = import_scenario(msgspec.json.encode(simulator_scenario(**changes)))
    return result.config, result.left_out


def test_microseconds_become_seconds_and_fields_go_to_their_sections() -> None:
    config, left_out = imported()
    assert left_out == []
    assert (config.name, config.length, config.seed) == ("basalt-calm", 30.0, 17)
    assert (config.links.same, config.links.cross, config.links.messages) == (0.00015, 0.0015, (0.0, 0.01))
    servers = config.boxes
    assert (servers.count, servers.slots_per_core, servers.queue_per_core) == (6, 4.0, 16.0)
    assert (servers.speed, servers.boot, servers.connections) == ((1.0, 1.5), (2.0, 2.0), 802)
    assert (servers.stops, servers.warm_time, servers.handshake_work) == ("queued", 5.0, 0.0007)
    assert (config.roster.how, config.roster.period) == ("ask", 0.25)
    assert (config.clients.backoff, config.clients.backoff_time) == ("exp", 0.08)
    assert (config.rules.window, config.rules.closed_stages, config.rules.max_tries) == (2.5, 1, 3)
    assert config.rules.by_route and config.rules.one_way and config.umpires.may_tell
    assert config.max_retry_after == 0.7
    release = config.releases[0]
    assert (release.at, release.bad, release.size, release.route) == (10.0, "class", 0.7, "write")


def test_effects_become_methods_and_retry_safety_and_payoff_goes_by_work() -> None:
    read, write, pay = imported()[0].routes
    assert (read.method, read.path, read.repeats, read.work) == ("GET", "/read", "retriable", 0.01)
    assert (write.method, write.repeats, write.group, write.dedupe_window) == ("PUT", "deduped", "zone", 30.0)
    assert (pay.method, pay.repeats, pay.group, pay.dedupe_window) == ("POST", "non_retriable", "all", 0.0)
    assert [route.payoff for route in (read, write, pay)] == [0.02, 0.1, 0.315]
    by_count = simulator_scenario()["traffic"] | {"worth_by_work": False}
    assert [route.payoff for route in imported(traffic=by_count)[0].routes] == [2.0, 5.0, 9.0]


def test_skew_gives_the_ratio_of_the_largest_weight_to_the_mean() -> None:
    assert imported(balancers=[{"weight": 1.0}] * 4)[0].umpires.skew == 0.0
    assert imported()[0].umpires.skew == 1.1


@pytest.mark.parametrize(
    ("control", "votes"), [("any", (1, 1, 0)), ("share", (1, 2, 0)), ("timer", (1, 2, 3))]
)
def test_votes_are_shares_of_the_instances(control: str, votes: tuple[int, int, int]) -> None:
    told = imported(fam=simulator_scenario()["fam"] | {"control": control})[0].launcher
    assert (told.to_advance, told.back_votes, told.hold_votes) == votes
    assert (told.step, told.answer_time, told.caps) == (0.1, (0.05, 0.1), [0.15, 0.6, 1.0])


def test_faults_come_in_the_order_of_their_times_with_what_their_kind_needs() -> None:
    config, left_out = imported(
        troubles=[
            fault("slow_link", 9_000_000, size=20_000),
            fault("balancer_roll", 1_000_000, size=0.01, extra=4.0, on=[0, 3, 5]),
            fault("answer_lost", 2_000_000, on=[0, 1, 7], len=10),
            fault("heavy_tail", 3_000_000),
            fault("control_down", 4_000_000, how="stale"),
            fault("control_down", 5_000_000, how="errors"),
            fault("control_down", 6_000_000),
            fault("zone_loss", 7_000_000),
            fault("bad_build", 8_000_000),
            fault("quake", 8_000_000),
        ]
    )
    assert left_out == ["troubles: quake has no counterpart"]
    told = [(one.kind, one.at, one.part, one.size, one.extra, one.how) for one in config.troubles]
    assert told == [
        ("umpires_rolled", 1.0, 0.5, 0.05, 1.5, ""),
        ("answer_lost", 2.0, 2 / 6, 0.5, 2.0, "silence"),
        ("heavy_tail", 3.0, 2 / 6, 0.5, 2.0, ""),
        ("launcher_late", 4.0, 2 / 6, 0.5, 2.0, ""),
        ("launcher_stalls", 5.0, 2 / 6, 0.5, 2.0, "errors"),
        ("launcher_stalls", 6.0, 2 / 6, 0.5, 2.0, "silence"),
        ("zone_lost", 7.0, 2 / 6, 0.5, 2.0, ""),
        ("slow_link", 9.0, 2 / 6, 0.02, 2.0, ""),
    ]
    assert [one.zone for one in config.troubles if one.zone] == ["two", "two"]
    assert (config.troubles[2].route, config.troubles[1].length) == ("write", 0.1)


def test_customers_and_a_changing_rate_are_named_as_left_out() -> None:
    traffic = simulator_scenario()["traffic"] | {"shape": [1.0, 2.0]}
    assert imported(tenants=[{}], traffic=traffic)[1] == [
        "tenants: customers' shares are not played",
        "traffic.shape: the rate is steady here",
    ]


def test_yaml_of_an_import_reads_back_alike() -> None:
    config, _ = imported(troubles=[fault("crash", 1_000_000)])
    assert parse_yaml(scenario_yaml(config), "scenario.yaml", ScenarioConfig) == config


def import_file(data: bytes, folder: Path) -> Result:
    (folder / "day.json").write_bytes(data)
    options = [str(folder / "day.json"), "-o", str(folder / "day.yaml")]
    return CliRunner().invoke(scenario, ["from-bench", *options])


def test_command_writes_the_yaml_and_names_what_is_left_out(tmp_path: Path) -> None:
    result = import_file(msgspec.json.encode(simulator_scenario(tenants=[{}])), tmp_path)
    assert result.exit_code == 0
    assert result.stderr == "left out: tenants: customers' shares are not played\n"
    written = (tmp_path / "day.yaml").read_text()
    assert parse_yaml(written, "day.yaml", ScenarioConfig) == imported()[0]


def without(*names: str) -> Callable[[], bytes]:
    def data() -> bytes:
        whole = simulator_scenario()
        return msgspec.json.encode({name: whole[name] for name in whole if name not in names})

    return data


def changed(**changes: Any) -> Callable[[], bytes]:
    return lambda: msgspec.json.encode(simulator_scenario(**changes))


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (lambda: b"{", "not JSON: "),
        (lambda: b"[]", "not JSON: "),
        (without("net"), "field 'net' is missing"),
        (changed(family="chain"), "a field is not what it must be: family is 'chain', expected 'rollout'"),
        (changed(classes=[{"work": "x", "io": 1}]), "a field is not what it must be: "),
        (changed(balancers=[]), "a field is not what it must be: "),
        (changed(zones=[]), "zones: "),
    ],
)
def test_what_is_no_scenario_is_one_plain_line_and_exits_with_2(
    data: Callable[[], bytes], words: str, tmp_path: Path
) -> None:
    result = import_file(data(), tmp_path)
    assert result.exit_code == 2
    assert result.stderr.startswith(f"{tmp_path / 'day.json'}: {words}")
    assert result.stderr.count("\n") == 1 and not (tmp_path / "day.yaml").exists()
