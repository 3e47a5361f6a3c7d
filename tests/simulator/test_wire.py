"""Decoding of events and encoding of actions, without a router."""

from __future__ import annotations

import json

import pytest

from gullmount.decisions.model import Endpoint, EndpointState, Vote
from gullmount.errors import GullmountError
from gullmount.simulator import wire
from gullmount.simulator.errors import (
    InvalidFieldError,
    MalformedLineError,
    MissingVerbError,
    NotJsonError,
    UnknownValueError,
    UnknownVerbError,
)

ENTRY = {
    "Box": "10.0.0.1:9000",
    "Zone": "a",
    "Bay": 2,
    "Build": 41,
    "Availability": "Terminating",
    "PowerHint": 1.5,
    "LastStartUs": 2_500_000,
}


def decode(**fields: object) -> wire.Event:
    return wire.decode_event(json.dumps(fields).encode())


def test_request_is_decoded_and_unused_fields_are_skipped() -> None:
    event = decode(verb="NewRequest", Who=3, Id="ab", Grade="g", NotAfterUs=8, Item=None, Bitmap=0)
    assert event == wire.NewRequest(instance=3, request_id="ab", route="g", deadline_us=8, key=None)


def test_page_entry_becomes_an_endpoint_with_times_in_seconds() -> None:
    page = decode(verb="Page", Buffer=7, Lines=[ENTRY])
    assert isinstance(page, wire.EndpointPage) and page.number == 7
    assert page.entries[0].endpoint() == Endpoint(
        "10.0.0.1:9000", "a", 2, 41, EndpointState.DRAINING, 1.5, 2.5
    )


def test_release_state_without_a_completed_outcome_is_a_failed_vote() -> None:
    assert decode(verb="RolloutState", Who=3, Disposition=303) == wire.VoteFailed(3)
    update = decode(verb="RolloutState", Who=3, Disposition=100, Ver=41, Step=1, WhereAt=2, Allowed=0.5)
    assert update == wire.ReleaseUpdate(3, 41, 1, 2, 0.5)


@pytest.mark.parametrize(
    ("line", "error"),
    [
        (b"{", NotJsonError),
        (b"\xff", NotJsonError),
        (b"[" * 200_000, NotJsonError),
        (b"[]", MissingVerbError),
        (b'{"verb":1}', MissingVerbError),
        (b'{"verb":"Nonsense"}', UnknownVerbError),
        (b'{"verb":"Sync","TsUs":5.0}', InvalidFieldError),
        (b'{"verb":"Due","Who":true,"Name":1}', InvalidFieldError),
        (b'{"verb":"RolloutState","Who":3,"Disposition":100}', InvalidFieldError),
        (b'{"verb":"RolloutState","Who":3,"Disposition":999}', UnknownValueError),
    ],
)
def test_malformed_line_raises_the_error_of_its_fault(line: bytes, error: type[MalformedLineError]) -> None:
    with pytest.raises(error) as caught:
        wire.decode_event(line)
    assert isinstance(caught.value, GullmountError)
    assert "\n" not in str(caught.value) and len(str(caught.value)) <= 200


def test_error_of_an_unknown_endpoint_state_names_verb_and_field() -> None:
    page = decode(verb="Page", Buffer=7, Lines=[{**ENTRY, "Availability": "Asleep"}])
    assert isinstance(page, wire.EndpointPage)
    with pytest.raises(UnknownValueError, match="Page: field Availability has no such value: 'Asleep'"):
        page.entries[0].endpoint()


def test_actions_are_encoded_in_order_with_their_names_on_the_wire() -> None:
    actions = [
        wire.Forward(3, "ä", "10.0.0.1:9000", 5),
        wire.Reject(3, "ab", 6),
        wire.Fail(3, "ab"),
        wire.SetTimer(3, 1, 7),
        wire.cast_vote(3, 41, 1, Vote.ROLLBACK),
        wire.gossip_vote(3, 2, 41, 1, Vote.PROMOTE),
        wire.WatchEndpoints(3),
        wire.LogMessage(3, "text"),
    ]
    assert wire.encode_batch(actions).decode().splitlines() == [
        r'{"verb":"Relay","Who":3,"Id":"\u00e4","Box":"10.0.0.1:9000","PatienceUs":5}',
        '{"verb":"Refuse","Who":3,"Id":"ab","ComeBackUs":6}',
        '{"verb":"GiveUp","Who":3,"Id":"ab"}',
        '{"verb":"SetTimer","Who":3,"Name":1,"OffsetUs":7}',
        '{"verb":"Ruling","Who":3,"Ver":41,"Step":1,"Sense":3}',
        '{"verb":"WritePeer","Who":3,"Target":2,"Msg":"41 1 1"}',
        '{"verb":"KeepInformed","Who":3,"On":true}',
        '{"verb":"Debug","Who":3,"What":"text"}',
        '{"verb":"Yield"}',
    ]
    assert wire.encode_batch([]) == b'{"verb":"Yield"}\n'
