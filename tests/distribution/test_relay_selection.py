"""Which relay a subscriber connects to and when."""

from __future__ import annotations

from collections import Counter
from random import Random

from gullmount.distribution import (
    relay_selection,
)
from gullmount.distribution.relay_selection import RelayEndpoint, RelaySelector


def fleet(zones: str = "aabbc") -> list[RelayEndpoint]:
    return [RelayEndpoint(f"{zone}-{number}", zone) for number, zone in enumerate(zones)]


def test_relays_of_the_own_zone_come_first_and_others_when_all_fail() -> None:
    first: Counter[str] = Counter()
    after: Counter[str] = Counter()
    for seed in range(300):
        subscriber = RelaySelector(fleet(), "a", Random(seed))
        dial = subscriber.next_connection(0.0)
        first[dial.relay.address] += 1
        assert 0.0 <= dial.not_before <= relay_selection.START_SPREAD_SECONDS
        now, tried = dial.not_before, []
        while dial.relay.zone == "a":
            tried.append(dial.relay.address)
            subscriber.failed(dial.relay, now, hung=True)
            dial = subscriber.next_connection(now)
            now = dial.not_before
        assert len(tried) == len(set(tried)) == 2
        after[dial.relay.address] += 1
        assert now < 4.0
    assert set(first) == {"a-0", "a-1"} and min(first.values()) > 110
    assert set(after) == {"b-2", "b-3", "c-4"} and min(after.values()) > 65


def test_backoff_doubles_with_jitter_up_to_a_bound() -> None:
    only = [RelayEndpoint("source")]
    seen = []
    for seed in range(50):
        subscriber, now, waits = RelaySelector(only, "", Random(seed)), 0.0, []
        subscriber.next_connection(now)
        for _ in range(12):
            subscriber.failed(only[0], now)
            at = subscriber.next_connection(now).not_before
            waits.append(at - now)
            now = at
        assert waits[0] <= relay_selection.INITIAL_BACKOFF_SECONDS + relay_selection.MOVE_SPREAD_SECONDS
        assert max(waits) <= relay_selection.MAX_BACKOFF_SECONDS + relay_selection.MOVE_SPREAD_SECONDS
        assert min(waits[6:]) >= relay_selection.MAX_BACKOFF_SECONDS * (1 - relay_selection.BACKOFF_JITTER)
        seen.append(waits[-1])
    assert max(seen) - min(seen) > 5.0, "a ramp when the source is back"


def test_backoff_doubles_also_after_a_stable_stream() -> None:
    subscriber, now, waits = RelaySelector([RelayEndpoint("source")], "", Random(3)), 100.0, []
    only = subscriber.relays[0]
    subscriber.connected(only, 0.0)
    for _ in range(8):
        subscriber.failed(only, now)
        waits.append(subscriber.next_connection(now).not_before - now)
        now += waits[-1]
    assert waits[0] < 2.0 and waits[-1] > 7.0


def test_subscribers_of_a_killed_relay_spread_over_time_and_over_the_others() -> None:
    relays = fleet("abcdefgh")
    ats, chosen = [], Counter()
    for seed in range(235):
        subscriber = RelaySelector(relays, "a", Random(seed))
        subscriber.next_connection(0.0)
        subscriber.connected(relays[0], 0.5)
        now = 100.0
        subscriber.failed(relays[0], now)
        while True:
            dial = subscriber.next_connection(now)
            now = dial.not_before
            if dial.relay != relays[0]:
                break
            subscriber.failed(dial.relay, now)
        subscriber.connected(dial.relay, now)
        ats.append(now)
        chosen[dial.relay.address] += 1
        assert subscriber.moves == 1
    assert max(ats) < 104.0 and len(chosen) == 7 and max(chosen.values()) < 60
    assert max(Counter(int(at * 10) for at in ats).values()) < 60


def test_return_to_the_own_zone_is_spread_and_rarer_while_it_fails() -> None:
    relays = fleet("ab")
    homes = []
    for seed in range(235):
        subscriber = RelaySelector(relays, "a", Random(seed))
        subscriber.connected(relays[1], 0.0)
        now = 0.0
        while not subscriber.should_leave(now):
            now += 0.5
        homes.append(now)
        subscriber.left(now)
        assert subscriber.next_connection(now).relay == relays[0]
        subscriber.connected(relays[0], now)
        assert not subscriber.should_leave(now + 1e6)
    assert min(homes) >= 20.0 and max(homes) <= 60.5
    assert max(Counter(int(home) for home in homes).values()) < 20
    subscriber, now, tries = RelaySelector(relays, "a", Random(1)), 0.0, []
    subscriber.connected(relays[1], now)
    while now < 7_200.0:
        now += 1.0
        if subscriber.should_leave(now):
            tries.append(now)
            subscriber.left(now)
            subscriber.failed(relays[0], now)
            subscriber.connected(relays[1], now)
    assert 10 < len(tries) < 25


def test_silence_deadline_follows_bytes_and_whole_lines() -> None:
    subscriber = RelaySelector(fleet(), "a", Random(1))
    subscriber.connected(subscriber.relays[0], 10.0)
    assert subscriber.silence_deadline() == 10.0 + relay_selection.SILENCE_TIMEOUT_SECONDS
    for second in range(11, 70):
        subscriber.received(float(second), 0)
        assert subscriber.silence_deadline() == min(
            second + relay_selection.SILENCE_TIMEOUT_SECONDS, 10.0 + relay_selection.LINE_TIMEOUT_SECONDS
        )
    subscriber.received(70.0, 1)
    assert subscriber.silence_deadline() == 70.0 + relay_selection.SILENCE_TIMEOUT_SECONDS


def test_relay_with_retry_after_is_avoided_for_that_time() -> None:
    subscriber = RelaySelector(fleet("ab"), "a", Random(1))
    home, other = subscriber.relays
    subscriber.refused(home, 0.0, 10.0)
    assert subscriber.next_connection(0.0).relay == other and subscriber.next_connection(8.0).relay == other
    assert subscriber.next_connection(10.0 * (1 + relay_selection.BACKOFF_JITTER)).relay == home
    subscriber.refused(home, 100.0, 1e9)
    assert (
        subscriber.next_connection(
            100.0 + relay_selection.MAX_RETRY_AFTER_SECONDS * (1 + relay_selection.BACKOFF_JITTER)
        ).relay
        == home
    )
    subscriber.refused(home, 200.0, None)
    assert subscriber.health[home.address].failures == 1


def test_lagging_relay_is_left_and_seldom_while_all_lag() -> None:
    subscriber, now, moves = RelaySelector(fleet("aab"), "a", Random(3)), 0.0, []
    subscriber.connected(subscriber.relays[0], now)
    for second in range(7_200):
        now = float(second)
        subscriber.note_lag(behind=True, now=now)
        if subscriber.current is not None and subscriber.current.zone == "a" and subscriber.should_leave(now):
            moves.append(now)
            subscriber.left(now)
            assert subscriber.next_connection(now).relay != subscriber.current
            subscriber.connected(subscriber.relays[len(moves) % 2], now)
    assert moves[0] <= 20.0 and len(moves) < 30
    subscriber.note_lag(behind=False, now=now)
    assert not subscriber.should_leave(now + 1e5) and subscriber.moves_while_behind == 0
    alone = RelaySelector([RelayEndpoint("source")], "", Random(1))
    alone.connected(alone.relays[0], 0.0)
    alone.note_lag(behind=True, now=0.0)
    assert not alone.should_leave(1e6)
