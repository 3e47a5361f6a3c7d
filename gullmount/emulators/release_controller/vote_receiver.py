"""Votes as they come in: how many are accepted, which are lost, what they rest on, what they count for."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from random import Random

import anyio
import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from gullmount.emulators.record import Record, RecordEvent
from gullmount.emulators.release_controller.release import CountedVote, Release, Vote
from gullmount.emulators.release_controller.settings import (
    ReleaseControl,
    ReleaseControllerFailure,
    ReleaseControllerFaults,
    ReleaseControllerSettings,
)
from gullmount.rpc import InjectedFailure, Response

LEADER_LEASE = "judge"  # whose token votes may carry
BURST_SECONDS = 2  # of the accepted rate that may come at once
COUNTED_SHARE_WHEN_SILENT = 0.5  # of the votes that get no answer

TokenReader = Callable[[str], Awaitable[int | None]]
"""Returns the token that a lease has now, by its name; None where nobody says."""


class VoteMessage(Struct):
    """A vote on the wire; `token` is there where it rests on a lease."""

    instance_number: int = field(name="umpire")
    build: int
    stage: int
    vote: str = field(name="verdict")
    token: int | UnsetType = UNSET


class VoteRateLimit:
    """A token bucket for the votes of all instances."""

    def __init__(self, votes_per_second: float) -> None:
        self._votes_per_second = votes_per_second
        self._available = votes_per_second
        self._updated_at = 0.0

    def refill(self, now: float) -> None:
        """Make votes available for the time since the last call."""
        earned = (now - self._updated_at) * self._votes_per_second
        self._available = min(BURST_SECONDS * self._votes_per_second, self._available + earned)
        self._updated_at = now

    @property
    def is_spent(self) -> bool:
        """Whether no vote is available."""
        return self._available < 1

    def take(self) -> None:
        """Use a vote, also where none is available."""
        self._available -= 1


class VoteReceiver:
    """Answers votes and counts them at their releases."""

    def __init__(
        self,
        releases: Sequence[Release],
        record: Record,
        settings: ReleaseControllerSettings,
        faults: ReleaseControllerFaults,
        random: Random,
        read_token: TokenReader | None,
    ) -> None:
        """Count votes.

        Args:
            releases: all, the oldest first; it may grow.
            record: takes the votes.
            settings: of the release controller.
            faults: of the release controller.
            random: for delays and losses.
            read_token: where there is none the first vote's token counts.
        """
        self._releases = releases
        self._record = record
        self._settings = settings
        self._faults = faults
        self._random = random
        self._read_token = read_token
        self._rate_limit = VoteRateLimit(settings.votes_per_second)
        self._highest_token: int | None = None  # not known after a start

    def forget(self) -> None:
        """Lose what is in memory only."""
        self._highest_token = None
        for release in self._releases:
            release.votes.clear()

    async def answer(self, body: bytes, proxy: str) -> Response:
        """Take the vote of a proxy; the answer has no statuses yet."""
        await anyio.sleep(self._random.uniform(*self._settings.answer_delay))
        now = self._record.now()
        try:
            message = msgspec.json.decode(body, type=VoteMessage)
        except msgspec.DecodeError:
            return Response(400, b"not a vote\n")
        self._rate_limit.refill(now)
        counts = True
        loss = self._faults.vote_loss.get(message.build)
        if loss and self._random.random() < loss:
            return Response(0, failure=InjectedFailure.SILENCE)
        if self._faults.failure == ReleaseControllerFailure.ERRORS:
            return Response(500, b"out of order\n")
        if self._faults.failure == ReleaseControllerFailure.SILENCE:
            counts = self._random.random() < COUNTED_SHARE_WHEN_SILENT
        elif self._rate_limit.is_spent:
            return Response(429, b"too many votes\n")
        self._rate_limit.take()
        rejection = await self._check_token(message, proxy)
        if rejection is not None:
            return rejection
        return self._count(message, proxy, now, counts)

    async def _check_token(self, message: VoteMessage, proxy: str) -> Response | None:
        """Return the answer to a vote that rests on an outdated lease; None where it may count."""
        token = message.token
        if isinstance(token, UnsetType):
            return None
        if self._highest_token is None:
            present = 0 if self._read_token is None else await self._read_token(LEADER_LEASE)
            if present is None:
                return Response(503, b"the judge's token is not known yet\n")
            self._highest_token = max(present, self._highest_token or 0)
        if token < self._highest_token:
            self._note(RecordEvent.VOTE_OUTDATED, message, proxy)
            return Response(409, b"of an earlier judge\n")
        self._highest_token = token
        return None

    def _count(self, message: VoteMessage, proxy: str, now: float, counts: bool) -> Response:
        release = self._release_for(message)
        if release is not None and counts:
            until = now + self._settings.vote_lifetime
            release.votes[message.instance_number] = CountedVote(message.stage, message.vote, until)
            self._note(RecordEvent.VOTE_COUNTED, message, proxy)
        if self._faults.failure == ReleaseControllerFailure.SILENCE:
            return Response(0, failure=InjectedFailure.SILENCE)
        if release is None:
            return Response(409, b"moot\n")
        return Response(200)

    def _release_for(self, message: VoteMessage) -> Release | None:
        """Return the release that a vote concerns; None where it concerns none any more."""
        by_timer = self._settings.control == ReleaseControl.TIMER
        votes = (Vote.HOLD if by_timer else Vote.PROMOTE, Vote.ROLLBACK, Vote.NONE)
        for release in self._releases:
            if release.build == message.build and release.may_be_rolled_back and not release.superseded:
                wrong_stage = message.vote == Vote.PROMOTE and message.stage != release.stage
                return release if message.vote in votes and not wrong_stage else None
        return None

    def _note(self, event: RecordEvent, message: VoteMessage, proxy: str) -> None:
        token = {} if isinstance(message.token, UnsetType) else {"token": message.token}
        self._record.note_event(
            event, proxy=proxy, build=message.build, stage=message.stage, vote=message.vote, **token
        )
