"""The errors of a fleet's run. Their texts are stored in its results as why it was broken off."""

from __future__ import annotations

from gullmount.errors import GullmountError


class InvalidFleetError(GullmountError, ValueError):
    """The operator's fault: a fleet's file can't be meant. Says what to correct."""


class FleetRunError(GullmountError):
    """Base of the errors that break a run off; the text says why."""


class ProcessFailedError(FleetRunError):
    """A process wrote that it failed."""

    def __init__(self, name: str, problem: str) -> None:
        super().__init__(f"{name}: {problem}")


class ProcessEndedError(FleetRunError):
    """A process ended that was not told to. `log` says which log to read."""

    def __init__(self, name: str, exit_code: int, log: str) -> None:
        super().__init__(f"{name} ended with {exit_code}; see {log}")


class ReplyTimeoutError(FleetRunError):
    """A process did not write an expected reply in time."""

    def __init__(self, name: str, reply: str, timeout_seconds: float) -> None:
        super().__init__(f"{name} did not say {reply!r} within {timeout_seconds:.0f} s")


class NotListeningError(FleetRunError):
    """A server process does not accept connections in time."""

    def __init__(self, name: str, address: str, timeout_seconds: float) -> None:
        super().__init__(f"{name} does not listen at {address} after {timeout_seconds:.0f} s")


class MemoryLimitError(FleetRunError):
    """All processes together hold more memory than the file allows."""

    def __init__(self, resident_gib: float) -> None:
        super().__init__(f"all processes hold {resident_gib:.1f} GiB, more than the file allows")


class SummaryUnavailableError(FleetRunError):
    """The origin did not answer what is in force."""

    def __init__(self, problem: str) -> None:
        super().__init__(f"the source said no sum: {problem}")


class ChangeRejectedError(GullmountError, ValueError):
    """The service that holds the fleet's state did not accept a change."""

    def __init__(self, status: int) -> None:
        super().__init__(f"the source answered {status}")
