"""Turns a scenario of the users' simulator (JSON) into one of ours; what has no counterpart is named.

The simulator's fields and values are written as its files have them, with times in microseconds. Its
balancers are proxy instances, its classes routes, its places servers.
"""

from __future__ import annotations

from dataclasses import dataclass
from io import StringIO
from math import ceil
from typing import Any

import msgspec
from pydantic import ValidationError
from ruamel.yaml import YAML

from gullmount.scenarios.config import FaultKind, ScenarioConfig
from gullmount.scenarios.errors import ScenarioError

MICROSECONDS_PER_SECOND = 1e6
DIGITS = 6  # of a second, and of a payoff
FAMILY = "rollout"  # the one kind of scenario that has a counterpart
SEED_LIMIT = 2**31
MAX_SKEW_STEP = 30  # of SKEW_STEPS_PER_UNIT: exponents up to 1.5 are tried
SKEW_STEPS_PER_UNIT = 20
MIN_SECONDS = 0.1  # of a stage, and of a fault
MIN_BATCH_SHARE = 0.05  # of the instances that are restarted together
MAX_DOWN_SECONDS = 1.5  # of an instance that is restarted
YAML_WIDTH = 110

RETRY_SAFETY_BY_EFFECT = {"safe": "retriable", "keyed": "deduped", "unsafe": "non_retriable"}
METHOD_BY_EFFECT = {"safe": "GET", "keyed": "PUT", "unsafe": "POST"}

# The simulator's kinds of faults. A bad build is not among them: releases have it.
FAULT_KINDS = {
    "answer_lost": FaultKind.RESPONSES_LOST,
    "balancer_crash": FaultKind.PROXY_KILL,
    "balancer_roll": FaultKind.ROLLING_PROXY_RESTART,
    "burst": FaultKind.TRAFFIC_BURST,
    "control_down": FaultKind.RELEASE_CONTROLLER_STALL,
    "crash": FaultKind.SERVER_CRASH,
    "discovery_stale": FaultKind.DISCOVERY_LATE,
    "false_reports": FaultKind.FALSE_LOAD_REPORTS,
    "give_up": FaultKind.IMPATIENT_CLIENTS,
    "handshake_slow": FaultKind.SLOW_HANDSHAKES,
    "heavy_tail": FaultKind.HEAVY_TAIL,
    "hot_caller": FaultKind.HOT_PROXIES,
    "neighbour": FaultKind.NOISY_NEIGHBOUR,
    "peer_down": FaultKind.GOSSIP_LOST,
    "probe_fail": FaultKind.FAILING_HEALTH_CHECKS,
    "retry_abuse": FaultKind.ENDLESS_RETRIES,
    "shared_slow": FaultKind.SHARED_SLOWDOWN,
    "slow_link": FaultKind.SLOW_LINKS,
    "zone_cut": FaultKind.ZONE_PARTITION,
    "zone_loss": FaultKind.ZONE_LOSS,
}
BAD_BUILD = "bad_build"
PROXY_FAULTS = ("balancer_crash", "balancer_roll", "hot_caller")  # hit instances, all others servers
ZONE_FAULTS = ("zone_cut", "zone_loss", "slow_link")


class InvalidSimulatorScenarioError(ScenarioError):
    """Base: not a scenario of the simulator; the text says what is missing or wrong."""


class NotJsonError(InvalidSimulatorScenarioError):
    """The file is not JSON, or not an object."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"not JSON: {cause}")


class MissingFieldError(InvalidSimulatorScenarioError):
    """A field is missing."""

    def __init__(self, cause: KeyError) -> None:
        super().__init__(f"field {cause} is missing")


class InvalidFieldError(InvalidSimulatorScenarioError):
    """A field is of another kind than it must be."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"a field is not what it must be: {cause}")


class InvalidValueError(InvalidSimulatorScenarioError):
    """What the scenario was translated to is not valid."""

    def __init__(self, cause: ValidationError) -> None:
        first = cause.errors(include_url=False)[0]
        super().__init__(f"{'.'.join(map(str, first['loc']))}: {first['msg']}")


class WrongFamilyError(ScenarioError, ValueError):
    """The simulator's scenario is not one of releases."""

    def __init__(self, family: str) -> None:
        super().__init__(f"family is {family!r}, expected {FAMILY!r}")


@dataclass(frozen=True)
class ImportedScenario:
    """A scenario of the simulator as one of ours.

    Attributes:
        config: the scenario.
        left_out: a line for each thing that has no counterpart.
    """

    config: ScenarioConfig
    left_out: list[str]


def import_scenario(data: bytes) -> ImportedScenario:
    """Translate the bytes of a file of the simulator. Raises InvalidSimulatorScenarioError."""
    try:
        source = msgspec.json.decode(data, type=dict[str, Any])
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise NotJsonError(error) from None
    try:
        left_out: list[str] = []
        fields = _scenario(source, left_out)
        return ImportedScenario(ScenarioConfig.model_validate(fields), left_out)
    except KeyError as error:
        raise MissingFieldError(error) from None
    except ValidationError as error:
        raise InvalidValueError(error) from None
    except (TypeError, ValueError, AttributeError, IndexError, ZeroDivisionError) as error:
        raise InvalidFieldError(error) from None


