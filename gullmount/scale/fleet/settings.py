"""What a fleet's umpires are told at their start, today's way: the platform's configuration. No I/O."""

from __future__ import annotations

from typing import Any

from gullmount.scale.fleet.drawn import BUILD, DrawnUmpire
from gullmount.scale.fleet.terms import FleetTerms

SOCKETS = 1024  # descriptors of a real umpire
NEWS = {"build": BUILD, "stage": 2, "phase": "COMPLETE", "cap": 1.0, "age_ms": 60_000}  # nothing is on trial


def grade(service: str, route: int) -> dict[str, Any]:
    return {
        "Name": f"{service}-{route}",
        "ObjectiveUs": 400_000,
        "DeadlineUs": 2_000_000,
        "Semantics": "idempotent",
        "Group": "all",
        "WindowUs": 5_000_000,
    }


def settings(umpire: DrawnUmpire, terms: FleetTerms) -> dict[str, Any]:
    """With the routes of the services that it fronts."""
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
        "Grades": [grade(service, route) for service in umpire.services for route in range(terms.routes)],
        "Me": umpire.number,
        "Rules": {"ColdFrom": 0.32, "TipMultiple": 4.0, "WarmAfterUs": 2_000_000},
        "Siblings": terms.umpires,
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
        "Zone": umpire.zone,
    }


def configuration_file(
    umpire: DrawnUmpire, terms: FleetTerms, listen: str, discovery: str, control: str, seed: int
) -> dict[str, Any]:
    """The file that PROXY_CONFIG names for `python -m gullmount.platform`."""
    return {
        "name": umpire.name,
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": SOCKETS},
        "platform": {"address": control, "news": NEWS},
        "settings": settings(umpire, terms),
    }
