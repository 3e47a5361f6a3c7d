"""Client of the registers: reads, changes by compare-and-set, and watches them through any replica."""

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

# Backoff before a broken watch is opened again, doubled with each attempt. The wait is drawn at random from
# one to two times the backoff.
BACKOFF_SECONDS = 0.2
# Maximum backoff. A client must learn of a new lease holder within a term.
MAX_BACKOFF_SECONDS = 2.0
STATUS_OK = 200
STATUS_OUTCOME_UNKNOWN = 504


class RegisterClient:
    """Sends register requests to the replicas.

    Requests for one register go to the same replica as long as it answers, because rounds that two replicas
    run for one register supersede each other.

    Attributes:
        addresses: Addresses of the replicas.
        preferred: Address that is called first, by register.
        answer_timeout_seconds: Timeout of one call.
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
        """Return the addresses in the order in which they are called for a register."""
        addresses = self.addresses
        first = crc32(register.encode())
        if self.preferred.get(register) in addresses:
            first = addresses.index(self.preferred[register])
        return [addresses[(first + step) % len(addresses)] for step in range(len(addresses))]

    async def follow_group(self) -> None:
        """Watch the replica group and keep `addresses` up to date with its members, until cancelled.

        The watch starts from the addresses known now.
        """
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
        """Return the chosen value of a register.

        Raises:
            NoReplicaError: No replica gave a usable answer.
        """
        return (await self.send(RegisterRequest(register=register))).chosen

    async def change(self, register: str, expected_version: int, value: Any) -> ChangeResult:
        """Set a register to `value` if its version is still `expected_version`.

        Returns:
            Whether the register was changed, and its chosen value now.

        Raises:
            NoReplicaError: No replica gave a usable answer; nothing was changed.
            OutcomeUnknownError: The change may have been made or not.
        """
        request = RegisterRequest(register=register, expected_version=expected_version, value=value)
        return await self.send(request)

    async def send(self, request: RegisterRequest) -> ChangeResult:
        """Send a request to one replica after the other until one answers it.

        A change is not sent to another replica once a replica may have received it.

        Raises:
            NoReplicaError: No replica gave a usable answer; nothing was changed.
            OutcomeUnknownError: The change may have been made or not.
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
        """Yield each newer value of a register that the replicas report, until cancelled.

        A broken watch is opened again at the next replica. It begins with the register's value, which covers
        the changes made in the meantime.
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
