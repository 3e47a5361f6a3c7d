"""The machine that this process runs on, as figures name it."""

from __future__ import annotations

import os
import platform
from pathlib import Path

from gullmount.scale.figures import Machine

GIB = 1 << 30


def this_machine() -> Machine:
    """Return the machine's processor, cores, memory, system and Python, without names or paths."""
    memory_bytes = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return Machine(
        processor=_processor_name(),
        cores=os.cpu_count() or 1,
        memory_gib=round(memory_bytes / GIB, 1),
        system=f"{platform.system()} {platform.release().partition('-')[0]}",
        python=platform.python_version(),
    )


def _processor_name() -> str:
    try:
        lines = Path("/proc/cpuinfo").read_text().splitlines()
    except OSError:
        return platform.machine()
    names = [line.partition(":")[2].strip() for line in lines if line.startswith("model name")]
    return names[0] if names else platform.machine()
