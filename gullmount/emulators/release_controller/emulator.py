"""The emulator of the release controller: begins releases, moves them on by votes and time, answers calls."""

from __future__ import annotations

from collections.abc import AsyncIterator
from http import HTTPStatus
from random import Random

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators.fleet import Fleet
from gullmount.emulators.links import HostNetwork, source_of
from gullmount.emulators.record import Record, RecordEvent
from gullmount.emulators.release_controller.metrics_feed import MetricsFeed
from gullmount.emulators.release_controller.release import Release, ReleasePhase, Vote
from gullmount.emulators.release_controller.rollout import Rollout
from gullmount.emulators.release_controller.settings import (
    POLL_SECONDS,
    ReleaseControl,
    ReleaseControllerFaults,
    ReleaseControllerSettings,
)
from gullmount.emulators.release_controller.status_feed import StatusFeed
from gullmount.emulators.release_controller.vote_receiver import TokenReader, VoteReceiver
from gullmount.net import Stream
from gullmount.rpc import Request, Response, serve

WATCH_PATH = "/v1/news"


class ReleaseControllerEmulator:
    """Runs the releases of a scenario.

    Attributes:
        network: of its host.
        address: where it listens.
        faults: what fails of it now.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        network: HostNetwork,
        address: str,
        fleet: Fleet,
        record: Record,
        settings: ReleaseControllerSettings,
        seed: int,
        release_times: list[float],
        read_token: TokenReader | None = None,
    ) -> None:
        """Make a release controller whose first build is released.

        Args:
            tasks: runs what outlasts a call.
            network: of its host.
            address: where it listens.
            fleet: whose machines it moves.
            record: takes what it does and what proxies are sent.
            settings: how releases go.
            seed: of its random draws.
            release_times: when the next builds are due, in seconds on the record's clock.
            read_token: of the lease that votes rest on; where there is none the first vote's token counts.
        """
        self.network = network
        self.address = address
        self.faults = ReleaseControllerFaults()
        self._record = record
        self._settings = settings
        self._tasks = tasks
        self._release_times = release_times
        self._release_delay = 0.0
        random = Random(seed)
        first = Release(1, True)
        first.stage = len(settings.stage_exposure_limits) - 1
        first.phase, first.superseded = ReleasePhase.RELEASED, True
        self._releases = [first]
        self._rollout = Rollout(self._releases, tasks, fleet, record, settings)
        self._statuses = StatusFeed(tasks, record, settings, self.faults, random)
        self._metrics = MetricsFeed(tasks, record, settings, self.faults, random)
        self._votes = VoteReceiver(self._releases, record, settings, self.faults, random, read_token)
        self._scope: anyio.CancelScope | None = None
        self._statuses.publish_at_once(first)

    async def run(self) -> None:
        """Run the releases and answer calls, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._begin_releases)
            tasks.start_soon(self._move_releases)
            if self._settings.metrics_period:
                tasks.start_soon(self._metrics.run)
            await self.serve_calls()

    def record_attempt(self, build: int, route: str, succeeded: bool, seconds: float) -> None:
        """Count an attempt for the metrics."""
        self._metrics.record_attempt(build, route, succeeded, seconds)

    # Releases

    def delay_releases(self, seconds: float) -> None:
        """Offer the builds that are due later by so many seconds than they were planned."""
        self._release_delay = seconds

    async def _begin_releases(self) -> None:
        for due in self._release_times:
            while (wait := due + self._release_delay - self._record.now()) > 0:
                await anyio.sleep(wait)
            while self.faults.stops_releases:
                await anyio.sleep(POLL_SECONDS)
            newest = self._releases[-1]
            if self._settings.concurrent_candidates == 1 and newest.phase == ReleasePhase.CANDIDATE:
                self._begin_rollback(newest, "next is due")
            while len(self._rollout.unfinished()) >= self._settings.concurrent_candidates:
                await anyio.sleep(POLL_SECONDS)
            self._supersede_released()
            from_first = not any(other.from_first_placement for other in self._rollout.unfinished())
            release = Release(newest.build + 1, from_first)
            self._releases.append(release)
            self._statuses.publish(release)
            self._rollout.enter_stage(release)

    def _supersede_released(self) -> None:
        for release in self._releases:
            if release.phase == ReleasePhase.RELEASED and not release.superseded:
                release.superseded = True
                self._rollout.drain_baseline(release)

    async def _move_releases(self) -> None:
        """Move releases on, or back, as votes and time have it."""
        while True:
            await anyio.sleep(POLL_SECONDS)
            for release in list(self._releases):
                if not release.superseded:
                    self._move_release(release)

    def _move_release(self, release: Release) -> None:
        now = self._record.now()
        if self.faults.stops_releases:
            if release.stage_since is not None:
                release.held_seconds += POLL_SECONDS
            return
        votes_to_roll_back = release.count_votes(Vote.ROLLBACK, now)
        if release.may_be_rolled_back and votes_to_roll_back >= self._settings.votes_to_roll_back:
            self._begin_rollback(release, "votes")
            return
        if release.phase != ReleasePhase.CANDIDATE or release.stage_since is None:
            return
        if self._settings.control == ReleaseControl.TIMER:
            self._hold_if_voted(release, now)
            due = now - release.stage_since - release.held_seconds >= self._settings.stage_time
        else:
            due = self._is_promoted(release, now - release.stage_since - release.held_seconds, now)
        if due:
            self._advance(release)

    def _hold_if_voted(self, release: Release, now: float) -> None:
        votes_to_hold = max(1, self._settings.votes_to_hold)
        if release.count_votes(Vote.HOLD, now) >= votes_to_hold or not self._rollout.next_stage_fits(release):
            release.held_seconds += POLL_SECONDS

    def _is_promoted(self, release: Release, stage_seconds: float, now: float) -> bool:
        return (
            stage_seconds >= self._settings.bake_time
            and self._rollout.next_stage_fits(release)
            and release.count_votes(Vote.PROMOTE, now) >= max(1, self._settings.votes_to_promote)
        )

    def _advance(self, release: Release) -> None:
        if release.stage + 1 < len(self._settings.stage_exposure_limits):
            release.stage += 1
            self._statuses.publish(release)
            self._rollout.enter_stage(release)
            return
        release.phase = ReleasePhase.RELEASED
        self._statuses.publish(release)
        self._rollout.complete(release)

    def _begin_rollback(self, release: Release, reason: str) -> None:
        self._record.note_event(RecordEvent.ROLLBACK_BEGUN, build=release.build, reason=reason)
        release.phase = ReleasePhase.ROLLING_BACK
        release.move_count += 1
        self._statuses.publish(release)
        self._tasks.start_soon(self._roll_back, release)

    async def _roll_back(self, release: Release) -> None:
        await self._rollout.roll_back(release)
        release.phase = ReleasePhase.ROLLED_BACK
        self._statuses.publish(release)

    # Calls

    async def serve_calls(self) -> None:
        """Answer votes and watches, until killed."""
        if self._scope is None:
            with anyio.CancelScope() as self._scope:
                await self.network.serve(self.address, self._serve_connection)

    def kill(self) -> None:
        """End calls and forget the votes and the token; releases go on, as written on disk.

        `serve_calls` begins anew.
        """
        if self._scope is not None:
            scope, self._scope = self._scope, None
            scope.cancel()
        self._votes.forget()

    async def _serve_connection(self, stream: Stream) -> None:
        await serve(stream, self._answer)

    async def _answer(self, request: Request, stream: Stream) -> Response:
        host = source_of(stream)
        proxy = self.network.links.names_by_host.get(host, "")
        if request.target.startswith(WATCH_PATH):
            return Response(200, lines=self._watch(host, proxy))
        response = await self._votes.answer(request.body, proxy)
        await self.network.wait_until_reachable(host)
        if response.status == HTTPStatus.OK:
            response.body = self._statuses.lines(proxy)
        return response

    async def _watch(self, host: str, proxy: str) -> AsyncIterator[bytes]:
        """Yield statuses and metrics, at each change and from time to time."""
        reports_sent = self._metrics.report_count
        while True:
            await self.network.wait_until_reachable(host)
            yield self._statuses.lines(proxy)
            await self._wait_for_news()
            for line in self._metrics.lines_after(reports_sent):
                yield line
            reports_sent = self._metrics.report_count

    async def _wait_for_news(self) -> None:
        """Return at the next status or report, or once it is time to send the statuses again."""
        deadline = anyio.current_time() + self._settings.push_interval
        with anyio.CancelScope(deadline=deadline):
            async with anyio.create_task_group() as tasks:

                async def wait(event: anyio.Event) -> None:
                    await event.wait()
                    tasks.cancel_scope.cancel()

                tasks.start_soon(wait, self._statuses.changed)
                tasks.start_soon(wait, self._metrics.reported)
