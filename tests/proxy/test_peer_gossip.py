"""What peers tell: sound rows and standings are taken, all else is dropped with one line in the log."""

from __future__ import annotations

from typing import Any

import anyio
import msgspec
import pytest

from gullmount.decisions.attribution import Assessment, Cause, Finding, SampleRow
from gullmount.decisions.model import Endpoint, EndpointState, EndpointUpdateKind, Vote
from gullmount.net import MemoryNet, Stream, TcpNet
from gullmount.proxy.generic_adapter import GenericAdapter
from gullmount.proxy.peer_gossip import MAX_PEER_MESSAGE_BYTES, PeerGossip
from gullmount.proxy.release_controller_client import ReleaseControllerClient
from gullmount.proxy.runtime import StreamingRuntime
from tests.support.proxy_edge import make_proxy_config

PEERS = {0: "p0:1", 1: "p1:1", 2: "p2:1"}
ROW: list[Any] = [0, "b1", 2, "a", "pay", 4, 1, 3, -6.0, 13.0]


class Wire:
    """Datagrams to hear, and those sent."""

    def __init__(self, heard: list[tuple[bytes, str]]) -> None:
        self.heard = heard
        self.sent: list[tuple[bytes, str]] = []

    async def receive(self) -> tuple[bytes, str]:
        if not self.heard:
            raise anyio.ClosedResourceError
        return self.heard.pop(0)

    async def send(self, data: bytes, address: str) -> None:
        self.sent.append((data, address))

    async def aclose(self) -> None:
        pass


def played(
    *heard: tuple[bytes, str], tell: list[SampleRow] | Assessment | None = None
) -> tuple[StreamingRuntime, Wire, list[str]]:
    log: list[str] = []
    wire = Wire(list(heard))
    told = make_proxy_config(number=0, of=3)
    told = told.model_copy(update={"releases": told.releases.model_copy(update={"at_once": 2})})

    async def scene() -> StreamingRuntime:
        async with anyio.create_task_group() as tasks:
            grounds = told.instance_settings(1, False)
            note = lambda event, **fields: log.append(event)  # noqa: E731
            host = StreamingRuntime(GenericAdapter(told), grounds, MemoryNet(), tasks, note)
            host.router.update_endpoints(
                EndpointUpdateKind.SNAPSHOT, [Endpoint("b1", "a", 0, 2, EndpointState.READY, 1.0, 0.0)]
            )
            peers = PeerGossip(host, wire, PEERS)
            if isinstance(tell, list):
                peers.send_samples(1, tell)
            elif tell is not None:
                peers.send_assessment(1, tell)
            await peers.receive_forever()
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        return host

    return anyio.run(scene), wire, log


def message(**fields: Any) -> bytes:
    return msgspec.json.encode({"v": 1, "from": 2, **fields})


def tries(host: StreamingRuntime) -> int:
    assert host.router.attribution is not None
    return sum(
        sample.sums.attempts
        for samples in host.router.attribution.evidence.slices.values()
        for sample in samples.values()
    )


def test_sound_rows_add_to_the_evidence() -> None:
    host, _, log = played((message(rows=[ROW, ROW]), "p2:1"))
    assert tries(host) == 8 and log == []


@pytest.mark.parametrize(
    "row",
    [
        [0, "unknown", *ROW[2:]],
        [0, "b1", 3, *ROW[3:]],
        [0, "b1", 2, "a", "no route", *ROW[5:]],
        [*ROW[:5], 4, 5, 3, -6.0, 13.0],
        [*ROW[:5], 4, -1, 3, -6.0, 13.0],
        [*ROW[:5], 10**9, 0, 0, 0.0, 0.0],
        [*ROW[:8], -600.0, 13.0],
        [10**9, *ROW[1:]],
    ],
)
def test_rows_that_do_not_add_up_are_left_out(row: list[Any]) -> None:
    host, _, _ = played((message(rows=[row]), "p2:1"))
    assert tries(host) == 0


