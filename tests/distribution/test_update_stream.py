"""Slow subscribers, and the rate of one."""

from __future__ import annotations

import anyio

from gullmount.distribution.streams import WRITE_TIMEOUT_SECONDS
from tests.support.distribution_fleet import SUBSCRIBE_BODY, endpoint_changes, fleet
from tests.support.distribution_scene import RELAYS, Scene, run_scene


def test_subscriber_at_a_byte_a_second_does_not_slow_others() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1")
        for number in range(5):
            scene.subscriber(f"u{number}", ["pay"], relays={"a1": RELAYS["a1"]})
        await scene.until(lambda: all(one.synced.is_set() for one in scene.subscribers.values()))
        relay = scene.relays["a1"]
        slow = await scene.add_host("slow", "10.0.2.99", "a").connect(RELAYS["a1"])
        body = SUBSCRIBE_BODY.replace(b'"x"', b'"slow"').replace(b"config", b"boxes")
        head = b"POST /v1/follow HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
        await slow.send(head % len(body) + body)

        async def read() -> None:
            while True:
                await slow.receive(1)
                await anyio.sleep(1)

        scene.tasks.start_soon(read)
        await scene.until(lambda: "slow" in relay.streams)
        began = anyio.current_time()
        lates: list[float] = []
        for number in range(1, 200):
            scene.origins[-1].commit(endpoint_changes("pay", 100, size=300 + number))
            scene.configure(number)
            lates.append(await scene.until(lambda number=number: scene.all_at(number)))
            if "slow" not in relay.streams:
                break
            await anyio.sleep(0.2)
        assert max(lates) < 1.0
        assert "slow" not in relay.streams and relay.stalled_streams == 1
        assert anyio.current_time() - began < 3 * WRITE_TIMEOUT_SECONDS

    run_scene(play)


def test_rate_bounds_bytes_and_configuration_does_not_wait_for_endpoints() -> None:
    async def play(scene: Scene) -> None:
        await fleet(scene, "a1")
        services = [f"s{number}" for number in range(12)]
        for service in services:
            scene.origins[-1].commit(endpoint_changes(service, 12))
        made = scene.subscriber("one", services, relays={"a1": RELAYS["a1"]})
        by_second: dict[int, int] = {}
        before, configured = 0, 0.0
        synced_at = 0.0
        while not synced_at or anyio.current_time() < synced_at + 1.0:
            if made.synced.is_set() and not synced_at:
                synced_at = anyio.current_time()
            second = int(anyio.current_time() * 10)
            by_second[second] = by_second.get(second, 0) + made.counters.bytes_in - before
            before = made.counters.bytes_in
            if not configured and len(made.store.logs) > 4:
                scene.configure(1, "s0")
                configured = anyio.current_time()
            if configured > 0 and scene.handlers["one"].number.get("s0") == 1:
                configured -= 1000.0
            await anyio.sleep(0.01)
        most = max(sum(by_second.get(at + step, 0) for step in range(9)) for at in by_second)
        assert most < 6700 and made.counters.bytes_in > 15_000

    run_scene(play, rate=6000)
