"""The platform's configuration file of one proxy, with as many routes as wanted."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from gullmount.scale.slopes.driven_router import BASELINE, SERVERS_PER_SERVICE, TARGET_PROXIES
from gullmount.scale.slopes.endpoint_updates import page_entry
from gullmount.scale.slopes.loopback import HOST

MICROSECONDS = 1_000_000  # in a second
RETRY_SAFETY_WORDS = ("idempotent", "at_most_once", "deduplicated")
PROXY_NAME = "umpire-1"


def _route_fields(number: int) -> dict[str, Any]:
    return {
        "Name": f"route-{number:06d}", "ObjectiveUs": 300_000, "DeadlineUs": 2_000_000,
        "Semantics": RETRY_SAFETY_WORDS[number % len(RETRY_SAFETY_WORDS)], "Group": "all",
        "WindowUs": 5 * MICROSECONDS,
    }  # fmt: skip


def _settings_fields(routes: int) -> dict[str, Any]:
    return {
        "Ceilings": {
            "ConnIdleUs": 15 * MICROSECONDS, "ConnectTimeoutUs": 250_000, "MaxAttempts": 4,
            "MaxRetryAfterUs": 0, "Peers": False, "RetryAfter": False,
        },
        "Discovery": "subscribe",
        "Grades": [_route_fields(number) for number in range(routes)],
        "Me": 0,
        "Rules": {"ColdFrom": 0.3, "TipMultiple": 2.0, "WarmAfterUs": 2 * MICROSECONDS},
        "Siblings": TARGET_PROXIES,
        "Specifics": {
            "BackVotes": 1, "ClosedStages": 0, "CountedBy": "all", "ExposureCaps": [0.2, 0.5, 1.0],
            "GateMode": "any", "MetricsPeriodUs": 0, "OneWay": True, "SpanUs": 3 * MICROSECONDS,
            "SpareTries": 2.0, "ToAdvance": 1, "VoteLifeUs": 10 * MICROSECONDS, "VoteWaitUs": 500_000,
            "VotesPerS": 50.0,
        },
        "Zone": "zone-00",
    }  # fmt: skip


def encode_configuration(
    routes: int, listen_port: int = 1, discovery_port: int = 2, release_controller_port: int = 3
) -> bytes:
    """Return the file as one proxy gets it, with the servers of one service; ports are of this machine."""
    members = [page_entry(number) for number in range(SERVERS_PER_SERVICE)]
    release_status = {"build": BASELINE, "stage": 2, "phase": "COMPLETE", "cap": 1.0, "age_ms": 9000}
    configuration = {
        "name": PROXY_NAME, "listen": f"{HOST}:{listen_port}", "discovery": f"{HOST}:{discovery_port}",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "platform": {"address": f"{HOST}:{release_controller_port}", "news": release_status},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": _settings_fields(routes),
    }  # fmt: skip
    return msgspec.json.encode(configuration)


@contextmanager
def written_to_file(data: bytes) -> Iterator[Path]:
    """Write the configuration to a file that goes at the end."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_bytes(data)
        yield path
