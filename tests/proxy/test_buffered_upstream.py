"""Connections to boxes: what comes on them between an answer and the next req, and while one comes up."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from copy import deepcopy
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import pytest

from gullmount.decisions.model import ReleasePhase
from gullmount.platform.configuration import read_configuration
from tests.support.platform_world import OK, SETTINGS, configuration
from tests.support.race_scenes import (
    CLIENT_TIMEOUT_SECONDS,
    ProxyHarness,
    accept,
    client,
    is_readable,
    member,
    proxy_harness,
    receive_message,
    receive_until_eof,
    request_bytes,
    reset,
    run_scenario,
    wait_until,
)

FOREIGN = OK.replace(b"\r\n\r\nok", b"\r\n\r\nNO")
ONCE = "submit-exam"


def no_rest(scene: ProxyHarness) -> None:
    """A connection may be taken up in the same turn: for what lies there by then."""
    scene.runtime.upstream.limits = replace(scene.runtime.upstream.limits, reuse_delay=0.0)


async def first_answer(scene: ProxyHarness) -> tuple[socket.socket, socket.socket]:
    """A client's connection and the box's, one req served on both."""
    asking = client(request_bytes("a1"))
    box = await accept(scene.server_listener)
    await receive_message(box)
    box.sendall(OK)
    assert (await receive_message(asking)).endswith(b"\r\n\r\nok")
    return asking, box


@pytest.mark.parametrize("more", [FOREIGN, b"noise", b"HTTP/1.1 103 Early Hints\r\n\r\n" + FOREIGN])
def test_what_comes_late_behind_an_answer_is_never_the_next_reqs(tmp_path: Path, more: bytes) -> None:
    """The box's second copy is still on its way as the next req comes."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking, box = await first_answer(made)
            asking.sendall(request_bytes("a2"))
            await wait_until(lambda: is_readable(box) or is_readable(made.server_listener))
            box.sendall(more)
            fresh = await accept(made.server_listener)
            assert b"request-id: a2" in await receive_message(fresh)
            fresh.sendall(OK)
            assert (await receive_message(asking)).endswith(b"\r\n\r\nok")
            await wait_until(lambda: made.runtime.upstream.open_connections == 1)  # the spoilt one was closed

    run_scenario(scene)


@pytest.mark.parametrize("ends", [lambda box: box.sendall(FOREIGN), reset, socket.socket.close])
@pytest.mark.parametrize("first", ["box", "client"])
def test_what_lies_unheard_on_a_connection_as_it_is_taken_up_again(
    tmp_path: Path, ends: Callable[[socket.socket], None], first: str
) -> None:
    """A req that may run once goes out on another connection and is served: nothing was written here."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            no_rest(made)
            asking, box = await first_answer(made)
            acts = [lambda: ends(box), lambda: asking.sendall(request_bytes("a2", ONCE, body=b"x"))]
            for act in acts if first == "box" else reversed(acts):
                act()
            fresh = await accept(made.server_listener)
            assert b"request-id: a2" in await receive_message(fresh)
            fresh.sendall(OK)
            assert (await receive_message(asking)).endswith(b"\r\n\r\nok")

    run_scenario(scene)


@pytest.mark.parametrize(("end", "wanted"), [(reset, b"502"), (socket.socket.close, b"200")])
def test_a_body_that_lasts_until_the_end_is_whole_only_by_a_fin(
    tmp_path: Path, end: Callable[[socket.socket], None], wanted: bytes
) -> None:
    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = client(request_bytes("a1", ONCE, body=b"x"))
            box = await accept(made.server_listener)
            await receive_message(box)
            box.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
            (exchange,) = made.runtime.exchanges.values()
            await wait_until(lambda: exchange.open_attempts[0].body_size == 4)
            end(box)
            got = await receive_message(asking)
            assert got.startswith(b"HTTP/1.1 " + wanted) and got.endswith(b"part") == (wanted == b"200")

    run_scenario(scene)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"


@pytest.mark.parametrize("answer", [OK, CHUNKED])
@pytest.mark.parametrize("end", [reset, socket.socket.close])
def test_an_answer_that_breaks_off_anywhere_is_no_answer(
    tmp_path: Path, answer: bytes, end: Callable[[socket.socket], None]
) -> None:
    """After each of its bytes but the last; the req goes out once and ends in one error."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            for cut in range(1, len(answer)):
                made.runtime.router.endpoints.servers[
                    "s-1"
                ].ejection.ejected_until = 0.0  # its failures are not what is tried here
                asking = client(request_bytes(f"a{cut}", ONCE, body=b"x"))
                box = await accept(made.server_listener)
                await receive_message(box)
                box.sendall(answer[:cut])
                (exchange,) = made.runtime.exchanges.values()
                attempt = exchange.open_attempts[0]
                await wait_until(lambda attempt=attempt: attempt.response_started)
                end(box)
                assert (await receive_message(asking)).startswith(b"HTTP/1.1 502 ")
                assert not is_readable(made.server_listener) and exchange.attempt_count == 1
                asking.close()
                await wait_until(lambda: not made.proxy.listener.connections)
            assert made.runtime.upstream.open_connections == 0 and not made.runtime.exchanges

    run_scenario(scene)


