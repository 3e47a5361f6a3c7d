"""The client of the release controller: votes and status lines that cross, moves and resets."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import pytest

from gullmount.decisions.model import ReleasePhase, Vote
from tests.support.platform_world import HOST
from tests.support.race_scenes import (
    accept,
    is_readable,
    listener,
    proxy_harness,
    receive_until,
    reset,
    run_scenario,
    wait_until,
)

CONTROL, MOVED_CONTROL = 8102, 8112


async def subscribed(control: socket.socket) -> socket.socket:
    watch = await accept(control)
    await receive_until(watch, lambda data: data == b"NOTIFY\r\n")
    watch.sendall(b"OK\r\n")
    return watch


@pytest.mark.parametrize("order", ["news first", "answer first"])
def test_an_answer_to_a_vote_that_crosses_a_status_line_brings_no_build_back(
    tmp_path: Path, order: str
) -> None:
    """The answer was written before the build went back and is read after that, on another connection."""

    async def scene() -> None:
        with listener(CONTROL) as control:
            async with proxy_harness(tmp_path) as made:
                watch = await subscribed(control)
                watch.sendall(b"* progress 42 1 IN_PROGRESS 0.35 10\r\n")
                umpire = made.runtime.router
                await wait_until(lambda: umpire.releases.candidates[-1].build == 42)
                made.proxy.release_controller.vote(42, 1, Vote.PROMOTE)
                vote = await accept(control)
                await receive_until(vote, lambda data: data == b"BALLOT 42 1 go\r\n")
                if order == "answer first":
                    vote.sendall(b"OK 42 1 IN_PROGRESS 0.35 900\r\n")
                    watch.sendall(b"* progress 42 1 ROLLING_BACK 0 0\r\n")
                else:
                    watch.sendall(b"* progress 42 1 ROLLING_BACK 0 0\r\n")
                    await wait_until(
                        lambda: umpire.releases.candidates[-1].phase is ReleasePhase.ROLLING_BACK
                    )
                    vote.sendall(b"OK 42 1 IN_PROGRESS 0.35 900\r\n")
                await wait_until(
                    lambda: is_readable(vote)
                )  # its connection was ended: the answer has been read
                await wait_until(lambda: umpire.releases.candidates[-1].phase is ReleasePhase.ROLLING_BACK)
                assert umpire.releases.candidates[-1].exposure_limit == 0

    run_scenario(scene)


@pytest.mark.parametrize("cut", [0, 3, 20])
@pytest.mark.parametrize("end", [reset, socket.socket.close])
def test_a_vote_whose_answer_breaks_off_is_cast_again_and_status_lines_go_on(
    tmp_path: Path, cut: int, end: Any
) -> None:
    async def scene() -> None:
        with listener(CONTROL) as control:
            async with proxy_harness(tmp_path) as made:
                watch = await subscribed(control)
                watch.sendall(b"* progress 42 1 IN_PROGRESS 0.35 10\r\n")
                await wait_until(lambda: made.runtime.router.releases.candidates[-1].build == 42)
                failed: list[int] = []
                made.runtime.router.vote_failed = failed.append
                made.proxy.release_controller.vote(42, 1, Vote.PROMOTE)
                vote = await accept(control)
                await receive_until(vote, lambda data: data.endswith(b"\r\n"))
                vote.sendall(b"OK 42 1 IN_PROGRESS 0.35 900\r\n"[:cut])
                end(vote)
                await wait_until(lambda: failed == [42])
                watch.sendall(b"* progress 42 1 COMPLETE 1 0\r\n")
                await wait_until(
                    lambda: made.runtime.router.releases.candidates[-1].phase is ReleasePhase.RELEASED
                )

    run_scenario(scene)


def test_status_lines_that_cross_a_move_and_a_reset_are_heard_from_the_new_service(tmp_path: Path) -> None:
    async def scene() -> None:
        with listener(CONTROL) as control, listener(MOVED_CONTROL) as new:
            async with proxy_harness(tmp_path) as made:
                watch = await subscribed(control)
                watch.sendall(b"* progress 42 0 IN_PRO")
                made.proxy.release_controller.change_address(f"{HOST}:{MOVED_CONTROL}")
                watch.sendall(b"GRESS 0.05 0\r\n")
                reset(watch)
                moved = await subscribed(new)
                moved.sendall(b"* progress 42 1 IN_PROGRESS 0.35 0\r\n")
                await wait_until(lambda: made.runtime.router.releases.candidates[-1].stage == 1)

    run_scenario(scene)
