"""The adapter from lines to lines: batches of events, and malformed lines."""

import io
import json

import pytest

from gullmount.simulator.adapter import serve
from gullmount.simulator.errors import MalformedLineError

SETTINGS = {
    "Azs": ["a"],
    "Zone": "a",
    "Me": 0,
    "Siblings": 2,
    "Discovery": "subscribe",
    "NewKey": 1,
    "Ceilings": {
        "MaxAttempts": 4,
        "ParallelTries": True,
        "RetryAfter": False,
        "MaxRetryAfterUs": 0,
        "ConnIdleUs": 15000000,
        "Peers": False,
    },
    "Rules": {
        "StopSendingWithinUs": 500000,
        "ColdFrom": 0.3,
        "WarmAfterUs": 5000000,
        "TipMultiple": 2.0,
        "OverloadForUs": 1000000,
    },
    "Grades": [{"Name": "g", "ObjectiveUs": 1000000, "Semantics": "idempotent", "Group": "all"}],
    "Specifics": {
        "ExposureCaps": [0.1, 1.0],
        "Shares": [0.1, 1.0],
        "Swap": "beside",
        "CountedBy": "all",
        "ClosedStages": 0,
        "OneWay": False,
        "SpanUs": 3000000,
        "SpareTries": 2.0,
        "GateMode": "any",
        "VoteLifeUs": 4000000,
        "ToAdvance": 1,
        "BackVotes": 1,
        "VotesPerS": 50,
        "MetricsPeriodUs": 0,
    },
}
CLOCK_SET = {"verb": "Sync", "TsUs": 5000000}
INSTANCE_START = {"verb": "Spawn", "Who": 3, "RngSeed": 9, "ProfileData": SETTINGS}
ENDPOINT_PAGE = {
    "verb": "Page",
    "Buffer": 0,
    "Lines": [
        {
            "Build": 41,
            "Box": "10.0.0.1:9000",
            "Zone": "a",
            "FamilyType": "k",
            "Bay": 0,
            "Availability": "Ready",
            "PowerHint": 1,
            "LastStartUs": None,
        }
    ],
}
ENDPOINT_UPDATE = {"verb": "Fleet", "Who": 3, "Kind": "remembered", "Index": 1, "Buffer": 0}
NEW_REQUEST = {
    "verb": "NewRequest",
    "Who": 3,
    "Id": "ab",
    "Grade": "g",
    "NotAfterUs": 8000000,
    "WorkHintUs": None,
    "Item": None,
    "Bitmap": 0,
    "Team": None,
}
ATTEMPT_RESULT = {
    "verb": "Result",
    "Who": 3,
    "Id": "ab",
    "Hop": 0,
    "Box": "10.0.0.1:9000",
    "Disposition": 100,
    "CostTimeUs": 1000,
    "Final": True,
    "HealthInfo": {"unknown": 1},
}
BATCH_END = {"verb": "Go"}


def run_adapter(*events: dict) -> list[dict]:
    output = io.BytesIO()
    serve(io.BytesIO("".join(json.dumps(event) + "\n" for event in events).encode()), output)
    return [json.loads(line) for line in output.getvalue().splitlines()]


def test_new_request_is_forwarded_and_every_batch_gets_a_response() -> None:
    actions = run_adapter(
        CLOCK_SET,
        INSTANCE_START,
        ENDPOINT_PAGE,
        ENDPOINT_UPDATE,
        NEW_REQUEST,
        BATCH_END,
        CLOCK_SET,
        ATTEMPT_RESULT,
        BATCH_END,
        CLOCK_SET,
        {"verb": "Exit", "Who": 3},
        BATCH_END,
    )
    assert [action["verb"] for action in actions] == [
        "KeepInformed",
        "SetTimer",
        "Relay",
        "Yield",
        "Yield",
        "Yield",
    ]
    assert (actions[2]["Who"], actions[2]["Id"], actions[2]["Box"]) == (3, "ab", "10.0.0.1:9000")
    assert 0 < actions[2]["PatienceUs"] <= 3000000