def one_way() -> dict[str, Any]:
    settings: dict[str, Any] = deepcopy(SETTINGS)
    settings["Specifics"] |= {"OneWay": True, "ClosedStages": 1, "SpareTries": 9.0}
    settings["Ceilings"]["MaxAttempts"] = 1
    return settings


def hold_one_key_at_the_trial(made: ProxyHarness) -> None:
    """Box `s-1` is of the trial's build, `s-2` of the earlier one; the trial is in its closed stage and holds
    the key that all reqs here name."""
    made.apply_endpoint_page(member(1, build=43), member(2, build=41), complete=True)
    made.runtime.router.update_release(43, 0, ReleasePhase.CANDIDATE, 0.35)
    made.runtime.router.traffic_split.update = lambda now: None
    made.runtime.router.releases.candidates[-1].traffic_share = 1.0


@pytest.mark.parametrize("cut", [20, len(OK) - 1])
@pytest.mark.parametrize("end", [reset, socket.socket.close])
def test_a_key_whose_answer_broke_off_goes_to_no_earlier_build(
    tmp_path: Path, end: Callable[[socket.socket], None], cut: int
) -> None:
    """Guards against what the users' page calls one way: the new build has answered the key, though no whole
    answer came. What a later req of the key may not have there is shed."""

    async def scene() -> None:
        async with proxy_harness(tmp_path, server_count=2, settings=one_way()) as made:
            hold_one_key_at_the_trial(made)
            first = client(request_bytes("a1"))
            box = await accept(made.server_listener)
            await receive_message(box)
            box.sendall(OK[:cut])
            (exchange,) = made.runtime.exchanges.values()
            await wait_until(lambda: exchange.open_attempts[0].response_started)
            end(box)
            assert (await receive_message(first)).startswith(b"HTTP/1.1 50")
            assert (await made.send_request(request_bytes("a2", ONCE, body=b"x"))).startswith(
                b"HTTP/1.1 503 "
            )
            assert not is_readable(made.other_server_listener)

    run_scenario(scene)


def test_a_key_with_a_req_out_at_the_new_build_goes_to_no_earlier_one(tmp_path: Path) -> None:
    """The first one's answer may be there before the second would arrive at the earlier build."""

    async def scene() -> None:
        async with proxy_harness(tmp_path, server_count=2, settings=one_way()) as made:
            hold_one_key_at_the_trial(made)
            first = client(request_bytes("a1"))
            box = await accept(made.server_listener)
            await receive_message(box)
            assert (await made.send_request(request_bytes("a2", ONCE, body=b"x"))).startswith(
                b"HTTP/1.1 503 "
            )
            box.sendall(OK)
            assert (await receive_message(first)).endswith(b"\r\n\r\nok")
            assert not is_readable(made.other_server_listener)

    run_scenario(scene)


