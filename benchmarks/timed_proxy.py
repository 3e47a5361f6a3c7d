"""Run a proxy whose time in the decisions is summed and printed on SIGUSR1, as a line of JSON.

python benchmarks/timed_proxy.py CONFIGURATION
"""

from __future__ import annotations

import functools
import json
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import anyio

from gullmount.decisions.router import Router
from gullmount.net import TcpNet
from gullmount.proxy import ProxyConfig, ProxyInstance
from gullmount.yamlfile import read_yaml

TIMED_METHODS = ("accept", "attempt_ended", "evaluate")

Returned = TypeVar("Returned")


class DecisionTimer:
    """Sums the seconds in wrapped functions; a call within a wrapped call is not counted twice."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.is_running = False

    def wrap(self, function: Callable[..., Returned]) -> Callable[..., Returned]:
        """Return the function, timed."""

        @functools.wraps(function)
        def timed(*arguments: object) -> Returned:
            was_running, self.is_running = self.is_running, True
            started = time.perf_counter()
            try:
                return function(*arguments)
            finally:
                if not was_running:
                    self.seconds += time.perf_counter() - started
                self.is_running = was_running

        return timed


async def main(path: str) -> None:
    """Run the proxy until it is killed."""
    timer = DecisionTimer()
    for name in TIMED_METHODS:
        setattr(Router, name, timer.wrap(getattr(Router, name)))
    configuration = read_yaml(Path(path), ProxyConfig)
    with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
        async with ProxyInstance(configuration, net=TcpNet()):
            async for _ in signals:
                report = {"decision_seconds": timer.seconds, "processor_seconds": time.process_time()}
                print(json.dumps(report), flush=True)


if __name__ == "__main__":
    anyio.run(main, sys.argv[1], backend="asyncio")