def test_instance_that_ends_and_starts_in_one_batch_watches_endpoints_again() -> None:
    actions = run_adapter(
        CLOCK_SET,
        INSTANCE_START,
        ENDPOINT_PAGE,
        ENDPOINT_UPDATE,
        NEW_REQUEST,
        BATCH_END,
        CLOCK_SET,
        {"verb": "Exit", "Who": 3},
        INSTANCE_START,
        ENDPOINT_UPDATE,
        BATCH_END,
    )
    assert sum(action["verb"] == "KeepInformed" for action in actions) == 2


@pytest.mark.parametrize(
    ("events", "expected_parts"),
    [
        ([{"verb": "Nonsense"}], ["Nonsense"]),
        ([{"verb": "Sync"}], ["Sync", "TsUs"]),
        ([CLOCK_SET, {**INSTANCE_START, "ProfileData": {}}], ["Spawn", "ProfileData"]),
        (
            [CLOCK_SET, {**INSTANCE_START, "ProfileData": {**SETTINGS, "Me": "x"}}],
            ["Spawn", "ProfileData: Me: not a number"],
        ),
        ([CLOCK_SET, INSTANCE_START, {**NEW_REQUEST, "Grade": "no"}], ["NewRequest", "Grade"]),
        (
            [
                CLOCK_SET,
                INSTANCE_START,
                ENDPOINT_PAGE,
                ENDPOINT_UPDATE,
                NEW_REQUEST,
                {**ATTEMPT_RESULT, "Disposition": 999},
            ],
            ["Result", "Disposition"],
        ),
        ([CLOCK_SET, INSTANCE_START, {**ENDPOINT_UPDATE, "Buffer": 5}], ["Fleet", "Buffer"]),
        ([CLOCK_SET, NEW_REQUEST], ["NewRequest", "Who"]),
        (
            [CLOCK_SET, INSTANCE_START, {"verb": "Tally", "Who": 3, "Grade": "g", "Ver": 1, "N": "many"}],
            ["Tally", "N"],
        ),
        ([[1]], ["verb"]),
        ([CLOCK_SET, {"verb": "Page", "Buffer": 0, "Lines": [7]}], ["Page"]),
        ([{"verb": "Sync", "TsUs": True}], ["Sync", "TsUs"]),
        (
            [
                CLOCK_SET,
                INSTANCE_START,
                ENDPOINT_PAGE,
                ENDPOINT_UPDATE,
                NEW_REQUEST,
                {**ATTEMPT_RESULT, "Final": 1},
            ],
            ["Result", "Final"],
        ),
    ],
)
def test_error_of_a_malformed_line_names_verb_and_field(events: list, expected_parts: list[str]) -> None:
    with pytest.raises(MalformedLineError) as caught:
        run_adapter(*events, BATCH_END)
    assert all(word in str(caught.value) for word in expected_parts)


@pytest.mark.parametrize("text", ["", "hi 7", "42 1 9", "-1 0 3", "42 1 3 3", "\u0664\u0662 1 3", "9" * 200])
def test_peer_text_that_is_no_vote_is_ignored(text: str) -> None:
    assert run_adapter(
        CLOCK_SET, INSTANCE_START, {"verb": "NoteFrom", "Who": 3, "Neighbour": 1, "Msg": text}, BATCH_END
    )


def test_peer_vote_and_metrics_are_accepted() -> None:
    peer_vote = {"verb": "NoteFrom", "Who": 3, "Neighbour": 1, "Msg": "42 1 3"}
    metrics = {
        "verb": "Tally",
        "Who": 3,
        "Grade": "g",
        "Ver": 2,
        "N": 0,
        "Lost": 0,
        "CostTimeUs": 0,
        "AgeUs": 9,
    }
    assert run_adapter(CLOCK_SET, INSTANCE_START, peer_vote, metrics, BATCH_END)[-1] == {"verb": "Yield"}


def test_deeply_nested_line_raises_malformed_line_error() -> None:
    with pytest.raises(MalformedLineError, match="nested too deep"):
        serve(io.BytesIO(b"[" * 200_000 + b"\n"), io.BytesIO())