def test_an_answer_at_one_byte_a_turn_is_served_whole(tmp_path: Path) -> None:
    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = client(request_bytes("a1"))
            box = await accept(made.server_listener)
            await receive_message(box)
            box.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for at in range(len(CHUNKED)):
                box.sendall(CHUNKED[at : at + 1])
                await anyio.sleep(0)
            assert (await receive_message(asking)).endswith(b"\r\n\r\nok")

    run_scenario(scene)


def lower_cap(scene: ProxyHarness) -> None:
    scene.runtime.router.update_release(41, 2, ReleasePhase.ROLLING_BACK, 0.0)


def late_repeat(scene: ProxyHarness) -> None:
    """The time in which the boxes know a repeat ends."""
    (exchange,) = scene.runtime.exchanges.values()
    exchange.request.deduplication_group, exchange.request.deduplicated_until = ("a", 0), scene.runtime.now()


@pytest.mark.parametrize(
    "told",
    [
        lambda scene: scene.apply_endpoint_page(member(1, phase="draining")),
        lambda scene: scene.apply_endpoint_page(member(1, phase="gone")),
        lambda scene: scene.apply_endpoint_page(member(2), complete=True),
        lambda scene: scene.apply_endpoint_page(member(1, started_at_ms=1_700_000_000_000)),
        lambda scene: scene.apply_endpoint_page(member(1, build=42)),
    ],
    ids=["drains", "gone", "not listed any more", "started anew", "another build"],
)
def test_a_box_told_off_while_its_connection_comes_up_gets_no_req(
    tmp_path: Path, told: Callable[[ProxyHarness], None]
) -> None:
    """Nothing was written yet: the req is served by the other box, also where it may run only once."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            made.net.connects_allowed = anyio.Event()
            asking = client(request_bytes("a1", ONCE, body=b"x"))
            await wait_until(lambda: made.net.connects_started)
            made.apply_endpoint_page(member(2))
            told(made)
            made.net.connects_allowed.set()
            other = await accept(made.other_server_listener)
            await receive_message(other)
            other.sendall(OK)
            assert (await receive_message(asking)).endswith(b"\r\n\r\nok")
            first = await accept(made.server_listener)
            assert await rest_or_reset(first) == b""

    run_scenario(scene)


async def rest_or_reset(sock: socket.socket) -> bytes:
    try:
        return await receive_until_eof(sock)
    except ConnectionError:
        return b""


@pytest.mark.parametrize(("told", "semantics"), [(lower_cap, "idempotent"), (late_repeat, "deduplicated")])
def test_a_try_that_may_not_go_out_any_more_once_its_connection_is_up(
    tmp_path: Path, told: Callable[[ProxyHarness], None], semantics: str
) -> None:
    """A cap that fell, or a time for repeats that ended, meanwhile. No byte of the req reaches the box."""
    settings: dict[str, Any] = deepcopy(SETTINGS)
    settings["Grades"][0]["Semantics"] = semantics

    async def scene() -> None:
        async with proxy_harness(tmp_path, settings=settings) as made:
            made.runtime.router.update_release(41, 2, ReleasePhase.CANDIDATE, 1.0)
            made.net.connects_allowed = anyio.Event()
            asking = client(request_bytes("a1"))
            await wait_until(lambda: made.net.connects_started)
            told(made)
            made.net.connects_allowed.set()
            assert (await receive_message(asking)).startswith(b"HTTP/1.1 50")
            box = await accept(made.server_listener)
            assert (
                not is_readable(box) and len(made.runtime.upstream.pools["s-1"].idle) == 1
            )  # kept for others

    run_scenario(scene)


@pytest.mark.parametrize("heard_before", [True, False])
@pytest.mark.parametrize("says", [lambda box: box.sendall(FOREIGN), reset, socket.socket.close])
def test_a_connection_on_which_the_box_speaks_or_ends_before_it_is_asked(
    tmp_path: Path, says: Callable[[socket.socket], None], heard_before: bool
) -> None:
    """Before the task that opened it goes on, or in the same turn. The req never goes out on it."""

    async def scene() -> None:
        async with proxy_harness(tmp_path, server_count=2) as made:
            made.net.handover_allowed = anyio.Event()
            asking = client(request_bytes("a1", ONCE, body=b"x"))
            await wait_until(
                lambda: is_readable(made.server_listener) or is_readable(made.other_server_listener)
            )
            first, second = (
                (made.server_listener, made.other_server_listener)
                if is_readable(made.server_listener)
                else (made.other_server_listener, made.server_listener)
            )
            box = await accept(first)
            says(box)
            if heard_before:  # by the link, or by the attempt to connect, which then has gone on
                (exchange,) = made.runtime.exchanges.values()
                await wait_until(
                    lambda: not made.runtime.upstream.open_connections or exchange.attempt_count > 1
                )
            made.net.handover_allowed.set()
            other = await accept(second)
            assert b"request-id: a1" in await receive_message(other)
            other.sendall(OK)
            assert (await receive_message(asking)).endswith(b"\r\n\r\nok")
            assert made.runtime.upstream.open_connections == 1
            if box.fileno() >= 0:
                assert b"a1" not in await rest_or_reset(box)  # ended, not left open

    run_scenario(scene)


def test_a_connection_that_came_too_late_counts_as_idle_from_its_begin(tmp_path: Path) -> None:
    """The box may count from the first packet: what waited long for it is not used up to the very end."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            made.net.connects_allowed = anyio.Event()
            asking = client(request_bytes("a1"))
            await wait_until(lambda: made.net.connects_started)
            begun = made.runtime.now()
            asking.close()
            await wait_until(lambda: not made.runtime.exchanges)
            made.net.connects_allowed.set()
            box = await accept(made.server_listener)  # held: it would end with its last reference
            await wait_until(lambda: made.runtime.upstream.pools["s-1"].idle)
            assert not is_readable(box) and made.runtime.upstream.pools["s-1"].idle[0].idle_since <= begun

    run_scenario(scene)


