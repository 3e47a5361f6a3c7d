"""The command as a process: its exit codes, a stop by signal, a kill and the next life."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.support.fault_block import reserve_loopback_block
from tests.support.paths import DAYS
from tests.support.proxy_edge import make_proxy_config

HOST = f"{reserve_loopback_block()}.1.1"
SAVED_WITHIN = 10.0  # s, of the 30 after which the watchdog ends a proxy
BOXES = [
    {
        "box": f"{HOST}:9001",
        "zone": "a",
        "cell": 0,
        "build": 1,
        "state": "ready",
        "power": 1.0,
        "start": None,
        "age": None,
    }
]


def run(*args: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "gullmount", *args]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


def chunk(message: dict) -> bytes:
    line = json.dumps({"v": 1, **message}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)


WATCH = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
SCRIPTS = {
    7001: WATCH + chunk({"kind": "full", "index": 1, "boxes": BOXES}),
    7002: WATCH + chunk({"news": {"build": 1, "stage": 1, "phase": "released", "cap": 1.0}}),
}


class Surroundings:
    """Roster, launcher and one slow box, each connection in a thread."""

    def __init__(self) -> None:
        self.listeners: dict[int, socket.socket] = {}
        for port in (7001, 7002, 9001):
            self.listen(port)

    def listen(self, port: int) -> None:
        listener = socket.create_server((HOST, port))
        self.listeners[port] = listener
        threading.Thread(target=self.accept, args=(port, listener), daemon=True).start()

    def accept(self, port: int, listener: socket.socket) -> None:
        while True:
            try:
                stream, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(port, stream), daemon=True).start()

    def serve(self, port: int, stream: socket.socket) -> None:
        try:
            while stream.recv(65536):
                if port in SCRIPTS:
                    stream.sendall(SCRIPTS[port])
                else:
                    time.sleep(0.4)
                    stream.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        except OSError:
            pass

    def close(self, port: int) -> None:
        listener = self.listeners.pop(port, None)
        if listener is not None:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()


@pytest.fixture
def around() -> Iterator[Surroundings]:
    made = Surroundings()
    yield made
    for port in list(made.listeners):
        made.close(port)


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "umpire.yaml"
    told = make_proxy_config(
        listen=f"{HOST}:8000",
        remembered=str(tmp_path / "boxes.json"),
        roster={"address": f"{HOST}:7001"},
        launcher={"address": f"{HOST}:7002"},
    )
    path.write_text(told.model_dump_json())
    return path


@pytest.fixture
def processes() -> Iterator[list[subprocess.Popen[bytes]]]:
    """The proxies that the test started: none outlives a failed test, it would keep the next ones' port."""
    begun: list[subprocess.Popen[bytes]] = []
    yield begun
    for process in begun:
        process.kill()
        process.wait(10)


def started(
    processes: list[subprocess.Popen[bytes]], file: Path, command_name: str = "proxy"
) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "gullmount", command_name, str(file)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE)
    processes.append(process)
    watchdog = threading.Timer(30, process.kill)
    watchdog.daemon = True
    watchdog.start()
    assert process.stderr is not None
    for line in process.stderr:
        if json.loads(line)["event"] == "listening":
            break
    for _ in range(100):
        try:
            socket.create_connection((HOST, 8000)).close()
            return process
        except OSError:
            time.sleep(0.05)
    raise AssertionError("does not listen")


def saved_state(path: Path, *parts: bytes) -> bytes:
    """The remembered list once it holds the parts: the file comes with the first answer, after the start."""
    deadline = time.monotonic() + SAVED_WITHIN
    saved = b""
    while time.monotonic() < deadline:
        saved = path.read_bytes() if path.exists() else b""
        if all(part in saved for part in parts):
            return saved
        time.sleep(0.05)
    raise AssertionError(f"not saved within {SAVED_WITHIN} s: {parts}, but {saved!r}")


def ask(stream: socket.socket) -> None:
    stream.sendall(b"POST /pay HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\na")


@pytest.mark.parametrize("command_name", ["proxy", "umpire"])
def test_signal_answers_what_was_taken_and_exits_with_0(
    command_name: str, around: Surroundings, processes: list[subprocess.Popen[bytes]], file: Path
) -> None:
    process = started(processes, file, command_name)
    with socket.create_connection((HOST, 8000)) as stream:
        ask(stream)
        time.sleep(0.15)
        process.send_signal(signal.SIGTERM)
        got = b""
        while data := stream.recv(65536):
            got += data
    assert got.startswith(b"HTTP/1.1 200") and got.count(b"HTTP/1.1") == 1
    assert process.wait(10) == 0


