"""Votes, evidence and findings that instances send each other as datagrams, which may be lost.

The formats stand in docs/protocols.md. An invalid message is dropped with a line in the log.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import anyio
import msgspec

from gullmount.decisions.attribution import Assessment, Cause, Finding, SampleRow
from gullmount.decisions.model import Vote
from gullmount.net import STREAM_ERRORS, Datagrams
from gullmount.proxy.errors import PeerAddressError, PeerMessageSizeError
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.runtime import StreamingRuntime
from gullmount.rpc import MESSAGE_VERSION, InvalidMessageError, check_fields, convert, decode_message

MAX_PEER_MESSAGE_BYTES = 1400  # passes most networks in one piece
TYPICAL_ROW_BYTES = 110  # of one row of evidence
MAX_REASON_CHARACTERS = 300  # of why a build is blamed
MAX_ROW_ATTEMPTS = 1e6  # no instance makes as many in a second


class AssessmentMessage(msgspec.Struct, omit_defaults=True):
    """An `Assessment` on the wire; `about` holds build, how, zone and route of its finding."""

    blamed: list[tuple[int, str]]
    clear: list[tuple[int, int]]
    failing: list[tuple[int, list[str]]]
    lessened: int
    cause: Cause
    about: tuple[int, str, str, str]
    token: int = 0


class PeerMessage(msgspec.Struct, kw_only=True):
    """What each message to a peer begins with; `sender` is an instance number."""

    version: int = msgspec.field(name="v")
    sender: int = msgspec.field(name="from")


class VoteGossip(PeerMessage, kw_only=True):
    """A vote."""

    build: int
    stage: int
    vote: Vote = msgspec.field(name="verdict")


class SamplesGossip(PeerMessage, kw_only=True):
    """What the sender saw since its last message of the kind."""

    rows: list[SampleRow]


class AssessmentGossip(PeerMessage, kw_only=True):
    """What the sender's analysis found."""

    standing: AssessmentMessage


def encode_assessment(assessment: Assessment) -> AssessmentMessage:
    """Return the assessment as it goes on the wire."""
    finding = assessment.finding
    return AssessmentMessage(
        blamed=[
            (build, rollback_reason[:MAX_REASON_CHARACTERS])
            for build, rollback_reason in assessment.rollback_reasons.items()
        ],
        clear=list(assessment.promotable_stages.items()),
        failing=list(assessment.failing_routes.items()),
        lessened=assessment.reduced_build,
        cause=finding.cause,
        about=(finding.build, finding.symptom, finding.zone, finding.route),
        token=assessment.token,
    )


def decode_assessment(message: AssessmentMessage) -> Assessment:
    """Return the assessment that came on the wire."""
    return Assessment(
        Finding(message.cause, *message.about),
        dict(message.blamed),
        dict(message.clear),
        dict(message.failing),
        message.lessened,
        message.token,
    )


class PeerGossip:
    """Sends to and receives from the peers; `addresses` are by instance number."""

    def __init__(self, runtime: StreamingRuntime, datagrams: Datagrams, addresses: Mapping[int, str]) -> None:
        self.runtime = runtime
        self.datagrams = datagrams
        self.addresses = addresses

    # Sending.

    def gossip_vote(self, peer: int, build: int, stage: int, vote: Vote) -> None:
        """Send a vote in the background."""
        self.send_in_background(
            peer,
            VoteGossip(
                version=MESSAGE_VERSION,
                sender=self.runtime.instance_number,
                build=build,
                stage=stage,
                vote=vote,
            ),
        )

    def send_samples(self, peer: int, rows: list[SampleRow]) -> None:
        """Send what was seen since the last time, in as many messages as it needs."""
        rows_per_message = MAX_PEER_MESSAGE_BYTES // TYPICAL_ROW_BYTES
        for offset in range(0, len(rows), rows_per_message):
            batch = rows[offset : offset + rows_per_message]
            self.send_in_background(
                peer, SamplesGossip(version=MESSAGE_VERSION, sender=self.runtime.instance_number, rows=batch)
            )

    def send_assessment(self, peer: int, assessment: Assessment) -> None:
        """Send what the analysis found."""
        message = encode_assessment(assessment)
        self.send_in_background(
            peer,
            AssessmentGossip(version=MESSAGE_VERSION, sender=self.runtime.instance_number, standing=message),
        )

    def send_in_background(self, peer: int, message: PeerMessage) -> None:
        """Send a message to a known peer."""
        if peer in self.addresses:
            self.runtime.task_group.start_soon(self.send_message, peer, message)

    async def send_message(self, peer: int, message: PeerMessage) -> None:
        """Send one datagram; a failure is logged."""
        try:
            await self.datagrams.send(msgspec.json.encode(message), self.addresses[peer])
        except STREAM_ERRORS as error:
            self.runtime.log_event(LogEvent.PEER_UNREACHABLE, peer=peer, reason=type(error).__name__)

    # Receiving.

    async def receive_forever(self) -> None:
        """Receive until cancelled or the socket breaks, and close the socket.

        It is closed here: unwinding it beside the task group made the group's cancellation its own context,
        which the event loop then followed for ever.
        """
        try:
            await self.receive_messages()
        finally:
            with anyio.CancelScope(shield=True):
                await self.datagrams.aclose()

    async def receive_messages(self) -> None:
        """Receive until the socket breaks."""
        while True:
            try:
                data, source = await self.datagrams.receive()
            except STREAM_ERRORS:
                return
            with self.runtime.handler_errors.contained("peer datagram"):
                self.receive_datagram(data, source)

    def receive_datagram(self, data: bytes, source: str) -> None:
        """Take in a datagram; one that is no peer's message is dropped with a line in the log."""
        try:
            self.handle_datagram(data, source)
        except InvalidMessageError as error:
            self.runtime.log_event(LogEvent.PEER_MESSAGE_INVALID, source=source, reason=str(error))

    def handle_datagram(self, data: bytes, source: str) -> None:
        """Check size and sender, and hand the message to the router. Raises InvalidMessageError."""
        if len(data) > MAX_PEER_MESSAGE_BYTES:
            raise PeerMessageSizeError
        fields = check_fields(decode_message(data), {"from": int})
        if self.addresses.get(fields["from"]) != source:
            raise PeerAddressError
        self.handle_message(fields)

    def handle_message(self, fields: dict[str, Any]) -> None:
        """Hand a peer's message to the router. Raises InvalidMessageError."""
        attribution, now = self.runtime.router.attribution, self.runtime.now()
        arrived_at = self.runtime.stalls.arrival_time()
        if "rows" in fields and attribution is not None:
            rows = convert(fields, SamplesGossip).rows
            attribution.receive_samples(now, [row for row in rows if self.is_plausible(row)])
        elif "standing" in fields and attribution is not None:
            message = convert(fields, AssessmentGossip)
            attribution.receive_assessment(arrived_at, message.sender, decode_assessment(message.standing))
        else:
            vote = convert(fields, VoteGossip)
            self.runtime.router.receive_vote(vote.sender, vote.build, vote.stage, vote.vote, arrived_at)

    def is_plausible(self, row: SampleRow) -> bool:
        """Whether the row is about a known server and route, and its sums can be right."""
        server = self.runtime.router.endpoints.servers.get(row.server_id)
        is_known = (
            server is not None
            and server.build == row.build
            and row.route in self.runtime.router.settings.routes
        )
        counts_are_consistent = (
            0 <= row.failed <= row.attempts <= MAX_ROW_ATTEMPTS and 0 <= row.timed <= row.attempts
        )
        return is_known and counts_are_consistent and row.squares * row.timed >= row.total**2 * 0.99 - 1
