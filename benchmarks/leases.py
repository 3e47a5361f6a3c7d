"""Measure what leases cost and how quickly one moves to another instance.

python benchmarks/leases.py changes     # changes a second at three replicas, and the time of one
python benchmarks/leases.py idle        # memory and processor time of replicas that only have watches
python benchmarks/leases.py proxy       # memory and processor time of a proxy with leases and without
python benchmarks/leases.py takeover    # s without a holder by kind of fault, virtual, 100 seeds each;
                                        # and by drawn faults, from sweeps' --out files named after it
python benchmarks/leases.py messages    # a proxy's lines and calls a second by number, virtual
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from random import Random
from statistics import median
from typing import Any, ClassVar

import anyio
import msgspec

from gullmount.consensus.client import RegisterClient
from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.messages import RegisterRequest
from gullmount.consensus.registers import ChangeResult
from gullmount.consensus.replica import Replica
from gullmount.consensus.storage import MemoryStorage
from gullmount.emulators.links import HostNetwork, NetworkLinks
from gullmount.fault_harness.config import HarnessConfig
from gullmount.fault_harness.processes import Process
from gullmount.fault_harness.sweep import run_seed
from gullmount.leases.lease_manager import LeaseManager
from gullmount.net import MemoryNet, TcpNet
from gullmount.scale.process_usage import process_usage
from gullmount.scenarios.loopback import loopback_block
from gullmount.scenarios.virtual_time import run_in_virtual_time
from gullmount.yamlfile import read_yaml

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / "days" / "failures" / "short.yaml"
CHART = ROOT / "docs" / "figures" / "takeover.png"
MEASURED_SECONDS = 6.0
START_SECONDS = 3.0  # for the replicas' processes
REPLICAS = (1, 2, 3)
REPLICA_PORT = 7299
CALL_TIMEOUT_SECONDS = 5.0
CHANGING_CLIENTS = (1, 8, 32)
WATCHES = (0, 100)
WATCH_SETTLE_SECONDS = 2.0
PROXY_SETTLE_SECONDS = 4.0
LEASE = "judge"
FAULT_KINDS = ("kill", "cut", "stop", "term")  # words of the fault harness's files
SEEDS = 100
LEASE_TERM_SECONDS, LEASE_MARGIN_SECONDS = 3.0, 0.3
SCENARIO_SECONDS = 9
PROXY_COUNTS = (25, 100, 400)
LINK_DELAY_SECONDS = 0.001
COUNT_SETTLE_SECONDS, COUNTED_SECONDS = 10, 30
HOSTS_PER_SUBNET = 200

ReplicaProgram = Callable[[list[str], list[int]], Awaitable[None]]  # with addresses and process ids


def format_times(times: list[float]) -> str:
    """Return median and 99th percentile of seconds."""
    ordered = sorted(times)
    late = ordered[int(len(ordered) * 0.99)]
    return f"median {median(ordered):.4f} s, 99th {late:.4f} s, of {len(ordered)}"


# On processes


async def run_with_replicas(program: ReplicaProgram) -> None:
    """Run a program beside a group of replicas, each in a process."""
    block = loopback_block(os.getpid())
    members = {number: f"{block}.5.{number}:{REPLICA_PORT}" for number in REPLICAS}
    with tempfile.TemporaryDirectory() as folder:
        processes = []
        for number in members:
            config = ReplicaConfig(number=number, group="g", members=members, disk=f"{folder}/{number}")
            file = Path(folder) / f"{number}.yaml"
            file.write_bytes(msgspec.json.encode(config.model_dump(mode="json")))
            processes.append(Process(["keeper", str(file), "--found"], Path(folder) / f"{number}.log"))
        try:
            await anyio.sleep(START_SECONDS)
            await program(list(members.values()), [process.process.pid for process in processes])
        finally:
            for process in processes:
                process.kill()


def register_client(addresses: list[str], number: int) -> RegisterClient:
    """Return a client of the replicas over sockets."""
    return RegisterClient(TcpNet(), addresses, Random(number), CALL_TIMEOUT_SECONDS)


async def measure_changes(addresses: list[str], _pids: list[int]) -> None:
    """Print changes a second of registers, by number of clients."""

    async def change(number: int, times: list[float]) -> None:
        client = register_client(addresses, number)
        register = await client.read(f"job-{number}")
        until = time.monotonic() + MEASURED_SECONDS
        while time.monotonic() < until:
            started = time.monotonic()
            value = {"owner": number, "beat": started}
            _, register = await client.change(f"job-{number}", register.version, value)
            times.append(time.monotonic() - started)

    for clients in CHANGING_CLIENTS:
        times: list[float] = []
        async with anyio.create_task_group() as tasks:
            for number in range(clients):
                tasks.start_soon(change, number, times)
        rate = len(times) / MEASURED_SECONDS
        print(f"{clients} clients: {rate:.0f} changes/s, {format_times(times)}", flush=True)


async def measure_idle(addresses: list[str], pids: list[int]) -> None:
    """Print memory and processor time of the replica that uses most, by number of watches."""

    async def watch(number: int) -> None:
        async for _ in register_client(addresses, number).watch(LEASE):
            pass

    for watches in WATCHES:
        async with anyio.create_task_group() as tasks:
            for number in range(watches):
                tasks.start_soon(watch, number)
            await anyio.sleep(WATCH_SETTLE_SECONDS)
            before = [process_usage(pid).processor_seconds for pid in pids]
            await anyio.sleep(MEASURED_SECONDS)
            after = [process_usage(pid) for pid in pids]
            spent = (usage.processor_seconds - then for usage, then in zip(after, before, strict=True))
            cores = max(spent) / MEASURED_SECONDS
            megabytes = max(usage.resident_bytes for usage in after) / 1e6
            print(f"{watches} watches: {megabytes:.1f} MB, {cores * 100:.2f} % of a core, the worst replica")
            tasks.cancel_scope.cancel()


def proxy_configuration(block: str, addresses: list[str], leases_on: bool) -> dict[str, Any]:
    """Return the settings of a proxy for a service that nobody answers at."""
    look = {"name": "look", "match": {"path": "/*"}, "objective": 0.5, "timeout": 2, "repeats": "retriable"}
    votes = {"vote_life": 10.0, "to_advance": 1, "back_votes": 1, "votes_per_s": 2.0}
    return {
        "number": 0,
        "of": 1,
        "zone": "a",
        "listen": f"{block}.1.1:8000",
        "roster": {"address": f"{block}.3.1:7001"},
        "launcher": {"address": f"{block}.3.2:7002"},
        "routes": [look],
        "boxes": {"cold_share": 0.2, "warm_time": 3.0, "tip_multiple": 3.0, "max_tries": 3},
        "releases": {"caps": [0.1, 0.5], "window": 4.0, "spare_tries": 1, **votes},
        "ownership": {"switched_on": leases_on, "keepers": dict(enumerate(addresses, 1))},
    }


async def measure_proxy(addresses: list[str], _pids: list[int]) -> None:
    """Print what an idle proxy uses: what is paid is the watches of the leases and of the group."""
    block = loopback_block(os.getpid())
    for leases_on in (False, True):
        with tempfile.TemporaryDirectory() as folder:
            file, log = Path(folder) / "proxy.yaml", Path(folder) / "log"
            file.write_bytes(msgspec.json.encode(proxy_configuration(block, addresses, leases_on)))
            process = Process(["umpire", str(file)], log)
            try:
                await anyio.sleep(PROXY_SETTLE_SECONDS)
                assert process.process.poll() is None, log.read_text()
                before = process_usage(process.process.pid).processor_seconds
                await anyio.sleep(MEASURED_SECONDS)
                usage = process_usage(process.process.pid)
            finally:
                process.kill()
        cores = (usage.processor_seconds - before) / MEASURED_SECONDS
        megabytes = usage.resident_bytes / 1e6
        print(f"switched on {leases_on}: {megabytes:.1f} MB, {cores * 100:.2f} % of a core", flush=True)


# In virtual time


def first_takeover(kind: str, seed: int) -> list[float]:
    """Return the seconds without a holder after one fault of its process; empty where it kept the lease."""
    at = 2.0 + Random(seed).random() * 2
    where = "keepers" if kind == "cut" else ""
    fault = {"at": at, "do": kind, "who": "owner", "where": where, "length": SCENARIO_SECONDS}
    told = read_yaml(SCRIPT, HarnessConfig).model_dump(by_alias=True) | {
        "length": 9,
        "faults": [fault],
        "probers": 0,
    }
    told["ownership"] |= {"term": LEASE_TERM_SECONDS, "margin": LEASE_MARGIN_SECONDS, "answer_within": 1.0}
    played = run_seed(HarnessConfig.model_validate(told), seed, True)
    assert not played.violations, (kind, seed, played.violations)
    return played.takeover_seconds[:1]


def takeovers_of_sweep(file: Path) -> tuple[str, list[float]]:
    """Return the name of a sweep's faults, and the seconds without a holder of all its runs."""
    first, *lines = [msgspec.json.decode(line) for line in file.read_bytes().splitlines()]
    how = "virtual" if first["virtual"] else "on processes"
    term_seconds = first["script"]["ownership"]["term"]
    times = [seconds for line in lines for seconds in line["takeovers"]]
    return f"drawn faults, term {term_seconds:g} s, {how}", times


