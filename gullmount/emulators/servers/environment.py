"""What emulated servers share: what slows all of them, deduplication, and the defects of builds."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from gullmount.emulators.record import Record
from gullmount.emulators.servers.build_defects import SHARED_SLOWDOWN, BuildDefect, DefectKind

TRAFFIC_SHARE_WINDOW_SECONDS = 2.0  # over which the share of a build that slows all is taken

AttemptListener = Callable[[int, str, bool, float], None]
"""Is called with the build, the route, whether the attempt succeeded, and its seconds."""


@dataclass
class ServerEnvironment:
    """The surroundings of all servers; lives as long as the scenario.

    Attributes:
        random: for what befalls attempts.
        record: takes what servers see.
        name_of: returns the name of the proxy at a host.
        slowdown: how many times slower all servers are.
        defects: by build.
        deduplication: by route, the scope (`all`, `zone` or `cell`) and the window in seconds.
        on_attempt: is called with each attempt that ran.
        recent_builds: when attempts came, and at which builds.
        completed: by scope and idempotency key, when the request succeeded.
    """

    random: Random
    record: Record
    name_of: Callable[[str], str]
    slowdown: float = 1.0
    defects: dict[int, BuildDefect] = field(default_factory=dict)
    deduplication: dict[str, tuple[str, float]] = field(default_factory=dict)
    on_attempt: AttemptListener | None = None
    recent_builds: deque[tuple[float, int]] = field(default_factory=deque)
    completed: dict[tuple[str, str], float] = field(default_factory=dict)

    def shared_slowdown(self, now: float) -> float:
        """Return how many times slower all servers are, also by what a build does to what they share."""
        recent = self.recent_builds
        while recent and recent[0][0] < now - TRAFFIC_SHARE_WINDOW_SECONDS:
            recent.popleft()
        slowdown = self.slowdown
        if recent:
            for build, defect in self.defects.items():
                if defect.kind == DefectKind.SLOWS_ALL_SERVERS:
                    share = sum(recent_build == build for _, recent_build in recent) / len(recent)
                    slowdown *= 1 + SHARED_SLOWDOWN.at(defect.size) * share
        return slowdown

    def deduplication_scope(self, route: str, zone: str, cell: int) -> str:
        """Return the name of the scope in which a server at this place deduplicates the route."""
        scope = self.deduplication.get(route, ("all", 0.0))[0]
        return {"all": "all", "zone": f"zone {zone}", "cell": f"cell {cell}"}[scope]

    def is_duplicate(self, route: str, scope: str, idempotency_key: str, now: float) -> bool:
        """Whether a request with this key has succeeded in the scope within the route's window."""
        if not idempotency_key or route not in self.deduplication:
            return False
        completed_at = self.completed.get((scope, idempotency_key))
        return completed_at is not None and now - completed_at < self.deduplication[route][1]
