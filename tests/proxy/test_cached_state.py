"""Tests the cached state of an instance, also with a state file that an earlier version wrote."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
import pytest
import trio.testing

from gullmount.decisions.model import EndpointState, ReleasePhase
from gullmount.net import MemoryNet
from gullmount.proxy import ProxyInstance
from gullmount.proxy.cached_state import CachedEndpoint, CachedState, decode_state
from gullmount.proxy.release_controller_client import ReleaseStatus
from gullmount.rpc import InvalidMessageError
from tests.support.paths import ROOT
from tests.support.proxy_edge import make_proxy_config

SAVED_BY_883DEA8 = ROOT / "tests" / "data" / "remembered-883dea8.json"
# Wall-clock time, in seconds, at which the file was written.
SAVED_AT = 1_700_000_000.0


class InMemoryStateStore:
    """Keeps the saved state in memory."""

    def __init__(self, text: bytes) -> None:
        self.text = text

    def load(self) -> bytes | None:
        return self.text

    async def save(self, data: bytes) -> None:
        self.text = data


def start_from_saved(text: bytes) -> tuple[ProxyInstance, list[str]]:
    """Start an instance 10 s after `text` was saved; return it and the events that it logged."""
    events: list[str] = []

    async def start_instance() -> ProxyInstance:
        instance = ProxyInstance(
            make_proxy_config(),
            net=MemoryNet(),
            state_store=InMemoryStateStore(text),
            wall=lambda: SAVED_AT + 10,
            log=lambda event, **fields: events.append(event),
        )
        async with instance:
            return instance

    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(start_instance, backend="trio", backend_options={"clock": clock}), events


def test_file_of_883dea8_restores_endpoints_and_releases() -> None:
    instance, events = start_from_saved(SAVED_BY_883DEA8.read_bytes())
    servers = {
        server.id.rpartition(":")[2]: server for server in instance.runtime.router.endpoints.servers.values()
    }
    assert {
        port: (listed.zone, listed.cell, listed.build, listed.ready) for port, listed in servers.items()
    } == {
        "8101": ("b", 3, 2, True),
        "8102": ("a", 0, 1, False),
        "8103": ("a", 0, 1, True),
        "8104": ("a", 0, 1, True),
    }
    now = servers["8101"].started_at + 41.0 + 10.0
    assert servers["8104"].started_at == pytest.approx(now - 44.0 - 10.0)
    assert servers["8103"].started_at == 0.0 and servers["8101"].capacity_hint == 2.0
    (candidate,) = [release for release in instance.runtime.router.releases.candidates if release.build == 2]
    assert (candidate.stage, candidate.phase) == (0, ReleasePhase.CANDIDATE)
    assert instance.endpoints_known.is_set() and instance.release_known.is_set()
    assert not [event for event in events if "invalid" in event]


def test_state_restored_from_file_of_883dea8_is_encoded_with_the_same_keys_and_values() -> None:
    text = SAVED_BY_883DEA8.read_bytes()
    instance, _ = start_from_saved(text)
    assert msgspec.json.decode(instance.cached_state.encode()) == msgspec.json.decode(text)


def test_file_with_a_single_release_status_is_decoded_as_a_list_of_one() -> None:
    status = {"build": 1, "stage": 1, "phase": "released", "cap": 1.0}
    saved = decode_state(msgspec.json.encode({"v": 1, "boxes": [], "news": status}))
    assert saved.releases == [status]


@pytest.mark.parametrize("text", [b"", b"{", b'{"v":2,"boxes":[]}', b'{"v":1}', b'{"v":1,"boxes":{}}'])
def test_invalid_state_file_raises_invalid_message_error(text: bytes) -> None:
    with pytest.raises(InvalidMessageError):
        decode_state(text)


def test_invalid_endpoint_or_release_is_logged_and_the_others_are_restored() -> None:
    fields: dict[str, Any] = msgspec.json.decode(SAVED_BY_883DEA8.read_bytes())
    fields["boxes"][0]["cell"] = "3"
    fields["news"][1]["cap"] = 1.5
    instance, events = start_from_saved(msgspec.json.encode(fields))
    assert len(instance.runtime.router.endpoints.servers) == 3
    assert events.count("cached_endpoint_invalid") == events.count("cached_release_invalid") == 1


def test_removed_endpoint_is_dropped_and_a_snapshot_replaces_all_endpoints() -> None:
    def endpoint(server_id: str, state: EndpointState = EndpointState.READY) -> CachedEndpoint:
        return CachedEndpoint(
            server_id=server_id, zone="a", cell=0, build=1, state=state, capacity_hint=1.0, age=4.0
        )

    cached = CachedState()
    cached.update_endpoints([endpoint("x"), endpoint("y")], True, 100.0)
    cached.update_endpoints([endpoint("x", EndpointState.REMOVED), endpoint("z")], False, 100.0)
    assert {endpoint_id: entry.since for endpoint_id, entry in cached.endpoints.items()} == {
        "y": 96.0,
        "z": 96.0,
    }
    cached.update_endpoints([endpoint("w")], True, 100.0)
    assert list(cached.endpoints) == ["w"]


def test_three_newest_releases_are_kept_and_an_unchanged_status_is_not_new() -> None:
    cached = CachedState()
    for build in range(1, 6):
        assert cached.update_release(ReleaseStatus(build, 0, ReleasePhase.CANDIDATE, 0.1))
    assert not cached.update_release(ReleaseStatus(5, 0, ReleasePhase.CANDIDATE, 0.1))
    assert list(cached.releases) == [3, 4, 5]
