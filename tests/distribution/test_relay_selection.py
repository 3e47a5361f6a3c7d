"""Tests of relay selection: which relay a subscriber connects to, and when."""

from __future__ import annotations

from collections import Counter
from random import Random

from gullmount.distribution import (
    relay_selection,
)
from gullmount.distribution.relay_selection import RelayEndpoint, RelaySelector


def relays_of_zones(zones: str = "aabbc") -> list[RelayEndpoint]:
    return [RelayEndpoint(f"{zone}-{number}", zone) for number, zone in enumerate(zones)]


def test_relays_of_the_subscribers_zone_are_tried_first_and_other_zones_after_all_fail() -> None:
    first_choices: Counter[str] = Counter()
    later_choices: Counter[str] = Counter()
    for seed in range(300):
        selector = RelaySelector(relays_of_zones(), "a", Random(seed))
        plan = selector.next_connection(0.0)
        first_choices[plan.relay.address] += 1
        assert 0.0 <= plan.not_before <= relay_selection.START_SPREAD_SECONDS
        now, failed_relays = plan.not_before, []
        while plan.relay.zone == "a":
            failed_relays.append(plan.relay.address)
            selector.failed(plan.relay, now, hung=True)
            plan = selector.next_connection(now)
            now = plan.not_before
        assert len(failed_relays) == len(set(failed_relays)) == 2
        later_choices[plan.relay.address] += 1
        assert now < 4.0
    assert set(first_choices) == {"a-0", "a-1"} and min(first_choices.values()) > 110
    assert set(later_choices) == {"b-2", "b-3", "c-4"} and min(later_choices.values()) > 65


def test_backoff_doubles_with_jitter_up_to_the_maximum() -> None:
    single_relay = [RelayEndpoint("source")]
    last_waits = []
    for seed in range(50):
        selector, now, waits = RelaySelector(single_relay, "", Random(seed)), 0.0, []
        selector.next_connection(now)
        for _ in range(12):
            selector.failed(single_relay[0], now)
            retry_at = selector.next_connection(now).not_before
            waits.append(retry_at - now)
            now = retry_at
        assert waits[0] <= relay_selection.INITIAL_BACKOFF_SECONDS + relay_selection.MOVE_SPREAD_SECONDS
        assert max(waits) <= relay_selection.MAX_BACKOFF_SECONDS + relay_selection.MOVE_SPREAD_SECONDS
        assert min(waits[6:]) >= relay_selection.MAX_BACKOFF_SECONDS * (1 - relay_selection.BACKOFF_JITTER)
        last_waits.append(waits[-1])
    assert max(last_waits) - min(last_waits) > 5.0, "reconnects are not spread after the origin returns"


def test_backoff_doubles_also_after_a_stable_stream() -> None:
    selector, now, waits = RelaySelector([RelayEndpoint("source")], "", Random(3)), 100.0, []
    source = selector.relays[0]
    selector.connected(source, 0.0)
    for _ in range(8):
        selector.failed(source, now)
        waits.append(selector.next_connection(now).not_before - now)
        now += waits[-1]
    assert waits[0] < 2.0 and waits[-1] > 7.0


def test_subscribers_of_a_killed_relay_reconnect_spread_over_time_and_remaining_relays() -> None:
    relays = relays_of_zones("abcdefgh")
    connected_times, chosen = [], Counter()
    for seed in range(235):
        selector = RelaySelector(relays, "a", Random(seed))
        selector.next_connection(0.0)
        selector.connected(relays[0], 0.5)
        now = 100.0
        selector.failed(relays[0], now)
        while True:
            plan = selector.next_connection(now)
            now = plan.not_before
            if plan.relay != relays[0]:
                break
            selector.failed(plan.relay, now)
        selector.connected(plan.relay, now)
        connected_times.append(now)
        chosen[plan.relay.address] += 1
        assert selector.moves == 1
    assert max(connected_times) < 104.0 and len(chosen) == 7 and max(chosen.values()) < 60
    assert max(Counter(int(connected_at * 10) for connected_at in connected_times).values()) < 60


