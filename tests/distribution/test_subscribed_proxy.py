"""Tests of a proxy that receives endpoints and routes from relays, in memory and virtual time."""

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
    configuration_entries,
    endpoint_entries,
    routes,
    server,
    start_proxy_scene,
)


def test_proxy_does_not_listen_before_its_configuration_is_in_force() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene)
        scene.origins[-1].commit(endpoint_entries("one") + configuration_entries("/new"))
        new_proxy = await proxy_scene.proxy(ProcessMemory())
        await anyio.sleep(60)
        assert not new_proxy.listening.is_set() and scene.logged("umpire", LogEvent.WAITING_FOR_RELAY)
        await scene.relay("a1")
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        assert await proxy_scene.ask("/new") == 200 and proxy_scene.requested_servers == ["one"]
        # The route of the proxy's own file stays in force beside the received ones.
        assert await proxy_scene.ask("/pay") == 200

    run_scene(scenario)


def test_configuration_and_endpoints_of_a_service_change_independently() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        origin = scene.origins[-1]
        origin.commit(
            endpoint_entries("one")
            + configuration_entries("/old", "/both")
            + configuration_entries("/sell", service="sell")
        )
        new_proxy = await proxy_scene.proxy(ProcessMemory(), ("pay", "sell"))
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        assert [await proxy_scene.ask(path) for path in ("/old", "/both", "/sell")] == [200, 200, 200]
        origin.commit(configuration_entries("/new", "/both"))
        await scene.until(lambda: "new" in new_proxy.running.runtime.router.settings.routes)
        statuses = [await proxy_scene.ask(path) for path in ("/old", "/new", "/both", "/sell")]
        assert statuses == [404, 200, 200, 200]
        origin.commit([("boxes/pay", SERVERS["one"], None), *endpoint_entries("two")])
        await scene.until(
            lambda: list(new_proxy.running.runtime.router.endpoints.servers) == [SERVERS["two"]]
        )
        proxy_scene.requested_servers.clear()
        assert await proxy_scene.ask("/new") == 200 and proxy_scene.requested_servers == ["two"]
        origin.commit([("config/sell", "routes", None)])
        await scene.until(lambda: new_proxy.routes.by_service["sell"] == [])
        assert await proxy_scene.ask("/sell") == 404

    run_scene(scenario)


def test_request_whose_route_is_removed_while_its_body_arrives_is_completed() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoint_entries("one") + configuration_entries("/old"))
        new_proxy = await proxy_scene.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        stream = await scene.add_host("client", "10.0.7.1", "a").connect("10.0.6.1:8000")
        await stream.send(b"POST /old HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\na")
        await anyio.sleep(1)
        scene.origins[-1].commit(configuration_entries("/new"))
        await scene.until(lambda: "new" in new_proxy.running.runtime.router.settings.routes)
        await stream.send(b"b")
        assert (await stream.receive()).startswith(b"HTTP/1.1 200")

    run_scene(scenario)


def test_unusable_configuration_is_reported_by_the_origin_and_the_old_one_stays_in_force() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        origin = scene.origins[-1]
        first = origin.commit(endpoint_entries("one") + configuration_entries("/old"))
        new_proxy = await proxy_scene.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        invalid = routes("/old")
        invalid["routes"][0]["objective"] = -1
        version = origin.commit([("config/pay", "routes", invalid)])

        async def unusable_configurations() -> Any:
            return (await scene.in_force())["zones"].get("a", {}).get("unable_names")

        with anyio.fail_after(60):
            while not (found := await unusable_configurations()):
                await anyio.sleep(0.1)
        why = "routes.0.objective: Input should be greater than 0"
        assert found == [["umpire-0", "config/pay", list(version), why]]
        assert (await scene.in_force())["zones"]["a"]["lowest_used"] <= list(first)
        assert await proxy_scene.ask("/old") == 200
        latest = origin.commit(configuration_entries("/new"))
        with anyio.fail_after(60):
            while await unusable_configurations() or (await scene.in_force())["zones"]["a"]["lowest"] < list(
                latest
            ):
                await anyio.sleep(0.1)
        assert await proxy_scene.ask("/new") == 200 and await proxy_scene.ask("/old") == 404

    run_scene(scenario)


def test_invalid_configurations_are_rejected() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(
            endpoint_entries("one")
            + configuration_entries("/old")
            + configuration_entries("/x", service="sell")
        )
        new_proxy = await proxy_scene.proxy(ProcessMemory(), ("pay", "sell"))
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        duplicate = routes("/a", "/a")
        unknown = {"routes": [{**ROUTE, "name": "a", "hurry": 1}]}
        for value, message in (
            ([], "expected a mapping"),
            ({"routes": []}, "0 of them"),
            ({"routes": [1]}, "routes.0: "),
            ({**routes("/a"), "more": 1}, "expected a mapping"),
            (duplicate, "route named twice: a"),
            (routes("/x"), "route named twice: x"),
            (unknown, "routes.0.hurry: Extra inputs are not permitted"),
        ):
            try:
                new_proxy.apply_configuration("pay", {"routes": value})
            except UnusableUpdateError as error:
                assert message in str(error)
            else:
                raise AssertionError(value)
        assert [route.name for route, _ in new_proxy.routes.by_service["pay"]] == ["old"]

    run_scene(scenario)


