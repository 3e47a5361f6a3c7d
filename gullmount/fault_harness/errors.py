"""The errors of the fault harness while a script is played."""

from __future__ import annotations

from gullmount.errors import GullmountError


class StartTimeoutError(GullmountError):
    """The deployment of a script did not begin to serve, so that nothing was played."""

    def __init__(self, seconds: float) -> None:
        super().__init__(f"the deployment does not serve {seconds:.0f} s after its start")
