"""Limits how many attempts may go to a candidate (exposure limit).

- Within any exposure window, the attempts sent to a candidate stay within the limit of its stage times the
  accepted requests, plus the slack.
- This instance counts its own attempts and requests, for each route separately if the settings say so.
- A limit that is lowered applies at once, and attempts sent before continue to count.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Collection
from math import inf, nextafter

from gullmount.decisions.model import InstanceSettings, RetrySafety, Route
from gullmount.decisions.releases import Candidate
from gullmount.decisions.sliding_window import drop_before, insert_in_order


class ExposureWindow:
    """Times of accepted requests and sent attempts within the window, in seconds on the runtime's clock."""

    def __init__(self) -> None:
        self.request_times: deque[float] = deque()
        self.attempt_times_by_build: dict[int, deque[float]] = defaultdict(deque)

    def record_request(self, arrived_at: float, window_start: float) -> None:
        """Count a request and drop those before `window_start`."""
        insert_in_order(self.request_times, arrived_at)
        drop_before(self.request_times, window_start)

    def record_attempt(self, build: int, now: float, window_start: float) -> None:
        """Count an attempt at a server of the build and drop those before `window_start`."""
        self.attempt_times_by_build[build].append(now)
        drop_before(self.attempt_times_by_build[build], window_start)

    def update_attempt_time(self, build: int, counted_at: float, now: float) -> None:
        """Count an attempt at `now` instead of `counted_at`."""
        attempts = self.attempt_times_by_build[build]
        index = len(attempts) - 1
        while index >= 0 and attempts[index] > counted_at:
            index -= 1
        if index >= 0 and attempts[index] == counted_at:
            del attempts[index]
        attempts.append(now)

    def counts(self, build: int, window_start: float) -> tuple[int, int]:
        """Return the numbers of attempts at the build and of requests since `window_start`.

        An attempt exactly at `window_start` counts and a request does not, which is the stricter choice.
        """
        attempts = self.attempt_times_by_build[build]
        drop_before(self.request_times, nextafter(window_start, inf))
        drop_before(attempts, window_start)
        return len(attempts), len(self.request_times)


class ExposureLimiter:
    """Applies the exposure limit to the traffic of this instance."""

    def __init__(self, settings: InstanceSettings, now: float) -> None:
        self.release_settings = settings.release
        self.restarted = settings.restarted
        self.created_at = now
        self.windows: dict[str, ExposureWindow] = defaultdict(ExposureWindow)
        """By route name, or a single window under the empty name."""

    def window(self, route: Route) -> ExposureWindow:
        """Return the window in which the route's requests are counted."""
        return self.windows[route.name if self.release_settings.counted_by_route else ""]

    def record_request(self, route: Route, arrived_at: float) -> None:
        """Count a request at its arrival, so that one that was read late leaves the window no later."""
        self.window(route).record_request(arrived_at, arrived_at - self.release_settings.exposure_window)

    def record_attempt(self, route: Route, build: int, now: float) -> None:
        """Count an attempt that is sent now."""
        self.window(route).record_attempt(build, now, now - self.release_settings.exposure_window)

    def update_attempt_time(self, route: Route, build: int, counted_at: float, now: float) -> None:
        """Count an attempt at `now` that was counted at `counted_at` and waited until now to be sent."""
        if now > counted_at:
            self.window(route).update_attempt_time(build, counted_at, now)

    def allows(
        self, route: Route, build: int, candidate: Candidate, now: float, additional_attempts: int
    ) -> bool:
        """Whether the candidate's servers of the build may get this many additional attempts.

        A build newer than the candidate has not been named by a release status yet and gets the limit of the
        first stage. After a restart nothing is sent for one window, as an earlier process may have used up
        the limit.
        """
        if self.restarted and now - self.created_at < self.release_settings.exposure_window:
            return False
        if build > candidate.build:
            limit, stage = self.release_settings.exposure_limits[0], 0
        else:
            limit, stage = candidate.exposure_limit, candidate.stage
        if limit <= 0:
            return False
        if (
            stage < self.release_settings.idempotent_only_stages
            and route.retry_safety is not RetrySafety.IDEMPOTENT
        ):
            return False
        attempts, requests = self.window(route).counts(build, now - self.release_settings.exposure_window)
        return attempts + additional_attempts <= self.release_settings.exposure_slack + limit * requests

    def prune_builds(self, active_builds: Collection[int], now: float) -> None:
        """Drop the builds outside `active_builds` without an attempt in the window."""
        window_start = now - self.release_settings.exposure_window
        for window in self.windows.values():
            for build in [build for build in window.attempt_times_by_build if build not in active_builds]:
                if not window.counts(build, window_start)[0]:
                    del window.attempt_times_by_build[build]
