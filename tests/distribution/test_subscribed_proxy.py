"""A proxy that receives endpoints and routes from relays, in memory and virtual time."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec

from gullmount.commands.proxy import ProxyFile
from gullmount.distribution.errors import UnusableUpdateError
from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.subscribed_proxy import SubscribedProxy
from gullmount.leases.leasing_proxy import LeasingProxy
from gullmount.rpc import call
from tests.support.distribution_scene import ORIGIN, RELAYS, Scene, run_scene
from tests.support.proxy_edge import make_proxy_config as proxy_terms
from tests.support.subscribed_proxy_scene import (
    ROUTE,
    SERVERS,
    ProcessMemory,
    configured,
    endpoints_of,
    routes,
    server,
    start_proxy_scene,
)


def test_proxy_accepts_no_request_before_the_configuration_is_in_force() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene)
        scene.origins[-1].commit(endpoints_of("one") + configured("/new"))
        made = await around.proxy(ProcessMemory())
        await anyio.sleep(60)
        assert not made.listening.is_set() and scene.logged("umpire", LogEvent.WAITING_FOR_RELAY)
        await scene.relay("a1")
        with anyio.fail_after(60):
            await made.listening.wait()
        assert await around.ask("/new") == 200 and around.seen == ["one"]
        assert await around.ask("/pay") == 200  # a route of its file's stands beside

    run_scene(play)


def test_configuration_and_endpoints_of_a_service_change_independently() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        origin = scene.origins[-1]
        origin.commit(endpoints_of("one") + configured("/old", "/both") + configured("/sell", service="sell"))
        made = await around.proxy(ProcessMemory(), ("pay", "sell"))
        with anyio.fail_after(60):
            await made.listening.wait()
        assert [await around.ask(path) for path in ("/old", "/both", "/sell")] == [200, 200, 200]
        origin.commit(configured("/new", "/both"))
        await scene.until(lambda: "new" in made.running.runtime.router.settings.routes)
        told = [await around.ask(path) for path in ("/old", "/new", "/both", "/sell")]
        assert told == [404, 200, 200, 200]
        origin.commit([("boxes/pay", SERVERS["one"], None), *endpoints_of("two")])
        await scene.until(lambda: list(made.running.runtime.router.endpoints.servers) == [SERVERS["two"]])
        around.seen.clear()
        assert await around.ask("/new") == 200 and around.seen == ["two"]
        origin.commit([("config/sell", "routes", None)])
        await scene.until(lambda: made.routes.by_service["sell"] == [])
        assert await around.ask("/sell") == 404

    run_scene(play)


def test_request_whose_route_is_removed_while_it_arrives_gets_its_response() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoints_of("one") + configured("/old"))
        made = await around.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await made.listening.wait()
        stream = await scene.add_host("client", "10.0.7.1", "a").connect("10.0.6.1:8000")
        await stream.send(b"POST /old HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\na")
        await anyio.sleep(1)
        scene.origins[-1].commit(configured("/new"))
        await scene.until(lambda: "new" in made.running.runtime.router.settings.routes)
        await stream.send(b"b")
        assert (await stream.receive()).startswith(b"HTTP/1.1 200")

    run_scene(play)


def test_unusable_configuration_is_named_at_the_origin_and_the_old_stays() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        origin = scene.origins[-1]
        first = origin.commit(endpoints_of("one") + configured("/old"))
        made = await around.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await made.listening.wait()
        bad = routes("/old")
        bad["routes"][0]["objective"] = -1
        version = origin.commit([("config/pay", "routes", bad)])

        async def named() -> Any:
            return (await scene.in_force())["zones"].get("a", {}).get("unable_names")

        with anyio.fail_after(60):
            while not (found := await named()):
                await anyio.sleep(0.1)
        why = "routes.0.objective: Input should be greater than 0"
        assert found == [["umpire-0", "config/pay", list(version), why]]
        assert (await scene.in_force())["zones"]["a"]["lowest_used"] <= list(first)
        assert await around.ask("/old") == 200
        third = origin.commit(configured("/new"))
        with anyio.fail_after(60):
            while await named() or (await scene.in_force())["zones"]["a"]["lowest"] < list(third):
                await anyio.sleep(0.1)
        assert await around.ask("/new") == 200 and await around.ask("/old") == 404

    run_scene(play)


def test_invalid_configurations_are_rejected() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoints_of("one") + configured("/old") + configured("/x", service="sell"))
        made = await around.proxy(ProcessMemory(), ("pay", "sell"))
        with anyio.fail_after(60):
            await made.listening.wait()
        twice = routes("/a", "/a")
        unknown = {"routes": [{**ROUTE, "name": "a", "hurry": 1}]}
        for value, said in (
            ([], "expected a mapping"),
            ({"routes": []}, "0 of them"),
            ({"routes": [1]}, "routes.0: "),
            ({**routes("/a"), "more": 1}, "expected a mapping"),
            (twice, "route named twice: a"),
            (routes("/x"), "route named twice: x"),
            (unknown, "routes.0.hurry: Extra inputs are not permitted"),
        ):
            try:
                made.apply_configuration("pay", {"routes": value})
            except UnusableUpdateError as fault:
                assert said in str(fault)
            else:
                raise AssertionError(value)
        assert [route.name for route, _ in made.routes.by_service["pay"]] == ["old"]

    run_scene(play)


def test_proxy_that_reaches_no_relay_starts_from_remembered_state() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoints_of("one") + configured("/new"))
        kept = ProcessMemory()
        made = await around.proxy(kept)
        with anyio.fail_after(60):
            await made.listening.wait()
        await scene.until(lambda: kept.data is not None and b"/new" in kept.data)
        await anyio.sleep(3)
        await scene.kill("umpire")
        await scene.kill("a1")
        again = await around.proxy(kept, start_within=30.0)
        await anyio.sleep(25)
        assert not again.listening.is_set()
        with anyio.fail_after(30):
            await again.listening.wait()
        assert scene.logged("umpire", LogEvent.STARTED_FROM_REMEMBERED_STATE)
        assert await around.ask("/new") == 200
        await scene.relay("a1")
        scene.origins[-1].commit(configured("/newer"))
        await scene.until(lambda: "newer" in again.running.runtime.router.settings.routes)
        assert again.subscriber.counters.snapshots == 0  # it got what changed, not all anew

    run_scene(play)


def test_proxy_that_remembers_only_endpoints_waits_for_the_configuration() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        around.memory = ProcessMemory()
        scene.origins[-1].commit(endpoints_of("one") + configured("/old"))
        made = await around.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await made.listening.wait()
        memory = around.memory
        await scene.until(lambda: memory.data is not None and b"10.0.5.1" in memory.data)
        await scene.kill("umpire")
        await scene.kill("a1")
        again = await around.proxy(ProcessMemory())
        await anyio.sleep(60)
        assert again.running.endpoints_known.is_set() and not again.listening.is_set()
        await scene.relay("a1")
        with anyio.fail_after(60):
            await again.listening.wait()
        assert await around.ask("/old") == 200

    run_scene(play)


def test_proxy_that_was_down_starts_with_what_changed_since() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoints_of("one") + configured("/old"))
        kept = ProcessMemory()
        made = await around.proxy(kept)
        with anyio.fail_after(60):
            await made.listening.wait()
        await scene.until(lambda: kept.data is not None and b"/old" in kept.data)
        await anyio.sleep(3)
        await scene.kill("umpire")
        scene.origins[-1].commit(configured("/new"))
        await anyio.sleep(100)
        again = await around.proxy(kept)
        with anyio.fail_after(60):
            await again.listening.wait()
        assert [await around.ask("/old"), await around.ask("/new")] == [404, 200]

    run_scene(play)


def test_unreadable_remembered_state_counts_as_none() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoints_of("one") + configured("/old"))
        kept = ProcessMemory()
        kept.data = b'{"v":1,"topics":{"config/pay":{"version":[1,"x"],"entries":{}}}}'
        made = await around.proxy(kept)
        with anyio.fail_after(60):
            await made.listening.wait()
        assert scene.logged("umpire", LogEvent.REMEMBERED_STATE_UNREADABLE)
        assert await around.ask("/old") == 200

    run_scene(play)


def test_endpoint_in_two_services_is_removed_with_the_last_of_them() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        origin = scene.origins[-1]
        origin.commit(endpoints_of("one", "two") + endpoints_of("one", service="sell"))
        made = await around.proxy(ProcessMemory(), ("pay", "sell"))
        with anyio.fail_after(60):
            await made.listening.wait()
        known = made.running.runtime.router.endpoints.servers
        assert set(known) == set(SERVERS.values())
        origin.commit([("boxes/pay", SERVERS["one"], None), ("boxes/pay", SERVERS["two"], None)])
        await scene.until(lambda: set(known) == {SERVERS["one"]})
        origin.commit([("boxes/sell", SERVERS["one"], None)])
        await scene.until(lambda: not known)

    run_scene(play)


def test_malformed_endpoint_is_left_out_and_the_others_applied() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        origin = scene.origins[-1]
        bad = [("boxes/pay", "10.0.5.9:80", server(state="tired")), ("boxes/pay", "nowhere", server())]
        origin.commit([*endpoints_of("one"), *bad])
        made = await around.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await made.listening.wait()
        assert set(made.running.runtime.router.endpoints.servers) == {SERVERS["one"]}
        (said,) = scene.logged("umpire", LogEvent.ENDPOINTS_MALFORMED)
        assert said["count"] == 2
        assert await around.ask("/pay") == 200

    run_scene(play)


def test_age_of_an_endpoint_grows_in_transit() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        asker = scene.add_host("asker", "10.0.8.1", "s")

        async def post(start: str, age: float) -> None:
            change = {"topic": "boxes/pay", "key": SERVERS["one"], "value": server(start=start, age=age)}
            body = msgspec.json.encode({"v": 1, "changes": [change]})
            assert (await call(asker, ORIGIN, "POST", "/v1/changes", body))[0] == 200

        await post("x", 2.0)
        await anyio.sleep(50)
        before = scene.origins[-1].store.as_of
        await post("x", 52.3)  # the same start, told anew: nothing has changed
        assert scene.origins[-1].store.as_of == before
        made = await around.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await made.listening.wait()
        host = made.running.runtime
        assert 51 < host.now() - host.router.endpoints.servers[SERVERS["one"]].started_at < 56

    run_scene(play)


def test_route_of_the_file_is_restored_when_its_replacement_is_removed() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        origin = scene.origins[-1]
        anew = [("config/pay", "routes", {"routes": [{**ROUTE, "name": "pay", "match": {"path": "/other"}}]})]
        origin.commit(endpoints_of("one") + anew)
        made = await around.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await made.listening.wait()
        assert [await around.ask("/pay"), await around.ask("/other")] == [404, 200]
        objective = made.running.runtime.router.settings.routes["pay"].latency_objective
        origin.commit([("config/pay", "routes", None)])
        await scene.until(lambda: made.routes.by_service["pay"] == [])
        assert [await around.ask("/pay"), await around.ask("/other")] == [200, 404]
        assert made.running.runtime.router.settings.routes["pay"].latency_objective == objective == 0.5

    run_scene(play)


def test_proxy_that_owns_leased_work_and_subscribes_to_relays() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoints_of("one") + configured("/new"))
        told = proxy_terms(listen="10.0.6.1:8000", launcher={"address": "10.0.4.1:7002"}).model_dump()
        keepers = {number: f"10.0.3.{number}:7299" for number in (1, 2, 3)}
        told["ownership"] = {"switched_on": True, "keepers": keepers}
        at = [{"name": "a1", "address": RELAYS["a1"], "zone": "a"}]
        told["relays"] = {"switched_on": True, "at": at, "services": ["pay"]}
        terms = ProxyFile.model_validate(told).without_discovery()
        party = scene.add_host("umpire", "10.0.6.1", "a")
        log = scene.log_of("umpire")
        inner = LeasingProxy(terms, net=party, seed=1, log=log)  # type: ignore[arg-type]
        made = SubscribedProxy(terms, inner, inner.proxy_instance, network=party, wall=scene.wall, log=log)
        async with made:
            with anyio.fail_after(60):
                await made.listening.wait()
            assert await around.ask("/new") == 200
            with anyio.fail_after(60):
                await made.stop()
            assert inner.released.is_set()

    run_scene(play)


def test_new_epoch_leaves_routes_and_endpoints_as_they_are() -> None:
    async def play(scene: Scene) -> None:
        around = await start_proxy_scene(scene, "a1")
        told = endpoints_of("one") + configured("/new")
        scene.origins[-1].commit(told)
        await scene.origin_storage.append(told, [], dict)
        made = await around.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await made.listening.wait()
        before = made.subscriber.store.version("config/pay")
        await scene.kill("source")
        await scene.origin()
        await scene.until(lambda: made.subscriber.store.version("config/pay") > before)
        await scene.until(lambda: made.subscriber.acknowledgements.in_force["config/pay"] > before)
        assert await around.ask("/new") == 200 and around.seen == ["one"]
        for number in range(3):
            scene.origins[-1].commit(configured(f"/new{number}"))
        await scene.until(lambda: [one.name for one, _ in made.routes.by_service["pay"]] == ["new2"])
        assert [await around.ask("/new"), await around.ask("/new2")] == [404, 200]

    run_scene(play)