def measure_takeovers(sweeps: list[Path]) -> None:
    """Print and draw the seconds without a holder, by kind of fault and by sweep."""
    times_by_name: dict[str, list[float]] = {}
    with ProcessPoolExecutor() as executor:
        for kind in FAULT_KINDS:
            found = executor.map(partial(first_takeover, kind), range(SEEDS))
            name = f"{kind}, term {LEASE_TERM_SECONDS:g} s, virtual"
            times_by_name[name] = [seconds for takeovers in found for seconds in takeovers]
    times_by_name.update(map(takeovers_of_sweep, sweeps))
    for name, times in times_by_name.items():
        print(f"{name}: {format_times(times)}", flush=True)
    draw_takeovers(times_by_name)


def draw_takeovers(times_by_name: dict[str, list[float]]) -> None:
    """Write the chart of the distributions."""
    from matplotlib import pyplot as plt  # noqa: PLC0415 (half a second, for this alone)

    figure, axes = plt.subplots(figsize=(8, 4.5))
    for name, times in times_by_name.items():
        ordered = sorted(times)
        shares = [(index + 1) / len(ordered) for index in range(len(ordered))]
        axes.step(ordered, shares, label=name, where="post")
    axes.set(xlabel="s from the last effect of a holder to the first of the next", ylabel="share")
    axes.set(xlim=(0, 8), ylim=(0, 1))
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8, loc="lower right")
    figure.tight_layout()
    CHART.parent.mkdir(exist_ok=True)
    figure.savefig(CHART, dpi=110)


