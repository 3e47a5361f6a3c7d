"""The server list's freshness: all short orders of what a call can come to, against the rule on told changes.

The model knows only the users' sentences: what an answer brought is known; a change made since then counts as
told 6 s after discovery had it, and not while no connection to discovery came up; after a failed call of an
instance that never had an answer any change may be old enough already.
"""

from __future__ import annotations

from itertools import product
from math import inf
from random import Random

import pytest

import gullmount.decisions.endpoint_freshness as module
from gullmount.decisions.endpoint_freshness import (
    CallFailure,
    EndpointFreshness,
    EndpointListState,
    response_deadline,
)

DUE = 6.0  # s, the users' figure
GRACE = 0.5  # s of the rule on drains
MOVED = 4.0  # s after SIGHUP
EVENTS = ("news", "nothing", "refused", "refused at once", "broken", "silent", "unreachable", "moved")
LONGEST = 5  # events of an order; 8^5 orders
STEP = 0.25  # s between looks at whether requests may be sent


class Model:
    """The earliest moment from which a change that has not arrived may count as told."""

    def __init__(self, now: float) -> None:
        self.told_from = now + DUE  # of the list in hand, as long as the first call has not failed
        self.synced = False

    def answered(self, now: float) -> None:
        self.told_from, self.synced = now + DUE, True

    def failed(self, now: float) -> None:
        if not self.synced:
            self.told_from = min(self.told_from, now)

    def unreachable(self, began: float) -> None:
        self.told_from = max(self.told_from, began + DUE)

    def moved(self, now: float) -> None:
        self.told_from = min(self.told_from, now + MOVED)


def play(events: tuple[str, ...], instances: int, seed: int) -> list[float]:
    """Looks at which a request would be sent though a change counts as told for longer than the grace."""
    now = 100.0
    fresh, model, wrong = EndpointFreshness(instances, Random(seed), now), Model(now), []
    for event in events:
        planned = fresh.next_call
        began = max(now, planned.not_before)
        took = {
            "news": 0.05, "nothing": planned.wait, "refused": 2.0, "refused at once": 0.0, "broken": 0.3,
            "silent": planned.silence_timeout, "unreachable": 0.8, "moved": min(0.5, planned.wait),
        }[event]  # fmt: skip
        end = began + took
        while now < end:
            if not fresh.is_stale(now) and now > model.told_from + GRACE:
                wrong.append(now)
            now = min(end, now + STEP)
        if event in ("news", "nothing"):
            fresh.call_succeeded(began, now)
            model.answered(now)
        elif event == "moved":
            fresh.discovery_address_changed(now)
            model.moved(now)
        elif event == "unreachable":
            fresh.call_failed(CallFailure.UNREACHABLE, began, now)
            model.unreachable(began)
        else:
            fresh.call_failed(CallFailure(event.split(" ")[0]), began, now)
            model.failed(now)
    for _ in range(60):
        if not fresh.is_stale(now) and now > model.told_from + GRACE:
            wrong.append(now)
        now += STEP
    return wrong


@pytest.mark.parametrize("instances", [1, 210])
def test_nothing_is_routed_by_a_list_that_may_be_out_of_date_in_any_order_of_events(instances: int) -> None:
    orders = (order for length in range(1, LONGEST + 1) for order in product(EVENTS, repeat=length))
    wrong = {order: found for order in orders if (found := play(order, instances, len(order)))}
    assert not wrong, dict(list(wrong.items())[:3])


def test_a_planted_defect_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "NOTIFIED_AFTER_SECONDS", 9.0)
    assert play(("news", "silent", "refused"), 1, 0)


def test_a_list_that_is_answered_for_stays_fresh() -> None:
    fresh = EndpointFreshness(210, Random(1), 0.0)
    now = fresh.next_call.not_before
    for _ in range(1000):
        began = fresh.next_call.not_before
        now = began + fresh.next_call.wait
        assert not fresh.is_stale(now)
        fresh.call_succeeded(began, now)
        assert fresh.state(now) is EndpointListState.FRESH


def test_a_watch_is_continued_within_the_time_that_keeps_it_and_never_in_a_tight_loop() -> None:
    """The users' page: a watch goes on if its next call comes within 200 ms of the answer."""
    fresh = EndpointFreshness(1, Random(1), 0.0)
    fresh.call_succeeded(0.0, 0.0)
    assert 0.05 <= fresh.next_call.not_before <= 0.15 and fresh.next_call.continues_watch
    fresh.call_succeeded(1.0, 3.0)
    assert fresh.next_call.not_before == 3.0 and fresh.next_call.continues_watch


def test_instances_refused_together_come_back_apart_and_ever_later() -> None:
    """Discovery spends its time on refused calls too: a crowd that comes back together never ends."""
    fleet = [EndpointFreshness(210, Random(seed), 0.0) for seed in range(400)]
    spreads = []
    for _ in range(4):
        at = []
        for one in fleet:
            one.call_failed(CallFailure.REFUSED, one.next_call.not_before, 10.0)
            at.append(one.next_call.not_before - 10.0)
        spreads.append((min(at), max(at)))
    assert [round(high / low) for low, high in spreads] == [3, 3, 3, 3]
    assert spreads[0][0] >= 2.9 and spreads[1][0] >= 5.9 and spreads[2][0] >= 11.8
    assert spreads[3] == pytest.approx(spreads[2], rel=0.1)


def test_an_answer_that_flows_is_waited_for_and_one_that_stalls_is_not() -> None:
    planned = EndpointFreshness(1, Random(1), 0.0).next_call
    assert response_deadline(planned, 10.0, -inf, inf) == 10.0 + planned.silence_timeout
    assert response_deadline(planned, 10.0, 14.4, 12.0) == 15.4
    assert response_deadline(planned, 10.0, 40.0, 12.0) == 27.0


@pytest.mark.parametrize(
    ("failure", "took", "instances"),
    [(CallFailure.BROKEN, 0.3, 1), (CallFailure.BROKEN, 0.3, 210), (CallFailure.REFUSED, 2.0, 1)],
)
def test_discovery_that_is_back_is_called_within_the_time_that_a_list_is_good_for(
    failure: CallFailure, took: float, instances: int
) -> None:
    """Guards against requests rejected long after discovery is well, by pauses that cheap calls doubled."""
    back_after, waits = 30.0, []
    for seed in range(300):
        fresh, now = EndpointFreshness(instances, Random(seed), 0.0), 0.0
        while fresh.next_call.not_before < back_after:
            began = fresh.next_call.not_before
            now = began + took
            fresh.call_failed(failure, began, now)
        waits.append(fresh.next_call.not_before - back_after)
    assert max(waits) <= DUE and sum(waits) / len(waits) <= DUE / 3
