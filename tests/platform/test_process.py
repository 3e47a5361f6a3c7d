"""Tests the platform's proxy as a process, with scripted servers, discovery and release controller."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from gullmount.proxy.protocol_adapter import CONNECTION_REUSE_DELAY_SECONDS
from tests.support.platform_world import (
    HOST,
    OK,
    ConnectionHandler,
    ProxyProcess,
    StubPlatform,
    configuration,
    endpoint_entry,
    fixed_response_server,
    read_message,
    request_bytes,
)

NOT_STARTED_RESPONSE = b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
ERROR_RESPONSE = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"


def status(response_bytes: bytes) -> int:
    return int(response_bytes.split(b" ", 2)[1]) if response_bytes else 0


def run_scenario(
    folder: Path,
    scripts: list[ConnectionHandler],
    scenario: Callable[[StubPlatform, ProxyProcess], Awaitable[None]],
    **configuration_changes: Any,
) -> bytes:
    """Run a scenario against a proxy process with one server for each script, and return the log output."""

    async def run_with_doubles() -> bytes:
        world = StubPlatform()
        await world.serve_platform()
        for number, script in enumerate(scripts):
            await world.add_server(8200 + number, script)
        endpoint_list = {"revision": 1, "complete": True, "members": world.members}
        proxy = ProxyProcess(folder, configuration(known=endpoint_list, **configuration_changes))
        await proxy.start()
        try:
            async with asyncio.timeout(20):
                await scenario(world, proxy)
        finally:
            log_output = await proxy.stop()
            await world.close()
        assert proxy.process.returncode == 0, log_output.decode()
        assert b"Traceback" not in log_output, log_output.decode()
        return log_output

    return asyncio.run(run_with_doubles())


# Servers


def fixed_response_script(
    response_bytes: bytes, closes_connection: bool = False, received_requests: list[bytes] | None = None
) -> ConnectionHandler:
    """Return a server that writes `response_bytes` after each request, and may close the connection then."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, body = await read_message(reader)
            if received_requests is not None:
                received_requests.append(head + body)
            writer.write(response_bytes)
            if closes_connection:
                return

    return script


