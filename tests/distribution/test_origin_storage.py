"""Tests that the files of an origin preserve its epoch and state across restarts."""

from __future__ import annotations

from pathlib import Path

import anyio
import msgspec
import pytest

from gullmount.distribution.errors import StateFileDamagedError
from gullmount.distribution.origin_storage import FileOriginStorage, OriginState


def test_epoch_is_higher_than_any_earlier_one(tmp_path: Path) -> None:
    async def check() -> list[int]:
        epochs = []
        for wall in (1000, 2000, 500, 500):
            epochs.append((await FileOriginStorage(tmp_path / "kept", remembered=False).load(wall)).epoch)
        return epochs

    assert anyio.run(check) == [1000, 2000, 2001, 2002]


def test_restart_restores_the_state_of_all_completed_changes(tmp_path: Path) -> None:
    async def check() -> None:
        path = tmp_path / "kept"
        storage = FileOriginStorage(path, remembered=True, initialize=True)
        assert await storage.load(10) == OriginState(10, {}, True)
        await storage.append([("boxes/pay", "h:1", {"a": 1}), ("boxes/pay", "h:2", 2)], [], dict)
        await storage.append(
            [("boxes/pay", "h:2", None), ("config/pay", "routes", [1])], ["boxes/sell"], dict
        )
        with storage.change_log.open("ab") as file:
            # The process ended in the middle of a write.
            file.write(b'{"v":1,"epoch":10,"changes":[["boxes/pay","h:3"')
        expected = {"boxes/pay": {"h:1": {"a": 1}}, "config/pay": {"routes": [1]}, "boxes/sell": {}}
        assert await FileOriginStorage(path, remembered=True).load(5) == OriginState(11, expected, True)
        assert await FileOriginStorage(path, remembered=True).load(5) == OriginState(12, expected, True)
        path.write_bytes(b"nonsense")
        with pytest.raises(StateFileDamagedError, match="kept is damaged"):
            await FileOriginStorage(path, remembered=True).load(5)

    anyio.run(check)


def test_missing_file_without_initialize_leaves_all_topics_unknown(tmp_path: Path) -> None:
    async def check() -> None:
        path = tmp_path / "kept"
        storage = FileOriginStorage(path, remembered=True)
        assert await storage.load(10) == OriginState(10, {}, False)
        await storage.append([("boxes/pay", "h:1", 1)], ["boxes/pay", "config/pay"], dict)
        expected = {"boxes/pay": {"h:1": 1}, "config/pay": {}}
        assert await FileOriginStorage(path, remembered=True, initialize=True).load(5) == OriginState(
            11, expected, False
        )

    anyio.run(check)


def test_change_log_above_the_size_limit_is_replaced_by_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("gullmount.distribution.origin_storage.MIN_COMPACTION_LOG_BYTES", 300)

    async def check() -> None:
        compacted_storage = FileOriginStorage(tmp_path / "kept", remembered=True, initialize=True)
        await compacted_storage.load(1)
        for number in range(50):
            state = {"config/pay": {"k": msgspec.Raw(b"%d" % number)}}
            await compacted_storage.append([("config/pay", "k", number)], [], lambda state=state: state)
            assert compacted_storage.change_log.stat().st_size < 600
        reloaded = await FileOriginStorage(tmp_path / "kept", remembered=True).load(1)
        assert reloaded.topics == {"config/pay": {"k": 49}}

    anyio.run(check)
