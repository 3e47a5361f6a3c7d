"""Starts an origin with relays, and builds endpoint changes, a subscribe body and update lines."""

from __future__ import annotations

import json
from typing import Any

from tests.support.distribution_scene import Scene

SERVER = {"zone": "a", "cell": 0, "build": 1, "state": "ready", "power": 1.0, "start": None, "age": None}


def endpoint_changes(service: str, count: int, size: int = 0) -> list[tuple[str, str, Any]]:
    """Return changes that add `count` servers, each padded by `size` bytes."""
    padding = {"pad": "x" * size} if size else {}
    return [(f"boxes/{service}", f"10.1.0.{number}:80", SERVER | padding) for number in range(count)]


async def fleet(scene: Scene, *relays: str) -> None:
    """Start the origin and the relays (a1 and a2 by default); wait until each has its upstream stream."""
    await scene.origin()
    for name in relays or ("a1", "a2"):
        await scene.relay(name)
    await scene.until(lambda: all(relay.upstream.connected_relay for relay in scene.relays.values()))


SUBSCRIBE_BODY = b'{"v":1,"follower":"x","zone":"a","have":{"config/pay":[0,0]}}'


def update_line(
    number: int, version: list[int], as_of: list[int] | None = None, topic: str = "config/pay", **fields: Any
) -> bytes:
    """Encode an update line with one whole topic at the given version; `as_of` defaults to it."""
    topic_update = {"topic": topic, "whole": True, "version": version, "entries": {"routes": {"n": number}}}
    message = {"v": 1, "kind": "told", "as_of": as_of or version, "topics": [topic_update], **fields}
    return json.dumps(message).encode() + b"\n"
