"""The statuses of releases, as proxies get them: some time after each change."""

from __future__ import annotations

from random import Random

import anyio
import msgspec
from anyio.abc import TaskGroup
from msgspec import Struct, field

from gullmount.emulators.record import Record, RecordEvent
from gullmount.emulators.release_controller.release import Release, ReleaseStatus
from gullmount.emulators.release_controller.settings import (
    ReleaseControllerFaults,
    ReleaseControllerSettings,
)
from gullmount.rpc import MESSAGE_VERSION

MAX_BUILDS = 3  # the newest, whose statuses are sent: two candidates and what was released last


class _StatusMessage(Struct, kw_only=True):
    v: int = MESSAGE_VERSION
    status: ReleaseStatus = field(name="news")


class StatusFeed:
    """What proxies are sent about releases.

    Attributes:
        changed: set and replaced whenever there is another status to send.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        record: Record,
        settings: ReleaseControllerSettings,
        faults: ReleaseControllerFaults,
        random: Random,
    ) -> None:
        self.changed = anyio.Event()
        self._tasks = tasks
        self._record = record
        self._settings = settings
        self._faults = faults
        self._random = random
        self._statuses: dict[int, ReleaseStatus] = {}

    def publish(self, release: Release) -> None:
        """Send the status that the release has now, some time later."""
        self._tasks.start_soon(self._show_later, self._recorded_status(release))

    def publish_at_once(self, release: Release) -> None:
        """Send the status that the release has now to whoever asks from now on."""
        self._show(self._recorded_status(release))

    def _recorded_status(self, release: Release) -> ReleaseStatus:
        status = release.status(self._settings.stage_exposure_limits)
        self._record.note_event(RecordEvent.RELEASE_CHANGED, **status.as_fields())
        return status

    async def _show_later(self, status: ReleaseStatus) -> None:
        delays = self._faults.status_delays
        added = delays.get(0, 0.0) + delays.get(status.build, 0.0)
        await anyio.sleep(self._random.uniform(*self._settings.status_delay) + added)
        self._show(status)
        self.changed.set()
        self.changed = anyio.Event()

    def _show(self, status: ReleaseStatus) -> None:
        if self._settings.concurrent_candidates == 1:
            self._statuses.clear()
        self._statuses[status.build] = status
        newest = sorted(self._statuses)[-MAX_BUILDS:]
        self._statuses = {build: self._statuses[build] for build in newest}

    def lines(self, proxy: str) -> bytes:
        """Return the line of each status, the oldest build first, and record that the proxy is sent them."""
        return b"".join(self._line(proxy, status) for status in self._statuses.values())

    def _line(self, proxy: str, status: ReleaseStatus) -> bytes:
        self._record.note_event(RecordEvent.RELEASE_STATUS_SENT, proxy=proxy, **status.as_fields())
        return msgspec.json.encode(_StatusMessage(status=status)) + b"\n"
