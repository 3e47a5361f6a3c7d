"""The operator's view of the replica group."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from gullmount.consensus.errors import GroupChangeRejectedError, NoReplicaError, OutcomeUnknownError
from gullmount.consensus.membership import Members, ReplicaGroup, group_from
from gullmount.consensus.messages import GroupAnswer, GroupRequest, encode
from gullmount.net import StreamNet
from gullmount.rpc import CallError, ConnectError, InvalidMessageError, call, decode_as

POLL_INTERVAL_SECONDS = 0.2  # while a change is under way
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_OUTCOME_UNKNOWN = 504


class ReplicaGroupClient:
    """Shows and changes the group.

    Attributes:
        addresses: of some replicas; who answered last is asked first.
        answer_timeout_seconds: for one call.
    """

    def __init__(self, net: StreamNet, addresses: list[str], answer_timeout_seconds: float) -> None:
        self.net = net
        self.addresses = list(addresses)
        self.answer_timeout_seconds = answer_timeout_seconds

    async def send(self, request: GroupRequest) -> ReplicaGroup:
        """Ask one replica after the other.

        Raises NoReplicaError, GroupChangeRejectedError; OutcomeUnknownError where a change may have begun.
        """
        is_change = isinstance(request.revision, int)
        body = encode(request)
        for address in list(self.addresses):
            try:
                with anyio.fail_after(self.answer_timeout_seconds):
                    response = await call(self.net, address, "POST", "/v1/group", body)
                if response.status == STATUS_OK:
                    decoded = decode_as(response.body, GroupAnswer)
                    self.addresses.remove(address)
                    self.addresses.insert(0, address)
                    return group_from(decoded.group)
                if response.status == STATUS_CONFLICT:
                    raise GroupChangeRejectedError(response.body.decode("utf-8", "replace").strip())
                if response.status == STATUS_OUTCOME_UNKNOWN:
                    raise OutcomeUnknownError
            except ConnectError:
                continue
            except (CallError, InvalidMessageError, TimeoutError):
                if is_change:
                    raise OutcomeUnknownError from None
        raise NoReplicaError

    async def show(self) -> ReplicaGroup:
        """Return the group; raise NoReplicaError."""
        return await self.send(GroupRequest())

    async def change(self, change_members: Callable[[Members], Members]) -> ReplicaGroup:
        """Begin a change; `make` returns the new members for the present ones."""
        group = await self.show()
        members = tuple(sorted(change_members(group.current).items()))
        return await self.send(GroupRequest(revision=group.revision, members=members))

    async def undo(self) -> ReplicaGroup:
        """Revert the change that is under way."""
        return await self.send(GroupRequest(revision=(await self.show()).revision, undo=True))

    async def wait_until_settled(self) -> ReplicaGroup:
        """Return the group once no change is under way."""
        while True:
            try:
                group = await self.show()
            except NoReplicaError:
                pass
            else:
                if not group.next:
                    return group
            await anyio.sleep(POLL_INTERVAL_SECONDS)
