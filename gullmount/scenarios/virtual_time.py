"""Programs on a clock that jumps on as soon as all tasks wait, the same for each seed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio


def run_in_virtual_time(program: Callable[..., Any], seed: int, *args: Any) -> Any:
    """Run the coroutine function with `args` on a clock of its own, and return its result.

    Trio shuffles each batch of tasks at random: seeded with `seed`, a run can be played again.
    """
    import trio.testing  # noqa: PLC0415 (it brings a test runner along, which no serving process needs)

    core: Any = trio._core._run
    core._ALLOW_DETERMINISTIC_SCHEDULING = True
    core._r.seed(seed)
    options = {"clock": trio.testing.MockClock(autojump_threshold=0)}
    return anyio.run(program, *args, backend="trio", backend_options=options)
