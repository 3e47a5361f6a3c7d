"""Sums over attempts: merging, expiry of slices, and limits."""

from __future__ import annotations

from gullmount.decisions.attribution import Evidence, SampleRow
from gullmount.decisions.attribution.evidence import MAX_SAMPLES, MAX_SLICES, SampleKey


def test_samples_of_two_instances_add_up_and_old_slices_are_dropped() -> None:
    first_evidence, second_evidence, merged = Evidence(), Evidence(), Evidence()
    key = SampleKey("a1", 2, "a", "look")
    for instance in (first_evidence, second_evidence):
        for second in range(100):
            instance.record(1000.0 + second, key, 0.5, second % 10 == 0)
    merged.merge(1099.0, first_evidence.rows(1099.0))
    merged.merge(1099.0, second_evidence.rows(1099.0))
    attempts = sum(sums.attempts for _, _, sums in merged.since(1099.0, 1000.0))
    assert attempts == 2 * MAX_SLICES
    assert len(merged.slices) <= MAX_SLICES


def test_evidence_is_bounded_whatever_number_of_servers_is_received() -> None:
    merged = Evidence()
    for batch in range(20):
        rows = [SampleRow(0, f"b{n}", 2, "a", "look", 1, 0, 1, 0.0, 0.0) for n in range(8000)]
        merged.merge(1000.0 + batch, rows)
    assert sum(map(len, merged.slices.values())) == merged.sample_count <= MAX_SAMPLES


def test_rows_from_outside_the_kept_slices_are_left_out() -> None:
    merged = Evidence()
    merged.merge(
        1000.0,
        [
            SampleRow(slices_ago, "a1", 2, "a", "look", 1, 0, 1, 0.0, 0.0)
            for slices_ago in (-50, MAX_SLICES, 10**6)
        ],
    )
    assert not merged.slices
