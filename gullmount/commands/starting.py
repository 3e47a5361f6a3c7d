"""How a serving process logs, and ends where the machine does not allow it."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import anyio
import click
import structlog

from gullmount.commands.files import BAD_INPUT
from gullmount.keepers.store import StoreFault


def logger(**bound: Any) -> Any:
    """Lines of JSON on standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger().bind(**bound).info


def started(file: Path, program: Any, *args: Any) -> None:
    """Run a program until it ends; what the machine does not allow is said in one line."""
    try:
        anyio.run(program, *args)
    except* (OSError, StoreFault) as faults:
        first: BaseException = faults
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        click.echo(f"{file}: {first}", err=True)
        sys.exit(BAD_INPUT)
