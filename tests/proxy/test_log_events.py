"""Tests that the values of log events can be searched for."""

from __future__ import annotations

import re

from gullmount.proxy.log_events import LogEvent


def test_event_values_are_distinct_and_in_snake_case() -> None:
    values = [event.value for event in LogEvent]
    assert len(set(values)) == len(LogEvent.__members__)
    assert all(re.fullmatch(r"[a-z]+(_[a-z]+)*", value) for value in values)