def test_proxy_that_reaches_no_relay_starts_from_remembered_state() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoint_entries("one") + configuration_entries("/new"))
        state_store = ProcessMemory()
        new_proxy = await proxy_scene.proxy(state_store)
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        await scene.until(lambda: state_store.data is not None and b"/new" in state_store.data)
        await anyio.sleep(3)
        await scene.kill("umpire")
        await scene.kill("a1")
        restarted_proxy = await proxy_scene.proxy(state_store, start_within=30.0)
        await anyio.sleep(25)
        assert not restarted_proxy.listening.is_set()
        with anyio.fail_after(30):
            await restarted_proxy.listening.wait()
        assert scene.logged("umpire", LogEvent.STARTED_FROM_REMEMBERED_STATE)
        assert await proxy_scene.ask("/new") == 200
        await scene.relay("a1")
        scene.origins[-1].commit(configuration_entries("/newer"))
        await scene.until(lambda: "newer" in restarted_proxy.running.runtime.router.settings.routes)
        # It received only what had changed, not a snapshot.
        assert restarted_proxy.subscriber.counters.snapshots == 0

    run_scene(scenario)


def test_proxy_that_remembers_only_endpoints_waits_for_the_configuration() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        proxy_scene.endpoint_state_store = ProcessMemory()
        scene.origins[-1].commit(endpoint_entries("one") + configuration_entries("/old"))
        new_proxy = await proxy_scene.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        memory = proxy_scene.endpoint_state_store
        await scene.until(lambda: memory.data is not None and b"10.0.5.1" in memory.data)
        await scene.kill("umpire")
        await scene.kill("a1")
        restarted_proxy = await proxy_scene.proxy(ProcessMemory())
        await anyio.sleep(60)
        assert restarted_proxy.running.endpoints_known.is_set() and not restarted_proxy.listening.is_set()
        await scene.relay("a1")
        with anyio.fail_after(60):
            await restarted_proxy.listening.wait()
        assert await proxy_scene.ask("/old") == 200

    run_scene(scenario)


def test_proxy_restarted_after_a_change_starts_with_the_new_configuration() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoint_entries("one") + configuration_entries("/old"))
        state_store = ProcessMemory()
        new_proxy = await proxy_scene.proxy(state_store)
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        await scene.until(lambda: state_store.data is not None and b"/old" in state_store.data)
        await anyio.sleep(3)
        await scene.kill("umpire")
        scene.origins[-1].commit(configuration_entries("/new"))
        await anyio.sleep(100)
        restarted_proxy = await proxy_scene.proxy(state_store)
        with anyio.fail_after(60):
            await restarted_proxy.listening.wait()
        assert [await proxy_scene.ask("/old"), await proxy_scene.ask("/new")] == [404, 200]

    run_scene(scenario)


def test_unreadable_remembered_state_is_logged_and_ignored() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoint_entries("one") + configuration_entries("/old"))
        state_store = ProcessMemory()
        state_store.data = b'{"v":1,"topics":{"config/pay":{"version":[1,"x"],"entries":{}}}}'
        new_proxy = await proxy_scene.proxy(state_store)
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        assert scene.logged("umpire", LogEvent.REMEMBERED_STATE_UNREADABLE)
        assert await proxy_scene.ask("/old") == 200

    run_scene(scenario)


def test_endpoint_of_two_services_stays_until_both_services_remove_it() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        origin = scene.origins[-1]
        origin.commit(endpoint_entries("one", "two") + endpoint_entries("one", service="sell"))
        new_proxy = await proxy_scene.proxy(ProcessMemory(), ("pay", "sell"))
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        known_servers = new_proxy.running.runtime.router.endpoints.servers
        assert set(known_servers) == set(SERVERS.values())
        origin.commit([("boxes/pay", SERVERS["one"], None), ("boxes/pay", SERVERS["two"], None)])
        await scene.until(lambda: set(known_servers) == {SERVERS["one"]})
        origin.commit([("boxes/sell", SERVERS["one"], None)])
        await scene.until(lambda: not known_servers)

    run_scene(scenario)


def test_malformed_endpoints_are_skipped_and_the_others_applied() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        origin = scene.origins[-1]
        invalid = [("boxes/pay", "10.0.5.9:80", server(state="tired")), ("boxes/pay", "nowhere", server())]
        origin.commit([*endpoint_entries("one"), *invalid])
        new_proxy = await proxy_scene.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        assert set(new_proxy.running.runtime.router.endpoints.servers) == {SERVERS["one"]}
        (fields,) = scene.logged("umpire", LogEvent.ENDPOINTS_MALFORMED)
        assert fields["count"] == 2
        assert await proxy_scene.ask("/pay") == 200

    run_scene(scenario)


