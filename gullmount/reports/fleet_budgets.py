"""What one proxy may spend on control, by the target."""

from __future__ import annotations

MAX_BYTES_PER_SECOND = 7000.0  # in each second of a run
MAX_CORES = 0.013
MAX_RESIDENT_BYTES = 64e6
MAX_SECONDS_UNTIL_IN_FORCE = 10.0  # from a change until every proxy has it in force
