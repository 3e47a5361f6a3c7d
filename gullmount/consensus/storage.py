"""Stores the state of a replica in one small SQLite file, with synchronous writes to the disk."""

from __future__ import annotations

import sqlite3
from hashlib import blake2b
from pathlib import Path
from typing import Any, Protocol

import anyio.lowlevel
import anyio.to_thread
import msgspec

from gullmount.consensus.errors import (
    CorruptedRowError,
    DiskFullError,
    FileCheckError,
    StorageCorruptedError,
    StorageWriteError,
)

# Length of a row's checksum. SQLite detects torn pages, but not values that decayed on the disk.
CHECKSUM_BYTES = 16
FILE_NAME = "word.sqlite"
TABLE = "word"


class Storage(Protocol):
    """Storage of a replica: rows by key, each a JSON value."""

    def load(self) -> dict[str, Any] | None:
        """Return all rows, or None if nothing was stored yet.

        Raises:
            StorageCorruptedError: The stored rows are not those that were written.
            StorageWriteError: Another process has the storage open.
        """

    def write(self, rows: dict[str, Any]) -> None:
        """Write all rows or none. They are on the disk when the call returns.

        Raises:
            StorageWriteError: The rows could not be written.
        """

    async def save(self, rows: dict[str, Any]) -> None:
        """Do the same as `write` while other tasks go on."""

    def set_aside(self) -> object:
        """Move the corrupted content out of the way. The storage is empty afterwards."""

    def close(self) -> None:
        """Release the file."""


def checksum(key: str, value: bytes) -> bytes:
    """Return the checksum that is stored with a row."""
    return blake2b(key.encode() + b"\0" + value, digest_size=CHECKSUM_BYTES).digest()


class MemoryStorage:
    """Storage in memory for tests and runs on virtual time. It outlives the replica's tasks.

    Rows are kept as JSON text, as they would be written. Values that JSON does not distinguish are not
    distinguished here either.

    Attributes:
        rows: JSON text by key.
        full: Whether the emulated disk is full, so that every write fails.
        torn: Whether the content is not what was written, so that every load fails.
    """

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.full = False
        self.torn = False

    def load(self) -> dict[str, Any] | None:
        """Return all rows, or None if nothing was stored yet.

        Raises:
            StorageCorruptedError: `torn` is set.
        """
        if self.torn:
            raise StorageCorruptedError("torn")
        return {key: msgspec.json.decode(value) for key, value in self.rows.items()} or None

    def write(self, rows: dict[str, Any]) -> None:
        """Store the rows.

        Raises:
            DiskFullError: `full` is set.
        """
        if self.full:
            raise DiskFullError
        self.rows |= {key: msgspec.json.encode(value) for key, value in rows.items()}

    def set_aside(self) -> None:
        """Discard the corrupted rows."""
        self.rows, self.torn = {}, False

    async def save(self, rows: dict[str, Any]) -> None:
        """Store the rows after other tasks had a chance to run.

        Raises:
            DiskFullError: `full` is set.
        """
        await anyio.lowlevel.checkpoint()
        self.write(rows)

    def close(self) -> None:
        """Do nothing."""


class SqliteStorage:
    """Storage in an SQLite file.

    It uses a write-ahead log with full synchronous writes. A transaction is on the disk once its commit has
    returned.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / FILE_NAME
        self.db: sqlite3.Connection | None = None

    def _open(self) -> sqlite3.Connection:
        self.folder.mkdir(parents=True, exist_ok=True)
        db = sqlite3.connect(self.path, check_same_thread=False, isolation_level=None)
        try:
            # The lock is exclusive, since two processes on one file would act as the same replica twice.
            db.execute("PRAGMA locking_mode=EXCLUSIVE")
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            db.execute(
                f"CREATE TABLE IF NOT EXISTS {TABLE}"
                " (key TEXT PRIMARY KEY, value BLOB NOT NULL, checksum BLOB NOT NULL)"
            )
        except sqlite3.Error:
            db.close()
            raise
        return db

    def load(self) -> dict[str, Any] | None:
        """Return all rows, or None if nothing was stored yet.

        Raises:
            StorageCorruptedError: The file is not readable, or a row does not match its checksum.
            StorageWriteError: Another process has the file open.
        """
        if not self.path.exists():
            return None
        rows = {}
        for key, value, stored_checksum in self._read_rows():
            has_expected_types = isinstance(key, str) and isinstance(value, bytes)
            if not has_expected_types or checksum(key, value) != stored_checksum:
                raise CorruptedRowError(key)
            rows[key] = msgspec.json.decode(value)
        return rows or None

    def _read_rows(self) -> list[tuple[Any, Any, Any]]:
        try:
            self.db = self.db or self._open()
            if self.db.execute("PRAGMA quick_check").fetchall() != [("ok",)]:
                raise FileCheckError
            return self.db.execute(f"SELECT key, value, checksum FROM {TABLE}").fetchall()
        except sqlite3.OperationalError as error:
            if "locked" in str(error):
                raise StorageWriteError(str(error)) from None
            raise StorageCorruptedError(str(error)) from None
        except sqlite3.DatabaseError as error:
            raise StorageCorruptedError(str(error)) from None

    def write(self, rows: dict[str, Any]) -> None:
        """Write all rows or none in one transaction. They are on the disk when the call returns.

        Raises:
            StorageWriteError: The rows could not be written.
        """
        try:
            self.db = self.db or self._open()
            encoded = {key: msgspec.json.encode(value) for key, value in rows.items()}
            self.db.execute("BEGIN IMMEDIATE")
            self.db.executemany(
                f"INSERT OR REPLACE INTO {TABLE} VALUES (?, ?, ?)",
                [(key, value, checksum(key, value)) for key, value in encoded.items()],
            )
            self.db.execute("COMMIT")
        except (sqlite3.Error, OSError) as error:
            raise StorageWriteError(str(error)) from None

    async def save(self, rows: dict[str, Any]) -> None:
        """Do the same as `write` in a thread, while other tasks go on."""
        await anyio.to_thread.run_sync(self.write, rows)

    def set_aside(self) -> Path:
        """Rename the corrupted file, and return its new path."""
        self.close()
        damaged_path = self.path.with_suffix(".damaged")
        for suffix in ("-wal", "-shm"):
            Path(f"{self.path}{suffix}").unlink(missing_ok=True)
        self.path.replace(damaged_path)
        return damaged_path

    def close(self) -> None:
        """Close the file."""
        if self.db is not None:
            self.db.close()
            self.db = None
