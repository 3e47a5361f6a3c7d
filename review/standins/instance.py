"""Starts proxy instances as separate processes with the command `run` of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from standins.http import HOST, STATUS_OK, read_message
from standins.services import CONNECTION_ERRORS, RELEASE_STATUS

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 30.0
POLL_SECONDS = 0.02
# The most that the platform allows.
MAX_DESCRIPTORS = 1024


class CannotRunError(Exception):
    """The case cannot run on this machine as it is."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} did not become ready")


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class Instance:
    """One proxy instance.

    Attributes:
        port: where it accepts clients.
        process: its process, the one that `run` starts.
    """

    def __init__(self, folder: Path, name: str, settings: dict[str, Any], **services: Any) -> None:
        self.folder = folder / name
        self.folder.mkdir()
        self.name = name
        self.port = free_port()
        self.configuration = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": services["discovery"],
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": MAX_DESCRIPTORS},
            "platform": {"address": services["release_controller"], "news": RELEASE_STATUS},
            "known": services["known"],
            "settings": settings,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, descriptors: int = MAX_DESCRIPTORS) -> None:
        """Start the process, which may hold so many file descriptors."""
        self.configuration["limits"]["sockets"] = descriptors
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.configuration["listen"],
            "PROXY_DISCOVERY": self.configuration["discovery"],
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log.txt").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))

    async def wait_until_ready(self) -> None:
        """Wait until it answers the health check with 200. Raises CannotRunError."""
        deadline = asyncio.get_running_loop().time() + READY_SECONDS
        while asyncio.get_running_loop().time() < deadline:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                try:
                    writer.write(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                    if (await read_message(reader)).status == STATUS_OK:
                        return
                finally:
                    writer.close()
            except CONNECTION_ERRORS:
                pass
            await asyncio.sleep(POLL_SECONDS)
        raise CannotRunError(self.name)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    def log_lines(self) -> list[str]:
        """Return what it has logged."""
        return (self.folder / "log.txt").read_text(errors="replace").splitlines()
