"""The file of a proxy instance, made of a scenario's."""

from __future__ import annotations

from typing import Any

from gullmount.proxy import ProxyConfig
from gullmount.scenarios.config import ScenarioConfig, ScenarioRouteConfig

PROXY_PORT = 8000
PEER_PORT = 7100
KEY_HEADER = "x-key"
IDEMPOTENCY_HEADER = "x-mark"


def proxy_config(
    config: ScenarioConfig,
    number: int,
    zone: str,
    *,
    listen: str,
    discovery_address: str,
    release_controller_address: str,
    peer_addresses: dict[int, str],
) -> ProxyConfig:
    """Return what the file of proxy instance `number` holds; addresses are `host:port`."""
    peers = None
    if config.umpires.may_tell:
        peers = {"listen": peer_addresses[number], "addresses": peer_addresses}
    return ProxyConfig.model_validate(
        {
            "number": number,
            "of": config.umpires.count,
            "zone": zone,
            "listen": listen,
            "roster": {"address": discovery_address, "how": config.roster.how},
            "launcher": {
                "address": release_controller_address,
                "answer_within": config.launcher.answer_within,
            },
            "peers": peers,
            "routes": [_route(route) for route in config.routes],
            "key": [{"header": KEY_HEADER}],
            "boxes": _servers(config),
            "releases": _releases(config),
            "max_retry_after": config.max_retry_after,
        }
    )


def _route(route: ScenarioRouteConfig) -> dict[str, Any]:
    return {
        "name": route.name,
        "match": {"method": [route.method], "path": route.path},
        "objective": route.objective,
        "timeout": route.timeout,
        "repeats": route.repeats,
        "group": route.group,
        "dedupe_window": route.dedupe_window,
        "dedupe_mark": IDEMPOTENCY_HEADER if route.repeats == "deduped" else None,
    }


def _servers(config: ScenarioConfig) -> dict[str, Any]:
    return {
        "cold_share": config.boxes.cold_share,
        "warm_time": config.boxes.warm_time,
        "tip_multiple": config.rules.fall_multiple,
        "max_tries": config.rules.max_tries,
        "connect_within": config.rules.connect_within,
    }


def _releases(config: ScenarioConfig) -> dict[str, Any]:
    rules, controller = config.rules, config.launcher
    by_timer = controller.control == "timer"
    return {
        "caps": controller.caps,
        "by_route": rules.by_route,
        "closed_stages": rules.closed_stages,
        "one_way": rules.one_way,
        "window": rules.window,
        "spare_tries": rules.spare_tries,
        "timed": by_timer,
        "vote_life": controller.vote_life,
        "to_advance": 0 if by_timer else controller.to_advance,
        "back_votes": controller.back_votes,
        "votes_per_s": controller.votes_per_s,
        "at_once": controller.at_once,
        "tally_period": controller.tally_period,
    }
