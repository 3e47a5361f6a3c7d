"""Exchanges votes between proxy instances in datagrams, which may be lost.

`gullmount.settings.peer_vote` defines the text of a datagram.
"""

from __future__ import annotations

import anyio

from gullmount.decisions.model import Vote
from gullmount.net import STREAM_ERRORS, DatagramSocket
from gullmount.platform.log_events import LogEvent
from gullmount.proxy.runtime import BufferedRuntime
from gullmount.settings import PeerVote, decode_peer_vote, encode_peer_vote

# Maximum size of a datagram, as defined by the protocol.
MAX_DATAGRAM_BYTES = 256


class VoteGossip:
    """Sends votes to peers and receives votes from them.

    The address from which a datagram arrives determines the peer whose vote it is.

    Attributes:
        runtime: runtime of the instance.
        datagrams: socket of the instance.
        peer_addresses: addresses of all instances in the order of their numbers.
        peer_numbers: numbers of the instances by address.
    """

    def __init__(
        self, runtime: BufferedRuntime, datagrams: DatagramSocket, peer_addresses: list[str]
    ) -> None:
        self.runtime = runtime
        self.datagrams = datagrams
        self.peer_addresses = peer_addresses
        self.peer_numbers = {address: number for number, address in enumerate(peer_addresses)}

    def gossip_vote(self, peer: int, build: int, stage: int, vote: Vote) -> None:
        """Start sending a vote to the instance with number `peer`; an unknown number is ignored."""
        if 0 <= peer < len(self.peer_addresses):
            self.runtime.task_group.start_soon(
                self.send, peer, encode_peer_vote(PeerVote(build, stage, vote))
            )

    async def send(self, peer: int, text: str) -> None:
        """Send one datagram and log a failure."""
        try:
            await self.datagrams.send(text.encode(), self.peer_addresses[peer])
        except STREAM_ERRORS as error:
            self.runtime.log_event(LogEvent.PEER_UNREACHABLE, peer=peer, reason=type(error).__name__)

    async def receive_forever(self) -> None:
        """Receive votes until cancelled or the socket fails. Invalid datagrams are dropped."""
        try:
            while True:
                data, source = await self.datagrams.receive()
                with self.runtime.handler_errors.contained("peer datagram"):
                    self.handle_datagram(data, source)
        except STREAM_ERRORS as error:
            self.runtime.log_event(LogEvent.PEER_SOCKET_BROKEN, reason=type(error).__name__)
        finally:
            with anyio.CancelScope(shield=True):
                await self.datagrams.aclose()

    def handle_datagram(self, data: bytes, source: str) -> None:
        """Pass a peer's vote to the router, and ignore any other datagram."""
        peer = self.peer_numbers.get(source)
        if peer is None or len(data) > MAX_DATAGRAM_BYTES:
            return
        peer_vote = decode_peer_vote(data.decode("latin-1"))
        if peer_vote is not None:
            arrived_at = self.runtime.stalls.arrival_time()
            self.runtime.router.receive_vote(
                peer, peer_vote.build, peer_vote.stage, peer_vote.vote, arrived_at
            )
