"""The errors of the package."""

from __future__ import annotations

from gullmount.errors import GullmountError


class ScenarioError(GullmountError):
    """Base of the errors of scenarios."""


class NoFreeBlockError(ScenarioError, OSError):
    """Other processes have all blocks of loopback addresses."""

    def __init__(self) -> None:
        super().__init__("all blocks of loopback addresses are taken")


class ScenarioConfigError(ScenarioError, ValueError):
    """Base of what is wrong with a scenario's file; its author is at fault."""


class StageLimitsError(ScenarioConfigError):
    """The lists of traffic shares and of exposure limits do not match, or are empty."""

    def __init__(self) -> None:
        super().__init__("shares and caps must be of one length, one at least")


class UnknownZoneError(ScenarioConfigError):
    """A fault or release names a zone that the scenario doesn't have; `key` is its place in the file."""

    def __init__(self, key: str, zone: str) -> None:
        super().__init__(f"{key}.zone: no such zone: {zone}")


class UnknownRouteError(ScenarioConfigError):
    """A fault names a route that the scenario doesn't have; `key` is its place in the file."""

    def __init__(self, key: str, route: str) -> None:
        super().__init__(f"{key}.route: no such route: {route}")


class ReleaseOrderError(ScenarioConfigError):
    """The releases are not in the order of their times."""

    def __init__(self) -> None:
        super().__init__("releases must be in the order of their times")
