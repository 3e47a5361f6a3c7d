"""The configuration file read again after SIGHUP: half written, unusable, or newer."""

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

MOVED = 8111


async def call(sock: socket.socket) -> int:
    """The revision after which discovery is asked next on this connection."""
    data = await receive_until(sock, lambda data: data.endswith(b"\r\n\r\n"))
    return int(re.findall(rb"after=(\d+)&wait_ms=\d+ HTTP", data)[0])


def readable(scene: ProxyHarness, **changes: Any) -> str:
    return json.dumps(json.loads(scene.path.read_text()) | changes)


def test_a_half_written_configuration_is_read_again_until_it_is_whole(tmp_path: Path) -> None:
    """Without another SIGHUP; and the last of two that come at once holds."""

    async def scene() -> None:
        with listener(DISCOVERY_PORT) as old, listener(MOVED) as new, listener(MOVED + 50) as last:
            async with proxy_harness(tmp_path) as made, anyio.create_task_group() as tasks:
                watch = await accept(old)
                whole = readable(made, discovery=f"{HOST}:{MOVED}")
                reading = ConfigurationReload(made.proxy, {"PROXY_CONFIG": str(made.path)}, tasks)
                made.path.write_text(whole[: len(whole) // 2])
                reading.begin()
                await wait_until(lambda: any("configuration_invalid" in line for line in made.log))
                assert made.proxy.discovery.address.endswith(str(DISCOVERY_PORT))
                made.path.write_text(whole)
                moved = await accept(new)
                assert await call(moved) == 0
                with pytest.raises((EOFError, ConnectionError)):
                    await receive_until(watch, lambda data: False)  # the old one was left
                made.path.write_text(whole[:9])
                reading.begin()
                made.path.write_text(whole.replace(str(MOVED), str(MOVED + 50)))
                reading.begin()
                assert await call(await accept(last)) == 0
                assert sum("configuration_reloaded" in line for line in made.log) == 2
                tasks.cancel_scope.cancel()

    run_scenario(scene)


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ({"discovery": "nowhere"}, "discovery"),
        ({"settings": {}}, "settings"),
        ({"platform": {}}, "platform"),
        ({"settings": {**SETTINGS, "Siblings": 10**400}}, "Siblings"),
        ({"settings": {**SETTINGS, "Specifics": {**SETTINGS["Specifics"], "BackVotes": -1}}}, "BackVotes"),
    ],
)
def test_a_configuration_that_cannot_be_used_leaves_the_old_one(
    tmp_path: Path, change: dict[str, Any], place: str
) -> None:
    async def scene() -> None:
        async with proxy_harness(tmp_path) as made, anyio.create_task_group() as tasks:
            before = made.proxy.discovery.address, made.proxy.release_controller.address
            made.path.write_text(readable(made, **change))
            ConfigurationReload(made.proxy, {"PROXY_CONFIG": str(made.path)}, tasks).begin()
            await wait_until(lambda: any("configuration_invalid" in line for line in made.log))
            assert [line for line in made.log if "configuration_invalid" in line and place in line]
            assert before == (made.proxy.discovery.address, made.proxy.release_controller.address)
            asking = client(request_bytes("a1"))
            server = await accept(made.server_listener)
            await receive_message(server)
            server.sendall(OK)
            assert (await receive_message(asking)).endswith(b"\r\n\r\nok") and RELEASE_STATUS["build"] == 41
            tasks.cancel_scope.cancel()

    run_scenario(scene)
