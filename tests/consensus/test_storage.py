"""Tests of the replica's storage file."""

from __future__ import annotations

import json
import shutil
import sqlite3
from contextlib import closing
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gullmount.consensus.acceptor import AcceptorState
from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.errors import (
    StorageCorruptedError,
    StorageWriteError,
)
from gullmount.consensus.membership import ReplicaGroup
from gullmount.consensus.storage import FILE_NAME, SqliteStorage
from gullmount.yamlfile import read_yaml
from tests.support.paths import DATA
from tests.support.replicas import MEMBERS


def test_sqlite_storage_returns_written_rows_and_detects_corruption(tmp_path: Path) -> None:
    sqlite_storage = SqliteStorage(tmp_path / "disk")
    assert sqlite_storage.load() is None
    sqlite_storage.write({"self": {"number": 1}, "slot/a": [1]})
    sqlite_storage.write({"slot/a": [2]})
    with pytest.raises(StorageWriteError):
        # Stands for a second process on the same file.
        SqliteStorage(tmp_path / "disk").load()
    sqlite_storage.close()
    reopened = SqliteStorage(tmp_path / "disk")
    assert reopened.load() == {"self": {"number": 1}, "slot/a": [2]}
    reopened.close()
    data = sqlite_storage.path.read_bytes()
    offset = data.rindex(msgspec.json.encode([2]))
    sqlite_storage.path.write_bytes(data[:offset] + b"[3]" + data[offset + 3 :])
    with pytest.raises(StorageCorruptedError):
        reopened.load()
    reopened.set_aside()
    assert reopened.load() is None
    sqlite_storage.path.write_bytes(data[: len(data) // 2])
    with pytest.raises(StorageCorruptedError):
        reopened.load()


# Storage files that version 883dea8 wrote, and their expected content.

STORED_FOLDER = DATA / "replicas_883dea8"
EXPECTED_READ: dict[str, Any] = json.loads((STORED_FOLDER / "as_read.json").read_text())


@pytest.mark.parametrize("number", [1, 2, 3, 4])
def test_storage_of_an_earlier_version_is_read_with_the_same_content(number: int, tmp_path: Path) -> None:
    shutil.copytree(STORED_FOLDER / f"replica-{number}", tmp_path, dirs_exist_ok=True)
    expected = EXPECTED_READ[str(number)]
    config = read_yaml(tmp_path / "replica.yaml", ReplicaConfig)
    assert (config.number, config.group, config.members, config.disk) == (number, "g", MEMBERS, "disk")
    assert config.listen == f"10.0.0.{number}:7299"
    storage = SqliteStorage(tmp_path)
    rows = storage.load()
    assert rows == expected["rows"]
    state = AcceptorState(number, ReplicaGroup(0, config.members, {}))
    state.restore(rows)
    read_back = {
        "rows": rows,
        "incarnation": state.incarnation,
        "requested_incarnation": state.requested_incarnation,
        "complete": state.complete,
        "known_incarnations": sorted(state.known_incarnations.items()),
        "registers": {
            name: {
                "promised": register.promised,
                "accepted": register.accepted,
                "version": register.version,
                "value": register.value,
                "learnt": register.learned,
            }
            for name, register in state.registers.items()
        },
        "group": {
            "revision": state.group.revision,
            "current": sorted(state.group.current.items()),
            "next": sorted(state.group.next.items()),
            "highest": state.group.highest_number,
            "mark": state.group.join_mark,
        },
    }
    assert json.loads(msgspec.json.encode(read_back)) == expected
    storage.close()


def test_rows_stored_again_equal_those_of_an_earlier_version_byte_for_byte(tmp_path: Path) -> None:
    shutil.copytree(STORED_FOLDER / "replica-4", tmp_path, dirs_exist_ok=True)
    storage = SqliteStorage(tmp_path)
    rows = storage.load()
    assert rows is not None
    state = AcceptorState(4, ReplicaGroup(0, MEMBERS, {}))
    state.restore(rows)
    storage.close()
    state.note_replica()
    for register in state.registers:
        state.note_register(register)
    state.unsaved_rows["group"] = state.group.message()
    stored_again = {key: msgspec.json.encode(row) for key, row in state.take_unsaved_rows().items()}
    with closing(sqlite3.connect(tmp_path / FILE_NAME)) as db:
        stored = dict(db.execute("SELECT key, value FROM word WHERE key NOT LIKE 'life/%'").fetchall())
    assert stored_again == stored
