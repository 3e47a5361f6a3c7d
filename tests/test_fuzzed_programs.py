"""Sends hostile bytes to every listening program, each in a process of its own."""

from __future__ import annotations

from tests.support.fuzzed_programs import run_fuzz

SEED = 3
# `python -m tests.support.fuzzed_programs` sends thousands.
MESSAGES_PER_PROGRAM = 60


def test_hostile_messages_neither_end_a_process_nor_grow_its_memory() -> None:
    """Guards against messages such as `GET //[`, which ended the replicas, the origin and the relays."""
    assert len(run_fuzz(SEED, MESSAGES_PER_PROGRAM)) == 7
