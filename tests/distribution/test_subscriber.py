"""Subscribers receive their services only, and the newest only."""

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


def test_subscriber_receives_its_services_and_nothing_else() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene)
        scene.origins[-1].commit(endpoint_changes("pay", 3) + endpoint_changes("sell", 900))
        scene.configure(1)
        scene.configure(7, "sell")
        made, got = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(made.synced.is_set)
        assert (
            got.number == {"pay": 1}
            and got.endpoints_of.keys() == {"pay"}
            and len(got.endpoints_of["pay"]) == 3
        )
        assert made.counters.bytes_in < 3000 and made.counters.unasked == 0
        scene.configure(8, "sell")
        scene.configure(2)
        await scene.until(lambda: got.number["pay"] == 2)
        assert made.counters.snapshots == 2 and made.counters.changes == 1
        assert not scene.relays["a1"].store.subscribed or scene.relays["a1"].store.subscribed == {
            "boxes/pay",
            "config/pay",
        }

    run_scene(play)


def test_subscriber_paused_for_longer_than_the_history_gets_the_newest_once() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.origins[-1].commit(endpoint_changes("pay", 10))
        made, got = scene.subscriber("one", ["pay"], relays={"a1": RELAYS["a1"]}), scene.handlers["one"]
        await scene.until(made.synced.is_set)
        mend = scene.cut("one", RELAYS["a1"])
        for number in range(400):  # more ends than are remembered
            key = f"10.2.0.{number}:80"
            scene.origins[-1].commit([("boxes/pay", key, SERVER)])
            scene.configure(number)
            scene.origins[-1].commit([("boxes/pay", key, None)])
            await anyio.sleep(0.1)
        scene.origins[-1].commit([("boxes/pay", "10.1.0.3:80", None)])
        calls, messages = len(got.calls), made.counters.messages
        mend()
        await scene.until(lambda: got.number["pay"] == 399 and "10.1.0.3:80" not in got.endpoints_of["pay"])
        assert len(got.endpoints_of["pay"]) == 9
        assert len(got.calls) - calls <= 4 and made.counters.messages - messages < 10
        assert [number for _, number in got.numbers] == sorted(number for _, number in got.numbers)

    run_scene(play)


def test_change_reverted_and_made_again_while_a_subscriber_is_away() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(1)
        made, got = scene.subscriber("one", ["pay"], relays={"a1": RELAYS["a1"]}), scene.handlers["one"]
        await scene.until(made.synced.is_set)
        mend = scene.cut("one", RELAYS["a1"])
        await scene.until(lambda: made.connected_relay is None)
        for number in (2, 1, 2):
            scene.configure(number)
            await anyio.sleep(1)
        mend()
        await scene.until(lambda: got.number["pay"] == 2)
        await anyio.sleep(5)
        assert got.numbers == [("pay", 1), ("pay", 2)]
        assert made.store.version("config/pay") == scene.origins[-1].store.version("config/pay")

    run_scene(play)


def test_subscribers_share_a_process_and_wake_only_for_updates() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene)
        net, got = MemoryNet(), RecordingHandler()
        assert isinstance(scene.relays["a1"], Relay)
        many = [
            Subscriber(
                name=f"h{number}",
                zone="a",
                relays=[RelayEndpoint(RELAYS["a1"], "a"), RelayEndpoint(RELAYS["a2"], "a")],
                services=[f"s{number % 7}"],
                network=scene.links.memory_network or net,
                random=Random(number),
                handler=got,
                wall=scene.wall,
            )
            for number in range(200)
        ]
        for one in many:
            scene.tasks.start_soon(one.run)
        await scene.until(lambda: all(one.synced.is_set() for one in many))
        await anyio.sleep(5)
        before = sum(one.counters.messages for one in many)
        await anyio.sleep(20)
        assert sum(one.counters.messages for one in many) - before <= 200 * 11  # a line each 2 s
        assert all(one.store.as_of >= Version(1, 0) for one in many)

    run_scene(play)
