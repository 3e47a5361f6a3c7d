"""What a fleet's proxies are configured with, as the files that they read. No I/O.

The platform's configuration, where complete lists are delivered; a proxy's file, where relays are.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from gullmount.scale.fleet.config import FleetConfig
from gullmount.scale.fleet.drawn_elements import BUILD, DrawnProxy
from gullmount.scale.fleet.process_messages import RelayLocation

MAX_SOCKETS = 1024  # of a real proxy
RELEASE_STATUS = {"build": BUILD, "stage": 2, "phase": "COMPLETE", "cap": 1.0, "age_ms": 60_000}


def platform_route(service: str, route: int) -> dict[str, Any]:
    """The platform's settings of one route."""
    return {
        "Name": f"{service}-{route}",
        "ObjectiveUs": 400_000,
        "DeadlineUs": 2_000_000,
        "Semantics": "idempotent",
        "Group": "all",
        "WindowUs": 5_000_000,
    }


def platform_settings(proxy: DrawnProxy, fleet: FleetConfig) -> dict[str, Any]:
    """The platform's settings of a proxy, with the routes of the services that it fronts."""
    return {
        "Ceilings": {
            "ConnIdleUs": 15_000_000,
            "ConnectTimeoutUs": 250_000,
            "MaxAttempts": 4,
            "MaxRetryAfterUs": 0,
            "Peers": False,
            "RetryAfter": False,
        },
        "Discovery": "subscribe",
        "Grades": [
            platform_route(service, route)
            for service in proxy.services
            for route in range(fleet.routes_per_service)
        ],
        "Me": proxy.number,
        "Rules": {"ColdFrom": 0.32, "TipMultiple": 4.0, "WarmAfterUs": 2_000_000},
        "Siblings": fleet.proxies,
        "Specifics": {
            "BackVotes": 1,
            "ClosedStages": 0,
            "CountedBy": "all",
            "ExposureCaps": [0.05, 0.35, 1.0],
            "GateMode": "any",
            "MetricsPeriodUs": 0,
            "OneWay": False,
            "SpanUs": 3_000_000,
            "SpareTries": 2.0,
            "ToAdvance": 1,
            "VoteLifeUs": 10_000_000,
            "VoteWaitUs": 500_000,
            "VotesPerS": 50.0,
        },
        "Zone": proxy.zone,
    }


def platform_proxy_file(
    proxy: DrawnProxy, fleet: FleetConfig, *, listen: str, discovery: str, control: str, seed: int
) -> dict[str, Any]:
    """The file that PROXY_CONFIG names for `python -m gullmount.platform`."""
    return {
        "name": proxy.name,
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": MAX_SOCKETS},
        "platform": {"address": control, "news": RELEASE_STATUS},
        "settings": platform_settings(proxy, fleet),
    }


def subscribed_proxy_file(
    proxy: DrawnProxy,
    fleet: FleetConfig,
    *,
    listen: str,
    relays: Sequence[RelayLocation],
    release_controller: str,
    seed: int,
    connect_from: str | None = None,
) -> dict[str, Any]:
    """The file of `gullmount proxy`, or the same for a hollow client.

    It has one route, as a file must; all others come by relays.
    """
    return {
        "number": proxy.number,
        "of": fleet.proxies,
        "zone": proxy.zone,
        "listen": listen,
        "connect_from": connect_from,
        "seed": seed,
        "launcher": {"address": release_controller},
        "routes": [{"name": "own", "objective": 0.4, "timeout": 2.0, "repeats": "retriable"}],
        "boxes": {"cold_share": 0.32, "warm_time": 2.0, "tip_multiple": 4.0, "max_tries": 4},
        "releases": {
            "caps": [0.05, 0.35, 1.0],
            "window": 3.0,
            "spare_tries": 2.0,
            "vote_life": 10.0,
            "to_advance": 1,
            "back_votes": 1,
            "votes_per_s": 50.0,
        },
        "relays": {
            "switched_on": True,
            "at": [
                {"name": f"relay-{number}", "address": relay.address, "zone": relay.zone}
                for number, relay in enumerate(relays)
            ],
            "services": list(proxy.services),
        },
    }
