"""The machines of releases: new ones for each stage, and those of the good build back after a rollback."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators.fleet import Fleet, Placement
from gullmount.emulators.record import Record
from gullmount.emulators.release_controller.release import Release, ReleasePhase
from gullmount.emulators.release_controller.settings import POLL_SECONDS, ReleaseControllerSettings

STAGE_START_DELAY_SECONDS = 1.0  # after all machines of a stage run until its time counts
MAX_BOOT_SECONDS = 8.0  # after their launch, when the delay begins in any case
RESERVED_SHARE = 0.2  # of the placements, kept from a newer candidate beside an older one, for comparison


class Rollout:
    """Moves the machines of all releases.

    Attributes:
        releases: all, the oldest first.
    """

    def __init__(
        self,
        releases: list[Release],
        tasks: TaskGroup,
        fleet: Fleet,
        record: Record,
        settings: ReleaseControllerSettings,
    ) -> None:
        self.releases = releases
        self._tasks = tasks
        self._fleet = fleet
        self._record = record
        self._settings = settings

    def unfinished(self) -> list[Release]:
        """Return the releases whose machines are still to be moved."""
        return [release for release in self.releases if release.is_unfinished]

    def next_stage_fits(self, release: Release) -> bool:
        """Whether the next stage leaves an older candidate its placements, and a part to the baseline."""
        older = [other for other in self.unfinished() if other.build < release.build]
        if not older:
            return True
        shares = self._settings.stage_shares
        taken = sum(shares[other.stage] for other in older)
        is_last = release.stage + 1 >= len(shares)
        return not is_last and shares[release.stage + 1] + taken <= 1 - RESERVED_SHARE

    # A stage

    def enter_stage(self, release: Release) -> None:
        """Launch the machines of the release's stage; its time counts soon after they run."""
        release.stage_since, release.held_seconds = None, 0.0
        release.move_count += 1
        self._tasks.start_soon(self._launch_stage, release, release.move_count)

    async def _launch_stage(self, release: Release, move_count: int) -> None:
        launched_at = self._record.now()
        placements = self._stage_placements(release)
        async with anyio.create_task_group() as tasks:
            for placement in placements:
                if release.build not in placement.machines:
                    tasks.start_soon(self._replace, placement, release)

            async def start_stage_time() -> None:
                while self._record.now() < launched_at + MAX_BOOT_SECONDS:
                    machines = [placement.machines.get(release.build) for placement in placements]
                    if all(machine is not None and machine.running for machine in machines):
                        break
                    await anyio.sleep(POLL_SECONDS)
                await anyio.sleep(STAGE_START_DELAY_SECONDS)
                if release.move_count == move_count:
                    release.stage_since = self._record.now()

            tasks.start_soon(start_stage_time)

    def _stage_placements(self, release: Release) -> list[Placement]:
        placements = self._fleet.placements
        count = max(1, round(self._settings.stage_shares[release.stage] * len(placements)))
        part = placements[:count] if release.from_first_placement else placements[-count:]
        return self._without_other_candidates(release, part)

    def _without_other_candidates(self, release: Release, placements: list[Placement]) -> list[Placement]:
        """Return the placements at which no other candidate has machines."""
        others = [other.build for other in self.unfinished() if other is not release]
        return [
            placement for placement in placements if not any(build in placement.machines for build in others)
        ]

    async def _replace(self, placement: Placement, release: Release) -> None:
        """Launch a machine of the release and drain the earlier ones, unless they stay beside it."""
        await self._fleet.launch(placement, release.build)
        if not self._settings.keeps_baseline_beside and release.may_be_rolled_back:
            self._drain_others(placement, release)

    def _drain_others(self, placement: Placement, release: Release) -> None:
        for build in [build for build in placement.machines if build != release.build]:
            self._fleet.drain(placement, build)

    # The end of a release

    def complete(self, release: Release) -> None:
        """Give a release that was promoted at its last stage all placements."""
        self.drain_baseline(release)
        for placement in self._without_other_candidates(release, self._fleet.placements):
            if release.build not in placement.machines:
                self._tasks.start_soon(self._replace, placement, release)

    def drain_baseline(self, release: Release) -> None:
        """Drain the other builds where the release's machine runs, but for those of another candidate."""
        for placement in self._without_other_candidates(release, self._fleet.placements):
            machine = placement.machines.get(release.build)
            if machine is not None and machine.running:
                self._drain_others(placement, release)

    async def roll_back(self, release: Release) -> None:
        """Give its placements back to the build that serves; return once its machines drain."""
        good_build = max(other.build for other in self.releases if other.phase == ReleasePhase.RELEASED)
        async with anyio.create_task_group() as tasks:
            for placement in self._fleet.placements:
                if release.build in placement.machines:
                    tasks.start_soon(self._restore, placement, good_build, release)

    async def _restore(self, placement: Placement, good_build: int, release: Release) -> None:
        """Launch a machine of the good build first, where its old one has gone."""
        machine = placement.machines.get(good_build)
        if machine is None or machine.draining:
            if machine is not None:
                self._fleet.remove(placement, machine)
            await self._fleet.launch(placement, good_build)
        self._fleet.drain(placement, release.build)