def scenario_yaml(config: ScenarioConfig) -> str:
    """Return the scenario as YAML that reads back alike."""
    out = StringIO()
    yaml = YAML()
    yaml.width = YAML_WIDTH
    yaml.dump(config.model_dump(mode="json", exclude_defaults=True), out)
    return out.getvalue()


def _seconds(microseconds: float) -> float:
    return round(microseconds / MICROSECONDS_PER_SECOND, DIGITS)


def _scenario(source: dict[str, Any], left_out: list[str]) -> dict[str, Any]:
    if source["family"] != FAMILY:
        raise WrongFamilyError(source["family"])
    tier, release_family, allow = source["tiers"][0], source["fam"], source["allow"]
    clients, traffic, proxy_count = source["clients"], source["traffic"], len(source["balancers"])
    if source["tenants"]:
        left_out.append("tenants: customers' shares are not played")
    if len(traffic["shape"]) > 1:
        left_out.append("traffic.shape: the rate is steady here")
    return {
        "name": f"{source['site']}-{source['kind']}",
        "about": "from a day of the bench",
        "length": _seconds(source["length"]),
        "seed": source["noise"] % SEED_LIMIT,
        "zones": source["zones"],
        "links": _links(source["net"], allow),
        "umpires": {"count": proxy_count, "skew": _skew(source["balancers"]), "may_tell": allow["peers"]},
        "boxes": _servers(source, tier, release_family),
        "load": {"share": traffic["load"], "keys": traffic["keys"], "key_skew": traffic["key_zipf"]},
        "clients": _clients(clients),
        "routes": [_route(one, traffic["worth_by_work"]) for one in source["classes"]],
        "roster": _discovery(source["discovery"]),
        "launcher": _release_controller(release_family, proxy_count),
        "rules": _rules(source, tier, release_family),
        "max_retry_after": _seconds(clients["max_retry_after"]) if allow["retry_after"] else 0.0,
        "releases": [_release(one, source["classes"]) for one in release_family["releases"]],
        "troubles": _faults(source, release_family["places"], proxy_count, left_out),
    }


def _links(net: dict[str, Any], allow: dict[str, Any]) -> dict[str, Any]:
    return {
        "same": _seconds(net["same"]),
        "cross": _seconds(net["cross"]),
        "jitter": net["jitter"],
        "messages": [0.0, _seconds(2 * allow["peer_delay"])],
    }


def _skew(balancers: list[dict[str, Any]]) -> float:
    """Return the skew that gives instances the same ratio of the largest weight to the mean."""
    weights = sorted((float(one["weight"]) for one in balancers), reverse=True)
    count = len(weights)
    mean = sum(weights) / count
    wanted = weights[0] / mean

    def difference(skew: float) -> float:
        ratio: float = count / sum((rank + 1) ** -skew for rank in range(count))
        return abs(ratio - wanted)

    return min((step / SKEW_STEPS_PER_UNIT for step in range(MAX_SKEW_STEP + 1)), key=difference)


def _servers(source: dict[str, Any], tier: dict[str, Any], release_family: dict[str, Any]) -> dict[str, Any]:
    kind, count = tier["kinds"][0], release_family["places"]
    speeds = [server["speed"] for server in source["servers"][:count]]
    return {
        "count": count,
        "cores": kind["cores"],
        "speed": [min(speeds), max(speeds)],
        "slots_per_core": kind["slots"] / kind["cores"],
        "queue_per_core": kind["queue"] / kind["cores"],
        "thrash": kind["thrash"],
        "cold_share": tier["stated_cold_from"],
        "warm_time": _seconds(tier["stated_cold"]),
        "error_rate": kind["error_rate"],
        "stops": kind["cancel"],
        "connections": max(1, round(tier["conn_cap_per_core"] * kind["cores"])),
        "handshake_work": _seconds(tier["handshake_work"]),
        "boot": [_seconds(release_family["boot"])] * 2,
        "drain_time": _seconds(release_family["drain"]),
    }


def _clients(clients: dict[str, Any]) -> dict[str, Any]:
    return {
        "retries": clients["retries"],
        "backoff": clients["backoff"],
        "backoff_time": _seconds(clients["backoff_us"]),
        "patience_share": clients["try_share"],
        "honour": clients["honour"],
        "impatient": clients["impatient"],
    }


