"""Where an instance keeps what its next start needs: its cached endpoints and releases."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

import anyio.to_thread

MAX_FILE_BYTES = 64 << 20  # a larger file was not written here


class StateStore(Protocol):
    """Keeps one text across restarts."""

    def load(self) -> bytes | None:
        """Return the text last saved, if any. Raises OSError where it cannot be read."""

    async def save(self, data: bytes) -> None:
        """Replace the text. Raises OSError where it cannot be written."""


class NullStateStore:
    """Keeps nothing: each start is the first."""

    def load(self) -> bytes | None:
        """Return nothing."""
        return None

    async def save(self, data: bytes) -> None:
        """Drop the text."""


class FileStateStore:
    """Keeps one file that is replaced atomically: a crash leaves the old text or the new one."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def load(self) -> bytes | None:
        """Return the text last saved, if any. Raises OSError where it cannot be read."""
        try:
            with self.path.open("rb") as file:
                return file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            return None

    async def save(self, data: bytes) -> None:
        """Replace the file and wait until it is on disk. Raises OSError where it cannot be written."""
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
