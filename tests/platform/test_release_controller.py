"""Tests the release controller client: concurrent votes and status lines, address changes and resets."""

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

RELEASE_CONTROLLER_PORT, NEW_RELEASE_CONTROLLER_PORT = 8102, 8112


async def accept_subscription(controller_socket: socket.socket) -> socket.socket:
    status_connection = await accept(controller_socket)
    await receive_until(status_connection, lambda data: data == b"NOTIFY\r\n")
    status_connection.sendall(b"OK\r\n")
    return status_connection


@pytest.mark.parametrize("order", ["news first", "answer first"])
def test_late_vote_response_does_not_undo_a_rollback(tmp_path: Path, order: str) -> None:
    """Guards against a vote response that reverts a newer status.

    The response is written before the build is rolled back, and read after that on another connection.
    """

    async def scenario() -> None:
        with listener(RELEASE_CONTROLLER_PORT) as controller_socket:
            async with proxy_harness(tmp_path) as harness:
                status_connection = await accept_subscription(controller_socket)
                status_connection.sendall(b"* progress 42 1 IN_PROGRESS 0.35 10\r\n")
                proxy_router = harness.runtime.router
                await wait_until(lambda: proxy_router.releases.candidates[-1].build == 42)
                harness.proxy.release_controller.vote(42, 1, Vote.PROMOTE)
                vote_connection = await accept(controller_socket)
                await receive_until(vote_connection, lambda data: data == b"BALLOT 42 1 go\r\n")
                if order == "answer first":
                    vote_connection.sendall(b"OK 42 1 IN_PROGRESS 0.35 900\r\n")
                    status_connection.sendall(b"* progress 42 1 ROLLING_BACK 0 0\r\n")
                else:
                    status_connection.sendall(b"* progress 42 1 ROLLING_BACK 0 0\r\n")
                    await wait_until(
                        lambda: proxy_router.releases.candidates[-1].phase is ReleasePhase.ROLLING_BACK
                    )
                    vote_connection.sendall(b"OK 42 1 IN_PROGRESS 0.35 900\r\n")
                # The proxy closes the vote's connection once it has read the response.
                await wait_until(lambda: is_readable(vote_connection))
                await wait_until(
                    lambda: proxy_router.releases.candidates[-1].phase is ReleasePhase.ROLLING_BACK
                )
                assert proxy_router.releases.candidates[-1].exposure_limit == 0

    run_scenario(scenario)


@pytest.mark.parametrize("sent_byte_count", [0, 3, 20])
@pytest.mark.parametrize("end_connection", [reset, socket.socket.close])
def test_truncated_vote_response_is_reported_as_failed_and_status_lines_continue(
    tmp_path: Path, sent_byte_count: int, end_connection: Any
) -> None:
    async def scenario() -> None:
        with listener(RELEASE_CONTROLLER_PORT) as controller_socket:
            async with proxy_harness(tmp_path) as harness:
                status_connection = await accept_subscription(controller_socket)
                status_connection.sendall(b"* progress 42 1 IN_PROGRESS 0.35 10\r\n")
                await wait_until(lambda: harness.runtime.router.releases.candidates[-1].build == 42)
                failed_builds: list[int] = []
                harness.runtime.router.vote_failed = failed_builds.append
                harness.proxy.release_controller.vote(42, 1, Vote.PROMOTE)
                vote_connection = await accept(controller_socket)
                await receive_until(vote_connection, lambda data: data.endswith(b"\r\n"))
                vote_connection.sendall(b"OK 42 1 IN_PROGRESS 0.35 900\r\n"[:sent_byte_count])
                end_connection(vote_connection)
                await wait_until(lambda: failed_builds == [42])
                status_connection.sendall(b"* progress 42 1 COMPLETE 1 0\r\n")
                await wait_until(
                    lambda: harness.runtime.router.releases.candidates[-1].phase is ReleasePhase.RELEASED
                )

    run_scenario(scenario)


def test_after_an_address_change_and_a_reset_status_comes_from_the_new_address(tmp_path: Path) -> None:
    async def scenario() -> None:
        with (
            listener(RELEASE_CONTROLLER_PORT) as controller_socket,
            listener(NEW_RELEASE_CONTROLLER_PORT) as new_controller_socket,
        ):
            async with proxy_harness(tmp_path) as harness:
                status_connection = await accept_subscription(controller_socket)
                status_connection.sendall(b"* progress 42 0 IN_PRO")
                harness.proxy.release_controller.change_address(f"{HOST}:{NEW_RELEASE_CONTROLLER_PORT}")
                status_connection.sendall(b"GRESS 0.05 0\r\n")
                reset(status_connection)
                new_status_connection = await accept_subscription(new_controller_socket)
                new_status_connection.sendall(b"* progress 42 1 IN_PROGRESS 0.35 0\r\n")
                await wait_until(lambda: harness.runtime.router.releases.candidates[-1].stage == 1)

    run_scenario(scenario)
