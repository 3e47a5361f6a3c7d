"""Every program that listens, as a process, under hostile bytes from whoever can reach it."""

from __future__ import annotations

from tests.support.fuzzed_programs import run_fuzz

SEED = 3
MESSAGES_PER_PROGRAM = 60  # to each program; thousands by `python -m tests.support.fuzzed_programs`


def test_hostile_messages_neither_end_a_process_nor_grow_its_memory() -> None:
    """Guards against `GET //[`, which ended replicas, the origin and relays, and against all of its kind."""
    assert len(run_fuzz(SEED, MESSAGES_PER_PROGRAM)) == 7
