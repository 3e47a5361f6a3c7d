"""Where the state of a replica outlives the process: one small SQLite file, written through to the disk."""

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

CHECKSUM_BYTES = 16  # of a row: SQLite finds torn pages, not values that have rotted
FILE_NAME = "word.sqlite"
TABLE = "word"


class Storage(Protocol):
    """Rows by key, each a JSON value."""

    def load(self) -> dict[str, Any] | None:
        """Return all rows; None where nothing was stored yet.

        Raises StorageCorruptedError, and StorageWriteError where another process holds the storage.
        """

    def write(self, rows: dict[str, Any]) -> None:
        """Put all of the rows or none on the disk before this returns; raise StorageWriteError."""

    async def save(self, rows: dict[str, Any]) -> None:
        """Do the same while other tasks go on."""

    def set_aside(self) -> object:
        """Move what is corrupted out of the way; nothing is stored then."""

    def close(self) -> None:
        """Let go of the file."""


def checksum(key: str, value: bytes) -> bytes:
    """Return the checksum that stands beside a row."""
    return blake2b(key.encode() + b"\0" + value, digest_size=CHECKSUM_BYTES).digest()


class MemoryStorage:
    """A disk in memory, which outlives the replica's tasks: for virtual time.

    Rows are kept as they would be written, so what JSON does not tell apart is not told apart here.

    Attributes:
        rows: the JSON text by key.
        full: whether nothing can be written.
        torn: whether what is there is not what was written.
    """

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.full = False
        self.torn = False

    def load(self) -> dict[str, Any] | None:
        """Return all rows; None where nothing was stored yet. Raise StorageCorruptedError if torn."""
        if self.torn:
            raise StorageCorruptedError("torn")
        return {key: msgspec.json.decode(value) for key, value in self.rows.items()} or None

    def write(self, rows: dict[str, Any]) -> None:
        """Store the rows; raise StorageWriteError if full."""
        if self.full:
            raise DiskFullError
        self.rows |= {key: msgspec.json.encode(value) for key, value in rows.items()}

    def set_aside(self) -> None:
        """Begin anew where the former rows are corrupted."""
        self.rows, self.torn = {}, False

    async def save(self, rows: dict[str, Any]) -> None:
        """Store the rows; raise StorageWriteError if full."""
        await anyio.lowlevel.checkpoint()
        self.write(rows)

    def close(self) -> None:
        """Do nothing."""


class SqliteStorage:
    """Full synchronous writes through a write-ahead log: a commit that returned is on the disk."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.path = folder / FILE_NAME
        self.db: sqlite3.Connection | None = None

    def _open(self) -> sqlite3.Connection:
        self.folder.mkdir(parents=True, exist_ok=True)
        db = sqlite3.connect(self.path, check_same_thread=False, isolation_level=None)
        try:
            # Two processes on one file would be one replica twice.
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
        """Return all rows; None where nothing was stored yet.

        Raises StorageCorruptedError, and StorageWriteError where another process holds the file.
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
        """Put all of the rows or none on the disk before this returns; raise StorageWriteError."""
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
        """Do the same in a thread, while other tasks go on."""
        await anyio.to_thread.run_sync(self.write, rows)

    def set_aside(self) -> Path:
        """Move a corrupted file out of the way; return where it is now."""
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
