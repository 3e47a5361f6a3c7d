"""Tests of configuration reloads after SIGHUP: with a half-written, an invalid or a newer file."""

from __future__ import annotations

import json
import re
import socket
from pathlib import Path
from typing import Any

import anyio
import pytest

from gullmount.platform.configuration_reload import ConfigurationReload
from tests.support.platform_world import HOST, OK, RELEASE_STATUS, SETTINGS
from tests.support.race_scenes import (
    DISCOVERY_PORT,
    ProxyHarness,
    accept,
    client,
    listener,
    proxy_harness,
    receive_message,
    receive_until,
    request_bytes,
    run_scenario,
    wait_until,
)

NEW_DISCOVERY_PORT = 8111


async def receive_call(sock: socket.socket) -> int:
    """Receive the next discovery call on this connection and return its `after` revision."""
    data = await receive_until(sock, lambda data: data.endswith(b"\r\n\r\n"))
    return int(re.findall(rb"after=(\d+)&wait_ms=\d+ HTTP", data)[0])


def changed_file(target: ProxyHarness, **changes: Any) -> str:
    return json.dumps(json.loads(target.path.read_text()) | changes)


def test_half_written_configuration_is_read_again_until_it_is_complete(tmp_path: Path) -> None:
    """No second SIGHUP is needed. If two arrive at once, the file of the later one is applied."""

    async def scenario() -> None:
        with (
            listener(DISCOVERY_PORT) as old_listener,
            listener(NEW_DISCOVERY_PORT) as new_listener,
            listener(NEW_DISCOVERY_PORT + 50) as newest_listener,
        ):
            async with proxy_harness(tmp_path) as harness, anyio.create_task_group() as tasks:
                connection = await accept(old_listener)
                valid_text = changed_file(harness, discovery=f"{HOST}:{NEW_DISCOVERY_PORT}")
                reload = ConfigurationReload(harness.proxy, {"PROXY_CONFIG": str(harness.path)}, tasks)
                harness.path.write_text(valid_text[: len(valid_text) // 2])
                reload.begin()
                await wait_until(lambda: any("configuration_invalid" in line for line in harness.log))
                assert harness.proxy.discovery.address.endswith(str(DISCOVERY_PORT))
                harness.path.write_text(valid_text)
                new_connection = await accept(new_listener)
                assert await receive_call(new_connection) == 0
                with pytest.raises((EOFError, ConnectionError)):
                    await receive_until(connection, lambda data: False)  # the old connection is closed
                harness.path.write_text(valid_text[:9])
                reload.begin()
                harness.path.write_text(
                    valid_text.replace(str(NEW_DISCOVERY_PORT), str(NEW_DISCOVERY_PORT + 50))
                )
                reload.begin()
                assert await receive_call(await accept(newest_listener)) == 0
                assert sum("configuration_reloaded" in line for line in harness.log) == 2
                tasks.cancel_scope.cancel()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("overrides", "key"),
    [
        ({"discovery": "nowhere"}, "discovery"),
        ({"settings": {}}, "settings"),
        ({"platform": {}}, "platform"),
        ({"settings": {**SETTINGS, "Siblings": 10**400}}, "Siblings"),
        ({"settings": {**SETTINGS, "Specifics": {**SETTINGS["Specifics"], "BackVotes": -1}}}, "BackVotes"),
    ],
)
def test_invalid_configuration_leaves_the_old_one_in_force(
    tmp_path: Path, overrides: dict[str, Any], key: str
) -> None:
    async def scenario() -> None:
        async with proxy_harness(tmp_path) as harness, anyio.create_task_group() as tasks:
            old_addresses = harness.proxy.discovery.address, harness.proxy.release_controller.address
            harness.path.write_text(changed_file(harness, **overrides))
            ConfigurationReload(harness.proxy, {"PROXY_CONFIG": str(harness.path)}, tasks).begin()
            await wait_until(lambda: any("configuration_invalid" in line for line in harness.log))
            assert [line for line in harness.log if "configuration_invalid" in line and key in line]
            assert old_addresses == (
                harness.proxy.discovery.address,
                harness.proxy.release_controller.address,
            )
            client_socket = client(request_bytes("a1"))
            server = await accept(harness.server_listener)
            await receive_message(server)
            server.sendall(OK)
            assert (await receive_message(client_socket)).endswith(b"\r\n\r\nok") and RELEASE_STATUS[
                "build"
            ] == 41
            tasks.cancel_scope.cancel()

    run_scenario(scenario)
