"""Reloads the configuration file after SIGHUP."""

from __future__ import annotations

from collections.abc import Mapping

import anyio
from anyio.abc import TaskGroup

from gullmount.platform.configuration import InvalidConfigurationError, read_configuration
from gullmount.platform.instance import PlatformInstance
from gullmount.platform.log_events import LogEvent

# An invalid file is read again because it may be half written.
MAX_READ_ATTEMPTS = 16
# All attempts end within 4 s of SIGHUP, after which every change that discovery has counts as notified.
RETRY_INTERVAL_SECONDS = 0.1


class ConfigurationReload:
    """Applies the configuration file to a running instance, and retries while the file is invalid.

    Args:
        instance: The instance that the file is applied to.
        environment: The environment variables, which name the file.
        task_group: Runs the reads.
    """

    def __init__(
        self, instance: PlatformInstance, environment: Mapping[str, str], task_group: TaskGroup
    ) -> None:
        self.instance = instance
        self.environment = environment
        self.task_group = task_group
        self.read_scope = anyio.CancelScope()

    def begin(self) -> None:
        """Start a reload; one in progress is cancelled, because the file is newer now."""
        self.read_scope.cancel()
        self.read_scope = anyio.CancelScope()
        self.task_group.start_soon(self.read_until_valid, self.read_scope)

    async def read_until_valid(self, read_scope: anyio.CancelScope) -> None:
        """Read the file until it is valid and apply it, in at most `MAX_READ_ATTEMPTS` attempts.

        Only the first failure is logged.
        """
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
