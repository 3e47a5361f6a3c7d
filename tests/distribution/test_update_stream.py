"""Tests of update streams to slow subscribers and of the rate limit per subscriber."""

from __future__ import annotations

import anyio

from gullmount.net.wrapped_streams import WRITE_TIMEOUT_SECONDS
from tests.support.distribution_fleet import SUBSCRIBE_BODY, endpoint_changes, fleet
from tests.support.distribution_scene import RELAYS, Scene, run_scene


def test_subscriber_that_reads_one_byte_per_second_does_not_delay_others() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        for number in range(5):
            scene.subscriber(f"u{number}", ["pay"], relays={"a1": RELAYS["a1"]})
        await scene.until(lambda: all(each.synced.is_set() for each in scene.subscribers.values()))
        relay = scene.relays["a1"]
        slow = await scene.add_host("slow", "10.0.2.99", "a").connect(RELAYS["a1"])
        body = SUBSCRIBE_BODY.replace(b'"x"', b'"slow"').replace(b"config", b"boxes")
        head = b"POST /v1/follow HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
        await slow.send(head % len(body) + body)

        async def read_slowly() -> None:
            while True:
                await slow.receive(1)
                await anyio.sleep(1)

        scene.tasks.start_soon(read_slowly)
        await scene.until(lambda: "slow" in relay.streams)
        started_at = anyio.current_time()
        delays: list[float] = []
        for number in range(1, 200):
            scene.origins[-1].commit(endpoint_changes("pay", 100, size=300 + number))
            scene.configure(number)
            delays.append(await scene.until(lambda number=number: scene.all_applied(number)))
            if "slow" not in relay.streams:
                break
            await anyio.sleep(0.2)
        assert max(delays) < 1.0
        assert "slow" not in relay.streams and relay.stalled_streams == 1
        assert anyio.current_time() - started_at < 3 * WRITE_TIMEOUT_SECONDS

    run_scene(scenario)


def test_rate_limit_bounds_bytes_and_configuration_is_sent_before_queued_endpoints() -> None:
    async def scenario(scene: Scene) -> None:
        await fleet(scene, "a1")
        services = [f"s{number}" for number in range(12)]
        for service in services:
            scene.origins[-1].commit(endpoint_changes(service, 12))
        limited_subscriber = scene.subscriber("one", services, relays={"a1": RELAYS["a1"]})
        # Bytes received in each interval of 0.1 s.
        bytes_by_interval: dict[int, int] = {}
        bytes_before, configured_at = 0, 0.0
        synced_at = 0.0
        while not synced_at or anyio.current_time() < synced_at + 1.0:
            if limited_subscriber.synced.is_set() and not synced_at:
                synced_at = anyio.current_time()
            interval = int(anyio.current_time() * 10)
            bytes_by_interval[interval] = (
                bytes_by_interval.get(interval, 0) + limited_subscriber.counters.bytes_in - bytes_before
            )
            bytes_before = limited_subscriber.counters.bytes_in
            if not configured_at and len(limited_subscriber.store.logs) > 4:
                scene.configure(1, "s0")
                configured_at = anyio.current_time()
            if configured_at > 0 and scene.handlers["one"].number.get("s0") == 1:
                configured_at -= 1000.0
            await anyio.sleep(0.01)
        # A window is nine consecutive intervals.
        max_window_bytes = max(
            sum(bytes_by_interval.get(first + offset, 0) for offset in range(9))
            for first in bytes_by_interval
        )
        assert max_window_bytes < 6700 and limited_subscriber.counters.bytes_in > 15_000

    run_scene(scenario, rate=6000)