@pytest.mark.parametrize(
    ("data", "source"),
    [
        (message(rows=[ROW]), "p1:1"),
        (message(rows=[ROW[:-1]]), "p2:1"),
        (message(rows="x"), "p2:1"),
        (message(rows=[[None] * 10]), "p2:1"),
        (message(standing={}), "p2:1"),
        (message(standing=[1]), "p2:1"),
        (message(), "p2:1"),
        (message(rows=[ROW], pad="x" * MAX_PEER_MESSAGE_BYTES), "p2:1"),
        (b"\xff{", "p2:1"),
    ],
)
def test_what_is_not_understood_is_dropped_with_one_line(data: bytes, source: str) -> None:
    host, _, log = played((data, source))
    assert tries(host) == 0 and log == ["peer_message_invalid"]


def test_rows_told_fit_a_message_and_are_understood() -> None:
    rows = [
        SampleRow(1, f"127.255.255.{n}:65535", 12, "quezon-city", "submit-exam", 9, 1, 8, -20.123, 99.999)
        for n in range(100)
    ]
    _, wire, _ = played(tell=rows)
    assert all(len(data) <= MAX_PEER_MESSAGE_BYTES for data, _ in wire.sent)
    told = [
        row
        for data, _ in wire.sent
        for row in msgspec.convert(msgspec.json.decode(data)["rows"], list[SampleRow])
    ]
    assert told == rows


def test_standing_comes_back_as_it_was_told() -> None:
    assessment = Assessment(
        Finding(Cause.BUILD, 2, "fails", "a", "pay"), {2: "why " * 100}, {3: 1}, {2: ["pay"]}, 3, 7
    )
    _, wire, _ = played(tell=assessment)
    ((data, _),) = wire.sent
    assert data.count(b'"token":7') == 1
    data = data.replace(b'"token":7', b'"token":0')
    assert len(data) <= MAX_PEER_MESSAGE_BYTES
    host, _, log = played((data.replace(b'"from":0', b'"from":1'), "p1:1"))
    assert log == []
    assert host.router.attribution is not None
    heard, _ = host.router.attribution.evaluators.received[1]
    assert (heard.promotable_stages, heard.failing_routes, heard.reduced_build) == ({3: 1}, {2: ["pay"]}, 3)
    assert heard.finding.key == assessment.finding.key and heard.rollback_reasons[2].startswith("why why")


def test_messages_sent_at_once_on_a_socket_all_come() -> None:
    async def scene() -> list[bytes]:
        net, got = TcpNet(), []
        one, two = await net.datagrams("127.97.1.1:7100"), await net.datagrams("127.97.1.2:7100")
        async with anyio.create_task_group() as tasks:
            for number in range(50):
                tasks.start_soon(one.send, b"%d" % number, "127.97.1.2:7100")
            with anyio.move_on_after(5):
                while len(got) < 50:
                    got.append((await two.receive())[0])
        await one.aclose()
        await two.aclose()
        return got

    assert len(anyio.run(scene)) == 50


@pytest.mark.parametrize(
    ("body", "failed"),
    [
        (b"", [3]),
        (b"x\n", [3]),
        (b'{"v":1,"news":{"build":2,"stage":0,"phase":"on_trial","cap":0.1}}\n' * 2, []),
    ],
)
def test_vote_answered_without_news_is_cast_again(body: bytes, failed: list[int]) -> None:
    told = make_proxy_config(launcher={"address": "l:1"})

    async def answer(stream: Stream) -> None:
        await stream.receive()
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)

    async def scene() -> list[int]:
        again: list[int] = []
        net = MemoryNet()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(net.serve, "l:1", answer)
            await anyio.sleep(0.01)
            grounds = told.instance_settings(1, False)
            host = StreamingRuntime(GenericAdapter(told), grounds, net, tasks, lambda event, **fields: None)
            host.router.vote_failed = again.append  # type: ignore[method-assign,assignment]
            await ReleaseControllerClient(host, net, told.launcher, lambda news: None).send_vote(
                3, 0, Vote.ROLLBACK
            )
            tasks.cancel_scope.cancel()
        return again

    assert anyio.run(scene) == failed
