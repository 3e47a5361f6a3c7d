"""`python -m gullmount.commands.clocked FILE`: `gullmount proxy FILE` by clocks that can be set.

Lines on standard input set them. The fault harness starts its processes so; nothing else does.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from threading import Thread

from gullmount.commands.proxy import run_proxy
from gullmount.fault_harness.clocks import ProcessClocks
from gullmount.leases.clock import boot_time_seconds


def main() -> None:
    """Run the proxy instance of the file by clocks that standard input sets."""
    clocks = ProcessClocks(boot_time_seconds, time.time)

    def listen() -> None:
        for line in sys.stdin:
            clocks.obey(line.strip())

    Thread(target=listen, daemon=True).start()
    run_proxy(Path(sys.argv[1]), clock=clocks.lease.now, wall=clocks.wall.now)


if __name__ == "__main__":
    main()