class CountingClient(RegisterClient):
    """Counts the calls and lines of all proxies."""

    counts: ClassVar[Counter[str]] = Counter()

    async def send(self, request: RegisterRequest) -> ChangeResult:
        """Count a call."""
        self.counts["calls"] += 1
        return await super().send(request)

    async def watch(self, register: str) -> AsyncIterator[Any]:
        """Count the lines of a watch."""
        async for state in super().watch(register):
            self.counts["lines"] += 1
            yield state


async def measure_messages(proxies: int) -> None:
    """Print lines and calls a second of so many proxies, of which each goes for one lease."""
    links = NetworkLinks(MemoryNet(), 1)
    links.same_zone_delay = links.cross_zone_delay = LINK_DELAY_SECONDS
    members = {number: f"10.0.0.{number}:{REPLICA_PORT}" for number in REPLICAS}

    async def hold_lease(leases: LeaseManager) -> None:
        async with leases.hold(LEASE):
            await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        for number in members:
            config = ReplicaConfig(number=number, group="g", members=members, disk="none")
            party = HostNetwork(links, f"10.0.0.{number}", f"keeper {number}", "a", tasks)
            replica = Replica(
                config, net=party, storage=MemoryStorage(), random=Random(number), bootstrap=True
            )
            tasks.start_soon(replica.run)
        await anyio.sleep(1)
        for number in range(proxies):
            host = f"10.1.{number // HOSTS_PER_SUBNET}.{number % HOSTS_PER_SUBNET}"
            party = HostNetwork(links, host, f"umpire {number}", "a", tasks)
            client = CountingClient(party, list(members.values()), Random(number), 1.0)
            leases = LeaseManager(
                client, number, str(number), [LEASE], term_seconds=LEASE_TERM_SECONDS,
                margin_seconds=LEASE_MARGIN_SECONDS, random=Random(number), clock=anyio.current_time,
            )  # fmt: skip
            tasks.start_soon(leases.run)
            tasks.start_soon(hold_lease, leases)
        await anyio.sleep(COUNT_SETTLE_SECONDS)
        CountingClient.counts.clear()
        await anyio.sleep(COUNTED_SECONDS)
        lines, calls = (CountingClient.counts[what] / COUNTED_SECONDS for what in ("lines", "calls"))
        print(f"{proxies} proxies: {lines / proxies:.2f} lines/s each, {calls:.2f} calls/s in all")
        tasks.cancel_scope.cancel()


PROGRAMS: dict[str, ReplicaProgram] = {
    "changes": measure_changes,
    "idle": measure_idle,
    "proxy": measure_proxy,
    "umpire": measure_proxy,  # its earlier name
}


def main() -> None:
    """Run the measurement that is named on the command line."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name in PROGRAMS:
        anyio.run(run_with_replicas, PROGRAMS[name])
    elif name == "takeover":
        measure_takeovers(list(map(Path, sys.argv[2:])))
    elif name == "messages":
        for proxies in PROXY_COUNTS:
            run_in_virtual_time(measure_messages, 1, proxies)
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main()