@pytest.mark.parametrize("idle", [100_000, 400_000, 700_000, 15_000_000])
def test_a_connection_is_left_before_the_box_may_close_it_whatever_the_settings(
    tmp_path: Path, idle: int
) -> None:
    settings: dict[str, Any] = deepcopy(SETTINGS)
    settings["Ceilings"]["ConnIdleUs"] = idle

    async def scene() -> None:
        async with proxy_harness(tmp_path, settings=settings) as made:
            assert 0 < made.proxy.adapter.upstream_limits.idle_timeout < idle / 1e6

    run_scenario(scene)


def test_a_late_answer_to_a_try_that_was_given_up_reaches_nobody(tmp_path: Path) -> None:
    """The answer arrives in the same turn in which the try's time ends."""

    async def scene() -> None:
        async with proxy_harness(tmp_path, server_count=2) as made:
            asking = client(request_bytes("a1"))
            await wait_until(
                lambda: is_readable(made.server_listener) or is_readable(made.other_server_listener)
            )
            first, second = (
                (made.server_listener, made.other_server_listener)
                if is_readable(made.server_listener)
                else (made.other_server_listener, made.server_listener)
            )
            slow = await accept(first)
            await receive_message(slow)
            (exchange,) = made.runtime.exchanges.values()
            attempt = exchange.open_attempts[0]
            slow.sendall(FOREIGN)
            attempt.expire()
            quick = await accept(second)
            assert b"request-id: a1" in await receive_message(quick)
            quick.sendall(OK)
            assert (await receive_message(asking)).endswith(b"\r\n\r\nok")
            assert not is_readable(asking) and attempt.ended and not made.runtime.exchanges

    run_scenario(scene)


