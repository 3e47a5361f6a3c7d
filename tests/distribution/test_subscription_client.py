"""Subscriptions on a network that fails: broken lines, lost relays, repeated reports."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import anyio
import pytest

from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.relay_selection import RelayEndpoint
from gullmount.net import STREAM_ERRORS, Stream
from gullmount.rpc import Request, Response, serve
from tests.support.distribution_fleet import endpoint_changes, fleet, update_line
from tests.support.distribution_scene import ORIGIN, RELAYS, Scene, run_scene


@pytest.mark.parametrize("seed", range(3))
def test_relay_killed_while_it_sends_a_snapshot(seed: int) -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene)
        scene.origins[-1].commit(endpoint_changes("pay", 1000, size=600))
        scene.configure(4)
        scene.links.same_zone_delay = 0.1  # s for each piece of 64 KiB
        made, got = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(lambda: made.counters.bytes_in > 200_000)
        assert not made.synced.is_set() and not got.endpoints_of
        assert made.connected_relay is not None or made.counters.bytes_in
        told = [name for name, one in scene.relays.items() if "one" in one.streams]
        assert len(told) == 1
        await scene.kill(told[0])
        await scene.until(made.synced.is_set, within=30)
        assert len(got.endpoints_of["pay"]) == 1000 and got.number == {"pay": 4}
        assert [one for one in got.calls if one[0] == "boxes"] == [("boxes", "pay", True, 1000)]

    run_scene(play, seed)


def test_subscribers_of_a_killed_relay_are_at_others_within_seconds_without_snapshots() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1", "a2", "b1")
        scene.origins[-1].commit(endpoint_changes("pay", 20))
        names = [f"u{number}" for number in range(60)]
        for name in names:
            scene.subscriber(name, ["pay"])
        await scene.until(lambda: all(one.synced.is_set() for one in scene.subscribers.values()))
        await anyio.sleep(3)
        before = {name: one.connected_relay for name, one in scene.subscribers.items()}
        counts = {at.address: sum(one == at for one in before.values()) for at in before.values() if at}
        assert counts.keys() == {RELAYS["a1"], RELAYS["a2"]} and min(counts.values()) > 15
        await scene.kill("a1")
        scene.configure(1)
        took = await scene.until(lambda: all(got.number.get("pay") == 1 for got in scene.handlers.values()))
        assert took < 5
        for name, made in scene.subscribers.items():
            assert made.counters.snapshots == 2, name
            assert made.counters.moves == (before[name] == RelayEndpoint(RELAYS["a1"], "a"))

    run_scene(play)


def test_without_the_origin_subscribers_keep_their_state_and_stop_moving() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene)
        scene.configure(1)
        for number in range(20):
            scene.subscriber(f"u{number}", ["pay"])
        await scene.until(lambda: all(one.synced.is_set() for one in scene.subscribers.values()))
        await scene.kill("source")
        await anyio.sleep(1200)
        late = scene.subscriber("late", ["pay"])
        await scene.until(late.synced.is_set)
        assert scene.handlers["late"].number == {"pay": 1}
        assert all(one.counters.moves < 12 for one in scene.subscribers.values())
        await scene.origin()
        scene.configure(2)
        took = await scene.until(lambda: all(got.number["pay"] == 2 for got in scene.handlers.values()))
        assert took < 30

    run_scene(play)


def test_relay_that_is_behind_reverts_nothing() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene)
        scene.configure(1)
        made, got = scene.subscriber("one", ["pay"], relays={"a1": RELAYS["a1"]}), scene.handlers["one"]
        other = scene.subscriber("two", ["pay"], relays={"a2": RELAYS["a2"]})
        await scene.until(lambda: made.synced.is_set() and other.synced.is_set())
        scene.cut("a2", ORIGIN)
        scene.configure(2)
        await scene.until(lambda: got.number["pay"] == 2)
        made.selector.relays = [RelayEndpoint(RELAYS["a2"], "a")]
        made.selector.health |= {RELAYS["a2"]: made.selector.health[RELAYS["a1"]]}
        await scene.kill("a1")
        await scene.until(
            lambda: made.connected_relay is not None and made.connected_relay.address == RELAYS["a2"]
        )
        await anyio.sleep(30)
        assert got.numbers == [("pay", 1), ("pay", 2)] and made.counters.snapshots == 2

    run_scene(play)


async def scripted(scene: Scene, address: str, *lines: bytes, then: str = "stay") -> None:
    """Stands for a relay: answers each follow by these lines, and what `then` says."""

    async def speak(stream: Stream) -> None:
        try:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            for line in lines:
                await stream.send(b"%x\r\n%s\r\n" % (len(line), line))
            if then == "stay":
                await anyio.sleep_forever()
            if then == "hang":
                await anyio.sleep(1000)
            await stream.aclose()
        except STREAM_ERRORS:
            pass

    await scene.begin("scripted", lambda started: listen(scene, address, speak, started))


async def listen(scene: Scene, address: str, speak: Any, started: anyio.Event) -> None:
    party = scene.add_host("scripted", address.rpartition(":")[0], "a")
    await party.serve(address, speak, started)


@pytest.mark.parametrize("status", [503, 404])
def test_report_that_is_not_accepted_is_repeated(status: int) -> None:
    async def play(scene: Scene) -> None:
        follows: list[bytes] = []
        acknowledgements: list[bytes] = []

        async def lines() -> AsyncIterator[bytes]:
            yield update_line(1, [1_796_000_000_000, 6])
            await anyio.sleep_forever()

        async def answer(asked: Request, stream: Stream) -> Response:
            if asked.target == "/v1/follow":
                follows.append(asked.body)
                return Response(200, lines=lines())
            acknowledgements.append(asked.body)
            return Response(status if len(acknowledgements) == 1 else 200)

        async def speak(stream: Stream) -> None:
            await serve(stream, answer)

        await scene.begin("scripted", lambda started: listen(scene, RELAYS["a2"], speak, started))
        scene.subscriber("one", ["pay"], relays={"a2": RELAYS["a2"]})
        if status == 503:
            await scene.until(lambda: len(acknowledgements) == 2)
            assert acknowledgements[0] == acknowledgements[1] and len(follows) == 1
        else:
            await scene.until(lambda: len(follows) == 2, within=4)  # before the stream counts as silent
            assert b'"config/pay":[1796000000000,6]' in follows[1]

    run_scene(play)


@pytest.mark.parametrize("then", ["close", "hang"])
def test_half_a_line_is_not_applied(then: str) -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(3)
        line = update_line(9, [1, 1])
        await scripted(scene, RELAYS["a2"], line[: len(line) // 2], then=then)
        for number in range(6):
            scene.subscriber(f"u{number}", ["pay"])
        await scene.until(lambda: all(one.synced.is_set() for one in scene.subscribers.values()))
        assert all(got.numbers == [("pay", 3)] for got in scene.handlers.values())
        assert any(one.selector.health[RELAYS["a2"]].failures for one in scene.subscribers.values())

    run_scene(play)


FAR_AHEAD = 2**50


@pytest.mark.parametrize(
    "bad",
    [
        update_line(9, [FAR_AHEAD, 1]),
        update_line(9, [1_796_000_000_000, FAR_AHEAD]),
        update_line(9, [1_796_000_000_000, 5], as_of=[1_796_000_000_000, 4]),
        update_line(9, [1_796_000_000_000, 1], topic="config/sell"),
        update_line(9, [1_796_000_000_000, 1], topic="tea/pay"),
        update_line(9, [1_796_000_000_000, 1], v=2),
        update_line(9, [-1, 1]),
        b'{"v":1}\n',
        b"\xff\xfe\n",
        b"[" * 100_000 + b"\n",
        b"{}\n",
    ],
    ids=[
        "epoch from far ahead",
        "revision from far ahead",
        "beyond its sender",
        "not asked for",
        "no such kind",
        "another version",
        "negative",
        "no kind",
        "no text",
        "deep",
        "no version",
    ],
)
def test_malformed_line_is_dropped_counted_and_logged_once(bad: bytes) -> None:
    async def play(scene: Scene) -> None:
        good = update_line(1, [1_796_000_000_000, 6])
        await scripted(scene, RELAYS["a2"], bad, bad, good)
        made, got = scene.subscriber("one", ["pay"], relays={"a2": RELAYS["a2"]}), scene.handlers["one"]
        await scene.until(lambda: got.number.get("pay") == 1)
        assert got.numbers == [("pay", 1)]
        counts = made.counters
        assert counts.not_understood + counts.unasked + counts.lower_epoch == 2
        (said,) = scene.logged("one", LogEvent.UPDATE_MALFORMED)
        assert len(said["reason"]) < 250 and "routes" not in said["reason"]

    run_scene(play)


def test_overlong_line_ends_the_stream_and_the_subscriber_moves() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(3)
        await scripted(scene, RELAYS["a2"], b"x" * (5 << 20))
        for number in range(4):
            scene.subscriber(f"u{number}", ["pay"])
        await scene.until(lambda: all(one.synced.is_set() for one in scene.subscribers.values()))
        assert all(got.numbers == [("pay", 3)] for got in scene.handlers.values())

    run_scene(play)