@pytest.mark.parametrize(
    ("response_bytes", "closes_connection", "expected_status"),
    [
        (OK, False, 200),
        (b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK, False, 200),
        (OK + OK, False, 200),
        (OK + b"noise", False, 200),
        (OK.replace(b"Content", b"Server-Load: \xff\xfe=,,\r\nContent"), False, 200),
        (b"HTTP/1.1 200 OK\r\n\r\nok", True, 200),
        (NOT_STARTED_RESPONSE, False, 503),
        (NOT_STARTED_RESPONSE.replace(b"Not-Started: 1\r\n", b""), False, 502),
        (ERROR_RESPONSE, False, 502),
        (b"", True, 502),
        (b"\x00\x01noise", False, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", True, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", False, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", False, 502),
        (b"HTTP/1.1 200 OK\r\nX: " + b"a" * 100_000, False, 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"a" * 100_000, False, 502),
    ],
)
def test_at_most_once_request_is_sent_again_only_if_it_provably_did_not_start(
    tmp_path: Path, response_bytes: bytes, closes_connection: bool, expected_status: int
) -> None:
    """Guards against a second attempt of a request that may have run.

    An at-most-once request is sent again only if the response proves that it did not start.
    """
    received_requests: list[bytes] = []

    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        response = await proxy.request(request_bytes("a1", "submit-exam", body=b"body"))
        assert status(response) == expected_status
        assert response.endswith(b"\r\n\r\nok") == (expected_status == 200)

    run_scenario(
        tmp_path, [fixed_response_script(response_bytes, closes_connection, received_requests)], scenario
    )
    # The 503 with Not-Started proves that the request did not start.
    assert len(received_requests) == (4 if expected_status == 503 else 1)
    assert b"POST /submit-exam HTTP/1.1\r\n" in received_requests[0] and received_requests[0].endswith(
        b"\r\n\r\nbody"
    )
    assert b"request-id: a1\r\n" in received_requests[0] and b"request-timeout-ms: " in received_requests[0]


def test_connection_with_stray_bytes_is_not_reused(tmp_path: Path) -> None:
    connections = 0
    response_script = fixed_response_script(OK + b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign")

    async def counting_script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        await response_script(reader, writer)

    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        for number in range(3):
            assert (await proxy.request(request_bytes(f"a{number}"))).endswith(b"\r\n\r\nok")

    run_scenario(tmp_path, [counting_script], scenario)
    assert connections == 3


def test_request_moves_from_a_silent_server_to_another(tmp_path: Path) -> None:
    async def silent_server(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(-1)

    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        responses = [
            await proxy.request(request_bytes(f"a{number}", timeout_ms="1900")) for number in range(4)
        ]
        assert [status(response_bytes) for response_bytes in responses] == [200] * 4

    run_scenario(tmp_path, [silent_server, fixed_response_server(OK)], scenario)


def test_no_server_sheds_at_once(tmp_path: Path) -> None:
    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        async with asyncio.timeout(0.5):
            response = await proxy.request(request_bytes("a1"))
        assert status(response) == 503 and b"retry-after" not in response.lower()

    run_scenario(tmp_path, [], scenario)


# Clients


@pytest.mark.parametrize(
    "data",
    [
        b"\x16\x03\x01\x00noise\r\n\r\n",
        b"GET /load-item HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 40_000,
        request_bytes("a1", "submit-exam", body=b"x").replace(b"Content-Length: 1", b"Content-Length: -1"),
        request_bytes("a1", "submit-exam", body=b"x").replace(
            b"Content-Length: 1", b"Content-Length: 60000000"
        ),
        request_bytes("a1", "submit-exam", body=b"x").replace(
            b"Content-Length: 1", b"Content-Length: 9" + b"9" * 30
        ),
        request_bytes("a1", "submit-exam", body=b"x", extra_headers=b"Transfer-Encoding: chunked\r\n"),
        request_bytes("a1", "no-such-route"),
        request_bytes("a1", timeout_ms="soon"),
        request_bytes("a1", timeout_ms="-5"),
        request_bytes("a1", timeout_ms="0"),
        request_bytes("a1").replace(b"Request-Id: a1\r\n", b""),
        request_bytes("a1", extra_headers=b"Request-Id: a2\r\n"),
        request_bytes("a1").replace(b"GET", b"POST"),
        request_bytes("a1").replace(b"GET /load-item", b"GET /submit-exam"),
        request_bytes("a1", "submit-exam", body=b"whole body")[:-4],
        b"GET /load-it",
        b"",
    ],
)
def test_invalid_request_gets_an_error_or_a_close_in_time_and_reaches_no_server(
    tmp_path: Path, data: bytes
) -> None:
    received_requests: list[bytes] = []

    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        started_at = asyncio.get_running_loop().time()
        response = await proxy.request(data)
        assert asyncio.get_running_loop().time() - started_at < 2.9
        assert response == b"" or 400 <= status(response) < 600
        assert status(await proxy.request(request_bytes("b1"))) == 200

    run_scenario(tmp_path, [fixed_response_server(OK, received_requests=received_requests)], scenario)
    # Only the valid request reached the server.
    assert len(received_requests) == 1


def test_request_id_in_flight_or_recently_used_is_rejected(tmp_path: Path) -> None:
    received_requests: list[bytes] = []

    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        first = asyncio.create_task(proxy.request(request_bytes("a1")))
        await asyncio.sleep(0.1)
        assert status(await proxy.request(request_bytes("a1"))) == 400
        assert status(await first) == 200
        assert status(await proxy.request(request_bytes("a1"))) == 400

    run_scenario(tmp_path, [fixed_response_server(OK, 0.3, received_requests)], scenario)
    assert len(received_requests) == 1


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            request_id = head.split(b"request-id: ")[1][:2]
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + request_id)

    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        reader, writer = await proxy.connect()
        writer.write(
            b"".join(request_bytes(f"a{number}") for number in range(4)) + b"GET /healthz HTTP/1.1\r\n\r\n"
        )
        bodies = [(await read_message(reader))[1] for _ in range(4)]
        assert bodies == [b"a0", b"a1", b"a2", b"a3"]
        # The last request has no Host header.
        assert status((await read_message(reader))[0]) == 400
        assert await reader.read() == b""

    run_scenario(tmp_path, [echo], scenario)


def test_silent_connections_do_not_block_active_clients_and_are_closed(tmp_path: Path) -> None:
    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        silent_connections = [await proxy.connect() for _ in range(300)]
        for number in range(10):
            assert status(await proxy.request(request_bytes(f"a{number}"))) == 200
            # Without this delay each request would use a new server connection.
            await asyncio.sleep(CONNECTION_REUSE_DELAY_SECONDS)
        assert len(list(Path(f"/proc/{proxy.process.pid}/fd").iterdir())) < 0.55 * 256
        await asyncio.sleep(2.8)
        assert all([await reader.read() == b"" for reader, _ in silent_connections])
        for _, writer in silent_connections:
            writer.close()

    run_scenario(tmp_path, [fixed_response_server(OK)], scenario)


def test_timeout_of_a_slowly_written_request_starts_at_its_last_byte(tmp_path: Path) -> None:
    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        reader, writer = await proxy.connect()
        data = request_bytes("a1", "submit-exam", timeout_ms="500", body=b"slow body")
        for part in (data[:40], data[40:-6], data[-6:-3], data[-3:]):
            writer.write(part)
            await asyncio.sleep(0.4)
        assert status((await read_message(reader))[0]) == 200
        writer.close()

    run_scenario(tmp_path, [fixed_response_server(OK, 0.1)], scenario)


def test_client_disconnect_cancels_the_attempt(tmp_path: Path) -> None:
    connection_closed = asyncio.Event()

    async def unresponsive_server(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        assert await reader.read() == b""
        connection_closed.set()

    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        _, writer = await proxy.connect()
        writer.write(request_bytes("a1", "submit-exam", body=b"x"))
        await asyncio.sleep(0.1)
        writer.close()
        async with asyncio.timeout(0.5):
            await connection_closed.wait()

    run_scenario(tmp_path, [unresponsive_server], scenario)


# Startup, signals, discovery and release controller


def test_process_does_not_import_numpy_pydantic_or_trio() -> None:
    """Guards against imports that cost 12 MB and 0.1 s in each of hundreds of instances.

    The smallest instances have 32 MB.
    """
    code = "import sys, gullmount.platform.__main__; print({'numpy', 'pydantic', 'trio'} & {*sys.modules})"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert loaded.stdout == "set()\n"


def test_votes_of_several_peers_count_and_invalid_datagrams_are_dropped(tmp_path: Path) -> None:
    """The vote of one peer, sent in a real datagram, must not decide; the votes of many peers must."""
    settings = {**configuration()["settings"], "Siblings": 60}
    peers = [f"{HOST}:{8103 + number}" for number in range(60)]

    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        loop = asyncio.get_running_loop()
        senders = []
        for number in range(1, 9):
            endpoint = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, (HOST, 8103 + number))
            senders.append(endpoint[0])
        unknown_senders = []
        for number in range(4):
            endpoint = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, (HOST, 8190 + number))
            unknown_senders.append(endpoint[0])
        gossip_address = (HOST, 8103)
        for status_stream in world.status_streams:
            status_stream.write(b"* progress 42 0 IN_PROGRESS 0.056 10\r\n")
        await asyncio.sleep(0.3)
        for data in (b"", b"\xff\x00", b"42 0", b"42 0 9", b"42 0 3" + b" " * 500, b"99999999 0 3"):
            senders[0].sendto(data, gossip_address)
        for unknown_sender in unknown_senders:
            unknown_sender.sendto(b"42 0 3", gossip_address)
        senders[0].sendto(b"42 0 3", gossip_address)
        await asyncio.sleep(0.5)
        # One peer's vote, invalid datagrams and votes of unknown senders decide nothing.
        assert not world.votes
        for sender in senders:
            sender.sendto(b"42 0 3", gossip_address)
        async with asyncio.timeout(3):
            while not world.votes:
                await asyncio.sleep(0.02)
        assert world.votes[0] == "BALLOT 42 0 stop"
        for sender in (*senders, *unknown_senders):
            sender.close()

    run_scenario(tmp_path, [fixed_response_server(OK)], scenario, settings=settings, peers=peers)


def test_memory_and_descriptors_stay_bounded_while_ids_and_servers_keep_changing(tmp_path: Path) -> None:
    """Guards against leaks of ids, keys, bodies, connections, servers and builds that are used only once."""

    def read_memory_and_descriptors(proxy: ProxyProcess) -> tuple[float, int]:
        pages = int(Path(f"/proc/{proxy.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20, len(os.listdir(f"/proc/{proxy.process.pid}/fd"))

    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        addresses = [member["host_port"] for member in world.members]
        count = completed = 0

        async def client() -> None:
            nonlocal count, completed
            reader, writer = await proxy.connect()
            for _ in range(20):
                count += 1
                key = b"Affinity-Key: key-%d\r\n" % count
                request = request_bytes(f"id-{count}", "submit-exam", "1500", b"%8000d" % count)
                writer.write(request.replace(b"Affinity-Key: 7f3a9c21e0b4d655\r\n", key))
                head, _ = await read_message(reader)
                completed += head.startswith(b"HTTP/1.1 200 ")
            writer.close()

        async def replace_builds_and_send_requests(build: int) -> None:
            """List servers with new ids at the old addresses and send requests.

            First one server runs the new build as a candidate, then all servers run it.
            """
            for updated_server_count, status_format in (
                (1, b"%d 0 IN_PROGRESS 0.056 1"),
                (len(addresses), b"%d 2 COMPLETE 1.0 1"),
            ):
                builds = [
                    build if number < updated_server_count else build - 1 for number in range(len(addresses))
                ]
                world.members = [
                    endpoint_entry(f"s-{server_build}-{number}", addresses[number], server_build)
                    for number, server_build in enumerate(builds)
                ]
                world.publish_list()
                for status_stream in world.status_streams:
                    status_stream.write(b"* progress " + status_format % build + b"\r\n")
                await asyncio.sleep(0.05)
                await asyncio.gather(*(client() for _ in range(8)))

        async def measure_at_rest(build: int) -> tuple[float, int]:
            """Return memory and descriptors after the servers of the last requests are gone.

            Their connections are closed by then, whose number depends on the speed of the requests.
            """
            world.members = [
                endpoint_entry(f"r-{build}-{number}", addresses[number], build)
                for number in range(len(addresses))
            ]
            world.publish_list()
            descriptor_counts = [0, 1]
            async with asyncio.timeout(5):
                while len(set(descriptor_counts[-10:])) > 1:
                    await asyncio.sleep(0.02)
                    descriptor_counts.append(read_memory_and_descriptors(proxy)[1])
            return read_memory_and_descriptors(proxy)

        for build in range(42, 47):
            await replace_builds_and_send_requests(build)
        memory_before, descriptors_before = await measure_at_rest(46)
        for build in range(47, 60):
            await replace_builds_and_send_requests(build)
        memory_after, descriptors_after = await measure_at_rest(59)
        assert completed > 0.9 * count
        # State kept from the last 20 s takes about 3 MB. The requests and the data sent with them took 33 MB.
        assert memory_after - memory_before < 8 and descriptors_after - descriptors_before < 12, (
            memory_before,
            memory_after,
        )

    run_scenario(tmp_path, [fixed_response_server(OK) for _ in range(4)], scenario)


def test_sigterm_keeps_accepting_for_a_while_and_loses_no_request(tmp_path: Path) -> None:
    """Guards against requests that are lost at shutdown.

    Requests in flight, on open connections and on new connections within 0.4 s of SIGTERM get responses. Then
    the process exits with status 0.
    """

    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        reader, writer = await proxy.connect()
        writer.write(request_bytes("k0"))
        await read_message(reader)
        in_flight = asyncio.create_task(proxy.request(request_bytes("f1")))
        await asyncio.sleep(0.05)
        proxy.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        writer.write(request_bytes("k1"))
        assert status((await read_message(reader))[0]) == 200
        await asyncio.sleep(0.05)
        assert status(await proxy.request(request_bytes("n1"))) == 200
        assert status(await in_flight) == 200
        async with asyncio.timeout(2.5):
            assert await proxy.process.wait() == 0

    run_scenario(tmp_path, [fixed_response_server(OK, 0.15)], scenario)


def test_sighup_switches_to_new_addresses_and_loses_no_request(tmp_path: Path) -> None:
    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        await asyncio.sleep(0.3)
        assert world.status_streams
        in_flight = [asyncio.create_task(proxy.request(request_bytes(f"f{number}"))) for number in range(3)]
        await asyncio.sleep(0.05)
        await world.serve_platform(8111, 8112)
        answers_before, stream_count_before = world.answered_discovery_calls, len(world.status_streams)
        proxy.path.write_text("{")
        # The file is invalid, so the old configuration stays.
        proxy.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
        assert len(world.status_streams) == stream_count_before
        new_configuration = {**proxy.configuration, "discovery": f"{HOST}:8111"}
        proxy.write_configuration({**new_configuration, "platform": {"address": f"{HOST}:8112"}})
        proxy.process.send_signal(signal.SIGHUP)
        world.publish_list()
        async with asyncio.timeout(3):
            while (
                len(world.status_streams) == stream_count_before
                or world.answered_discovery_calls == answers_before
            ):
                await asyncio.sleep(0.02)
        assert [status(response_bytes) for response_bytes in await asyncio.gather(*in_flight)] == [200] * 3

    log_output = run_scenario(tmp_path, [fixed_response_server(OK, 0.3)], scenario)
    assert log_output.count(b"configuration_invalid") == 1 and b"configuration_reloaded" in log_output


def test_server_with_a_new_address_is_found_and_a_malformed_list_is_ignored(
    tmp_path: Path,
) -> None:
    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        assert status(await proxy.request(request_bytes("a1"))) == 200
        world.members = [{"id": "nonsense"}]
        world.publish_list()
        await asyncio.sleep(0.2)
        assert status(await proxy.request(request_bytes("a2"))) == 200
        address = await world.serve(8300, fixed_response_server(OK.replace(b"ok", b"ko")))
        world.members = [{**make_endpoint_entry("s-8200"), "host_port": address, "up_since_ms": 1}]
        world.publish_list()
        async with asyncio.timeout(6):
            while not (
                await proxy.request(request_bytes(f"b{world.answered_discovery_calls}{os.urandom(4).hex()}"))
            ).endswith(b"ko"):
                await asyncio.sleep(0.1)

    run_scenario(tmp_path, [fixed_response_server(OK)], scenario)


def make_endpoint_entry(server: str) -> dict[str, Any]:
    fields = {"locality": "a", "flavor": "m2", "cell": 0, "phase": "ready", "size": 1.0}
    return {"id": server, "host_port": "", "version_no": 41, "up_since_ms": 0, **fields}


def test_invalid_data_from_the_release_controller_ends_only_that_connection(tmp_path: Path) -> None:
    async def scenario(world: StubPlatform, proxy: ProxyProcess) -> None:
        await asyncio.sleep(0.2)
        world.status_streams[0].write(b"\xff\xfe noise " + b"x" * 9000 + b"\r\n")
        async with asyncio.timeout(3):
            while len(world.status_streams) < 2:
                await asyncio.sleep(0.02)
        assert status(await proxy.request(request_bytes("a1"))) == 200

    assert b"release_watch_ended" in run_scenario(tmp_path, [fixed_response_server(OK)], scenario)
