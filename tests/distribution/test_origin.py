"""The origin: what is in force, new epochs, and lost state."""

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
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1", "a2", "b1")
        for number in range(6):
            scene.subscriber(f"u{number}", ["pay"], zone="a" if number < 4 else "b")
        await scene.until(lambda: all(one.synced.is_set() for one in scene.subscribers.values()))
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
        told = await scene.in_force()
        assert {zone: one["followers"] for zone, one in told["zones"].items()} == {"a": 4, "b": 2}
        assert told["zones"]["b"]["lowest_used"] < list(second)

    run_scene(play)


def test_subscriber_that_receives_nothing_is_named_as_behind_or_disconnected() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1")
        for name in ("one", "two"):
            scene.subscriber(name, ["pay"], relays={"a1": RELAYS["a1"]})
        await scene.until(lambda: all(one.synced.is_set() for one in scene.subscribers.values()))
        scene.cut("two", RELAYS["a1"])
        scene.configure(1)
        named: set[str] = set()
        with anyio.fail_after(60):
            while "two" not in named:
                zone = (await scene.in_force())["zones"].get("a", {})
                named = {name for name, _ in zone.get("behind_names", [])} | set(zone.get("gone_names", []))
                await anyio.sleep(0.1)
        assert scene.handlers["one"].number["pay"] == 1

    run_scene(play)


def test_origin_without_stored_state_sends_no_topic_before_all_of_it() -> None:
    async def play(scene: Scene) -> None:
        scene.origin_storage = MemoryOriginStorage()
        await scene.origin(remembered=False)
        await scene.relay("a1")
        made, got = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        asker = scene.add_host("feeder", "10.0.8.1", "s")

        async def post(key: str, **more: Any) -> int:
            change = {"topic": "boxes/pay", "key": key, "value": SERVER}
            body = msgspec.json.encode({"v": 1, "changes": [change], **more})
            return (await call(asker, ORIGIN, "POST", "/v1/changes", body))[0]

        assert await post("h:1") == 409
        assert await post("h:1", whole=["boxes/pay", "config/pay"]) == 200
        assert await post("h:2") == 200
        await scene.until(made.synced.is_set)
        await scene.until(lambda: got.endpoints_of["pay"].keys() == {"h:1", "h:2"})
        assert await post("h:3", whole=["boxes/pay"]) == 200
        await scene.until(lambda: got.endpoints_of["pay"].keys() == {"h:3"})

    run_scene(play)


@pytest.mark.parametrize("remembered", [True, False])
def test_origin_restarted_with_lower_revisions_and_a_wall_clock_set_back(remembered: bool) -> None:
    async def play(scene: Scene) -> None:
        scene.origin_storage = MemoryOriginStorage(remembered)
        await scene.origin(remembered=remembered)
        await scene.relay("a1")
        await scene.relay("a2")
        for number in range(30):
            whole = [] if remembered else ["config/pay", "boxes/pay"]
            scene.origins[-1].commit([("config/pay", "routes", {"n": number})], whole)
        if remembered:
            await scene.origin_storage.append([("config/pay", "routes", {"n": 29})], [], dict)
        made, got = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(made.synced.is_set)
        first = made.store.version("config/pay")
        await scene.kill("source")
        await anyio.sleep(20)
        assert got.number["pay"] == 29
        scene.wall_offset = -86_400.0
        await scene.origin(remembered=remembered)
        await anyio.sleep(30)
        assert got.number["pay"] == 29  # neither emptied nor taken back
        version = scene.origins[-1].commit(
            [("config/pay", "routes", {"n": 30})], [] if remembered else ["config/pay"]
        )
        assert version.revision < first.revision and version > first
        await scene.until(lambda: got.number["pay"] == 30)
        assert [number for _, number in got.numbers] == sorted(number for _, number in got.numbers)

    run_scene(play)


def test_new_epoch_with_the_same_state_removes_no_configuration() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(5)
        await scene.origin_storage.append([("config/pay", "routes", {"n": 5})], [], dict)
        made, got = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(made.synced.is_set)
        before = made.store.version("config/pay")
        await scene.kill("source")
        await scene.origin()
        await scene.until(lambda: made.store.version("config/pay") > before)
        await anyio.sleep(5)
        assert {number for _, number in got.numbers} == {5}

    run_scene(play)


def test_origin_that_lost_its_epoch_is_ignored() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(5)
        made, got = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(made.synced.is_set)
        await scene.kill("source")
        scene.origin_storage, scene.wall_offset = MemoryOriginStorage(remembered=True), -3600.0
        await scene.origin()
        scene.configure(4)
        await anyio.sleep(60)
        assert got.number["pay"] == 5 and got.numbers == [("pay", 5)]
        assert scene.logged("a1", LogEvent.UPDATE_MALFORMED)

    run_scene(play)


def test_origin_whose_file_was_lost_removes_nothing() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.origins[-1].commit(endpoint_changes("pay", 5))
        scene.configure(5)
        made, got = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(made.synced.is_set)
        await scene.kill("source")
        scene.origin_storage = MemoryOriginStorage(remembered=True, initialize=False)
        await scene.origin()  # a later life by its clock, and blank
        await anyio.sleep(60)
        assert got.number["pay"] == 5 and len(got.endpoints_of["pay"]) == 5
        with pytest.raises(IncompleteTopicError):
            scene.origins[-1].commit(endpoint_changes("pay", 1))
        scene.origins[-1].commit(endpoint_changes("pay", 4), complete_topics=["boxes/pay"])
        await scene.until(lambda: len(got.endpoints_of["pay"]) == 4)
        assert got.number["pay"] == 5

    run_scene(play)


@pytest.mark.parametrize(
    ("target", "told", "status"),
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
def test_origin_refuses_malformed_requests(target: str, told: dict[str, Any], status: int) -> None:
    async def play(scene: Scene) -> None:
        await scene.origin()
        asker = scene.add_host("asker", "10.0.8.1", "s")
        body = msgspec.json.encode({"v": 1, **told})
        assert (await call(asker, ORIGIN, "POST", target, body))[0] == status
        assert not scene.origins[-1].store.logs and (await scene.in_force())["zones"] == {}

    run_scene(play)
