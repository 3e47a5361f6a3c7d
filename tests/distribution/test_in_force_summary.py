"""Tests that summaries merge in any order, and that those of a silent relay expire."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gullmount.distribution.in_force_summary import InForceSummary, RelaySummaries, merge_summaries
from gullmount.distribution.versions import Version

versions = st.builds(Version, st.integers(1, 3), st.integers(0, 9))


@settings(deadline=None)
@given(
    st.lists(
        st.builds(
            InForceSummary,
            subscribers=st.integers(0, 300),
            behind=st.integers(0, 9),
            lowest=st.one_of(st.none(), versions),
            behind_names=st.lists(st.tuples(st.sampled_from("abcdefg"), versions), max_size=4).map(tuple),
        ),
        max_size=6,
    )
)
def test_summaries_merge_to_the_same_total_in_any_order_and_grouping(summaries: list[InForceSummary]) -> None:
    total = merge_summaries(summaries)
    half = len(summaries) // 2
    assert total == merge_summaries(reversed(summaries))
    assert total == merge_summaries([merge_summaries(summaries[:half]), merge_summaries(summaries[half:])])
    known = [part.lowest for part in summaries if part.lowest is not None]
    assert total.lowest == min(known, default=None) and total.subscribers == sum(
        part.subscribers for part in summaries
    )


def test_summary_of_a_silent_relay_expires() -> None:
    origin = RelaySummaries(grace_seconds=5.0)
    behind = InForceSummary(
        subscribers=1, behind=1, lowest=Version(1, 3), behind_names=(("u", Version(1, 3)),)
    )
    origin.record("old", {"a": behind}, 0.0)
    origin.record("new", {"a": InForceSummary(subscribers=1, lowest=Version(1, 9))}, 1.0)
    assert origin.summary(4.0)["a"].lowest == (1, 3)
    origin.record("new", {"a": InForceSummary(subscribers=1, lowest=Version(1, 9))}, 4.5)
    assert origin.summary(5.1) == {"a": InForceSummary(subscribers=1, lowest=Version(1, 9))}
    assert origin.relays.keys() == {"new"}
    assert origin.summary(20.0) == {}
