"""Exchanges votes, samples and assessments between instances as datagrams, which may be lost.

docs/protocols.md describes the formats. An invalid message is logged and dropped.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import anyio
import msgspec

from gullmount.decisions.attribution import Assessment, Cause, Finding, SampleRow
from gullmount.decisions.model import Vote
from gullmount.net import STREAM_ERRORS, DatagramSocket
from gullmount.proxy.errors import PeerAddressError, PeerMessageSizeError
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.runtime import StreamingRuntime
from gullmount.rpc import MESSAGE_VERSION, InvalidMessageError, check_fields, convert, decode_message

# Most networks carry a datagram of this size without fragmentation.
MAX_PEER_MESSAGE_BYTES = 1400
# Typical encoded size of a `SampleRow`; it determines how many rows go into one message.
TYPICAL_ROW_BYTES = 110
# Longer rollback reasons are truncated.
MAX_REASON_CHARACTERS = 300
# A row with more attempts is implausible: no instance makes as many in a second.
MAX_ROW_ATTEMPTS = 1e6


class AssessmentMessage(msgspec.Struct, omit_defaults=True):
    """An `Assessment` on the wire.

    Attributes:
        blamed: Builds to roll back, each with the reason.
        clear: Builds fit for promotion, each with the stage.
        failing: Builds that fail routes, each with the routes.
        lessened: Build whose traffic is reduced; 0 for none.
        cause: Cause of the finding.
        about: Build, symptom, zone and route of the finding.
        token: Fencing token of the leader; 0 if there is no leader.
    """

    blamed: list[tuple[int, str]]
    clear: list[tuple[int, int]]
    failing: list[tuple[int, list[str]]]
    lessened: int
    cause: Cause
    about: tuple[int, str, str, str]
    token: int = 0


class PeerMessage(msgspec.Struct, kw_only=True):
    """Fields of every message to a peer; `sender` is the number of the sending instance."""

    version: int = msgspec.field(name="v")
    sender: int = msgspec.field(name="from")


class VoteGossip(PeerMessage, kw_only=True):
    """A vote of the sender on a candidate."""

    build: int
    stage: int
    vote: Vote = msgspec.field(name="verdict")


class SamplesGossip(PeerMessage, kw_only=True):
    """Samples that the sender recorded since its last message of this kind."""

    rows: list[SampleRow]


class AssessmentGossip(PeerMessage, kw_only=True):
    """Current assessment of the sender's analysis."""

    standing: AssessmentMessage


def encode_assessment(assessment: Assessment) -> AssessmentMessage:
    """Return the wire format of an assessment; long rollback reasons are truncated."""
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
    """Return the assessment that a message holds."""
    return Assessment(
        Finding(message.cause, *message.about),
        dict(message.blamed),
        dict(message.clear),
        dict(message.failing),
        message.lessened,
        message.token,
    )


class PeerGossip:
    """Sends messages to the peers and receives theirs; `addresses` maps instance numbers to addresses."""

    def __init__(
        self, runtime: StreamingRuntime, datagrams: DatagramSocket, addresses: Mapping[int, str]
    ) -> None:
        self.runtime = runtime
        self.datagrams = datagrams
        self.addresses = addresses

    # Sending.

    def gossip_vote(self, peer: int, build: int, stage: int, vote: Vote) -> None:
        """Send a vote to a peer in the background."""
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
        """Send sample rows to a peer in the background, split into as many messages as needed."""
        rows_per_message = MAX_PEER_MESSAGE_BYTES // TYPICAL_ROW_BYTES
        for offset in range(0, len(rows), rows_per_message):
            batch = rows[offset : offset + rows_per_message]
            self.send_in_background(
                peer, SamplesGossip(version=MESSAGE_VERSION, sender=self.runtime.instance_number, rows=batch)
            )

    def send_assessment(self, peer: int, assessment: Assessment) -> None:
        """Send an assessment to a peer in the background."""
        message = encode_assessment(assessment)
        self.send_in_background(
            peer,
            AssessmentGossip(version=MESSAGE_VERSION, sender=self.runtime.instance_number, standing=message),
        )

    def send_in_background(self, peer: int, message: PeerMessage) -> None:
        """Start sending a message; a peer without a known address is skipped."""
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
        """Receive messages until cancelled or until the socket fails, then close the socket.

        The socket is closed here and not together with the task group. Otherwise the group's cancellation
        became its own exception context, and the event loop followed that chain forever.
        """
        try:
            await self.receive_messages()
        finally:
            with anyio.CancelScope(shield=True):
                await self.datagrams.aclose()

    async def receive_messages(self) -> None:
        """Receive messages until the socket fails."""
        while True:
            try:
                data, source = await self.datagrams.receive()
            except STREAM_ERRORS:
                return
            with self.runtime.handler_errors.contained("peer datagram"):
                self.receive_datagram(data, source)

    def receive_datagram(self, data: bytes, source: str) -> None:
        """Handle a datagram; one that is not a valid message of a peer is logged and dropped."""
        try:
            self.handle_datagram(data, source)
        except InvalidMessageError as error:
            self.runtime.log_event(LogEvent.PEER_MESSAGE_INVALID, source=source, reason=str(error))

    def handle_datagram(self, data: bytes, source: str) -> None:
        """Check size and sender of a datagram, and handle its message.

        Raises:
            InvalidMessageError: The datagram is not a valid message of a peer.
        """
        if len(data) > MAX_PEER_MESSAGE_BYTES:
            raise PeerMessageSizeError
        fields = check_fields(decode_message(data), {"from": int})
        if self.addresses.get(fields["from"]) != source:
            raise PeerAddressError
        self.handle_message(fields)

    def handle_message(self, fields: dict[str, Any]) -> None:
        """Pass a peer's samples or assessment to the attribution, or its vote to the router.

        Raises:
            InvalidMessageError: The fields do not fit the kind of message.
        """
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
        """Return whether the row names a known server and route and its sums are consistent."""
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
