"""Watches release statuses and metrics and sends votes; docs/protocols.md describes the formats.

An invalid status is logged and dropped. A vote without a valid response is reported to the router as failed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from gullmount.decisions.model import ReleasePhase, Vote
from gullmount.net import Net
from gullmount.proxy.backoff import Backoff
from gullmount.proxy.config import ReleaseControllerConfig
from gullmount.proxy.errors import ReleaseStatusRangeError, UnknownMessageError, VoteRefusedError
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.runtime import StreamingRuntime
from gullmount.rpc import (
    MESSAGE_VERSION,
    CallError,
    InvalidMessageError,
    call,
    convert,
    decode_message,
    stream_lines,
)

HEARTBEAT_KIND = "alive"
HTTP_OK = 200


class ReleaseStatus(msgspec.Struct):
    """Status of one build's release; `exposure_limit` is the share of traffic it may get, from 0 to 1."""

    build: int
    stage: int
    phase: ReleasePhase
    exposure_limit: float = msgspec.field(name="cap")


class MetricsMessage(msgspec.Struct):
    """Metrics of a build on a route over all instances; `mean_latency` and `age` are in seconds."""

    build: int
    route: str
    attempts: int = msgspec.field(name="tries")
    failures: int = msgspec.field(name="lost")
    mean_latency: float = msgspec.field(name="time")
    age: float


class VoteMessage(msgspec.Struct, omit_defaults=True):
    """One vote; `token` is the fencing token of the lease that it is based on, 0 for none."""

    version: int = msgspec.field(name="v")
    instance_number: int = msgspec.field(name="umpire")
    build: int
    stage: int
    vote: Vote = msgspec.field(name="verdict")
    token: int = 0


class ReleaseControllerClient:
    """Watches the release controller and sends it votes.

    Args:
        runtime: The runtime of the router.
        net: The network to connect through.
        config: Address and response timeout of the release controller.
        on_status: Called with each valid status.
    """

    def __init__(
        self,
        runtime: StreamingRuntime,
        net: Net,
        config: ReleaseControllerConfig,
        on_status: Callable[[ReleaseStatus], None],
    ) -> None:
        self.runtime = runtime
        self.net = net
        self.config = config
        self.on_status = on_status

    async def watch(self) -> None:
        """Watch until cancelled; a watch that ends is reopened after a backoff."""
        backoff = Backoff(self.runtime.random)
        target = f"/v1/news?umpire={self.runtime.instance_number}"
        while True:
            try:
                async for line in stream_lines(self.net, self.config.address, target):
                    backoff.reset()
                    with self.runtime.handler_errors.contained("release status"):
                        self.receive_line(line)
            except CallError as error:
                self.runtime.log_event(LogEvent.RELEASE_WATCH_ENDED, reason=str(error))
            await anyio.sleep(backoff.next_delay())

    def receive_line(self, line: bytes) -> None:
        """Apply one message of the watch; an invalid one is logged and dropped."""
        try:
            self.handle_message(line)
        except InvalidMessageError as error:
            self.runtime.log_event(LogEvent.RELEASE_STATUS_INVALID, reason=str(error))

    def handle_message(self, line: bytes) -> None:
        """Apply a status or metrics; a heartbeat is ignored.

        Raises:
            InvalidMessageError: The message is invalid or of an unknown kind.
        """
        message = decode_message(line)
        if "news" in message:
            self.apply_status(message["news"])
        elif "tally" in message:
            self.apply_metrics(convert(message["tally"], MetricsMessage))
        elif message.get("kind") != HEARTBEAT_KIND:
            raise UnknownMessageError

    def apply_status(self, fields: Any) -> None:
        """Decode a release status and pass it to the router.

        Raises:
            InvalidMessageError: The status is invalid or out of range.
        """
        status = convert(fields, ReleaseStatus)
        if not 0 <= status.exposure_limit <= 1 or status.stage < 0:
            raise ReleaseStatusRangeError
        self.runtime.router.update_release(status.build, status.stage, status.phase, status.exposure_limit)
        self.on_status(status)

    def apply_metrics(self, metrics: MetricsMessage) -> None:
        """Pass metrics to the router; those of an unknown route are ignored."""
        if metrics.route in self.runtime.router.settings.routes:
            self.runtime.router.record_metrics(
                metrics.build,
                metrics.route,
                metrics.attempts,
                metrics.failures,
                metrics.mean_latency,
                metrics.age,
            )

    def vote(self, build: int, stage: int, vote: Vote) -> None:
        """Send a vote in the background."""
        attribution = self.runtime.router.attribution
        token = attribution.vote_token if attribution is not None else 0
        self.runtime.task_group.start_soon(self.send_vote, build, stage, vote, token)

    async def send_vote(self, build: int, stage: int, vote: Vote, token: int = 0) -> None:
        """Send one vote and apply the statuses in the response.

        Any other result is logged and reported to the router as a failed vote.
        """
        message = VoteMessage(MESSAGE_VERSION, self.runtime.instance_number, build, stage, vote, token)
        try:
            with anyio.fail_after(self.config.answer_within):
                status, body = await call(
                    self.net, self.config.address, "POST", "/v1/votes", msgspec.json.encode(message)
                )
            self.handle_vote_response(status, body)
        except (CallError, InvalidMessageError, TimeoutError) as error:
            self.runtime.log_event(LogEvent.VOTE_FAILED, reason=str(error) or "no answer in time")
            self.runtime.router.vote_failed(build)

    def handle_vote_response(self, status: int, body: bytes) -> None:
        """Apply the statuses in the response to a vote.

        Raises:
            CallError: The response status is not 200.
            InvalidMessageError: The body holds no valid status.
        """
        if status != HTTP_OK:
            raise VoteRefusedError(status)
        # An empty body counts as one invalid line, so that it fails the vote.
        for line in body.splitlines() or [body]:
            self.apply_status(decode_message(line).get("news"))
