"""The emulator of a receiver of effects: it accepts lease holders and rejects outdated ones.

docs/protocols.md describes the announcement. Only the structs here turn a name on the wire into the term
that the code uses.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import msgspec
from msgspec import Struct, field

from gullmount.emulators.links import HostNetwork, source_of
from gullmount.emulators.record import Record, RecordEvent
from gullmount.net import Stream
from gullmount.rpc import (
    MESSAGE_VERSION,
    InvalidMessageError,
    Request,
    Response,
    check_fields,
    decode_message,
    serve,
)

MAX_ANNOUNCEMENT_BYTES = 4096
ANNOUNCEMENT_FIELDS: dict[str, type | tuple[type, ...]] = {
    "job": str,
    "owner": int,
    "token": int,
    "number": int,
}

TokenReader = Callable[[str], Awaitable[int | None]]
"""Returns the token that a lease has now, by its name; None where nobody says."""


class LeaseAnnouncement(Struct):
    """Says who holds a lease; `number` counts the announcements of one holder."""

    lease: str = field(name="job")
    holder: int = field(name="owner")
    token: int
    number: int


class _Accepted(Struct):
    v: int = MESSAGE_VERSION


class _Rejected(Struct, kw_only=True):
    v: int = MESSAGE_VERSION
    token: int


class LeaseAnnouncementReceiver:
    """Accepts announcements with the highest token it knows; lives as long as the scenario.

    Attributes:
        address: where it listens.
        tokens: by lease, the highest seen; nobody is believed before the present one was read.
        lease_holders: by lease, whose announcement was accepted last.
    """

    def __init__(self, network: HostNetwork, address: str, record: Record, read_token: TokenReader) -> None:
        self.address = address
        self.tokens: dict[str, int] = {}
        self.lease_holders: dict[str, int] = {}
        self._network = network
        self._record = record
        self._read_token = read_token
        self._scope: anyio.CancelScope | None = None

    async def serve_calls(self) -> None:
        """Accept announcements until killed."""
        if self._scope is None:
            with anyio.CancelScope() as self._scope:
                await self._network.serve(self.address, self._serve_connection)

    def kill(self) -> None:
        """End what it does and forget its tokens; `serve_calls` begins anew."""
        if self._scope is not None:
            scope, self._scope = self._scope, None
            scope.cancel()
        self.tokens = {}

    async def _serve_connection(self, stream: Stream) -> None:
        await serve(stream, self._answer, MAX_ANNOUNCEMENT_BYTES)

    async def _answer(self, request: Request, stream: Stream) -> Response:
        try:
            message = check_fields(decode_message(request.body), ANNOUNCEMENT_FIELDS)
        except InvalidMessageError as error:
            return Response(400, f"{error}\n".encode())
        announcement = msgspec.convert(message, LeaseAnnouncement)
        lease, token = announcement.lease, announcement.token
        if lease not in self.tokens:
            present = await self._read_token(lease)
            if present is None:
                return Response(503, b"the job's token is not known yet\n")
            self.tokens[lease] = max(present, self.tokens.get(lease, 0))
        accepted = token >= self.tokens[lease]
        self._record.note_event(
            RecordEvent.ANNOUNCEMENT_RECEIVED,
            lease=lease,
            holder=announcement.holder,
            token=token,
            number=announcement.number,
            source=self._network.links.names_by_host.get(source_of(stream), ""),
            accepted=accepted,
        )
        if not accepted:
            return Response(409, msgspec.json.encode(_Rejected(token=self.tokens[lease])))
        self.tokens[lease] = token
        self.lease_holders[lease] = announcement.holder
        return Response(200, msgspec.json.encode(_Accepted()))