def test_an_answer_and_the_clients_leaving_in_one_turn(tmp_path: Path) -> None:
    """Whichever is heard first, the req ends once and nothing is left of it."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            for number, order in enumerate((0, 1)):
                asking = client(request_bytes(f"a{number}"))
                box = await accept(made.server_listener)
                await receive_message(box)
                acts = [lambda box=box: box.sendall(OK), asking.close]
                for act in acts if order else reversed(acts):
                    act()
                await wait_until(lambda: not made.proxy.listener.connections and not made.runtime.exchanges)
                assert not made.proxy.adapter.request_ids.in_flight
                made.proxy.runtime.upstream.remove_server("s-1")

    run_scenario(scene)


def test_a_clients_retry_that_crosses_the_answer_to_its_first_try(tmp_path: Path) -> None:
    """The client gave up, and asks again by another id in the turn in which the answer comes: one answer
    each, and a req that names the first try's id is refused."""

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            first = client(request_bytes("a1", ONCE, body=b"x"))
            box = await accept(made.server_listener)
            await receive_message(box)
            box.sendall(OK)
            first.close()
            retry, again = (
                client(request_bytes("a2", ONCE, body=b"x")),
                client(request_bytes("a1", ONCE, body=b"x")),
            )
            assert (await receive_message(again)).startswith(b"HTTP/1.1 400 ")
            fresh = await accept(made.server_listener)
            assert b"request-id: a2" in await receive_message(fresh)
            fresh.sendall(OK)
            assert (await receive_message(retry)).endswith(b"\r\n\r\nok")
            await wait_until(lambda: not made.runtime.exchanges)
            assert made.runtime.request_count == 3 and not is_readable(made.server_listener)

    run_scenario(scene)


def test_two_umpires_of_other_settings_in_one_process_share_nothing(tmp_path: Path) -> None:
    """One after the other: bounds, routes and times are those of its own settings."""
    other: dict[str, Any] = deepcopy(SETTINGS)
    other["Grades"] = [{**other["Grades"][0], "Name": "find-fare", "DeadlineUs": 700_000}]
    other["Ceilings"] |= {"ConnIdleUs": 2_000_000, "ConnectTimeoutUs": 900_000, "RetryAfter": True,
                          "MaxRetryAfterUs": 400_000}  # fmt: skip
    starts = []
    for settings in (SETTINGS, other, SETTINGS):
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration(settings=settings)))
        starts.append(read_configuration({"PROXY_CONFIG": str(path)}))
    first, second, third = starts
    assert first.sockets == third.sockets and first.instance == third.instance
    assert set(second.sockets.route_timeouts) == {"find-fare"} and second.sockets.connect_timeout == 0.9

    async def scene() -> None:
        async with proxy_harness(tmp_path, settings=other) as made:
            assert (await made.send_request(request_bytes("a1"))).startswith(b"HTTP/1.1 404 ")
        async with proxy_harness(tmp_path) as made:
            assert (await made.send_request(request_bytes("a1", "find-fare"))).startswith(b"HTTP/1.1 404 ")
            asking, _ = await first_answer(made)
            asking.close()

    run_scenario(scene)


def test_all_that_is_not_of_one_hop_reaches_the_box_as_it_was_sent(tmp_path: Path) -> None:
    """Boxes may go by headers that an umpire knows nothing of, such as the mark of a deduped route."""
    more = b"Idempotency-Key: k-7\r\nX-Hop: 1\r\nConnection: x-hop, request-id\r\nWork-Hint: 9\r\n"
    sent = request_bytes("a1", ONCE, body=b"x").replace(b"Affinity-Key", more + b"Affinity-Key")

    async def scene() -> None:
        async with proxy_harness(tmp_path) as made:
            asking = client(sent)
            box = await accept(made.server_listener)
            head, _, body = (await receive_message(box)).partition(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            assert lines[0] == b"POST /submit-exam HTTP/1.1" and body == b"x"
            fields = dict(line.split(b": ", 1) for line in lines[1:])
            assert len(fields) == len(lines) - 1 and not fields.keys() & {b"x-hop", b"connection"}
            assert int(fields.pop(b"request-timeout-ms")) <= CLIENT_TIMEOUT_SECONDS * 1000
            assert fields == {
                b"host": b"backend.local", b"request-id": b"a1", b"request-class": ONCE.encode(),
                b"affinity-key": b"7f3a9c21e0b4d655", b"idempotency-key": b"k-7", b"work-hint": b"9",
                b"content-length": b"1",
            }  # fmt: skip
            box.sendall(OK)
            assert (await receive_message(asking)).endswith(b"\r\n\r\nok")

    run_scenario(scene)
