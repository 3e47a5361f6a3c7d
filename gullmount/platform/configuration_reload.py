"""Reads the configuration file again after SIGHUP."""

from __future__ import annotations

from collections.abc import Mapping

import anyio
from anyio.abc import TaskGroup

from gullmount.platform.configuration import InvalidConfigurationError, read_configuration
from gullmount.platform.instance import PlatformInstance
from gullmount.platform.log_events import LogEvent

MAX_READ_ATTEMPTS = 16  # of a file that cannot be read, as it may be half written
RETRY_INTERVAL_SECONDS = 0.1  # what discovery has counts as notified 4 s after SIGHUP


class ConfigurationReload:
    """Applies the file to an instance; a file that is found half written is read again for a while."""

    def __init__(
        self, instance: PlatformInstance, environment: Mapping[str, str], task_group: TaskGroup
    ) -> None:
        self.instance = instance
        self.environment = environment
        self.task_group = task_group
        self.read_scope = anyio.CancelScope()

    def begin(self) -> None:
        """Begin to read; a read under way is dropped, as what stands in the file now is newer."""
        self.read_scope.cancel()
        self.read_scope = anyio.CancelScope()
        self.task_group.start_soon(self.read_until_valid, self.read_scope)

    async def read_until_valid(self, read_scope: anyio.CancelScope) -> None:
        """Read until the file can be applied, or as often as is allowed; the first failure is logged."""
        with read_scope:
            await anyio.lowlevel.checkpoint()
            for attempt in range(MAX_READ_ATTEMPTS):
                try:
                    configuration = read_configuration(self.environment)
                except InvalidConfigurationError as error:
                    if attempt == 0:
                        self.instance.log(LogEvent.CONFIGURATION_INVALID, reason=str(error))
                else:
                    self.instance.apply_configuration(configuration)
                    self.instance.log(LogEvent.CONFIGURATION_RELOADED)
                    return
                await anyio.sleep(RETRY_INTERVAL_SECONDS)
