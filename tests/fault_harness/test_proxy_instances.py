"""Proxy instances as processes: how their end is noticed."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest

from gullmount.emulators.record import Record
from gullmount.fault_harness.deployment import HarnessDeployment
from gullmount.fault_harness.processes import Process
from gullmount.fault_harness.run import play_deployment
from tests.support.fault_block import reserve_harness_block
from tests.support.harness_scripts import changed_script


def test_clients_use_no_connection_of_a_process_that_has_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that is sent into a connection whose proxy stopped gracefully, and is lost.

    Who stops the process may see its end later than who waits for it.
    """
    closed: list[bool] = []

    class RecordingConnection:
        async def close(self) -> None:
            closed.append(True)

    stop_gracefully = Process.stop_gracefully

    async def notice_late(self: Process, record: Record, name: str) -> None:
        await stop_gracefully(self, record, name)
        await anyio.sleep(0.1)

    monkeypatch.setattr(Process, "stop_gracefully", notice_late)
    stop = {"at": 1.5, "do": "term", "who": "umpire 0", "length": 30}
    script = changed_script("short", faults=[stop], length=3, probers=0, load={"rate": 0.1})
    block = reserve_harness_block()

    async def scene() -> None:
        with anyio.fail_after(40):
            async with anyio.create_task_group() as tasks:
                harness = HarnessDeployment(script, 1, tasks, False, block, tmp_path)
                events = harness.record.events
                tasks.start_soon(play_deployment, harness, list(script.faults))
                while not any(event["ev"] == "told_to_stop" for event in events):
                    await anyio.sleep(0.01)
                connection = (RecordingConnection(), harness.record.now())
                harness.clients[0].idle_connections.append(connection)  # type: ignore[arg-type]
                while not any(event["ev"] == "process_ended" for event in events):
                    await anyio.sleep(0.01)
                await anyio.sleep(0.05)
                assert closed
                tasks.cancel_scope.cancel()

    anyio.run(scene, backend="asyncio")
