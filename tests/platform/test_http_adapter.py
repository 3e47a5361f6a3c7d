"""Tests the adapter for the platform's HTTP protocol: request metadata, outcomes and limits."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from gullmount.decisions.model import Outcome, RetrySafety
from gullmount.platform.configuration import read_configuration
from gullmount.platform.http_adapter import PlatformAdapter
from gullmount.proxy.http1 import ProtocolError
from gullmount.proxy.messages import RequestHead, Response
from gullmount.proxy.outcomes import AttemptEnd
from tests.support.platform_world import (
    configuration,
)


def make_adapter(folder: Path) -> PlatformAdapter:
    path = folder / "config.json"
    path.write_text(json.dumps(configuration()))
    parsed = read_configuration({"PROXY_CONFIG": str(path)})
    assert parsed.instance.routes["submit-exam"].retry_safety is RetrySafety.AT_MOST_ONCE
    return PlatformAdapter(parsed.instance, parsed.sockets, 256, lambda: 0.0)


@pytest.mark.parametrize(
    "attempt_end", [AttemptEnd.WRITE_FAILED, AttemptEnd.CONNECT_TIMEOUT, AttemptEnd.CONNECT_REFUSED]
)
def test_outcome_is_not_started_only_where_the_protocol_proves_it(
    attempt_end: AttemptEnd, tmp_path: Path
) -> None:
    adapter = make_adapter(tmp_path)
    assert adapter.outcome(attempt_end, None) is Outcome.CONNECT_FAILED
    assert adapter.outcome(AttemptEnd.CLOSED_BEFORE_RESPONSE, None) is Outcome.RESET
    assert adapter.outcome(AttemptEnd.MALFORMED_RESPONSE, None) is Outcome.RESET
    assert adapter.outcome(AttemptEnd.DEADLINE_BEFORE_RESPONSE, None) is Outcome.TIMEOUT
    assert (
        adapter.outcome(AttemptEnd.RESPONSE_COMPLETE, Response(504, [(b"not-started", b"1")], b""))
        is Outcome.OVERLOADED
    )
    assert (
        adapter.outcome(AttemptEnd.RESPONSE_COMPLETE, Response(500, [(b"not-started", b"1")], b""))
        is Outcome.ERROR
    )
    assert adapter.outcome(AttemptEnd.RESPONSE_COMPLETE, Response(204, [], b"")) is Outcome.ERROR


def test_connection_limits_leave_descriptors_for_the_process_itself(tmp_path: Path) -> None:
    """Guards against a shortage of descriptors for the process itself.

    Discovery, the release controller, votes, datagrams, signals and connections being closed take about 30.
    """
    adapter = make_adapter(tmp_path)
    assert adapter.downstream_limits.max_connections + adapter.upstream_limits.max_connections <= 256 - 40
    assert adapter.downstream_limits.max_connections > 256 / 3


def test_request_metadata_come_from_the_head_and_need_a_timeout(tmp_path: Path) -> None:
    adapter = make_adapter(tmp_path)
    headers = [(b"request-id", b"a1"), (b"request-class", b"load-item"), (b"request-timeout-ms", b"900")]
    metadata = adapter.request_metadata(RequestHead(b"GET", b"/load-item?x=1", headers))
    assert (metadata.route, metadata.client_request_id, metadata.affinity_key) == (
        "load-item",
        "a1",
        None,
    ) and 0.85 < metadata.timeout < 0.9
    with pytest.raises(ProtocolError):
        adapter.request_metadata(RequestHead(b"GET", b"/load-item", headers[:2]))
