"""Stubs of the services around a proxy on the platform: servers, discovery and release controller.

They follow the platform's protocol on loopback sockets; each test chooses their responses. The module also
has a configuration file for the proxy and runs the proxy as a process.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tests.support.fault_block import reserve_loopback_block
from tests.support.paths import ROOT

HOST = f"{reserve_loopback_block()}.0.2"
# The users' page allows this much; a machine that is busy with tests needs it.
READY_TIMEOUT_SECONDS = 30.0
RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SETTINGS: dict[str, Any] = {
    "Ceilings": {
        "ConnIdleUs": 15_000_000, "ConnectTimeoutUs": 250_000, "MaxAttempts": 4, "MaxRetryAfterUs": 0,
        "Peers": True, "RetryAfter": False,
    },
    "Discovery": "subscribe",
    "Grades": [
        {"Name": "load-item", "ObjectiveUs": 400_000, "DeadlineUs": 2_000_000, "Semantics": "idempotent",
         "Group": "all", "WindowUs": 5_000_000},
        {"Name": "submit-exam", "ObjectiveUs": 300_000, "DeadlineUs": 1_500_000, "Semantics": "at_most_once",
         "Group": "all", "WindowUs": 5_000_000},
    ],
    "Me": 0,
    "Rules": {"ColdFrom": 0.32, "TipMultiple": 4.0, "WarmAfterUs": 2_000_000},
    "Siblings": 1,
    "Specifics": {
        "BackVotes": 1, "ClosedStages": 0, "CountedBy": "all", "ExposureCaps": [0.056, 0.35, 1.0],
        "GateMode": "any", "MetricsPeriodUs": 0, "OneWay": False, "SpanUs": 3_000_000, "SpareTries": 2.0,
        "ToAdvance": 1, "VoteLifeUs": 10_000_000, "VoteWaitUs": 500_000, "VotesPerS": 50.0,
    },
    "Zone": "a",
}  # fmt: skip
RELEASE_STATUS = {"build": 41, "stage": 2, "phase": "COMPLETE", "cap": 1.0, "age_ms": 9000}


def endpoint_entry(
    server_id: str, address: str, build: int = 41, phase: str = "ready", started_at_ms: int = 0
) -> dict[str, Any]:
    """Return a server's entry in discovery's list; `started_at_ms` is Unix time in milliseconds."""
    return {
        "id": server_id, "host_port": address, "locality": "a", "flavor": "m2", "cell": 0, "phase": phase,
        "size": 1.0, "up_since_ms": started_at_ms, "version_no": build,
    }  # fmt: skip


def configuration(**overrides: Any) -> dict[str, Any]:
    return {
        "name": "n0", "listen": f"{HOST}:8100", "discovery": f"{HOST}:8101", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.85, "memory_mb": 64, "sockets": 256}, "peer_listen": f"{HOST}:8103",
        "peers": [f"{HOST}:8103"], "platform": {"address": f"{HOST}:8102", "news": RELEASE_STATUS},
        "known": {"revision": 1, "complete": True, "members": []}, "settings": SETTINGS, **overrides,
    }  # fmt: skip


def request_bytes(
    request_id: str,
    route: str = "load-item",
    timeout_ms: str = "900",
    body: bytes = b"",
    extra_headers: bytes = b"",
) -> bytes:
    """Return a request in the form that the platform's clients send."""
    method = "GET" if route == "load-item" else "POST"
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    head = f"{method} /{route} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {request_id}\r\n"
    head += f"Request-Class: {route}\r\nAffinity-Key: 7f3a9c21e0b4d655\r\n"
    head += f"Request-Timeout-Ms: {timeout_ms}\r\n{length}"
    return head.encode() + extra_headers + b"\r\n" + body


