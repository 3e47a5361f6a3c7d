"""Tests that the bytes sent in any one second are bounded."""

from __future__ import annotations

from random import Random

from gullmount.distribution.send_rate import SendRateLimiter


def test_bytes_of_each_second_are_bounded() -> None:
    random, limiter, sent_batches = Random(4), SendRateLimiter(7_000), []
    now = 0.0
    while now < 60.0:
        size = random.randrange(50, 4_000)
        now = max(now, limiter.earliest_send(size, now))
        assert size <= limiter.available_bytes(now)
        limiter.record_sent(size, now)
        sent_batches.append((now, size))
        now += random.random() * 0.3
    for start, _ in sent_batches:
        assert sum(size for at, size in sent_batches if start <= at < start + 1.0) <= 7_000
    assert sum(size for _, size in sent_batches) > 60 * 4_500
    # A batch above the limit is sent once nothing was sent for a second.
    limiter.record_sent(20_000, now + 1.0)
    assert limiter.earliest_send(50, now + 1.0) == now + 2.0
