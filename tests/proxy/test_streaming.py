"""Every row of the outcome table from real bytes, and what the client gets; in memory and on sockets."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from gullmount.decisions.model import Outcome
from gullmount.net import Net, Stream, abort
from gullmount.proxy.outcomes import AttemptEnd, attempt_outcome
from tests.support.proxy_edge import (
    OK_RESPONSE,
    OVERLOADED_RESPONSE,
    ProxyFixture,
    ServerScript,
    connection_refused,
    make_proxy_config,
    proxy_fixture,
    run_with_net,
)

both = pytest.mark.parametrize("virtual", [True, False], ids=["memory", "sockets"])
PAY = b"POST /pay HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\nx-patience-ms: 600\r\n\r\nabc"
LOOK = b"GET /look HTTP/1.1\r\nhost: x\r\nx-patience-ms: 600\r\n\r\n"
FLOW = b"GET /flow HTTP/1.1\r\nhost: x\r\nx-patience-ms: 600\r\n\r\n"


def says(*parts: bytes, then: str = "stay", pause: float = 0.0) -> ServerScript:
    async def script(stream: Stream) -> None:
        while True:
            await stream.receive()
            for part in parts:
                await stream.send(part)
                await anyio.sleep(pause)
            if then == "close":
                return
            if then == "reset":
                await abort(stream)
                return

    return script


async def hangs(stream: Stream) -> None:
    await stream.receive()
    await anyio.sleep(30)


async def closes_at_once(stream: Stream) -> None:
    """Accepts, and closes as soon as a byte came."""
    await stream.receive()


def asked(
    virtual: bool, scripts: dict[str, ServerScript], data: bytes, **changes: Any
) -> tuple[bytes, ProxyFixture]:
    kept: list[Any] = []

    async def scene(net: Net) -> None:
        async with proxy_fixture(net, scripts, **changes) as made:
            kept.extend([await made.send_and_read(data, 1.5), made])

    run_with_net(virtual, scene)
    return kept[0], kept[1]


CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"
ROWS: list[tuple[str, ServerScript, str, bytes]] = [
    ("nobody listens", connection_refused, "connect_failed", b"503"),
    ("no answer", hangs, "timeout", b"504"),
    ("closed before the head", closes_at_once, "reset", b"502"),
    ("reset before the head", says(then="reset"), "reset", b"502"),
    ("closed in the head", says(b"HTTP/1.1 200 OK\r\ncont", then="close"), "reset", b"502"),
    (
        "closed in a told body",
        says(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", then="close"),
        "reset",
        b"502",
    ),
    ("reset in a chunked body", says(CHUNKED, then="reset", pause=0.05), "reset", b"502"),
    ("closed in a chunked body", says(CHUNKED, then="close"), "reset", b"502"),
    ("no HTTP", says(b"SSH-2.0-box\r\n\r\n"), "error", b"502"),
    (
        "two lengths",
        says(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"),
        "error",
        b"502",
    ),
    ("another protocol", says(b"HTTP/1.1 101 Ok\r\nupgrade: x\r\n\r\n"), "error", b"502"),
    ("endless head", says(b"HTTP/1.1 200 OK\r\nx: " + b"y" * 80000), "error", b"502"),
    ("not begun", says(OVERLOADED_RESPONSE), "full", b"503"),
    ("503 without the mark", says(OVERLOADED_RESPONSE.replace(b"x-not-begun", b"x-other")), "error", b"503"),
    ("failed", says(b"HTTP/1.1 500 No\r\ncontent-length: 4\r\n\r\noops"), "error", b"500"),
    ("404 is an answer", says(b"HTTP/1.1 404 No\r\ncontent-length: 0\r\n\r\n"), "completed", b"404"),
    ("answered", says(OK_RESPONSE), "completed", b"200"),
    (
        "answered after a hint",
        says(b"HTTP/1.1 103 Hint\r\nlink: x\r\n\r\n" + OK_RESPONSE),
        "completed",
        b"200",
    ),
    ("answered until the end", says(b"HTTP/1.0 200 OK\r\n\r\nall", then="close"), "completed", b"200"),
]


@both
@pytest.mark.parametrize(
    ("script", "outcome", "status"), [row[1:] for row in ROWS], ids=[row[0] for row in ROWS]
)
def test_outcome_of_each_end(virtual: bool, script: ServerScript, outcome: str, status: bytes) -> None:
    got, made = asked(virtual, {"9001": script}, PAY)
    assert set(made.outcomes) == {outcome}
    assert len(made.outcomes) == 1 or outcome in ("full", "connect_failed")
    assert got.startswith(b"HTTP/1.1 " + status)
    assert got.count(b"HTTP/1.1 ") == 1
    word = (
        b"completed"
        if outcome == "completed"
        else b"shed"
        if outcome in ("full", "connect_failed")
        else b"errored"
    )
    assert b"gullmount-answer: " + word in got


def test_only_facts_prove_that_a_try_did_not_run() -> None:
    proofs = {Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.EXPIRED}
    unrun = {
        ending
        for ending in AttemptEnd
        if ending is not AttemptEnd.RESPONSE_COMPLETE and attempt_outcome(ending) in proofs
    }
    assert unrun == {
        AttemptEnd.CONNECT_REFUSED,
        AttemptEnd.CONNECT_TIMEOUT,
        AttemptEnd.DEADLINE_WHILE_CONNECTING,
        AttemptEnd.NO_CONNECTION_AVAILABLE,
        AttemptEnd.SERVER_WITHDRAWN,
        AttemptEnd.BODY_NOT_REPLAYABLE,
    }
    assert attempt_outcome(AttemptEnd.RESPONSE_COMPLETE, 503, not_begun=True) is Outcome.OVERLOADED
    assert attempt_outcome(AttemptEnd.RESPONSE_COMPLETE, 500, not_begun=True) is Outcome.ERROR


@both
def test_retriable_goes_to_another_box_and_non_retriable_does_not(virtual: bool) -> None:
    async def scene(net: Net) -> None:
        calls = []

        async def first_breaks(stream: Stream) -> None:
            await stream.receive()
            calls.append(1)
            if len(calls) > 1:
                await stream.send(OK_RESPONSE)

        async with proxy_fixture(net, {"9001": first_breaks, "9002": first_breaks}) as made:
            assert b" 200 " in await made.send_and_read(LOOK, 1.0)
            assert made.outcomes == ["reset", "completed"]
            calls.clear()
            assert b" 502 " in await made.send_and_read(PAY, 1.0)
            assert len(calls) == 1

    run_with_net(virtual, scene)


@both
def test_deduped_req_without_its_mark_goes_out_once(virtual: bool) -> None:
    mark = b"GET /mark HTTP/1.1\r\nhost: x\r\n%s\r\n"
    for header, again in ((b"", False), (b"x-mark: m1\r\n", True)):
        _, made = asked(virtual, {"9001": closes_at_once, "9002": closes_at_once}, mark % header)
        assert (len(made.outcomes) > 1) is again


@both
def test_kept_connection_is_used_again_and_a_closed_one_is_not(virtual: bool) -> None:
    async def scene(net: Net) -> None:
        connections = []

        async def one_more(stream: Stream) -> None:
            connections.append(stream)
            for _ in range(2):
                await stream.receive()
                await stream.send(OK_RESPONSE)

        async with proxy_fixture(net, {"9001": one_more}) as made:
            for _ in range(4):
                assert b" 200 " in await made.send_and_read(PAY, 0.3)
            assert len(connections) == 2
            assert made.outcomes == ["completed"] * 4

    run_with_net(virtual, scene)


def test_answer_in_the_same_turn_as_the_time_out_counts_once() -> None:
    async def scene(net: Net) -> None:
        async def on_the_dot(stream: Stream) -> None:
            await stream.receive()
            await anyio.sleep(0.6 - 0.005)
            await stream.send(OK_RESPONSE)

        async with proxy_fixture(net, {"9001": on_the_dot}) as made:
            got = await made.send_and_read(PAY, 1.0)
            assert got.count(b"HTTP/1.1 ") == 1
            assert made.outcomes in (["completed"], ["timeout"])

    run_with_net(True, scene)


@both
def test_client_that_leaves_is_owed_nothing_and_its_try_is_called_off(virtual: bool) -> None:
    async def scene(net: Net) -> None:
        async with proxy_fixture(net, {"9001": hangs}) as made:
            stream = await made.connect_client()
            await stream.send(PAY)
            await anyio.sleep(0.1)
            await abort(stream)
            await anyio.sleep(0.1)
            assert made.outcomes == ["cancelled"]
            assert not made.proxy.runtime.exchanges

    run_with_net(virtual, scene)


@both
def test_client_that_leaves_in_its_body_takes_nothing_along(virtual: bool) -> None:
    async def scene(net: Net) -> None:
        async with proxy_fixture(net, {"9001": says(OK_RESPONSE)}) as made:
            stream = await made.connect_client()
            await stream.send(PAY[:-1])
            await anyio.sleep(0.05)
            await abort(stream)
            await anyio.sleep(0.05)
            assert not made.outcomes and not made.received
            assert b" 200 " in await made.send_and_read(PAY, 0.3)

    run_with_net(virtual, scene)


@both
def test_long_body_is_streamed_and_sent_once(virtual: bool) -> None:
    body = b"z" * 5000
    head = b"POST /look HTTP/1.1\r\nhost: x\r\ncontent-length: 5000\r\n\r\n"

    async def reads_all(stream: Stream) -> None:
        got = b""
        while len(got) < len(body):
            got += await stream.receive()
        await stream.send(OK_RESPONSE)

    clients = {"body_kept": 100}
    got, made = asked(virtual, {"9001": reads_all, "9002": reads_all}, head + body, clients=clients)
    assert b" 200 " in got and made.outcomes == ["completed"]
    assert b"".join(data for _, data in made.received).endswith(body)
    got, made = asked(virtual, {"9001": closes_at_once, "9002": closes_at_once}, head + body, clients=clients)
    assert b" 502 " in got and made.outcomes == ["reset"]


@both
def test_begun_answer_that_breaks_off_ends_the_connection(virtual: bool) -> None:
    part = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n" + b"p" * 50
    got, made = asked(virtual, {"9001": says(part, then="close"), "9002": says(part, then="close")}, FLOW)
    assert got.count(b"HTTP/1.1 ") == 1 and got.endswith(b"p" * 50)
    assert made.outcomes == ["reset"]


@both
def test_begun_answer_may_take_longer_than_the_patience(virtual: bool) -> None:
    head, part = b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n", b"abcd"
    got, made = asked(virtual, {"9001": says(head, part, part, pause=0.5)}, FLOW)
    assert got.endswith(b"abcdabcd")
    assert made.outcomes == ["completed"]


@both
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /look HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\na", b"400"),
        (LOOK.replace(b"x-pat", b"content-length: 1\r\ntransfer-encoding: chunked\r\nx-pat"), b"400"),
        (b"GET /look HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n", b"400"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /look HTTP/1.1\r\nx: " + b"y" * 40000, b"431"),
        (b"GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n", b"404"),
        (b"CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n", b"501"),
        (b"POST /look HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n", b"413"),
        (b"POST /look HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab", b"408"),
    ],
)
def test_unfit_req_gets_one_clear_error_and_no_box_sees_it(virtual: bool, data: bytes, status: bytes) -> None:
    got, made = asked(virtual, {"9001": says(OK_RESPONSE)}, data, clients={"read_within": 0.3})
    assert got.startswith(b"HTTP/1.1 " + status) and got.count(b"HTTP/1.1 ") == 1
    assert not made.received


@both
def test_what_is_for_one_hop_does_not_pass(virtual: bool) -> None:
    req = (
        b"GET /look HTTP/1.1\r\nhost: x\r\nconnection: x-mine\r\nx-mine: 1\r\n"
        b"keep-alive: 5\r\nx-kept: 2\r\nproxy-authorization: p\r\n\r\n"
    )
    answer = OK_RESPONSE.replace(
        b"content-length", b"connection: x-its\r\nx-its: 1\r\ngullmount-answer: shed\r\ncontent-length"
    )
    got, made = asked(virtual, {"9001": says(answer)}, req)
    sent = made.received[0][1].lower()
    assert b"x-kept: 2" in sent
    assert not any(name in sent for name in (b"x-mine", b"keep-alive", b"proxy-auth"))
    assert b"x-its" not in got and got.count(b"gullmount-answer") == 1 and b"completed" in got


@both
def test_expectation_is_met_before_the_body_comes(virtual: bool) -> None:
    async def scene(net: Net) -> None:
        async with proxy_fixture(net, {"9001": says(OK_RESPONSE)}) as made:
            stream = await made.connect_client()
            await stream.send(PAY.replace(b"\r\n\r\nabc", b"\r\nexpect: 100-continue\r\n\r\n"))
            assert (await stream.receive()).startswith(b"HTTP/1.1 100 ")
            await stream.send(b"abc")
            assert b" 200 " in await made.read_to_end(stream, 0.5)
            assert b"expect" not in made.received[0][1]

    run_with_net(virtual, scene)


@both
def test_head_has_no_body_but_its_length(virtual: bool) -> None:
    head = LOOK.replace(b"GET", b"HEAD")
    got, _ = asked(virtual, {"9001": says(b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n")}, head)
    assert b"content-length: 7" in got and got.endswith(b"\r\n\r\n")


@both
def test_pipelined_reqs_are_answered_one_after_the_other(virtual: bool) -> None:
    got, _ = asked(virtual, {"9001": says(OK_RESPONSE), "9002": says(OK_RESPONSE)}, LOOK * 3)
    assert got.count(b"HTTP/1.1 200") == 3


@both
def test_stop_answers_what_was_taken_and_takes_nothing_more(virtual: bool) -> None:
    async def scene(net: Net) -> None:
        async def slow(stream: Stream) -> None:
            await stream.receive()
            await anyio.sleep(0.3)
            await stream.send(OK_RESPONSE)

        async with proxy_fixture(net, {"9001": slow}) as made:
            stream = await made.connect_client()
            await stream.send(PAY)
            await anyio.sleep(0.1)
            with anyio.fail_after(1):
                await made.proxy.stop()
            got = await made.read_to_end(stream, 0.5)
            assert b" 200 " in got and b"connection: close" in got
            with pytest.raises(OSError):
                await made.connect_client()

    run_with_net(virtual, scene)


def test_stop_waits_until_the_last_answer_has_left() -> None:
    size = 16_000_000  # more than the buffers between two loopback sockets hold; a memory stream has none
    kept = make_proxy_config().boxes.model_dump() | {"answer_kept": 2 * size}

    async def scene(net: Net) -> None:
        big = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size + b"b" * size
        async with proxy_fixture(net, {"9001": says(big)}, boxes=kept) as made:
            stream = await made.connect_client()
            await stream.send(PAY)
            await anyio.sleep(0.4)
            assert not made.proxy.runtime.exchanges and made.proxy.connections
            stopped: list[float] = []

            async def stop() -> None:
                await made.proxy.stop()
                stopped.append(anyio.current_time())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stop)
                await anyio.sleep(0.2)
                assert not stopped
                got = await made.read_to_end(stream, 5.0)
            assert stopped and len(got) > size

    run_with_net(False, scene)


@both
def test_client_that_leaves_in_a_begun_answer_calls_its_try_off(virtual: bool) -> None:
    async def scene(net: Net) -> None:
        async def drips(stream: Stream) -> None:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n")
            while True:
                await stream.send(b"d" * 10)
                await anyio.sleep(0.02)

        async with proxy_fixture(net, {"9001": drips}) as made:
            stream = await made.connect_client()
            await stream.send(FLOW)
            await stream.receive()
            await abort(stream)
            await anyio.sleep(0.3)
            assert made.outcomes == ["cancelled"]
            assert not made.proxy.runtime.exchanges and not made.proxy.connections

    run_with_net(virtual, scene)


@both
def test_connections_are_bounded(virtual: bool) -> None:
    async def scene(net: Net) -> None:
        async with proxy_fixture(net, {"9001": says(OK_RESPONSE)}, clients={"connections": 2}) as made:
            held = [await made.connect_client() for _ in range(2)]
            await anyio.sleep(0.05)
            assert await made.send_and_read(LOOK, 0.5) == b""
            await held[0].aclose()
            await anyio.sleep(0.05)
            assert b" 200 " in await made.send_and_read(LOOK, 0.3)

    run_with_net(virtual, scene)
