"""An origin, relays and proxies as processes on real sockets, killed, paused and fed with bad files."""

from __future__ import annotations

import json
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
from anyio.abc import SocketAttribute

from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.streams import (
    SEND_BUFFER_BYTES,
    UNACKNOWLEDGED_TIMEOUT_MS,
    WrappedStream,
    limit_kernel_buffers,
)
from gullmount.net import STREAM_ERRORS, Stream, TcpNet
from gullmount.rpc import CallError, call
from tests.support.distribution_processes import (
    LOOK,
    WITHIN,
    Fleet,
    endpoint_changes,
    host,
    origin_at,
    relay_at,
    run,
    run_scene,
)
from tests.support.proxy_edge import make_proxy_config as proxy_terms


class Held(WrappedStream):
    """Is read up to so many bytes, then not before it is let go."""

    def __init__(self, inner: Stream, most: int, go: anyio.Event, reached: anyio.Event) -> None:
        super().__init__(inner)
        self.most = most
        self.go = go
        self.reached = reached
        self.read = 0

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if self.read >= self.most:
            self.reached.set()
            await self.go.wait()
        data = await self.inner.receive(max_bytes)
        self.read += len(data)
        return data


class HoldingNet(TcpNet):
    def __init__(self, most: int) -> None:
        super().__init__()
        self.most = most
        self.go = anyio.Event()
        self.reached = anyio.Event()

    async def connect(self, address: str) -> Stream:
        return Held(await super().connect(address), self.most, self.go, self.reached)


