"""Tests that files and messages of version 883dea8 are read as that version read them.

That version wrote `tests/data/distribution/`. The directory holds the state of an origin with its change log,
the stored state of a proxy's subscriptions, and one message of each kind.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest

from gullmount.distribution import decoding, encoding, messages
from gullmount.distribution.in_force_summary import InForceSummary, UnusableVersion
from gullmount.distribution.origin_storage import FileOriginStorage
from gullmount.distribution.subscription import Rejection
from gullmount.distribution.subscriptions import Subscriptions
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.topic_update import TopicUpdate
from gullmount.distribution.versions import NO_VERSION, Version
from tests.support.distribution_scene import Scene, run_scene
from tests.support.paths import ROOT
from tests.support.subscribed_proxy_scene import ProcessMemory, ProxyScene, start_proxy_scene

DATA = ROOT / "tests" / "data" / "distribution"
WIRE: dict[str, str] = json.loads((DATA / "messages.json").read_text())
EPOCH = 900_000_000
# Seconds of the wall clock.
WALL = 1e6


def endpoint(build: int, state: str, since: float) -> dict[str, Any]:
    return {
        "zone": "a", "cell": 1, "build": build, "state": state, "power": 1.0, "start": f"s{build}",
        "since": since,
    }  # fmt: skip


ORIGIN_TOPICS = {
    "boxes/pay": {
        "10.0.5.1:80": endpoint(1, "ready", 1795999987.5),
        "10.0.5.3:80": endpoint(3, "ready", 1795999987.5),
        "10.0.5.4:80": endpoint(4, "draining", 1796000087.5),
    },
    "boxes/sell": {},
    "config/pay": {"routes": {"routes": [{"name": "r0", "match": {"path": "/pay"}, "timeout": 1.0}]}},
    "config/sell": {},
}


def copy_origin_files(folder: Path) -> Path:
    for name in ("origin-state.json", "origin-state.json.log"):
        shutil.copy(DATA / name, folder)
    return folder / "origin-state.json"


def test_origin_state_and_change_log_of_the_earlier_version_are_read(tmp_path: Path) -> None:
    state = FileOriginStorage(copy_origin_files(tmp_path), remembered=True).read()
    assert (state.epoch, state.all_known) == (1796000100000, True)
    assert state.topics == ORIGIN_TOPICS
    assert list(state.topics["boxes/pay"]) == ["10.0.5.1:80", "10.0.5.3:80", "10.0.5.4:80"]


def test_origin_that_loads_the_earlier_state_continues_above_its_epoch(tmp_path: Path) -> None:
    storage = FileOriginStorage(copy_origin_files(tmp_path), remembered=True)
    state = anyio.run(storage.load, 0)
    assert state.epoch == 1796000100001 and state.topics == ORIGIN_TOPICS
    stored = json.loads(storage.path.read_bytes())
    assert list(stored) == ["v", "epoch", "all_known", "topics"] and stored["topics"] == ORIGIN_TOPICS


def test_proxy_starts_from_the_state_that_the_earlier_version_remembered() -> None:
    async def check(scene: Scene) -> None:
        proxies: ProxyScene = await start_proxy_scene(scene)
        memory = ProcessMemory()
        memory.data = (DATA / "subscriber-state.json").read_bytes()
        started_proxy = await proxies.proxy(memory, ("pay", "sell"), start_within=1.0)
        with anyio.fail_after(60):
            await started_proxy.listening.wait()
        versions = {
            topic: tuple(version)
            for topic, version in started_proxy.subscriber.acknowledgements.in_force.items()
        }
        assert versions == {
            "config/pay": (1796000000000, 1),
            "boxes/pay": (1796000000000, 1),
            "config/sell": (1796000000000, 1),
            "boxes/sell": (1796000000000, 2),
        }
        assert set(started_proxy.running.runtime.router.endpoints.servers) == {"10.0.5.1:80", "10.0.5.2:80"}
        assert [await proxies.ask(path) for path in ("/pay", "/refund", "/sell", "/none")] == [
            200, 200, 200, 404,
        ]  # fmt: skip

    run_scene(check)


def subscribe_request() -> messages.SubscribeRequest:
    return messages.SubscribeRequest(
        subscriber="u-1",
        held={"boxes/pay": Version(EPOCH, 3), "config/pay": NO_VERSION},
        zone="a",
        in_force={"boxes/pay": Version(EPOCH, 2)},
        rejections={"config/pay": Rejection(EPOCH, 3, "no such route")},
        as_of=Version(EPOCH, 3),
        with_history=True,
    )


def relay_summary() -> messages.RelaySummaryReport:
    first, last = Version(EPOCH, 1), Version(EPOCH, 3)
    zone_a = InForceSummary(
        subscribers=9,
        starting=1,
        behind=2,
        unusable=1,
        disconnected=1,
        lowest=first,
        lowest_used=first,
        behind_names=(("u-1", first),),
        unusable_versions=(UnusableVersion("u-2", "config/pay", last, "why"),),
        disconnected_names=("u-3",),
    )
    zone_b = InForceSummary(subscribers=2, lowest=last, lowest_used=last)
    return messages.RelaySummaryReport("r-1", {"a": zone_a, "b": zone_b})


@pytest.mark.parametrize(
    ("name", "message"),
    [
        ("subscribe", subscribe_request()),
        ("extend", encoding.extension_request("u-1", {"boxes/pay": NO_VERSION}, ["boxes/old"])),
        (
            "acknowledgement",
            messages.AcknowledgementReport(
                "u-1", {"boxes/pay": Version(EPOCH, 3)}, {"config/pay": Rejection(EPOCH, 3, "why")}
            ),
        ),
        ("relay_summary", relay_summary()),
        (
            "changes",
            messages.ChangesRequest(
                [
                    messages.ChangeItem("config/pay", "routes", {"routes": [1]}),
                    messages.ChangeItem("boxes/pay", "10.0.5.1:80", None),
                ],
                ["boxes/pay"],
            ),
        ),
    ],
)
def test_request_is_byte_for_byte_that_of_the_earlier_version(name: str, message: msgspec.Struct) -> None:
    wire = WIRE[name].encode()
    assert encoding.encode(message) == wire
    assert msgspec.json.decode(wire, type=type(message)) == message


def test_update_lines_are_byte_for_byte_those_of_the_earlier_version() -> None:
    origin, rebased, relay = TopicStore(epoch=EPOCH), TopicStore(epoch=EPOCH + 5), TopicStore(["boxes/pay"])
    origin.commit([("boxes/pay", "a", 1), ("boxes/pay", "b", 2), ("config/pay", "routes", {"n": 1})])
    first = origin.as_of
    origin.commit([("boxes/pay", "a", None)])
    rebased.commit([("boxes/pay", "b", 2), ("boxes/pay", "c", 3)])
    for store in (origin, rebased):
        raw = msgspec.Raw(store.encoded_update("boxes/pay", NO_VERSION, True))
        before = relay.version("boxes/pay")
        relay.apply(decoding.parse_topic_update(raw, store.as_of, WALL), store.as_of)
    subscriptions = Subscriptions(origin)
    session = subscriptions.subscribe("u", "a", {"boxes/pay": first, "config/pay": NO_VERSION}, 0.0)
    encoded = {
        "update_snapshot": origin.encoded_update("config/pay", NO_VERSION, False),
        "update_history": origin.encoded_update("boxes/pay", NO_VERSION, True),
        "update_changes": origin.encoded_update("boxes/pay", first, False),
        "update_rebase": relay.encoded_update("boxes/pay", before, False),
        "heartbeat_stale": subscriptions.heartbeat("u", session, 12.5),
    }
    batch = subscriptions.next_batch("u", session, 100_000)
    assert batch is not None
    encoded |= {"update_line": batch.line, "heartbeat": subscriptions.heartbeat("u", session)}
    assert encoded == {name: WIRE[name].encode() for name in encoded}
    for name in ("update_snapshot", "update_history", "update_changes", "update_rebase"):
        assert msgspec.json.encode(msgspec.json.decode(WIRE[name], type=TopicUpdate)) == encoded[name]
