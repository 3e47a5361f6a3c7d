"""Tests of subscriptions on a failing network: malformed lines, lost relays, repeated acknowledgements."""

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
def test_snapshot_is_applied_whole_from_another_relay_when_its_sender_is_killed(seed: int) -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene)
        scene.origins[-1].commit(endpoint_changes("pay", 1000, size=600))
        scene.configure(4)
        # The delay is in seconds per 64 KiB chunk.
        scene.links.same_zone_delay = 0.1
        new_subscriber, handler = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(lambda: new_subscriber.counters.bytes_in > 200_000)
        assert not new_subscriber.synced.is_set() and not handler.endpoints_of
        assert new_subscriber.connected_relay is not None or new_subscriber.counters.bytes_in
        sending_relays = [name for name, relay in scene.relays.items() if "one" in relay.streams]
        assert len(sending_relays) == 1
        await scene.kill(sending_relays[0])
        await scene.until(new_subscriber.synced.is_set, within=30)
        assert len(handler.endpoints_of["pay"]) == 1000 and handler.number == {"pay": 4}
        assert [applied for applied in handler.calls if applied[0] == "boxes"] == [
            ("boxes", "pay", True, 1000)
        ]

    run_scene(scenario, seed)


def test_subscribers_of_a_killed_relay_move_within_5_seconds_without_new_snapshots() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1", "a2", "b1")
        scene.origins[-1].commit(endpoint_changes("pay", 20))
        names = [f"u{number}" for number in range(60)]
        for name in names:
            scene.subscriber(name, ["pay"])
        await scene.until(lambda: all(each.synced.is_set() for each in scene.subscribers.values()))
        await anyio.sleep(3)
        before = {name: each.connected_relay for name, each in scene.subscribers.items()}
        connections = {
            endpoint.address: sum(connected == endpoint for connected in before.values())
            for endpoint in before.values()
            if endpoint
        }
        assert connections.keys() == {RELAYS["a1"], RELAYS["a2"]} and min(connections.values()) > 15
        await scene.kill("a1")
        scene.configure(1)
        elapsed_seconds = await scene.until(
            lambda: all(handler.number.get("pay") == 1 for handler in scene.handlers.values())
        )
        assert elapsed_seconds < 5
        for name, new_subscriber in scene.subscribers.items():
            assert new_subscriber.counters.snapshots == 2, name
            assert new_subscriber.counters.moves == (before[name] == RelayEndpoint(RELAYS["a1"], "a"))

    run_scene(scenario)


def test_subscribers_keep_their_state_and_rarely_change_relays_while_the_origin_is_down() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene)
        scene.configure(1)
        for number in range(20):
            scene.subscriber(f"u{number}", ["pay"])
        await scene.until(lambda: all(each.synced.is_set() for each in scene.subscribers.values()))
        await scene.kill("source")
        await anyio.sleep(1200)
        late_subscriber = scene.subscriber("late", ["pay"])
        await scene.until(late_subscriber.synced.is_set)
        assert scene.handlers["late"].number == {"pay": 1}
        assert all(each.counters.moves < 12 for each in scene.subscribers.values())
        await scene.origin()
        scene.configure(2)
        elapsed_seconds = await scene.until(
            lambda: all(handler.number["pay"] == 2 for handler in scene.handlers.values())
        )
        assert elapsed_seconds < 30

    run_scene(scenario)


def test_move_to_a_lagging_relay_does_not_revert_the_configuration() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene)
        scene.configure(1)
        new_subscriber, handler = (
            scene.subscriber("one", ["pay"], relays={"a1": RELAYS["a1"]}),
            scene.handlers["one"],
        )
        other = scene.subscriber("two", ["pay"], relays={"a2": RELAYS["a2"]})
        await scene.until(lambda: new_subscriber.synced.is_set() and other.synced.is_set())
        scene.cut("a2", ORIGIN)
        scene.configure(2)
        await scene.until(lambda: handler.number["pay"] == 2)
        new_subscriber.selector.relays = [RelayEndpoint(RELAYS["a2"], "a")]
        new_subscriber.selector.health |= {RELAYS["a2"]: new_subscriber.selector.health[RELAYS["a1"]]}
        await scene.kill("a1")
        await scene.until(
            lambda: (
                new_subscriber.connected_relay is not None
                and new_subscriber.connected_relay.address == RELAYS["a2"]
            )
        )
        await anyio.sleep(30)
        assert handler.numbers == [("pay", 1), ("pay", 2)] and new_subscriber.counters.snapshots == 2

    run_scene(scenario)


