"""The emulator of servers, and what a build's defects and the surroundings do to them."""

from gullmount.emulators.servers.build_defects import BuildDefect, DefectKind
from gullmount.emulators.servers.capacity import ServerSettings
from gullmount.emulators.servers.environment import ServerEnvironment
from gullmount.emulators.servers.server import CancellationMode, EmulatedServer

__all__ = [
    "BuildDefect",
    "CancellationMode",
    "DefectKind",
    "EmulatedServer",
    "ServerEnvironment",
    "ServerSettings",
]
