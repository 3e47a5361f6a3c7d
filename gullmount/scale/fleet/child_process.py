"""What the package's own processes share: they read a file and then commands, and write JSON lines.

The end of its standard input ends a process.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import anyio
import msgspec

from gullmount.scale.fleet.process_messages import SAMPLE_INTERVAL_SECONDS, ProcessFile

GC_THRESHOLD = 10_000  # new objects before a collection, as in a proxy's process

Commands = AsyncIterator[str]
File = TypeVar("File", bound=ProcessFile)


def write_line(fields: Mapping[str, Any]) -> None:
    """Write one JSON line for the run to read."""
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


async def read_commands() -> Commands:
    """Lines of standard input, until it ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        yield line.decode().strip()


async def sample_regularly(write_sample: Callable[[], None]) -> None:
    """Call it each second, without drift."""
    due = anyio.current_time()
    while True:
        due += SAMPLE_INTERVAL_SECONDS
        await anyio.sleep_until(due)
        write_sample()


def run_process(file_type: type[File], program: Callable[[File, Commands], Awaitable[None]]) -> None:
    """Run a process's program with the file that the command line names."""
    file = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=file_type)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)

    async def run() -> None:
        await program(file, read_commands())

    anyio.run(run, backend_options={"use_uvloop": True})