def endpoint_list_response(revision: int, members: list[dict[str, Any]], complete: bool = False) -> bytes:
    """Return discovery's response with these entries."""
    body = json.dumps({"revision": revision, "complete": complete, "members": members}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read one message and return its head and body; without Content-Length the body is empty.

    Raises:
        IncompleteReadError: The connection ended before the message was complete.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    body_length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            body_length = int(line.split(b":")[1])
    return head, await reader.readexactly(body_length) if body_length else b""


ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def fixed_response_server(
    response: bytes, delay: float = 0.0, received_requests: list[bytes] | None = None
) -> ConnectionHandler:
    """Return a server that sends the same response to every request.

    Args:
        response: The response.
        delay: Seconds before each response, 0 by default.
        received_requests: Each request is appended to this list, if given.
    """

    async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, body = await read_message(reader)
            if received_requests is not None:
                received_requests.append(head + body)
            if delay:
                await asyncio.sleep(delay)
            writer.write(response)

    return handle_connection


class StubPlatform:
    """Stub servers, discovery and release controller on `HOST`, until `close`."""

    def __init__(self) -> None:
        self.servers: list[asyncio.Server] = []
        self.members: list[dict[str, Any]] = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.answered_discovery_calls = 0
        self.votes: list[str] = []
        # For `fixed_response_server`, which appends the requests that it receives.
        self.received: list[bytes] = []
        self.vote_reply = b"OK 41 2 COMPLETE 1.0 9000\r\n"
        self.status_streams: list[asyncio.StreamWriter] = []
        self.tasks: set[asyncio.Task[Any]] = set()

    async def serve(self, port: int, handler: ConnectionHandler) -> str:
        async def run_handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.tasks.add(task)
            try:
                await handler(reader, writer)
            except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
                pass
            finally:
                self.tasks.discard(task)
                writer.close()

        server = await asyncio.start_server(run_handler, HOST, port)
        self.servers.append(server)
        return f"{HOST}:{port}"

    def stop_serving(self, port: int) -> None:
        for server in self.servers:
            if any(sock.getsockname()[1] == port for sock in server.sockets):
                server.close()

    async def add_server(self, port: int, handler: ConnectionHandler, **fields: Any) -> None:
        self.members.append(endpoint_entry(f"s-{port}", await self.serve(port, handler), **fields))

    def publish_list(self) -> None:
        """Increase the revision of the list, and complete the calls that wait for a change."""
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the complete list once its revision is newer, or no entries after the requested wait."""
        while True:
            head, _ = await read_message(reader)
            after, wait = re.findall(rb"after=(\d+)&wait_ms=(\d+) ", head)[0]
            if int(after) >= self.revision:
                try:
                    await asyncio.wait_for(self.changed.wait(), int(wait) / 1000)
                except TimeoutError:
                    pass
            if int(after) >= self.revision:
                writer.write(endpoint_list_response(self.revision, []))
            else:
                writer.write(endpoint_list_response(self.revision, self.members, complete=True))
            self.answered_discovery_calls += 1

    async def release_controller(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            line = (await reader.readuntil(b"\r\n")).decode().strip()
            if line == "NOTIFY":
                writer.write(b"OK\r\n* progress 41 2 COMPLETE 1.0 9000\r\n")
                self.status_streams.append(writer)
            else:
                self.votes.append(line)
                writer.write(self.vote_reply)

    async def serve_platform(self, discovery_port: int = 8101, release_controller_port: int = 8102) -> None:
        await self.serve(discovery_port, self.discovery)
        await self.serve(release_controller_port, self.release_controller)

    async def close(self) -> None:
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class ProxyProcess:
    """The proxy as a separate process, started by the `run` command of its deployment file."""

    def __init__(self, folder: Path, configuration: dict[str, Any]) -> None:
        self.path = folder / "config.json"
        self.configuration = configuration
        self.write_configuration(configuration)

    def write_configuration(self, configuration: dict[str, Any]) -> None:
        self.path.write_text(json.dumps(configuration))

    async def start(self, *command: str) -> None:
        environment = {**os.environ, "PROXY_CONFIG": str(self.path), "PROXY_NAME": "n0"}
        arguments = command or ("/bin/sh", "-c", RUN_COMMAND)
        self.process = await asyncio.create_subprocess_exec(
            *arguments, env=environment, stderr=asyncio.subprocess.PIPE
        )
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_SECONDS
        while asyncio.get_running_loop().time() < deadline:
            try:
                response = await self.request(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                if response.startswith(b"HTTP/1.1 200"):
                    return
            except OSError:
                pass
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.02)
        if self.process.returncode is None:
            self.process.kill()
        raise AssertionError("did not become ready")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.configuration["listen"].split(":")
        return await asyncio.open_connection(host, int(port))

    async def request(self, data: bytes, timeout_seconds: float = 3.0) -> bytes:
        """Send one request on a new connection and return the response, b"" if it closed without one.

        Raises:
            TimeoutError: No complete response arrived within `timeout_seconds`.
        """
        reader, writer = await self.connect()
        try:
            writer.write(data)
            async with asyncio.timeout(timeout_seconds):
                head, body = await read_message(reader)
            return head + body
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""
        finally:
            writer.close()

    async def stop(self) -> bytes:
        """Send SIGTERM, wait for the process to exit, and return its log."""
        if self.process.returncode is None:
            self.process.terminate()
        _, log_output = await asyncio.wait_for(self.process.communicate(), 10)
        return log_output
