"""Tests of relays: behavior without the origin, after a process pause, and for unused topics."""

from __future__ import annotations

import anyio
import pytest

from gullmount.distribution.log_events import LogEvent
from gullmount.rpc import CallError, call, stream_lines
from tests.support.distribution_fleet import SUBSCRIBE_BODY, endpoint_changes, fleet
from tests.support.distribution_scene import ORIGIN, RELAYS, Scene, run_scene


def test_relay_that_has_not_reached_the_origin_refuses_subscribers() -> None:
    async def scenario(scene: Scene) -> None:
        await scene.relay("a1")
        first_subscriber = scene.subscriber("one", ["pay"])
        status, _ = await call(scene.hosts["one"], RELAYS["a1"], "POST", "/v1/follow", SUBSCRIBE_BODY)
        assert status == 503
        with pytest.raises(CallError) as refused:
            async for _ in stream_lines(scene.hosts["one"], RELAYS["a1"], "/v1/follow", SUBSCRIBE_BODY):
                pass
        assert refused.value.status == 503 and refused.value.retry_after_seconds is not None
        await anyio.sleep(10)
        assert not first_subscriber.synced.is_set() and not scene.handlers["one"].calls
        await scene.origin()
        scene.origins[-1].commit(endpoint_changes("pay", 3))
        await scene.until(first_subscriber.synced.is_set)
        assert len(scene.handlers["one"].endpoints_of["pay"]) == 3

    run_scene(scenario)


def test_relay_keeps_unused_topics_while_the_origin_is_down() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(1)
        first_subscriber = scene.subscriber("one", ["pay"])
        await scene.until(first_subscriber.synced.is_set)
        await scene.kill("source")
        await scene.kill("one")
        await anyio.sleep(300)
        late_subscriber = scene.subscriber("late", ["pay"])
        await scene.until(late_subscriber.synced.is_set)
        assert scene.handlers["late"].number == {"pay": 1}

    run_scene(scenario)


def test_relay_resumed_after_a_pause_syncs_with_the_origin_before_it_sends_updates() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene)
        scene.configure(1)
        first_subscriber, handler = (
            scene.subscriber("one", ["pay"], relays={"a1": RELAYS["a1"]}),
            scene.handlers["one"],
        )
        await scene.until(first_subscriber.synced.is_set)
        restore_link = scene.cut("a1", ORIGIN)
        scene.configure(2)
        await anyio.sleep(1)
        assert scene.relays["a1"].store.version("config/pay").revision == 1
        # Simulates a pause of the process for one minute: the clock jumps by 60 s.
        scene.clocks["a1"].offset_seconds += 60.0
        new_subscriber = scene.subscriber("new", ["pay"], relays={"a1": RELAYS["a1"]})
        await anyio.sleep(2)
        assert scene.logged("a1", LogEvent.PROCESS_PAUSE_DETECTED) and not new_subscriber.synced.is_set()
        restore_link()
        await scene.until(new_subscriber.synced.is_set)
        assert scene.handlers["new"].numbers == [("pay", 2)]
        await scene.until(lambda: handler.number["pay"] == 2)
        assert handler.numbers == [("pay", 1), ("pay", 2)]

    run_scene(scenario)


def test_relay_resumed_after_a_pause_sends_updates_after_a_timeout_when_the_origin_is_down() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(1)
        first_subscriber = scene.subscriber("one", ["pay"])
        await scene.until(first_subscriber.synced.is_set)
        await scene.kill("source")
        scene.clocks["a1"].offset_seconds += 60.0
        new_subscriber = scene.subscriber("new", ["pay"])
        await scene.until(new_subscriber.synced.is_set, within=20)
        assert scene.logged("a1", LogEvent.SENDING_RESUMED) and scene.handlers["new"].numbers == [("pay", 1)]

    run_scene(scenario)


def test_relay_drops_an_unused_topic_and_requests_it_again_for_a_new_subscriber() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(1)
        first_subscriber = scene.subscriber("one", ["pay"])
        other_subscriber = scene.subscriber("two", ["sell"])
        await scene.until(lambda: first_subscriber.synced.is_set() and other_subscriber.synced.is_set())
        relay = scene.relays["a1"]
        await scene.kill("one")
        await scene.until(lambda: relay.store.subscribed == {"boxes/sell", "config/sell"}, within=200)
        origin = scene.origins[-1]
        await scene.until(lambda: "config/pay" not in origin.subscriptions.by_subscriber["a1"].sent)
        scene.configure(2)
        later_subscriber = scene.subscriber("three", ["pay"])
        await scene.until(later_subscriber.synced.is_set)
        assert scene.handlers["three"].numbers == [("pay", 2)]

    run_scene(scenario)
