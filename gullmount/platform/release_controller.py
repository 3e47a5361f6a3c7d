"""Implements the client of the release controller.

- Status lines arrive on one long-lived connection; each vote uses a connection of its own.
- Invalid data ends only the connection on which it arrives.
- A vote whose response is lost may have been counted. It is reported to the router as failed, and the router
  casts it again.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import anyio

from gullmount.decisions.model import Vote
from gullmount.net import STREAM_ERRORS, Net
from gullmount.platform.errors import InvalidPlatformMessageError, UnexpectedReplyError
from gullmount.platform.line_reader import LineReader
from gullmount.platform.log_events import LogEvent
from gullmount.platform.release_protocol import (
    STATUS_PREFIX,
    SUBSCRIBE_LINE,
    VOTE_ACCEPTED_PREFIX,
    ReleaseStatus,
    encode_vote,
    is_keep_alive,
    parse_release_status,
    release_status_from_fields,
)
from gullmount.platform.service_watch import ServiceWatch
from gullmount.proxy.runtime import BufferedRuntime

CONNECT_TIMEOUT_SECONDS = 1.0
# Maximum time between two lines. The release controller sends at least one line per second.
RECEIVE_TIMEOUT_SECONDS = 3.5
# Initial backoff. It doubles after each connection that receives no line. Random jitter extends each delay up
# to twofold.
MIN_BACKOFF_SECONDS = 0.2
# Maximum backoff before jitter. A status must not be delayed for longer than a stage lasts.
MAX_BACKOFF_SECONDS = 1.5
# The release controller accepts 32 connections from an instance.
MAX_CONCURRENT_VOTES = 4

# Errors that a response of the release controller or its connection may raise.
EXPECTED_ERRORS = (InvalidPlatformMessageError, TimeoutError, *STREAM_ERRORS)


class ReleaseControllerClient(ServiceWatch):
    """Follows the release status and casts votes.

    Attributes:
        runtime: runtime of the instance.
        net: opens the connections.
        vote_timeout: timeout of one vote in seconds.
        vote_semaphore: limits the number of concurrent votes.
        received_line: whether the current status connection has received a line.
    """

    def __init__(self, runtime: BufferedRuntime, net: Net, address: str, vote_timeout: float) -> None:
        super().__init__(address)
        self.runtime = runtime
        self.net = net
        self.vote_timeout = vote_timeout
        self.vote_semaphore = anyio.Semaphore(MAX_CONCURRENT_VOTES)
        self.received_line = False

    def apply_configured_status(self, fields: Mapping[str, Any]) -> None:
        """Apply the status in the configuration file. Raises InvalidPlatformMessageError if it is invalid."""
        self.apply_status(release_status_from_fields(fields))

    def apply_status(self, status: ReleaseStatus) -> None:
        """Pass a status to the router."""
        self.runtime.router.update_release(status.build, status.stage, status.phase, status.exposure_limit)

    async def run(self) -> None:
        """Follow the status until cancelled, and reconnect if the connection ends or the address changes."""
        backoff = MIN_BACKOFF_SECONDS
        while True:
            with anyio.CancelScope() as self.watch_scope:
                try:
                    with self.runtime.handler_errors.contained(
                        "release status", expected_errors=EXPECTED_ERRORS
                    ):
                        await self.follow_status()
                except EXPECTED_ERRORS as error:
                    self.runtime.log_event(LogEvent.RELEASE_WATCH_ENDED, reason=describe_error(error))
                if self.received_line:
                    backoff = MIN_BACKOFF_SECONDS
                await anyio.sleep(backoff * (1 + self.runtime.random.random()))
                backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)

    async def follow_status(self) -> None:
        """Subscribe on a new connection and apply its status lines; returns only by an exception."""
        self.received_line = False
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await self.net.connect(self.address)
        try:
            lines = LineReader(stream)
            await stream.send(SUBSCRIBE_LINE)
            while True:
                line = await self.runtime.stalls.receive_within(RECEIVE_TIMEOUT_SECONDS, lines.next_line)
                self.handle_line(line)
                self.received_line = True
        finally:
            await anyio.aclose_forcefully(stream)

    def handle_line(self, line: str) -> None:
        """Apply a status line and ignore a keep-alive.

        Raises InvalidPlatformMessageError for any other line.
        """
        if line.startswith(STATUS_PREFIX):
            self.apply_status(parse_release_status(line.removeprefix(STATUS_PREFIX)))
        elif not is_keep_alive(line):
            raise UnexpectedReplyError(line)

    def vote(self, build: int, stage: int, vote: Vote) -> None:
        """Start casting a vote in the background."""
        self.runtime.task_group.start_soon(self.cast_vote, build, stage, vote)

    async def cast_vote(self, build: int, stage: int, vote: Vote) -> None:
        """Cast a vote, and report it to the router as failed unless it is accepted."""
        try:
            with anyio.fail_after(self.vote_timeout):
                response = await self.exchange_vote(encode_vote(build, stage, vote))
            if not response.startswith(VOTE_ACCEPTED_PREFIX):
                raise UnexpectedReplyError(response)
            with self.runtime.handler_errors.contained("vote's answer", expected_errors=EXPECTED_ERRORS):
                self.apply_status(parse_release_status(response.removeprefix(VOTE_ACCEPTED_PREFIX)))
        except EXPECTED_ERRORS as error:
            self.runtime.log_event(LogEvent.VOTE_FAILED, reason=describe_error(error))
            self.runtime.router.vote_failed(build)

    async def exchange_vote(self, line: bytes) -> str:
        """Send a vote on a new connection and return the line of the response."""
        async with self.vote_semaphore:
            stream = await self.net.connect(self.address)
            try:
                await stream.send(line)
                return await LineReader(stream).next_line()
            finally:
                await anyio.aclose_forcefully(stream)


def describe_error(error: BaseException) -> str:
    """Return the type and text of an error, because some network errors have no text."""
    return f"{type(error).__name__} {error}"
