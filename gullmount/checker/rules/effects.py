"""Rule 2: no effect happens twice. What may have run is repeated only where the route allows it."""

from __future__ import annotations

from collections import defaultdict

from gullmount.checker.findings import Finding
from gullmount.checker.scenario_record import Event, ScenarioRecord, instance_name

IDEMPOTENT, DEDUPLICATED, AT_MOST_ONCE = "retriable", "deduped", "non_retriable"  # the terms' words


def check_effects(record: ScenarioRecord) -> Finding:
    """Check the attempts and rejections of all requests with an effect."""
    finding = Finding("no effect twice")
    with_effect = rejected = 0
    effects: dict[str, list[str]] = defaultdict(
        list
    )  # request ids, by the first request of a client's retries
    for request_id, sent in record.sent.items():
        route = record.routes[sent["route"]]
        attempts = record.attempts.get(request_id, [])
        if len(attempts) > record.rules["max_tries"]:
            what = f"{len(attempts)} upstream tries"
            finding.add_breach(attempts[-1]["t"], instance_name(sent), what, request_id)
        if route["repeats"] == IDEMPOTENT:
            continue
        with_effect += 1
        _check_retries(finding, record, sent, attempts)
        response = next(iter(record.responses[request_id]), None)
        if response is not None and response["answer"] == "shed":
            rejected += 1
            _check_rejection(finding, record, sent, attempts, response["t"])
        if route["repeats"] == AT_MOST_ONCE:
            effects[sent["first"]] += [request_id] * len(record.began.get(request_id, ()))
    for first, request_ids in effects.items():
        if len(request_ids) > 1:
            instance = instance_name(record.sent[request_ids[0]])
            what = f"effect {len(request_ids)} times for {first}"
            finding.add_breach(record.sent[request_ids[-1]]["t"], instance, what, *request_ids)
    finding.checked = {
        "reqs with an effect": with_effect,
        "sheds of these": rejected,
        "effects": sum(map(len, effects.values())),
    }
    return finding


def _check_retries(finding: Finding, record: ScenarioRecord, sent: Event, attempts: list[Event]) -> None:
    request_id, instance = sent["req"], instance_name(sent)
    repeats = record.routes[sent["route"]]["repeats"]
    for number, attempt in enumerate(attempts):
        may_have_run = _may_have_run(record, request_id, attempts[:number], attempt["t"])
        if may_have_run and repeats == AT_MOST_ONCE:
            what = "non-retriable req sent again though it may have run"
            finding.add_breach(attempt["t"], instance, what, request_id)
        if may_have_run and repeats == DEDUPLICATED:
            _check_deduplicated(finding, record, sent, may_have_run[0], attempt)


def _check_deduplicated(
    finding: Finding, record: ScenarioRecord, sent: Event, first: Event, retry: Event
) -> None:
    """Check that a retry went where and when the servers remember the first attempt."""
    request_id, instance = sent["req"], instance_name(sent)
    route = record.routes[sent["route"]]
    if retry["t"] - first["t"] > route["dedupe_window"] + record.slack:
        what = "deduped req sent again after the boxes' memory"
        finding.add_breach(retry["t"], instance, what, request_id)
    scope = route["group"]
    if scope in ("zone", "cell") and retry[scope] != first[scope]:
        finding.add_breach(retry["t"], instance, f"deduped req sent again outside its {scope}", request_id)


def _check_rejection(
    finding: Finding, record: ScenarioRecord, sent: Event, attempts: list[Event], rejected_at: float
) -> None:
    """Check that nothing that may have run is rejected, as clients repeat what is rejected."""
    route = record.routes[sent["route"]]
    if route["repeats"] != AT_MOST_ONCE and route["group"] == "all":
        return
    if _may_have_run(record, sent["req"], attempts, rejected_at):
        finding.add_breach(rejected_at, instance_name(sent), "shed though it may have run", sent["req"])


def _may_have_run(record: ScenarioRecord, request_id: str, attempts: list[Event], by: float) -> list[Event]:
    return [attempt for attempt in attempts if not record.is_proved_unrun(attempt, request_id, by)]
