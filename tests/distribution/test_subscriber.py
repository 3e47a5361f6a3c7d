"""Tests that subscribers receive only the services they subscribe to, and only the newest state."""

from __future__ import annotations

from random import Random

import anyio

from gullmount.distribution.relay import Relay
from gullmount.distribution.relay_selection import RelayEndpoint
from gullmount.distribution.subscriber import Subscriber
from gullmount.distribution.versions import Version
from gullmount.net import MemoryNet
from tests.support.distribution_fleet import SERVER, endpoint_changes, fleet
from tests.support.distribution_scene import RELAYS, RecordingHandler, Scene, run_scene


def test_subscriber_receives_only_the_services_it_subscribes_to() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene)
        scene.origins[-1].commit(endpoint_changes("pay", 3) + endpoint_changes("sell", 900))
        scene.configure(1)
        scene.configure(7, "sell")
        new_subscriber, recorder = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(new_subscriber.synced.is_set)
        assert (
            recorder.number == {"pay": 1}
            and recorder.endpoints_of.keys() == {"pay"}
            and len(recorder.endpoints_of["pay"]) == 3
        )
        assert new_subscriber.counters.bytes_in < 3000 and new_subscriber.counters.unasked == 0
        scene.configure(8, "sell")
        scene.configure(2)
        await scene.until(lambda: recorder.number["pay"] == 2)
        assert new_subscriber.counters.snapshots == 2 and new_subscriber.counters.changes == 1
        assert not scene.relays["a1"].store.subscribed or scene.relays["a1"].store.subscribed == {
            "boxes/pay",
            "config/pay",
        }

    run_scene(scenario)


def test_subscriber_cut_off_beyond_the_history_receives_the_newest_state_once() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.origins[-1].commit(endpoint_changes("pay", 10))
        new_subscriber, recorder = (
            scene.subscriber("one", ["pay"], relays={"a1": RELAYS["a1"]}),
            scene.handlers["one"],
        )
        await scene.until(new_subscriber.synced.is_set)
        restore_link = scene.cut("one", RELAYS["a1"])
        # 400 removals: more than the history holds.
        for number in range(400):
            key = f"10.2.0.{number}:80"
            scene.origins[-1].commit([("boxes/pay", key, SERVER)])
            scene.configure(number)
            scene.origins[-1].commit([("boxes/pay", key, None)])
            await anyio.sleep(0.1)
        scene.origins[-1].commit([("boxes/pay", "10.1.0.3:80", None)])
        calls, messages = len(recorder.calls), new_subscriber.counters.messages
        restore_link()
        await scene.until(
            lambda: recorder.number["pay"] == 399 and "10.1.0.3:80" not in recorder.endpoints_of["pay"]
        )
        assert len(recorder.endpoints_of["pay"]) == 9
        assert len(recorder.calls) - calls <= 4 and new_subscriber.counters.messages - messages < 10
        assert [number for _, number in recorder.numbers] == sorted(number for _, number in recorder.numbers)

    run_scene(scenario)


def test_change_reverted_and_reapplied_while_a_subscriber_is_cut_off_is_applied_once() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(1)
        new_subscriber, recorder = (
            scene.subscriber("one", ["pay"], relays={"a1": RELAYS["a1"]}),
            scene.handlers["one"],
        )
        await scene.until(new_subscriber.synced.is_set)
        restore_link = scene.cut("one", RELAYS["a1"])
        await scene.until(lambda: new_subscriber.connected_relay is None)
        for number in (2, 1, 2):
            scene.configure(number)
            await anyio.sleep(1)
        restore_link()
        await scene.until(lambda: recorder.number["pay"] == 2)
        await anyio.sleep(5)
        assert recorder.numbers == [("pay", 1), ("pay", 2)]
        assert new_subscriber.store.version("config/pay") == scene.origins[-1].store.version("config/pay")

    run_scene(scenario)


def test_200_subscribers_in_one_process_receive_only_heartbeats_while_nothing_changes() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene)
        fallback_network, recorder = MemoryNet(), RecordingHandler()
        assert isinstance(scene.relays["a1"], Relay)
        subscribers = [
            Subscriber(
                name=f"h{number}",
                zone="a",
                relays=[RelayEndpoint(RELAYS["a1"], "a"), RelayEndpoint(RELAYS["a2"], "a")],
                services=[f"s{number % 7}"],
                network=scene.links.memory_network or fallback_network,
                random=Random(number),
                handler=recorder,
                wall=scene.wall,
            )
            for number in range(200)
        ]
        for each in subscribers:
            scene.tasks.start_soon(each.run)
        await scene.until(lambda: all(each.synced.is_set() for each in subscribers))
        await anyio.sleep(5)
        before = sum(each.counters.messages for each in subscribers)
        await anyio.sleep(20)
        # Each subscriber receives one line per 2 s.
        assert sum(each.counters.messages for each in subscribers) - before <= 200 * 11
        assert all(each.store.as_of >= Version(1, 0) for each in subscribers)

    run_scene(scenario)
