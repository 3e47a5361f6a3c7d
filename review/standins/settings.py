"""Settings of a small deployment, in the words of the wire page; the figures are those of a site file."""

from __future__ import annotations

from typing import Any

SECOND_US = 1_000_000


def route(
    name: str, objective: float, deadline: float, semantics: str, group: str = "all", window: float = 5.0
) -> dict[str, Any]:
    """Return one entry of `Grades`; times are in seconds."""
    return {
        "Name": name,
        "ObjectiveUs": round(objective * SECOND_US),
        "DeadlineUs": round(deadline * SECOND_US),
        "Semantics": semantics,
        "Group": group,
        "WindowUs": round(window * SECOND_US),
        "LateValue": 0.1,
        "Stream": False,
        "Worth": 1.0,
    }


def davao_quiz(number: int, instances: int) -> dict[str, Any]:
    """Return the settings of davao-quiz: lists are pushed, the grace of drains is 250 ms."""
    return {
        "Azs": ["matina", "lanang", "toril"],
        "Ceilings": {
            "Cancelling": True,
            "ConnIdleUs": 15 * SECOND_US,
            "ConnectTimeoutUs": 250_000,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 80_000,
            "MaxAttempts": 4,
            "MaxOpen": 20_000,
            "MaxRetryAfterUs": 500_000,
            "ParallelTries": False,
            "Peers": False,
            "Probes": True,
            "RetryAfter": False,
            "StreamsPerConn": 1,
        },
        "Clients": {"MarksRetry": False},
        "Discovery": "automatic",
        "DomainType": "rollout",
        "Goal": {"Whole": 0.4, "WorstClass": 0.2, "WorstTenant": 0.2, "WorstWindow": 0.2},
        "Grades": [
            route("item-fetch", 0.8, 2.0, "idempotent"),
            route("score-view", 2.5, 7.5, "idempotent"),
            route("answer-save", 0.8, 2.5, "deduplicated"),
            route("final-submit", 1.5, 4.0, "at_most_once"),
        ],
        "Kinds": ["std-2c"],
        "Me": number,
        "OverShareWorth": 0.1,
        "Parties": [],
        "Prices": {},
        "Report": {"Fields": [], "How": "off"},
        "Rules": {
            "AnswerSlackUs": 20_000,
            "AskWithinUs": 10 * SECOND_US,
            "ColdFrom": 0.31,
            "OverloadForUs": 1_500_000,
            "StopSendingWithinUs": 250_000,
            "TipMultiple": 2.0,
            "WarmAfterUs": 4_800_000,
        },
        "Siblings": instances,
        "Specifics": {
            "BackVotes": 1,
            "ClosedStages": 2,
            "CountedBy": "all",
            "DelayPrice": 0.5,
            "ExposureCaps": [0.08, 0.2, 0.5, 1.0, 1.0],
            "FoundShare": 0.0,
            "GateMode": "share",
            "HarmPrice": 5.0,
            "HoldVotes": 0,
            "MetricsPeriodUs": 0,
            "MovesAfterUs": 0,
            "NewsPeriodUs": 6 * SECOND_US,
            "OneWay": True,
            "Shares": [0.04, 0.1, 0.25, 0.55, 1.0],
            "SoakUs": SECOND_US,
            "SpanUs": 3 * SECOND_US,
            "SpareTries": 3.0,
            "Swap": "beside",
            "TallySample": 0.0,
            "ToAdvance": 2,
            "VoteLifeUs": 4 * SECOND_US,
            "VoteWaitUs": 1_200_000,
            "VotesPerS": 150.0,
            "WarmKeys": False,
        },
        "Stage": 0,
        "TickUs": 5000,
        "Tiers": ["quiz-boxes"],
        "Weights": "off",
        "WorthBy": "request",
        "Zone": "matina",
    }


def visayas_enrol(number: int, instances: int) -> dict[str, Any]:
    """Return the settings of visayas-enrol: repeats are dropped within a zone, links may be slow."""
    settings = davao_quiz(number, instances)
    release = {
        "ClosedStages": 0,
        "CountedBy": "class",
        "ExposureCaps": [0.14, 0.42, 1.0, 1.0],
        "NewsPeriodUs": 2 * SECOND_US,
        "OneWay": False,
        "Shares": [0.08, 0.25, 0.6, 1.0],
        "SoakUs": 3 * SECOND_US,
        "SpareTries": 2.0,
        "VoteWaitUs": 2 * SECOND_US,
        "VotesPerS": 250.0,
    }
    rules = {"ColdFrom": 0.3, "OverloadForUs": SECOND_US, "StopSendingWithinUs": 2 * SECOND_US}
    return settings | {
        "Azs": ["cebu-city", "mandaue", "lapu-lapu"],
        "Ceilings": settings["Ceilings"] | {"ConnIdleUs": 30 * SECOND_US, "ParallelTries": True},
        "Grades": [
            route("view-slots", 0.6, 2.5, "idempotent"),
            route("reserve-seat", 1.2, 4.0, "deduplicated", "zone", 4.0),
        ],
        "Rules": settings["Rules"] | rules | {"WarmAfterUs": 4_900_000},
        "Specifics": settings["Specifics"] | release,
        "Zone": "cebu-city",
    }
