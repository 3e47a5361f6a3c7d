"""The messages of the explored ballots, encoded as on the wire, so that states can share and compare them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from gullmount.consensus.ballot_round import Phase
from gullmount.consensus.messages import Ballot


class EncodedBody(NamedTuple):
    """A message's body as it goes over the wire, and the type to decode it by."""

    body_type: type[Any]
    data: bytes


def encode_body(body: Any) -> EncodedBody:
    """Encode a request or answer."""
    return EncodedBody(type(body), msgspec.json.encode(body))


def decode_body(body: EncodedBody | None) -> Any:
    """Return the request or answer as the receiver sees it; None stays None."""
    return None if body is None else msgspec.json.decode(body.data, type=body.body_type)


@dataclass(frozen=True)
class BallotMessage:
    """A request of a ballot or its answer.

    Attributes:
        source: the replica that sends it.
        target: the replica that it is for.
        phase: of the ballot.
        ballot: the round that it belongs to.
        body: the request or answer.
        is_answer: tells an answer from its request.
    """

    source: int
    target: int
    phase: Phase
    ballot: Ballot
    body: EncodedBody
    is_answer: bool = False


@dataclass(frozen=True)
class JoinMessage:
    """A restarted replica's request to be admitted, or the answer.

    Attributes:
        source: the replica that sends it.
        target: the replica that it is for.
        incarnation: that is requested.
        body: the answer, None of a request.
    """

    source: int
    target: int
    incarnation: int
    body: EncodedBody | None = None

    @property
    def is_answer(self) -> bool:
        """Whether it is the answer."""
        return self.body is not None


Message = BallotMessage | JoinMessage


class MessageTable:
    """All messages that were ever sent, by number: a state holds the numbers of those in flight."""

    def __init__(self) -> None:
        self._numbers: dict[Message, int] = {}
        self._messages: list[tuple[Message, Any]] = []

    def number(self, message: Message) -> int:
        """Return the message's number; equal messages have one."""
        if message not in self._numbers:
            self._numbers[message] = len(self._messages)
            self._messages.append((message, decode_body(message.body)))
        return self._numbers[message]

    def message(self, number: int) -> tuple[Message, Any]:
        """Return the message of a number and its decoded body."""
        return self._messages[number]
