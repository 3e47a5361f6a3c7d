"""Registers as their users see them: read, change if unchanged, watch. Any replica will do."""

from __future__ import annotations

from collections.abc import AsyncIterator
from random import Random
from typing import Any
from zlib import crc32

import anyio

from gullmount.consensus.errors import NoReplicaError, OutcomeUnknownError
from gullmount.consensus.log_events import Log, LogEvent, no_log
from gullmount.consensus.membership import GROUP, group_from_register
from gullmount.consensus.messages import RegisterAnswer, RegisterLine, RegisterRequest, encode
from gullmount.consensus.registers import ChangeResult, RegisterValue
from gullmount.net import StreamNet
from gullmount.rpc import (
    CallError,
    ConnectError,
    InvalidMessageError,
    call,
    convert,
    decode_as,
    decode_message,
    stream_lines,
)

BACKOFF_SECONDS = 0.2  # before a broken watch is opened again, up to twice that by chance; doubles
MAX_BACKOFF_SECONDS = 2.0  # a lease holder must be known within a term
STATUS_OK = 200
STATUS_OUTCOME_UNKNOWN = 504


class RegisterClient:
    """Calls to replicas.

    Calls for one register go to one replica as long as it answers: rounds of two replicas supersede each
    other.

    Attributes:
        addresses: of the replicas.
        preferred: by register, the address that is asked first.
        answer_timeout_seconds: for one call.
    """

    def __init__(
        self,
        net: StreamNet,
        addresses: list[str],
        random: Random,
        answer_timeout_seconds: float,
        log: Log = no_log,
    ) -> None:
        self.net = net
        self.addresses = addresses
        self.random = random
        self.answer_timeout_seconds = answer_timeout_seconds
        self.log = log
        self.preferred: dict[str, str] = {}

    def addresses_in_order(self, register: str) -> list[str]:
        """Return the addresses in the order in which they are asked."""
        addresses = self.addresses
        first = crc32(register.encode())
        if self.preferred.get(register) in addresses:
            first = addresses.index(self.preferred[register])
        return [addresses[(first + step) % len(addresses)] for step in range(len(addresses))]

    async def follow_group(self) -> None:
        """Go by the group as the replicas tell it, from the addresses known now, for ever."""
        async for chosen in self.watch(GROUP):
            if chosen.version == 0:
                continue
            try:
                group = group_from_register(chosen.version, chosen.value)
            except InvalidMessageError as error:
                self.log(LogEvent.GROUP_REGISTER_INVALID, reason=str(error))
                continue
            self.addresses = [address for _, address in sorted(group.addresses.items())]

    async def read(self, register: str) -> RegisterValue:
        """Return what is chosen; raise NoReplicaError."""
        return (await self.send(RegisterRequest(register=register))).chosen

    async def change(self, register: str, expected_version: int, value: Any) -> ChangeResult:
        """Return whether changed, and what is chosen now; raise NoReplicaError, OutcomeUnknownError."""
        request = RegisterRequest(register=register, expected_version=expected_version, value=value)
        return await self.send(request)

    async def send(self, request: RegisterRequest) -> ChangeResult:
        """Ask one replica after the other; raise NoReplicaError, OutcomeUnknownError.

        A change is not sent again once a replica may have got it.
        """
        is_change = isinstance(request.expected_version, int)
        body = encode(request)
        for address in self.addresses_in_order(request.register):
            try:
                with anyio.fail_after(self.answer_timeout_seconds):
                    response = await call(self.net, address, "POST", "/v1/register", body)
                if response.status == STATUS_OK:
                    result = decode_as(response.body, RegisterAnswer)
                    self.preferred[request.register] = address
                    return ChangeResult(result.changed, RegisterValue(result.version, result.value))
                if is_change and response.status == STATUS_OUTCOME_UNKNOWN:
                    raise OutcomeUnknownError
            except ConnectError:
                continue
            except (CallError, InvalidMessageError, TimeoutError):
                if is_change:
                    raise OutcomeUnknownError from None
        raise NoReplicaError

    async def watch(self, register: str) -> AsyncIterator[RegisterValue]:
        """Yield each value that is seen, for ever.

        What changed while a watch was broken is seen when the next one begins.
        """
        backoff, version, attempts = BACKOFF_SECONDS, -1, 0
        while True:
            addresses = self.addresses_in_order(register)
            address = addresses[attempts % len(addresses)]
            try:
                async for line in stream_lines(self.net, address, f"/v1/watch?register={register}"):
                    message = decode_message(line)
                    if message.get("kind") == "alive":
                        continue
                    update = convert(message, RegisterLine)
                    backoff = BACKOFF_SECONDS
                    if update.version > version:
                        version = update.version
                        yield RegisterValue(version, update.value)
            except (CallError, InvalidMessageError) as error:
                self.log(LogEvent.REGISTER_WATCH_ENDED, register=register, reason=str(error))
            attempts += 1
            await anyio.sleep(backoff * (1 + self.random.random()))
            backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
