"""Tests the keys of log lines and the rate limit for each event."""

from __future__ import annotations

import json

import pytest

from gullmount.platform.json_log import MAX_LINES_PER_SECOND, JsonLog
from gullmount.platform.log_events import LogEvent


def test_event_values_are_distinct_and_are_the_lower_case_names() -> None:
    names = [event.value for event in LogEvent]
    assert len(set(names)) == len(names)
    assert all(event.value == event.name.lower() for event in LogEvent)


def test_log_line_has_timestamps_instance_event_and_fields(
    capsysbinary: pytest.CaptureFixture[bytes],
) -> None:
    JsonLog("n0")(LogEvent.LISTENING, address="127.0.0.1:1")
    line = json.loads(capsysbinary.readouterr().err)
    assert line.pop("at") > 0 and line.pop("up") >= 0
    assert line == {"proxy": "n0", "event": "listening", "address": "127.0.0.1:1"}


def test_excess_lines_of_one_event_are_counted_and_other_events_are_still_logged(
    capsysbinary: pytest.CaptureFixture[bytes], monkeypatch: pytest.MonkeyPatch
) -> None:
    now = 100.0
    monkeypatch.setattr("gullmount.platform.json_log.time.monotonic", lambda: now)
    log = JsonLog("n0")
    for _ in range(MAX_LINES_PER_SECOND + 5):
        log(LogEvent.DISCOVERY_CALL_FAILED)
    log(LogEvent.LISTENING)
    now += 1.0
    log(LogEvent.DISCOVERY_CALL_FAILED)
    lines = [json.loads(line) for line in capsysbinary.readouterr().err.splitlines()]
    assert [line["event"] for line in lines[-2:]] == ["listening", "discovery_call_failed"]
    assert len(lines) == MAX_LINES_PER_SECOND + 2
    assert lines[-1]["dropped_before"] == 5 and "dropped_before" not in lines[0]
