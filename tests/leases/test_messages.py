"""Reading of the value in a lease's register."""

from __future__ import annotations

import json
from typing import Any

import pytest

from gullmount.consensus.acceptor import AcceptorState
from gullmount.consensus.membership import ReplicaGroup
from gullmount.leases.messages import FREE, LeaseState, lease_state_from
from tests.support.paths import DATA
from tests.support.replicas import MEMBERS

STORED_STATE: dict[str, Any] = json.loads((DATA / "replicas_883dea8" / "as_read.json").read_text())


def test_lease_of_an_earlier_version_is_read_with_the_same_fields() -> None:
    acceptor = AcceptorState(4, ReplicaGroup(0, MEMBERS, {}))
    acceptor.restore(STORED_STATE["4"]["rows"])
    state = lease_state_from(acceptor.registers["judge"].client_value)
    expected = STORED_STATE["lease"]
    assert state == LeaseState(
        holder=expected["owner"],
        incarnation=expected["life"],
        token=expected["token"],
        renewal=expected["beat"],
        term_seconds=expected["term"],
        pending_work=expected["work"],
        requested_by=expected["wanted"],
        handed_to=expected["to"],
    )
    assert state.token == 1 and state.pending_work == {"lessened": 12}


@pytest.mark.parametrize("value", [None, 3, {}, {"owner": "1", "life": "", "token": 1, "beat": 0, "term": 1}])
def test_value_that_is_not_a_lease_is_read_as_free(value: Any) -> None:
    assert lease_state_from(value) == FREE