def test_killed_umpire_serves_again_from_its_remembered_list(
    around: Surroundings, processes: list[subprocess.Popen[bytes]], file: Path
) -> None:
    process = started(processes, file)
    saved_state(file.parent / "boxes.json", b'"news":[{', b'"boxes":[{')
    os.kill(process.pid, signal.SIGKILL)
    process.wait(10)
    around.close(7001)
    around.close(7002)
    started(processes, file)
    with socket.create_connection((HOST, 8000)) as stream:
        ask(stream)
        assert stream.recv(65536).startswith(b"HTTP/1.1 200")


def test_torn_memory_is_said_and_does_not_stop_the_start(
    around: Surroundings, processes: list[subprocess.Popen[bytes]], file: Path
) -> None:
    (file.parent / "boxes.json").write_text('{"v": 1, "boxes": [{"box"')
    process = started(processes, file)
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0


def test_address_in_use_is_one_clear_error(around: Surroundings, file: Path) -> None:
    with socket.create_server((HOST, 8000)):
        result = run("proxy", str(file))
    assert result.returncode == 2
    assert "Traceback" not in result.stderr and "in use" in result.stderr


def test_bad_files_exit_with_2_and_name_the_line(tmp_path: Path) -> None:
    bad = tmp_path / "bad.yaml"
    bad.write_text("name: x\nlength: -1\n")
    for args in (
        ("check", str(bad)),
        ("proxy", str(bad)),
        ("umpire", str(bad)),
        ("day", "run", str(bad)),
        ("day", "check", str(bad)),
        ("blame", str(bad)),
    ):
        result = run(*args)
        assert result.returncode == 2, args
        assert "Traceback" not in result.stderr
        assert str(bad) in result.stderr


def test_day_record_can_be_checked_again(tmp_path: Path) -> None:
    day = str(DAYS / "first.yaml")
    first = run("day", "run", day, "--virtual", "--json", "--record", str(tmp_path))
    again = run("day", "check", str(tmp_path), "--json")
    assert first.returncode == again.returncode == 0
    assert json.loads(first.stdout) == json.loads(again.stdout)
    picture = tmp_path / "course.png"
    told = run("blame", str(tmp_path), "--json", "--plot", str(picture))
    assert told.returncode == 0 and json.loads(told.stdout)["bad"] == []
    assert picture.read_bytes().startswith(b"\x89PNG")
    assert run("blame", str(tmp_path), "--plot", str(tmp_path / "course.nonsense")).returncode == 2
    lines = (tmp_path / "record.jsonl").read_text().splitlines()
    twice = next(line for line in lines if '"ev":"got"' in line)
    (tmp_path / "record.jsonl").write_text("\n".join([*lines, twice]))
    broken = run("day", "check", str(tmp_path), "--json")
    assert broken.returncode == 1
    assert not json.loads(broken.stdout)["kept"]


def test_day_on_sockets_whose_umpires_tell_each_other_ends(tmp_path: Path) -> None:
    told = (DAYS / "blame" / "calm.yaml").read_text()
    assert "length: 30" in told and "may_tell: true" in told
    (tmp_path / "short.yaml").write_text(told.replace("length: 30", "length: 4"))
    result = run("day", "run", str(tmp_path / "short.yaml"), "--json")
    assert result.returncode in (0, 1), result.stderr
    assert json.loads(result.stdout)["summary"]["reqs"] > 100


def test_virtual_days_of_one_seed_leave_the_same_record_from_any_process(tmp_path: Path) -> None:
    """Guards against addresses drawn from the process's id in the record of a day that meets no other."""
    told = (DAYS / "first.yaml").read_text()
    assert "length: " in told
    (tmp_path / "short.yaml").write_text(re.sub(r"(?m)^length: .*", "length: 2", told))
    for name in ("one", "other"):
        run("day", "run", str(tmp_path / "short.yaml"), "--virtual", "--record", str(tmp_path / name))
    records = [(tmp_path / name / "record.jsonl").read_bytes() for name in ("one", "other")]
    assert len(records[0]) > 10000 and records[0] == records[1]
