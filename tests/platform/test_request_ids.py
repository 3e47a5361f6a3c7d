"""Tests that recent request ids are remembered in bounded memory."""

from __future__ import annotations

from gullmount.platform.request_ids import RequestIds


def test_the_latest_of_many_ids_is_known_and_memory_is_bounded() -> None:
    now = 100.0
    request_ids = RequestIds(lambda: now)
    for number in range(100_000):
        assert request_ids.claim(str(number))
        request_ids.in_flight.discard(str(number))
    assert not request_ids.claim("99999")
    assert len(request_ids.current_ids) + len(request_ids.previous_ids) < 50_000 and not request_ids.in_flight