def _route(source: dict[str, Any], payoff_by_work: bool) -> dict[str, Any]:
    work = _seconds(source["work"] + source["io"])
    deduplicated = source["effect"] == "keyed"
    return {
        "name": source["name"],
        "method": METHOD_BY_EFFECT[source["effect"]],
        "path": f"/{source['name']}",
        "share": source["share"],
        "work": work,
        "spread": source["cv"],
        "objective": _seconds(source["aim"]),
        "timeout": _seconds(source["deadline"]),
        "repeats": RETRY_SAFETY_BY_EFFECT[source["effect"]],
        "group": source["group"] if deduplicated else "all",
        "dedupe_window": _seconds(source["window"]) if deduplicated else 0.0,
        "payoff": round(source["worth"] * (work if payoff_by_work else 1.0), DIGITS),
        "late_payoff": source["late_worth"],
    }


def _discovery(discovery: dict[str, Any]) -> dict[str, Any]:
    return {
        "how": "ask" if discovery["ask"] else "push",
        "notice": _seconds(discovery["notice"]),
        "silent_notice": _seconds(discovery["silent_notice"]),
        "add": _seconds(discovery["add"]),
        "period": _seconds(discovery["period"]),
    }


def _release_controller(release_family: dict[str, Any], proxy_count: int) -> dict[str, Any]:
    promote, hold, roll_back = release_family["votes"]  # shares of the instances
    control = release_family["control"]
    by_share = control != "any"
    return {
        "control": control,
        "beside": release_family["beside"],
        "shares": release_family["stages"],
        "caps": release_family["caps"],
        "bake": _seconds(release_family["bake"]),
        "step": max(MIN_SECONDS, _seconds(release_family["step"])),
        "to_advance": max(1, ceil(promote * proxy_count)) if by_share else 1,
        "back_votes": max(1, ceil(roll_back * proxy_count)) if by_share else 1,
        "hold_votes": ceil(hold * proxy_count) if control == "timer" else 0,
        "vote_life": _seconds(release_family["vote_life"]),
        "votes_per_s": release_family["calls_per_s"],
        "answer_time": [_seconds(release_family["call"]) / 2, _seconds(release_family["call"])],
        "answer_within": _seconds(release_family["call_timeout"]),
        "told_late": [_seconds(release_family["told_late"])] * 2,
        "push_every": _seconds(release_family["push"]),
        "tally_period": _seconds(release_family["tally"]),
        "tally_sample": release_family["tally_sample"],
        "tally_late": _seconds(release_family["tally_late"]),
    }


def _rules(source: dict[str, Any], tier: dict[str, Any], release_family: dict[str, Any]) -> dict[str, Any]:
    return {
        "drain_grace": _seconds(source["drain_grace"]),
        "fall_multiple": source["fall_multiple"],
        "fall_time": _seconds(source["fall_for"]),
        "window": _seconds(release_family["window"]),
        "spare_tries": release_family["free"],
        "by_route": release_family["by_class"],
        "closed_stages": release_family["guarded"],
        "one_way": release_family["one_way"],
        "max_tries": source["allow"]["max_attempts"],
        "connect_within": _seconds(tier["connect_timeout"]),
    }


def _release(source: dict[str, Any], classes: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "at": _seconds(source["at"]),
        "bad": source["bad"],
        "size": source["strength"],
        "speed": source["speed"],
        "route": classes[source["class"]]["name"],
    }


def _faults(
    source: dict[str, Any], server_count: int, proxy_count: int, left_out: list[str]
) -> list[dict[str, Any]]:
    faults = []
    for one in source["troubles"]:
        if one["kind"] in FAULT_KINDS:
            target_count = proxy_count if one["kind"] in PROXY_FAULTS else server_count
            faults.append(_fault(one, source["zones"], source["classes"], target_count))
        elif one["kind"] != BAD_BUILD:
            left_out.append(f"troubles: {one['kind']} has no counterpart")
    return sorted(faults, key=lambda fault: float(fault["at"]))


def _fault(
    source: dict[str, Any], zones: list[str], classes: list[dict[str, Any]], target_count: int
) -> dict[str, Any]:
    kind, how = source["kind"], source.get("how", "")
    targets_hit = sum(index < target_count for index in source["on"])
    fault = {
        "kind": FAULT_KINDS[kind],
        "at": _seconds(source["at"]),
        "length": max(MIN_SECONDS, _seconds(source["len"])),
        "part": min(1.0, targets_hit / target_count),
        "size": source["size"],
        "extra": source["extra"],
    }
    if kind in ZONE_FAULTS:
        fault["zone"] = zones[source["which"] % len(zones)]
    if kind == "slow_link":
        fault["size"] = _seconds(source["size"]) if source["size"] > 1 else source["size"]
    elif kind == "heavy_tail":
        fault["route"] = classes[source["which"] % len(classes)]["name"]
    elif kind == "answer_lost":
        fault["how"] = how or "silence"
    elif kind == "control_down" and how == "stale":
        fault["kind"] = FaultKind.LATE_RELEASE_STATUS
    elif kind == "control_down":
        fault["how"] = how or "silence"
    elif kind == "balancer_roll":
        fault["size"] = min(1.0, max(MIN_BATCH_SHARE, source["size"]))
        fault["extra"] = min(MAX_DOWN_SECONDS, source["extra"])
    return fault