def test_returns_to_the_own_zone_are_spread_and_retried_less_often_while_they_fail() -> None:
    relays = relays_of_zones("ab")
    return_times = []
    for seed in range(235):
        selector = RelaySelector(relays, "a", Random(seed))
        selector.connected(relays[1], 0.0)
        now = 0.0
        while not selector.should_leave(now):
            now += 0.5
        return_times.append(now)
        selector.left(now)
        assert selector.next_connection(now).relay == relays[0]
        selector.connected(relays[0], now)
        assert not selector.should_leave(now + 1e6)
    assert min(return_times) >= 20.0 and max(return_times) <= 60.5
    assert max(Counter(int(returned_at) for returned_at in return_times).values()) < 20
    selector, now, return_attempts = RelaySelector(relays, "a", Random(1)), 0.0, []
    selector.connected(relays[1], now)
    while now < 7_200.0:
        now += 1.0
        if selector.should_leave(now):
            return_attempts.append(now)
            selector.left(now)
            selector.failed(relays[0], now)
            selector.connected(relays[1], now)
    assert 10 < len(return_attempts) < 25


def test_silence_deadline_depends_on_the_last_byte_and_the_last_whole_line() -> None:
    selector = RelaySelector(relays_of_zones(), "a", Random(1))
    selector.connected(selector.relays[0], 10.0)
    assert selector.silence_deadline() == 10.0 + relay_selection.SILENCE_TIMEOUT_SECONDS
    for second in range(11, 70):
        selector.received(float(second), 0)
        assert selector.silence_deadline() == min(
            second + relay_selection.SILENCE_TIMEOUT_SECONDS, 10.0 + relay_selection.LINE_TIMEOUT_SECONDS
        )
    selector.received(70.0, 1)
    assert selector.silence_deadline() == 70.0 + relay_selection.SILENCE_TIMEOUT_SECONDS


def test_relay_is_not_retried_before_its_retry_after_which_is_capped() -> None:
    selector = RelaySelector(relays_of_zones("ab"), "a", Random(1))
    own, other = selector.relays
    selector.refused(own, 0.0, 10.0)
    assert selector.next_connection(0.0).relay == other and selector.next_connection(8.0).relay == other
    assert selector.next_connection(10.0 * (1 + relay_selection.BACKOFF_JITTER)).relay == own
    selector.refused(own, 100.0, 1e9)
    assert (
        selector.next_connection(
            100.0 + relay_selection.MAX_RETRY_AFTER_SECONDS * (1 + relay_selection.BACKOFF_JITTER)
        ).relay
        == own
    )
    selector.refused(own, 200.0, None)
    assert selector.health[own.address].failures == 1


def test_subscriber_leaves_a_lagging_relay_but_moves_rarely_while_all_relays_lag() -> None:
    selector, now, moves = RelaySelector(relays_of_zones("aab"), "a", Random(3)), 0.0, []
    selector.connected(selector.relays[0], now)
    for second in range(7_200):
        now = float(second)
        selector.note_lag(behind=True, now=now)
        if selector.current is not None and selector.current.zone == "a" and selector.should_leave(now):
            moves.append(now)
            selector.left(now)
            assert selector.next_connection(now).relay != selector.current
            selector.connected(selector.relays[len(moves) % 2], now)
    assert moves[0] <= 20.0 and len(moves) < 30
    selector.note_lag(behind=False, now=now)
    assert not selector.should_leave(now + 1e5) and selector.moves_while_behind == 0
    lone_selector = RelaySelector([RelayEndpoint("source")], "", Random(1))
    lone_selector.connected(lone_selector.relays[0], 0.0)
    lone_selector.note_lag(behind=True, now=0.0)
    assert not lone_selector.should_leave(1e6)
