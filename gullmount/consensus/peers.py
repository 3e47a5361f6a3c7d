"""Client for the requests that a replica sends to the other replicas."""

from __future__ import annotations

import anyio
import msgspec

from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.local_acceptor import LocalAcceptor
from gullmount.consensus.log_events import Log, LogEvent
from gullmount.consensus.messages import (
    ANSWERS,
    JoinMarkRequest,
    PeerAnswer,
    PeerRequest,
    RejectedAnswer,
    encode,
)
from gullmount.net import StreamNet
from gullmount.rpc import CallError, ConnectionPool, InvalidMessageError, convert, decode_message

PEER_PATH = "/v1/keeper"
STATUS_OK = 200


class PeerClient:
    """Sends requests to other replicas over persistent connections.

    A request may arrive twice: a replica answers both copies alike.
    """

    def __init__(self, config: ReplicaConfig, net: StreamNet, acceptor: LocalAcceptor, log: Log) -> None:
        self.config = config
        self.acceptor = acceptor
        self.log = log
        self.pool = ConnectionPool(net)

    async def ask(self, replica: int, request: PeerRequest) -> PeerAnswer | None:
        """Send a request to a member of the group and return the answer.

        Returns None if the replica is no member or gives no usable answer.
        """
        address = self.acceptor.state.group.addresses.get(replica)
        return None if address is None else await self.ask_at(address, request)

    async def ask_at(self, address: str, request: PeerRequest | JoinMarkRequest) -> PeerAnswer | None:
        """Send a request to an address and return the answer, or None if there is no usable one."""
        identified_request = msgspec.structs.replace(
            request, sender=self.config.number, group_name=self.config.group
        )
        try:
            with anyio.fail_after(self.config.call_within):
                response = await self.pool.call(address, "POST", PEER_PATH, encode(identified_request))
            if response.status != STATUS_OK:
                return None
            message = decode_message(response.body)
        except (CallError, InvalidMessageError, TimeoutError):
            return None
        answer_type = ANSWERS.get(type(request))
        if answer_type is None:
            return None
        try:
            head = convert(message, PeerAnswer)
            return convert(message, answer_type if head.ok else RejectedAnswer)
        except InvalidMessageError as error:
            self.log(LogEvent.PEER_ANSWER_INVALID, address=address, reason=str(error))
            return None

    async def aclose(self) -> None:
        """Close the persistent connections."""
        await self.pool.aclose()
