"""Stores the state that an instance needs at its next start: cached endpoints and releases."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

import anyio.to_thread

# A larger file was not written by `FileStateStore`; only this much of it is read.
MAX_FILE_BYTES = 64 << 20


class StateStore(Protocol):
    """Stores one block of data across restarts."""

    def load(self) -> bytes | None:
        """Return the data saved last, or None if there is none.

        Raises:
            OSError: The data cannot be read.
        """

    async def save(self, data: bytes) -> None:
        """Replace the stored data.

        Raises:
            OSError: The data cannot be written.
        """


class NullStateStore:
    """Stores nothing, so that each start counts as the first one."""

    def load(self) -> bytes | None:
        """Return None."""
        return None

    async def save(self, data: bytes) -> None:
        """Discard the data."""


class FileStateStore:
    """Stores data in a file that is replaced atomically: a crash leaves the old content or the new one."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def load(self) -> bytes | None:
        """Return the data saved last, or None if there is none.

        Raises:
            OSError: The data cannot be read.
        """
        try:
            with self.path.open("rb") as file:
                return file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            return None

    async def save(self, data: bytes) -> None:
        """Replace the file and wait until it is on disk.

        Raises:
            OSError: The file cannot be written.
        """
        await anyio.to_thread.run_sync(self._replace, data)

    def _replace(self, data: bytes) -> None:
        temporary_path = self.path.with_name(self.path.name + ".new")
        with temporary_path.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary_path.replace(self.path)
        directory_descriptor = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(directory_descriptor)
        finally:
            os.close(directory_descriptor)
