"""Tests the reports of the origin on what is in force, new epochs, lost state and invalid requests."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
import pytest

from gullmount.distribution.errors import IncompleteTopicError
from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.origin_storage import MemoryOriginStorage
from gullmount.rpc import call
from tests.support.distribution_fleet import SERVER, endpoint_changes, fleet
from tests.support.distribution_scene import ORIGIN, RELAYS, Scene, run_scene


def test_origin_reports_the_lowest_version_and_who_is_behind_or_rejects() -> None:
    async def check(scene: Scene) -> None:
        await fleet(scene, "a1", "a2", "b1")
        for number in range(6):
            scene.subscriber(f"u{number}", ["pay"], zone="a" if number < 4 else "b")
        await scene.until(lambda: all(member.synced.is_set() for member in scene.subscribers.values()))
        version = scene.configure(1)

        async def lowest(zone: str) -> Any:
            return (await scene.in_force())["zones"].get(zone, {}).get("lowest")

        while [await lowest("a"), await lowest("b")] != [list(version)] * 2:
            await anyio.sleep(0.1)
        scene.handlers["u5"].refuses.add(2)
        second = scene.configure(2)
        with anyio.fail_after(60):
            while not (zone := (await scene.in_force())["zones"]["b"]).get("unable_names"):
                await anyio.sleep(0.1)
            while await lowest("a") != list(second):
                await anyio.sleep(0.1)
        assert zone["unable_names"] == [["u5", "config/pay", list(second), "no use for 2"]]
        assert zone["unable"] == 1
        assert scene.handlers["u5"].number["pay"] == 1 and scene.handlers["u4"].number["pay"] == 2
        report = await scene.in_force()
        assert {zone: summary["followers"] for zone, summary in report["zones"].items()} == {"a": 4, "b": 2}
        assert report["zones"]["b"]["lowest_used"] < list(second)

    run_scene(check)


def test_subscriber_that_receives_nothing_is_named_as_behind_or_disconnected() -> None:
    async def check(scene: Scene) -> None:
        await fleet(scene, "a1")
        for name in ("one", "two"):
            scene.subscriber(name, ["pay"], relays={"a1": RELAYS["a1"]})
        await scene.until(lambda: all(member.synced.is_set() for member in scene.subscribers.values()))
        scene.cut("two", RELAYS["a1"])
        scene.configure(1)
        reported_names: set[str] = set()
        with anyio.fail_after(60):
            while "two" not in reported_names:
                zone = (await scene.in_force())["zones"].get("a", {})
                reported_names = {name for name, _ in zone.get("behind_names", [])} | set(
                    zone.get("gone_names", [])
                )
                await anyio.sleep(0.1)
        assert scene.handlers["one"].number["pay"] == 1

    run_scene(check)


def test_origin_without_stored_state_sends_a_topic_only_once_it_is_complete() -> None:
    async def check(scene: Scene) -> None:
        scene.origin_storage = MemoryOriginStorage()
        await scene.origin(remembered=False)
        await scene.relay("a1")
        subscriber_one, received = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        client = scene.add_host("feeder", "10.0.8.1", "s")

        async def post(key: str, **extra_fields: Any) -> int:
            change = {"topic": "boxes/pay", "key": key, "value": SERVER}
            body = msgspec.json.encode({"v": 1, "changes": [change], **extra_fields})
            return (await call(client, ORIGIN, "POST", "/v1/changes", body))[0]

        assert await post("h:1") == 409
        assert await post("h:1", whole=["boxes/pay", "config/pay"]) == 200
        assert await post("h:2") == 200
        await scene.until(subscriber_one.synced.is_set)
        await scene.until(lambda: received.endpoints_of["pay"].keys() == {"h:1", "h:2"})
        assert await post("h:3", whole=["boxes/pay"]) == 200
        await scene.until(lambda: received.endpoints_of["pay"].keys() == {"h:3"})

    run_scene(check)


@pytest.mark.parametrize("remembered", [True, False])
def test_restart_with_lower_revisions_and_a_wall_clock_set_back_begins_a_higher_epoch(
    remembered: bool,
) -> None:
    async def check(scene: Scene) -> None:
        scene.origin_storage = MemoryOriginStorage(remembered)
        await scene.origin(remembered=remembered)
        await scene.relay("a1")
        await scene.relay("a2")
        for number in range(30):
            complete_topic_names = [] if remembered else ["config/pay", "boxes/pay"]
            scene.origins[-1].commit([("config/pay", "routes", {"n": number})], complete_topic_names)
        if remembered:
            await scene.origin_storage.append([("config/pay", "routes", {"n": 29})], [], dict)
        subscriber_one, received = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(subscriber_one.synced.is_set)
        first = subscriber_one.store.version("config/pay")
        await scene.kill("source")
        await anyio.sleep(20)
        assert received.number["pay"] == 29
        scene.wall_offset = -86_400.0
        await scene.origin(remembered=remembered)
        await anyio.sleep(30)
        # The configuration was neither emptied nor reverted.
        assert received.number["pay"] == 29
        version = scene.origins[-1].commit(
            [("config/pay", "routes", {"n": 30})], [] if remembered else ["config/pay"]
        )
        assert version.revision < first.revision and version > first
        await scene.until(lambda: received.number["pay"] == 30)
        assert [number for _, number in received.numbers] == sorted(number for _, number in received.numbers)

    run_scene(check)


def test_new_epoch_with_the_same_state_keeps_the_configuration_in_force() -> None:
    async def check(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(5)
        await scene.origin_storage.append([("config/pay", "routes", {"n": 5})], [], dict)
        subscriber_one, received = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(subscriber_one.synced.is_set)
        before = subscriber_one.store.version("config/pay")
        await scene.kill("source")
        await scene.origin()
        await scene.until(lambda: subscriber_one.store.version("config/pay") > before)
        await anyio.sleep(5)
        assert {number for _, number in received.numbers} == {5}

    run_scene(check)


def test_updates_of_an_origin_with_a_lower_epoch_are_ignored() -> None:
    async def check(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(5)
        subscriber_one, received = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(subscriber_one.synced.is_set)
        await scene.kill("source")
        scene.origin_storage, scene.wall_offset = MemoryOriginStorage(remembered=True), -3600.0
        await scene.origin()
        scene.configure(4)
        await anyio.sleep(60)
        assert received.number["pay"] == 5 and received.numbers == [("pay", 5)]
        assert scene.logged("a1", LogEvent.UPDATE_MALFORMED)

    run_scene(check)


def test_origin_that_lost_its_file_removes_nothing_from_subscribers() -> None:
    async def check(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.origins[-1].commit(endpoint_changes("pay", 5))
        scene.configure(5)
        subscriber_one, received = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(subscriber_one.synced.is_set)
        await scene.kill("source")
        scene.origin_storage = MemoryOriginStorage(remembered=True, initialize=False)
        # The new origin has a higher epoch from its clock, and no state.
        await scene.origin()
        await anyio.sleep(60)
        assert received.number["pay"] == 5 and len(received.endpoints_of["pay"]) == 5
        with pytest.raises(IncompleteTopicError):
            scene.origins[-1].commit(endpoint_changes("pay", 1))
        scene.origins[-1].commit(endpoint_changes("pay", 4), complete_topics=["boxes/pay"])
        await scene.until(lambda: len(received.endpoints_of["pay"]) == 4)
        assert received.number["pay"] == 5

    run_scene(check)


@pytest.mark.parametrize(
    ("target", "fields", "status"),
    [
        ("/v1/changes", {"changes": [{"topic": "tea/pay", "key": "k", "value": 1}]}, 400),
        ("/v1/changes", {"changes": [{"topic": "boxes/pay", "key": "", "value": 1}]}, 400),
        ("/v1/changes", {"changes": [{"topic": "boxes/pay", "key": "k"}]}, 400),
        ("/v1/changes", {"changes": [{"topic": "boxes/pay", "key": "k", "value": "x" * (4 << 20)}]}, 413),
        ("/v1/in-force", {"relay": "stranger", "zones": {}}, 403),
        ("/v1/in-force", {"relay": "a1", "zones": {"nowhere": {"followers": 1}}}, 400),
        ("/v1/follow", {"follower": "stranger", "zone": "a"}, 400),
        ("/v1/follow", {"follower": "b1", "zone": "a"}, 400),
    ],
)
def test_origin_refuses_invalid_requests(target: str, fields: dict[str, Any], status: int) -> None:
    async def check(scene: Scene) -> None:
        await scene.origin()
        client = scene.add_host("asker", "10.0.8.1", "s")
        body = msgspec.json.encode({"v": 1, **fields})
        assert (await call(client, ORIGIN, "POST", target, body))[0] == status
        assert not scene.origins[-1].store.logs and (await scene.in_force())["zones"] == {}

    run_scene(check)
