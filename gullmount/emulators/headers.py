"""The HTTP headers of emulated clients and servers."""

from __future__ import annotations

REQUEST_ID = "x-req-id"
ROUTE = "x-route"
WORK = "x-work"  # seconds of one core's time
TIMEOUT = "x-patience-ms"
AFFINITY_KEY = "x-key"
IDEMPOTENCY_KEY = "x-mark"

BUILD = "x-build"
LOAD_REPORT = "x-load"
NOT_BEGUN = "x-not-begun"  # the attempt did not run
WRONG_RESPONSE = "x-wrong"

# Set by the proxy.
OUTCOME = "gullmount-answer"
RETRY_AFTER = "retry-after-ms"