async def start_scripted_relay(scene: Scene, address: str, *lines: bytes, afterwards: str = "stay") -> None:
    """Start a relay substitute that sends these lines to each subscriber.

    Afterwards it keeps the stream open ("stay"), closes it after 1000 s ("hang") or at once ("close").
    """

    async def handle_stream(stream: Stream) -> None:
        try:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            for line in lines:
                await stream.send(b"%x\r\n%s\r\n" % (len(line), line))
            if afterwards == "stay":
                await anyio.sleep_forever()
            if afterwards == "hang":
                await anyio.sleep(1000)
            await stream.aclose()
        except STREAM_ERRORS:
            pass

    await scene.start_participant(
        "scripted", lambda started: serve_scripted_relay(scene, address, handle_stream, started)
    )


async def serve_scripted_relay(scene: Scene, address: str, handle_stream: Any, started: anyio.Event) -> None:
    host = scene.add_host("scripted", address.rpartition(":")[0], "a")
    await host.serve(address, handle_stream, started)


@pytest.mark.parametrize("status", [503, 404])
def test_acknowledgement_refused_with_503_is_repeated_and_with_404_leads_to_a_new_subscription(
    status: int,
) -> None:
    async def scenario(scene: Scene) -> None:
        subscribe_bodies: list[bytes] = []
        acknowledgements: list[bytes] = []

        async def lines() -> AsyncIterator[bytes]:
            yield update_line(1, [1_796_000_000_000, 6])
            await anyio.sleep_forever()

        async def respond(request: Request, stream: Stream) -> Response:
            if request.target == "/v1/follow":
                subscribe_bodies.append(request.body)
                return Response(200, lines=lines())
            acknowledgements.append(request.body)
            return Response(status if len(acknowledgements) == 1 else 200)

        async def handle_stream(stream: Stream) -> None:
            await serve(stream, respond)

        await scene.start_participant(
            "scripted", lambda started: serve_scripted_relay(scene, RELAYS["a2"], handle_stream, started)
        )
        scene.subscriber("one", ["pay"], relays={"a2": RELAYS["a2"]})
        if status == 503:
            await scene.until(lambda: len(acknowledgements) == 2)
            assert acknowledgements[0] == acknowledgements[1] and len(subscribe_bodies) == 1
        else:
            # 4 s is shorter than the silence timeout of the stream.
            await scene.until(lambda: len(subscribe_bodies) == 2, within=4)
            assert b'"config/pay":[1796000000000,6]' in subscribe_bodies[1]

    run_scene(scenario)


@pytest.mark.parametrize("afterwards", ["close", "hang"])
def test_incomplete_line_is_not_applied(afterwards: str) -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(3)
        line = update_line(9, [1, 1])
        await start_scripted_relay(scene, RELAYS["a2"], line[: len(line) // 2], afterwards=afterwards)
        for number in range(6):
            scene.subscriber(f"u{number}", ["pay"])
        await scene.until(lambda: all(each.synced.is_set() for each in scene.subscribers.values()))
        assert all(handler.numbers == [("pay", 3)] for handler in scene.handlers.values())
        assert any(each.selector.health[RELAYS["a2"]].failures for each in scene.subscribers.values())

    run_scene(scenario)


OUT_OF_RANGE = 2**50


@pytest.mark.parametrize(
    "malformed_line",
    [
        update_line(9, [OUT_OF_RANGE, 1]),
        update_line(9, [1_796_000_000_000, OUT_OF_RANGE]),
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
def test_malformed_line_is_dropped_counted_and_logged_once(malformed_line: bytes) -> None:
    async def scenario(scene: Scene) -> None:
        valid_line = update_line(1, [1_796_000_000_000, 6])
        await start_scripted_relay(scene, RELAYS["a2"], malformed_line, malformed_line, valid_line)
        new_subscriber, handler = (
            scene.subscriber("one", ["pay"], relays={"a2": RELAYS["a2"]}),
            scene.handlers["one"],
        )
        await scene.until(lambda: handler.number.get("pay") == 1)
        assert handler.numbers == [("pay", 1)]
        subscriber_counters = new_subscriber.counters
        assert (
            subscriber_counters.not_understood + subscriber_counters.unasked + subscriber_counters.lower_epoch
            == 2
        )
        (fields,) = scene.logged("one", LogEvent.UPDATE_MALFORMED)
        assert len(fields["reason"]) < 250 and "routes" not in fields["reason"]

    run_scene(scenario)


def test_oversized_line_closes_the_stream_and_the_subscriber_moves() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.configure(3)
        await start_scripted_relay(scene, RELAYS["a2"], b"x" * (5 << 20))
        for number in range(4):
            scene.subscriber(f"u{number}", ["pay"])
        await scene.until(lambda: all(each.synced.is_set() for each in scene.subscribers.values()))
        assert all(handler.numbers == [("pay", 3)] for handler in scene.handlers.values())

    run_scene(scenario)
