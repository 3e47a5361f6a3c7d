"""Converts start times of servers to this machine's monotonic clock. Does no I/O."""

from __future__ import annotations

from collections.abc import Callable

# The longest expected time from a server's start until discovery lists it. A server that is listed later than
# that counts as started later than it was.
MAX_LISTING_DELAY_SECONDS = 2.0
# The most that the wall clock may be behind. A start time further ahead is an error in its entry alone.
MAX_CLOCK_STEP_SECONDS = 7200.0
MILLISECONDS_PER_SECOND = 1000


class ServerStartTimes:
    """Converts start times of servers from Unix time to seconds of the monotonic clock.

    The wall clock of this machine may be stepped by any amount, before the process starts or later. It is
    therefore read once, and two facts limit the error of the computed start times:

    - A server cannot start after it is listed.
    - A server that a complete list did not contain a moment ago cannot have started long before that list.

    Args:
        now: Returns the monotonic time in seconds.
        wall_clock: Returns the Unix time in seconds; called once.
    """

    def __init__(self, now: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        self.now = now
        # Monotonic minus wall-clock time, in seconds. Read once, so that computed start times do not change.
        self.clock_offset = now() - wall_clock()

    def correct_clock_offset(self, newest_start_ms: float) -> bool:
        """Correct the clock offset if the newest start time would lie in the future.

        The offset is corrected by at most `MAX_CLOCK_STEP_SECONDS`, otherwise it is left as it is.

        Returns:
            Whether the offset changed.
        """
        offset = self.now() - newest_start_ms / MILLISECONDS_PER_SECOND
        if not self.clock_offset - MAX_CLOCK_STEP_SECONDS <= offset < self.clock_offset:
            return False
        self.clock_offset = offset
        return True

    def start_time(self, started_at_ms: float | None, unlisted_at: float | None) -> float:
        """Return the start in seconds of the monotonic clock, 0 if unknown.

        Args:
            started_at_ms: The start in Unix time, in milliseconds; 0 or None if unknown.
            unlisted_at: When a complete list did not contain the server, in seconds of the monotonic clock;
                None if unknown.
        """
        if not started_at_ms:
            return 0.0
        started_at = min(self.now(), started_at_ms / MILLISECONDS_PER_SECOND + self.clock_offset)
        return started_at if unlisted_at is None else max(started_at, unlisted_at - MAX_LISTING_DELAY_SECONDS)
