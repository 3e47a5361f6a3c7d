"""Tests that valid messages of peers are applied and all others are dropped with one log line."""

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


class FakeDatagrams:
    """Delivers the given datagrams, then closes; records those that are sent."""

    def __init__(self, incoming: list[tuple[bytes, str]]) -> None:
        self.incoming = incoming
        self.sent: list[tuple[bytes, str]] = []

    async def receive(self) -> tuple[bytes, str]:
        if not self.incoming:
            raise anyio.ClosedResourceError
        return self.incoming.pop(0)

    async def send(self, data: bytes, address: str) -> None:
        self.sent.append((data, address))

    async def aclose(self) -> None:
        pass


def run_gossip(
    *incoming: tuple[bytes, str], outgoing: list[SampleRow] | Assessment | None = None
) -> tuple[StreamingRuntime, FakeDatagrams, list[str]]:
    """Send `outgoing` and receive `incoming`; return the runtime, the datagrams and the logged events."""
    log: list[str] = []
    fake_datagrams = FakeDatagrams(list(incoming))
    config = make_proxy_config(number=0, of=3)
    config = config.model_copy(update={"releases": config.releases.model_copy(update={"at_once": 2})})

    async def exchange_messages() -> StreamingRuntime:
        async with anyio.create_task_group() as tasks:
            settings = config.instance_settings(1, False)
            record_event = lambda event, **fields: log.append(event)  # noqa: E731
            runtime = StreamingRuntime(GenericAdapter(config), settings, MemoryNet(), tasks, record_event)
            runtime.router.update_endpoints(
                EndpointUpdateKind.SNAPSHOT, [Endpoint("b1", "a", 0, 2, EndpointState.READY, 1.0, 0.0)]
            )
            gossip = PeerGossip(runtime, fake_datagrams, PEERS)
            if isinstance(outgoing, list):
                gossip.send_samples(1, outgoing)
            elif outgoing is not None:
                gossip.send_assessment(1, outgoing)
            await gossip.receive_forever()
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()
        return runtime

    return anyio.run(exchange_messages), fake_datagrams, log


def message(**fields: Any) -> bytes:
    """Return an encoded message of peer 2."""
    return msgspec.json.encode({"v": 1, "from": 2, **fields})


def count_attempts(runtime: StreamingRuntime) -> int:
    assert runtime.router.attribution is not None
    return sum(
        sample.sums.attempts
        for samples in runtime.router.attribution.evidence.slices.values()
        for sample in samples.values()
    )


def test_valid_rows_are_added_to_the_evidence() -> None:
    runtime, _, log = run_gossip((message(rows=[ROW, ROW]), "p2:1"))
    assert count_attempts(runtime) == 8 and log == []


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
def test_implausible_rows_are_ignored(row: list[Any]) -> None:
    runtime, _, _ = run_gossip((message(rows=[row]), "p2:1"))
    assert count_attempts(runtime) == 0


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
def test_invalid_message_is_dropped_and_logged_once(data: bytes, source: str) -> None:
    runtime, _, log = run_gossip((data, source))
    assert count_attempts(runtime) == 0 and log == ["peer_message_invalid"]


def test_sent_rows_fit_the_message_limit_and_decode_unchanged() -> None:
    rows = [
        SampleRow(1, f"127.255.255.{n}:65535", 12, "quezon-city", "submit-exam", 9, 1, 8, -20.123, 99.999)
        for n in range(100)
    ]
    _, fake_datagrams, _ = run_gossip(outgoing=rows)
    assert all(len(data) <= MAX_PEER_MESSAGE_BYTES for data, _ in fake_datagrams.sent)
    decoded_rows = [
        row
        for data, _ in fake_datagrams.sent
        for row in msgspec.convert(msgspec.json.decode(data)["rows"], list[SampleRow])
    ]
    assert decoded_rows == rows


def test_sent_assessment_fits_the_message_limit_and_decodes() -> None:
    assessment = Assessment(
        Finding(Cause.BUILD, 2, "fails", "a", "pay"), {2: "why " * 100}, {3: 1}, {2: ["pay"]}, 3, 7
    )
    _, fake_datagrams, _ = run_gossip(outgoing=assessment)
    ((data, _),) = fake_datagrams.sent
    assert data.count(b'"token":7') == 1
    data = data.replace(b'"token":7', b'"token":0')
    assert len(data) <= MAX_PEER_MESSAGE_BYTES
    runtime, _, log = run_gossip((data.replace(b'"from":0', b'"from":1'), "p1:1"))
    assert log == []
    assert runtime.router.attribution is not None
    decoded, _ = runtime.router.attribution.evaluators.received[1]
    assert (
        decoded.promotable_stages,
        decoded.failing_routes,
        decoded.reduced_build,
    ) == ({3: 1}, {2: ["pay"]}, 3)
    assert decoded.finding.key == assessment.finding.key and decoded.rollback_reasons[2].startswith("why why")


def test_datagrams_sent_concurrently_on_one_socket_all_arrive() -> None:
    async def exchange_datagrams() -> list[bytes]:
        net, arrived = TcpNet(), []
        sender, receiver = await net.datagrams("127.97.1.1:7100"), await net.datagrams("127.97.1.2:7100")
        async with anyio.create_task_group() as tasks:
            for number in range(50):
                tasks.start_soon(sender.send, b"%d" % number, "127.97.1.2:7100")
            with anyio.move_on_after(5):
                while len(arrived) < 50:
                    arrived.append((await receiver.receive())[0])
        await sender.aclose()
        await receiver.aclose()
        return arrived

    assert len(anyio.run(exchange_datagrams)) == 50


@pytest.mark.parametrize(
    ("body", "failed"),
    [
        (b"", [3]),
        (b"x\n", [3]),
        (b'{"v":1,"news":{"build":2,"stage":0,"phase":"on_trial","cap":0.1}}\n' * 2, []),
    ],
)
def test_vote_response_without_release_status_reports_a_failed_vote(body: bytes, failed: list[int]) -> None:
    config = make_proxy_config(launcher={"address": "l:1"})

    async def serve_vote_response(stream: Stream) -> None:
        await stream.receive()
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)

    async def send_one_vote() -> list[int]:
        failed_builds: list[int] = []
        net = MemoryNet()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(net.serve, "l:1", serve_vote_response)
            await anyio.sleep(0.01)
            settings = config.instance_settings(1, False)
            runtime = StreamingRuntime(
                GenericAdapter(config), settings, net, tasks, lambda event, **fields: None
            )
            runtime.router.vote_failed = failed_builds.append  # type: ignore[method-assign,assignment]
            await ReleaseControllerClient(runtime, net, config.launcher, lambda status: None).send_vote(
                3, 0, Vote.ROLLBACK
            )
            tasks.cancel_scope.cancel()
        return failed_builds

    assert anyio.run(send_one_vote) == failed
