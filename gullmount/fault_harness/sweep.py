"""Plays one script with many seeds, side by side on the processor's cores."""

from __future__ import annotations

import gc
import os
import shutil
import tempfile
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

import msgspec

from gullmount.checker import check
from gullmount.checker.histories import check_history
from gullmount.checker.owners import check_owners, takeovers
from gullmount.emulators.record import write
from gullmount.errors import GullmountError
from gullmount.fault_harness.config import LEADER_WORK, HarnessConfig
from gullmount.fault_harness.run import run
from gullmount.scenarios.loopback import claimed_block

# Objects and rounds between the garbage collector's generations: a script makes millions of objects.
GC_THRESHOLDS = (50_000, 20, 100)
MAX_SOCKET_SEEDS = 4  # scripts on processes side by side: each has some ten of them


class OtherSweepError(GullmountError, ValueError):
    """The file of a sweep holds results of another one."""

    def __init__(self) -> None:
        super().__init__("it holds seeds of another script, version or way of playing")


class SeedResult(msgspec.Struct, frozen=True):
    """What playing one seed showed; a line of a sweep's file has it under the names given here.

    Attributes:
        seed: of the script's random draws.
        violations: the promises and rules that were broken, in words.
        lease_terms: terms of leases that were seen.
        effects: effects of lease holders that receivers saw.
        rejected_effects: those of an earlier holder.
        takeover_seconds: of each takeover of the leader's lease.
    """

    seed: int
    violations: list[str] = msgspec.field(name="broken")
    lease_terms: int = msgspec.field(name="terms")
    effects: int
    rejected_effects: int = msgspec.field(name="refused")
    takeover_seconds: list[float] = msgspec.field(name="takeovers")


def run_seed(config: HarnessConfig, seed: int, virtual: bool, records: Path | None = None) -> SeedResult:
    """Play the script with one seed and check its record.

    Args:
        config: the script.
        seed: of the random draws.
        virtual: in one process and virtual time instead of on processes.
        records: where record and logs of a seed with a violation stay, in a folder of its own.
    """
    with tempfile.TemporaryDirectory() as temporary, claimed_block() as block:
        folder = Path(temporary)
        try:
            metadata, lines = run(config, seed, virtual, block, folder)
        except Exception as error:  # one seed that can't be played must not end a sweep of thousands
            return SeedResult(seed, [f"not played: {innermost_error(error)!r}"], 0, 0, 0, [])
        result = check_record(seed, metadata, lines)
        if result.violations and records is not None:
            write(folder, metadata, lines)
            shutil.copytree(folder, records / f"seed-{seed}", dirs_exist_ok=True)
    return result


def innermost_error(error: BaseException) -> BaseException:
    """Return the first error within nested exception groups."""
    return innermost_error(error.exceptions[0]) if isinstance(error, BaseExceptionGroup) else error


def check_record(seed: int, metadata: dict[str, Any], lines: bytes) -> SeedResult:
    """Check a record's lines against all promises and rules."""
    events = [msgspec.json.decode(line) for line in lines.splitlines()]
    lease_findings = check_owners(events)
    violations = [
        f"{breach.t}: {breach.umpire}: {finding.rule}: {breach.what}"
        for finding in [*lease_findings, check_history(events), *check(metadata, events)]
        for breach in finding.breaches
    ]
    counts = {name: count for finding in lease_findings for name, count in finding.checked.items()}
    rejected = sum(event["ev"] == "effect" and not event["taken"] for event in events)
    return SeedResult(
        seed, violations, counts["terms"], counts["effects"], rejected, takeovers(events, LEADER_WORK)
    )


def load_results(file: Path, metadata: dict[str, Any]) -> list[SeedResult]:
    """Load what an interrupted sweep wrote into its file, and drop a last line that is incomplete.

    The first line says what was played and how, each further one holds a seed's result. A file that isn't
    there is begun. Raises OtherSweepError where the first line isn't `metadata`, and OSError.
    """
    if not file.exists():
        file.write_bytes(msgspec.json.encode(metadata) + b"\n")
        return []
    first_line, *lines = file.read_bytes().splitlines(keepends=True)
    if msgspec.json.decode(first_line) != metadata:
        raise OtherSweepError
    complete = [line for line in lines if line.endswith(b"\n")]
    file.write_bytes(b"".join([first_line, *complete]))
    return [msgspec.json.decode(line, type=SeedResult) for line in complete]


def sweep(
    config: HarnessConfig, seeds: Iterable[int], virtual: bool, file: Path | None = None, workers: int = 0
) -> Iterator[SeedResult]:
    """Play the script with each seed and yield the results as they come.

    Args:
        config: the script.
        seeds: to play.
        virtual: in virtual time instead of on processes.
        file: each result is appended to it first, and records of seeds with violations are written into a
            folder beside it.
        workers: seeds side by side; 0 for as many as fit.
    """
    count = workers or (os.cpu_count() if virtual else MAX_SOCKET_SEEDS)
    records = None if file is None else file.with_suffix(".broken")
    with ProcessPoolExecutor(count, initializer=gc.set_threshold, initargs=GC_THRESHOLDS) as pool:
        futures = [pool.submit(run_seed, config, seed, virtual, records) for seed in seeds]
        for future in as_completed(futures):
            result = future.result()
            if file is not None:
                with file.open("ab") as lines:
                    lines.write(msgspec.json.encode(result) + b"\n")
            yield result