def test_age_of_an_endpoint_includes_the_time_since_it_was_reported() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        client = scene.add_host("asker", "10.0.8.1", "s")

        async def post(start: str, age: float) -> None:
            change = {"topic": "boxes/pay", "key": SERVERS["one"], "value": server(start=start, age=age)}
            body = msgspec.json.encode({"v": 1, "changes": [change]})
            assert (await call(client, ORIGIN, "POST", "/v1/changes", body))[0] == 200

        await post("x", 2.0)
        await anyio.sleep(50)
        before = scene.origins[-1].store.as_of
        # The same start reported again changes nothing.
        await post("x", 52.3)
        assert scene.origins[-1].store.as_of == before
        new_proxy = await proxy_scene.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        proxy_runtime = new_proxy.running.runtime
        assert (
            51 < proxy_runtime.now() - proxy_runtime.router.endpoints.servers[SERVERS["one"]].started_at < 56
        )

    run_scene(scenario)


def test_route_of_the_file_is_restored_when_its_replacement_is_removed() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        origin = scene.origins[-1]
        replacement = [
            ("config/pay", "routes", {"routes": [{**ROUTE, "name": "pay", "match": {"path": "/other"}}]})
        ]
        origin.commit(endpoint_entries("one") + replacement)
        new_proxy = await proxy_scene.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        assert [await proxy_scene.ask("/pay"), await proxy_scene.ask("/other")] == [404, 200]
        objective = new_proxy.running.runtime.router.settings.routes["pay"].latency_objective
        origin.commit([("config/pay", "routes", None)])
        await scene.until(lambda: new_proxy.routes.by_service["pay"] == [])
        assert [await proxy_scene.ask("/pay"), await proxy_scene.ask("/other")] == [200, 404]
        assert new_proxy.running.runtime.router.settings.routes["pay"].latency_objective == objective == 0.5

    run_scene(scenario)


def test_leasing_proxy_that_subscribes_to_relays_serves_requests_and_releases_its_leases_on_stop() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        scene.origins[-1].commit(endpoint_entries("one") + configuration_entries("/new"))
        file_settings = proxy_terms(
            listen="10.0.6.1:8000", launcher={"address": "10.0.4.1:7002"}
        ).model_dump()
        replicas = {number: f"10.0.3.{number}:7299" for number in (1, 2, 3)}
        file_settings["ownership"] = {"switched_on": True, "keepers": replicas}
        relay_endpoints = [{"name": "a1", "address": RELAYS["a1"], "zone": "a"}]
        file_settings["relays"] = {"switched_on": True, "at": relay_endpoints, "services": ["pay"]}
        config = ProxyFile.model_validate(file_settings).without_discovery()
        proxy_network = scene.add_host("umpire", "10.0.6.1", "a")
        log = scene.logger_for("umpire")
        leasing_proxy = LeasingProxy(config, net=proxy_network, seed=1, log=log)  # type: ignore[arg-type]
        new_proxy = SubscribedProxy(
            config,
            leasing_proxy,
            leasing_proxy.proxy_instance,
            network=proxy_network,
            wall=scene.wall,
            log=log,
        )
        async with new_proxy:
            with anyio.fail_after(60):
                await new_proxy.listening.wait()
            assert await proxy_scene.ask("/new") == 200
            with anyio.fail_after(60):
                await new_proxy.stop()
            assert leasing_proxy.released.is_set()

    run_scene(scenario)


def test_new_epoch_of_the_origin_keeps_routes_and_endpoints_in_force() -> None:
    async def scenario(scene: Scene) -> None:
        proxy_scene = await start_proxy_scene(scene, "a1")
        changes = endpoint_entries("one") + configuration_entries("/new")
        scene.origins[-1].commit(changes)
        await scene.origin_storage.append(changes, [], dict)
        new_proxy = await proxy_scene.proxy(ProcessMemory())
        with anyio.fail_after(60):
            await new_proxy.listening.wait()
        before = new_proxy.subscriber.store.version("config/pay")
        await scene.kill("source")
        await scene.origin()
        await scene.until(lambda: new_proxy.subscriber.store.version("config/pay") > before)
        await scene.until(lambda: new_proxy.subscriber.acknowledgements.in_force["config/pay"] > before)
        assert await proxy_scene.ask("/new") == 200 and proxy_scene.requested_servers == ["one"]
        for number in range(3):
            scene.origins[-1].commit(configuration_entries(f"/new{number}"))
        await scene.until(
            lambda: (
                [current_route.name for current_route, _ in new_proxy.routes.by_service["pay"]] == ["new2"]
            )
        )
        assert [await proxy_scene.ask("/new"), await proxy_scene.ask("/new2")] == [404, 200]

    run_scene(scenario)
