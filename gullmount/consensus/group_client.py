"""Client with which an operator shows and changes the replica group."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from gullmount.consensus.errors import GroupChangeRejectedError, NoReplicaError, OutcomeUnknownError
from gullmount.consensus.membership import Members, ReplicaGroup, group_from
from gullmount.consensus.messages import GroupAnswer, GroupRequest, encode
from gullmount.net import StreamNet
from gullmount.rpc import CallError, ConnectError, InvalidMessageError, call, decode_as

# Interval at which the group is read while a change is under way.
POLL_INTERVAL_SECONDS = 0.2
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_OUTCOME_UNKNOWN = 504


class ReplicaGroupClient:
    """Reads and changes the replica group.

    Attributes:
        addresses: Addresses of some replicas. The replica that answered last comes first and is called first.
        answer_timeout_seconds: Timeout of one call.
    """

    def __init__(self, net: StreamNet, addresses: list[str], answer_timeout_seconds: float) -> None:
        self.net = net
        self.addresses = list(addresses)
        self.answer_timeout_seconds = answer_timeout_seconds

    async def send(self, request: GroupRequest) -> ReplicaGroup:
        """Send a request to one replica after the other until one answers it.

        Raises:
            NoReplicaError: No replica gave a usable answer.
            GroupChangeRejectedError: A replica rejected the change.
            OutcomeUnknownError: The change may have begun or not.
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
        """Return the group.

        Raises:
            NoReplicaError: No replica gave a usable answer.
        """
        return await self.send(GroupRequest())

    async def change(self, change_members: Callable[[Members], Members]) -> ReplicaGroup:
        """Begin a change of the group's members.

        Args:
            change_members: Returns the new members for the current ones.
        """
        group = await self.show()
        members = tuple(sorted(change_members(group.current).items()))
        return await self.send(GroupRequest(revision=group.revision, members=members))

    async def undo(self) -> ReplicaGroup:
        """Revert the change that is under way, and return the group."""
        return await self.send(GroupRequest(revision=(await self.show()).revision, undo=True))

    async def wait_until_settled(self) -> ReplicaGroup:
        """Poll the group until no change is under way, and return it."""
        while True:
            try:
                group = await self.show()
            except NoReplicaError:
                pass
            else:
                if not group.next:
                    return group
            await anyio.sleep(POLL_INTERVAL_SECONDS)