def test_relay_killed_while_it_sends_a_snapshot(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        await made.change(*endpoint_changes(1200, size=2000))
        await made.configure(3)
        net = HoldingNet(200_000)
        one = made.subscriber("one", "a1", "a2", net=net)
        with anyio.fail_after(WITHIN):
            await net.reached.wait()
        assert not one.synced.is_set()
        serving = [name for name in ("a1", "a2") if await serves(made, name)]
        assert len(serving) == 1
        await made.kill(serving[0])
        net.most = 1 << 30
        net.go.set()
        await made.until(one.synced.is_set)
        got = made.got["one"]
        assert len(got.endpoints_of["pay"]) == 1200 and got.number == {"pay": 3}
        assert [one for one in got.calls if one[0] == "boxes"] == [("boxes", "pay", True, 1200)]

    run_scene(tmp_path, scene, "a1", "a2")


async def serves(made: Fleet, relay: str) -> bool:
    """Whether that relay counts a subscriber."""
    _, answer = await call(made.net, relay_at(relay), "GET", "/v1/in-force")
    return bool(msgspec.json.decode(answer)["zones"].get("a", {}).get("followers"))


def test_subscriber_at_a_byte_a_second_does_not_slow_others(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        quick = [made.subscriber(f"u{number}", "a1") for number in range(4)]
        for one in quick:
            await made.until(one.synced.is_set)
        slow = await made.net.connect(relay_at("a1"))
        body = b'{"v":1,"follower":"slow","zone":"a","have":{"boxes/pay":[0,0]}}'
        await slow.send(
            b"POST /v1/follow HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
        )

        async def read() -> None:
            try:
                while True:
                    await slow.receive(1)
                    await anyio.sleep(1)
            except STREAM_ERRORS:
                pass

        made.tasks.start_soon(read)
        ended = LogEvent.STREAM_STALLED
        number = 0
        with anyio.fail_after(3 * WITHIN):
            while not made.logged("a1", ended):
                number += 1
                await made.change(*endpoint_changes(300, size=1000 + number))
                await made.configure(number)
                await made.until(
                    lambda number=number: all(got.number.get("pay") == number for got in made.got.values())
                )
        assert all(one.counters.moves == 0 for one in quick)
        assert len(made.logged("a1", ended)) == 1

    run_scene(tmp_path, scene, "a1")


def test_proxy_paused_for_longer_than_the_history_catches_up(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        await made.change(server_change(), config("/old"))
        await made.proxy()
        assert await made.ask("/old") == 200
        made.send("umpire", signal.SIGSTOP)
        for number in range(200):  # more ends than are remembered
            key = f"{host(7)}:{9000 + number}"
            await made.change(("boxes/pay", key, plain()))
            await made.change(("boxes/pay", key, None))
        version = await made.change(config("/new"))
        made.send("umpire", signal.SIGCONT)
        await made.lowest(version)
        assert [await made.ask("/old"), await made.ask("/new")] == [404, 200]
        assert not made.logged("umpire", LogEvent.CONFIGURATION_UNUSABLE)

    run_scene(tmp_path, scene, "a1", "a2")


def plain() -> dict[str, Any]:
    return {"zone": "a", "cell": 0, "build": 1, "state": "ready", "power": 1.0, "start": None, "age": None}


def server_change() -> tuple[str, str, Any]:
    return "boxes/pay", f"{host(5)}:9001", plain()


def config(*paths: str, **changes: Any) -> tuple[str, str, Any]:
    route = {"objective": 0.5, "timeout": 2, "repeats": "retriable", **changes}
    return (
        "config/pay",
        "routes",
        {"routes": [{**route, "name": path[1:], "match": {"path": path}} for path in paths]},
    )


def test_change_reverted_and_made_again_while_a_proxy_is_paused(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        await made.change(server_change(), config("/old"))
        await made.proxy()
        made.send("umpire", signal.SIGSTOP)
        for path in ("/new", "/old", "/new"):
            version = await made.change(config(path))
        made.send("umpire", signal.SIGCONT)
        await made.lowest(version)
        assert [await made.ask("/old"), await made.ask("/new")] == [404, 200]

    run_scene(tmp_path, scene, "a1")


def test_restarted_origin_has_lower_revisions_of_a_higher_epoch(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        for number in range(1, 40):
            first = await made.configure(number)
        one, got = made.subscriber("one", "a1", "a2"), made.got
        await made.until(one.synced.is_set)
        await made.kill("source")
        other = made.subscriber("two", "a1", "a2")
        await made.until(lambda: other.synced.is_set() or other.connected_relay is not None)
        await made.origin()
        version = await made.configure(40)
        assert version[0] > first[0] and version[1] < first[1]
        await made.until(lambda: all(one.number.get("pay") == 40 for one in got.values()))
        for one_got in got.values():
            numbers = [number for _, number in one_got.numbers if number]
            assert numbers == sorted(numbers) and numbers[-1] == 40
        await made.lowest(version)

    run_scene(tmp_path, scene, "a1", "a2")


def test_paused_relay_resumes_beside_one_that_is_ahead(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        await made.configure(1)
        both = [made.subscriber(f"u{number}", "a1", "a2") for number in range(8)]
        for one in both:
            await made.until(one.synced.is_set)
        await made.until(
            lambda: any(one.connected_relay and one.connected_relay.address == relay_at("a1") for one in both)
        )
        made.send("a1", signal.SIGSTOP)
        await made.configure(2)
        await made.until(lambda: all(got.number["pay"] == 2 for got in made.got.values()))
        await made.until(
            lambda: all(one.connected_relay and one.connected_relay.address == relay_at("a2") for one in both)
        )
        made.send("a1", signal.SIGCONT)
        late = made.subscriber("late", "a1")
        await made.until(late.synced.is_set)
        assert made.got["late"].numbers == [("pay", 2)]
        assert made.logged("a1", LogEvent.PROCESS_PAUSE_DETECTED) and made.logged(
            "a1", LogEvent.SENDING_RESUMED
        )
        for got in made.got.values():
            assert [number for _, number in got.numbers] == sorted(number for _, number in got.numbers)

    run_scene(tmp_path, scene, "a1", "a2")


def test_half_a_line_and_a_revision_from_far_ahead_are_not_applied(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        version = await made.configure(7)
        false, half = f"{host(8)}:7401", f"{host(9)}:7401"
        one = {
            "topic": "config/pay",
            "whole": True,
            "version": [2**50, 2**50],
            "entries": {"routes": {"n": 9}},
        }
        line = json.dumps({"v": 1, "kind": "told", "as_of": [2**50, 2**50], "topics": [one]}).encode() + b"\n"
        true = line.replace(b"%d" % 2**50, b"%d" % version[0])

        def speaks(said: bytes) -> Callable[[Stream], Awaitable[None]]:
            async def speak(stream: Stream) -> None:
                try:
                    await stream.receive()
                    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                    await stream.send(head + b"%x\r\n%s\r\n" % (len(said), said))
                    await anyio.sleep(0.2)
                    await stream.aclose()
                except STREAM_ERRORS:
                    pass

            return speak

        await made.serve(false, speaks(line))
        await made.serve(half, speaks(true[: len(true) // 2]))
        for name, at in (("far", false), ("half", half)):
            subscriber = made.subscriber(name, at, "a1")
            await made.until(subscriber.synced.is_set)
            assert made.got[name].numbers == [("pay", 7)]
        await made.configure(8)
        await made.until(lambda: all(got.number["pay"] == 8 for got in made.got.values()))

    run_scene(tmp_path, scene, "a1")


def test_kernel_buffers_of_a_stream_are_limited() -> None:
    async def play() -> None:
        async def serve(stream: Stream) -> None:
            limit_kernel_buffers(stream)
            raw = stream.extra(SocketAttribute.raw_socket)
            assert raw.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) <= 2 * SEND_BUFFER_BYTES
            assert raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == UNACKNOWLEDGED_TIMEOUT_MS
            await stream.send(b"held")
            await stream.aclose()

        net, started = TcpNet(), anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(net.serve, f"{host(9)}:7409", serve, started)
            await started.wait()
            assert await (await net.connect(f"{host(9)}:7409")).receive() == b"held"
            tasks.cancel_scope.cancel()

    anyio.run(play)


def test_relay_that_is_stopped_ends_its_streams_at_once(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        await made.change(*endpoint_changes(50))
        every = [made.subscriber(f"u{number}", "a1", "a2") for number in range(20)]
        for one in every:
            await made.until(one.synced.is_set)
        assert {one.connected_relay.address for one in every if one.connected_relay} == {
            relay_at("a1"),
            relay_at("a2"),
        }
        made.send("a1", signal.SIGTERM)
        await made.until(lambda: made.ended("a1"))
        assert made.processes["a1"].process.poll() == 0
        await made.until(
            lambda: all(
                one.connected_relay and one.connected_relay.address == relay_at("a2") for one in every
            )
        )
        assert all(one.counters.snapshots == 2 for one in every)  # each went with what it had
        await made.configure(1)
        await made.until(lambda: all(got.number.get("pay") == 1 for got in made.got.values()))

    run_scene(tmp_path, scene, "a1", "a2")


def test_proxy_starts_with_what_is_in_force_and_names_what_it_rejects(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        await made.change(server_change(), config("/old"))
        await made.proxy()
        assert await made.ask("/old") == 200
        version = await made.change(config("/bad", objective=-1))
        with anyio.fail_after(WITHIN):
            while not (named := (await made.zone()).get("unable_names")):
                await anyio.sleep(LOOK)
        assert named == [
            ["umpire-0", "config/pay", version, "routes.0.objective: Input should be greater than 0"]
        ]
        assert await made.ask("/old") == 200
        made.send("umpire", signal.SIGTERM)
        await made.until(lambda: made.ended("umpire"))
        assert made.processes["umpire"].process.poll() == 0
        await made.change(config("/new"))
        await made.begin_umpire(json.loads((tmp_path / "umpire.yaml").read_text()))
        assert [await made.ask("/old"), await made.ask("/new")] == [404, 200]

    run_scene(tmp_path, scene, "a1")


def test_proxy_without_relays_waits_and_starts_from_remembered_state(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        await made.change(server_change(), config("/old"))
        await made.proxy()
        kept = tmp_path / "in-force.json"
        await made.until(
            lambda: kept.exists() and b"/old" in kept.read_bytes() and b"9001" in kept.read_bytes()
        )
        await made.kill("umpire")
        await made.kill("a1")
        told = json.loads((tmp_path / "umpire.yaml").read_text())
        told["relays"]["start_within"] = 3.0
        await made.begin_umpire(told)
        assert made.logged("umpire", LogEvent.STARTED_FROM_REMEMBERED_STATE)
        assert await made.ask("/old") == 200

    run_scene(tmp_path, scene, "a1")


@pytest.mark.parametrize(
    ("command", "text", "said"),
    [
        ("relay", "name: a\nzones: [a]\nzone: a\nlisten: 127.0.0.1:7\n", "1: source: Field required"),
        (
            "relay",
            "name: a\nzones: [a]\nzone: b\nlisten: 127.0.0.1:7\nsource: 127.0.0.1:8\n",
            "3: zone: not among",
        ),
        ("source", "listen: 127.0.0.1:7\nzones: [a]\nkept: x\n", "1: relays: Field required"),
        ("source", "listen: 127.0.0.1:7\nzones: [a]\nkept: x\nrelays: {r: b}\n", "4: relays: r: zone 'b'"),
        ("source", "listen: 127.0.0.1:7\nzones: [a]\nkept: x\nrelays: {r: a}\nhurry: 1\n", "5: hurry: Extra"),
    ],
)
def test_bad_file_is_refused_at_the_start(tmp_path: Path, command: str, text: str, said: str) -> None:
    path = tmp_path / "file.yaml"
    path.write_text(text)
    done = run(command, str(path))
    assert done.returncode == 2 and f"file.yaml:{said}" in done.stderr


def test_origin_with_a_damaged_file_does_not_start(tmp_path: Path) -> None:
    (tmp_path / "kept").write_text("nonsense")
    told = {"listen": origin_at(), "zones": ["a"], "relays": {"a1": "a"}, "kept": str(tmp_path / "kept")}
    path = tmp_path / "source.yaml"
    path.write_text(json.dumps(told))
    done = run("source", str(path))
    assert done.returncode == 2 and "kept is damaged" in done.stderr


def test_check_accepts_both_sections_and_names_what_is_wrong(tmp_path: Path) -> None:
    data = proxy_terms().model_dump(mode="json")
    keepers = {number: f"127.0.0.1:720{number}" for number in (1, 2, 3)}
    data["ownership"] = {"switched_on": True, "keepers": keepers}
    at = [{"name": "r", "address": "127.0.0.1:7401", "zone": "a"}]
    data["relays"] = {"switched_on": True, "at": at, "services": ["pay"]}
    path = tmp_path / "umpire.yaml"
    path.write_text(json.dumps(data))
    assert run("check", str(path)).returncode == 0
    data["relays"]["services"] = []
    path.write_text(json.dumps(data, indent=1))
    done = run("check", str(path))
    assert done.returncode == 2 and "relays.services: List should have at least 1 item" in done.stderr


def test_refusal_has_retry_after(tmp_path: Path) -> None:
    async def scene(made: Fleet) -> None:
        await made.kill("source")
        path = tmp_path / "a2.yaml"
        told = {"name": "a2", "zones": ["a"], "zone": "a", "listen": relay_at("a2"), "source": origin_at()}
        path.write_text(json.dumps(told))
        await made.begin("a2", "relay", told)
        one = made.subscriber("one", "a2")
        await anyio.sleep(0)
        body = b'{"v":1,"follower":"x","zone":"a","have":{"config/pay":[0,0]}}'
        assert (await call(made.net, relay_at("a2"), "POST", "/v1/follow", body))[0] == 503
        assert not one.synced.is_set() and not made.got["one"].calls
        with pytest.raises(CallError):
            await call(made.net, origin_at(), "GET", "/v1/in-force")
        await made.origin()
        await made.until(one.synced.is_set)

    run_scene(tmp_path, scene)
