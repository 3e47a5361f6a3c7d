"""Tests of requests and connections that a relay refuses or closes."""

from __future__ import annotations

import anyio
import pytest

from gullmount.distribution.log_events import LogEvent
from gullmount.rpc import CallError, call
from tests.support.distribution_fleet import SUBSCRIBE_BODY, endpoint_changes, fleet
from tests.support.distribution_scene import RELAYS, Scene, run_scene


def test_second_stream_of_a_subscriber_closes_the_first_at_once() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        scene.origins[-1].commit(endpoint_changes("pay", 2000, size=100))
        relay = scene.relays["a1"]
        body = SUBSCRIBE_BODY.replace(b"config", b"boxes")
        head = b"POST /v1/follow HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
        streams = []
        for _ in range(2):
            stream = await scene.add_host("x", "10.0.8.1", "a").connect(RELAYS["a1"])
            # The client reads nothing, so the relay's write blocks.
            await stream.send(head % len(body) + body)
            streams.append(stream)
            await scene.until(lambda: relay.open_connections == 1 and "x" in relay.streams)
            await anyio.sleep(3)
        assert relay.open_connections == 1 and relay.stalled_streams == 0

    run_scene(scenario)


@pytest.mark.parametrize(
    ("target", "body", "status"),
    [
        ("/v1/follow", b"nonsense", 400),
        ("/v1/follow", b'{"v":2,"follower":"x","zone":"a"}', 400),
        ("/v1/follow", b'{"v":1,"follower":"x","zone":"nowhere"}', 400),
        ("/v1/follow", b'{"v":1,"follower":"x","zone":"a","have":{"tea/pay":[0,0]}}', 400),
        ("/v1/follow", b'{"v":1,"follower":"x","zone":"a","have":{"config/pay":[9e30,0]}}', 400),
        ("/v1/follow", b'{"v":1,"follower":"x","also":true,"have":{"config/pay":[0,0]}}', 404),
        ("/v1/in-force", b'{"v":1,"follower":"x","in_force":{"config/pay":[1,"y"]}}', 400),
        ("/v1/in-force", b'{"v":1,"follower":"x"}', 404),
        ("/v1/tea", b"{}", 404),
    ],
)
def test_malformed_request_is_refused_and_changes_nothing(target: str, body: bytes, status: int) -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        new_subscriber, handler = scene.subscriber("one", ["pay"]), scene.handlers["one"]
        await scene.until(new_subscriber.synced.is_set)
        client = scene.add_host("asker", "10.0.8.1", "s")
        assert (await call(client, RELAYS["a1"], "POST", target, body))[0] == status
        relay = scene.relays["a1"]
        assert (
            relay.malformed_messages == (status == 400) == len(scene.logged("a1", LogEvent.REQUEST_MALFORMED))
        )
        assert relay.subscriptions.by_subscriber.keys() == {"one"} and relay.store.subscribed == {
            "boxes/pay",
            "config/pay",
        }
        scene.configure(1)
        await scene.until(lambda: handler.number["pay"] == 1)

    run_scene(scenario)


def test_oversized_request_body_closes_the_connection() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        client = scene.add_host("asker", "10.0.8.1", "s")
        with pytest.raises(CallError):
            await call(client, RELAYS["a1"], "POST", "/v1/follow", b"x" * (2 << 20))
        new_subscriber = scene.subscriber("one", ["pay"])
        await scene.until(new_subscriber.synced.is_set)

    run_scene(scenario)


def test_connections_and_subscribers_above_their_limits_are_refused() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        relay = scene.relays["a1"]
        relay.max_connections = 3
        host = scene.add_host("many", "10.0.8.1", "a")
        client_streams = [await host.connect(RELAYS["a1"]) for _ in range(5)]
        await scene.until(lambda: relay.refused_connections == 2)
        assert relay.open_connections == 3
        assert [fields["count"] for fields in scene.logged("a1", LogEvent.CONNECTION_LIMIT_REACHED)] == [1, 2]
        for stream in client_streams:
            await stream.aclose()
        await scene.until(lambda: relay.open_connections == 0)
        relay.subscriptions.max_subscribers = 2
        for number in range(3):
            scene.subscriber(f"u{number}", ["pay"], relays={"a1": RELAYS["a1"]})
        relay.max_connections = 100
        await scene.until(lambda: len(scene.logged("a1", LogEvent.SUBSCRIBER_LIMIT_REACHED)) > 0)
        assert len(relay.subscriptions.by_subscriber) == 2

    run_scene(scenario)
