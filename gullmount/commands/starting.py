"""How a serving process logs, and ends where the machine does not allow it."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any, TextIO, cast

import anyio
import structlog

from gullmount.commands.files import BAD_INPUT


class Lines:
    """Standard error for the log; a line that cannot be written is dropped and counted.

    Serving goes on, as where the log's disk is full.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lost = 0

    def write(self, text: str) -> int:
        """Write the text, after the number of lines that were lost before."""
        told = f'{{"event":"log_lines_lost","count":{self.lost}}}\n' if self.lost else ""
        data = (told + text).encode()
        try:
            while data:
                data = data[os.write(self.descriptor, data) :]
            self.lost = 0
        except OSError:
            self.lost += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: each write is at once."""


def logger(**bound: Any) -> Any:
    """Lines of JSON on standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(cast(TextIO, Lines(sys.stderr.fileno()))),
    )
    return structlog.get_logger().bind(**bound).info


def started(file: Path, program: Any, *args: Any, ends: type[Exception] = OSError) -> None:
    """Run a program until it ends; what the machine does not allow (`ends`) is said in one line."""
    try:
        anyio.run(program, *args)
    except* (OSError, ends) as faults:
        first: BaseException = faults
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        # Where the disk is full the log's file may be too: the exit code has to tell it all the same.
        Lines(sys.stderr.fileno()).write(f"{file}: {first}\n")
        sys.exit(BAD_INPUT)
