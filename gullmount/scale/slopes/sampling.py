"""Taking the samples of one point, in a process of its own that does not outlive this one."""

from __future__ import annotations

import multiprocessing
import os
import signal
import threading
import time
from concurrent.futures import ProcessPoolExecutor

from gullmount.scale.slopes.measurement import Measurement

SIGNIFICANT_DIGITS = 6  # of a value: finer ones are noise
TERMINATION_GRACE_SECONDS = 2.0  # for a measurement to end the processes that it started


def take_samples(measurement: Measurement, x: float) -> list[float]:
    """Return the values at `x`, taken in this process."""
    return [float(f"{value:.{SIGNIFICANT_DIGITS}g}") for value in measurement.sample(x)]


def _end_with_parent() -> None:
    """Start a thread that ends this process once its parent has ended.

    The measuring thread is interrupted, so that it ends the processes that it started; after a while the
    process ends in any case.
    """
    parent = multiprocessing.parent_process()
    assert parent is not None

    def wait_for_parent() -> None:
        parent.join()
        os.kill(os.getpid(), signal.SIGINT)
        time.sleep(TERMINATION_GRACE_SECONDS)
        os._exit(1)

    threading.Thread(target=wait_for_parent, daemon=True).start()


def take_samples_in_fresh_process(measurement: Measurement, x: float) -> list[float]:
    """Return the values at `x`; what an earlier point left in a process's memory would be measured too."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, mp_context=context, initializer=_end_with_parent) as executor:
        return executor.submit(take_samples, measurement, x).result()
