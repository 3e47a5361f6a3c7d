"""The emulator of the release controller: stages, votes, statuses and metrics, and what can fail of them."""

from gullmount.emulators.release_controller.emulator import ReleaseControllerEmulator
from gullmount.emulators.release_controller.settings import (
    ReleaseControl,
    ReleaseControllerFailure,
    ReleaseControllerFaults,
    ReleaseControllerSettings,
)

__all__ = [
    "ReleaseControl",
    "ReleaseControllerEmulator",
    "ReleaseControllerFailure",
    "ReleaseControllerFaults",
    "ReleaseControllerSettings",
]
