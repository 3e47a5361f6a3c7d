"""Rule 1: no request is lost. Each gets one final response in the client's time, and nothing after it."""

from __future__ import annotations

from gullmount.checker.findings import Finding
from gullmount.checker.scenario_record import Event, ScenarioRecord, handed_over_at, instance_name

RESPONSES = ("completed", "shed", "errored")  # what a final response may be
NO_RESPONSES = ("late", "broken")  # what a client notes where none came in its time


def check_responses(record: ScenarioRecord) -> Finding:
    """Check the responses to all requests that clients sent."""
    attempts = sum(map(len, record.attempts.values()))
    finding = Finding("no req lost", {"reqs": len(record.sent), "tries at boxes": attempts})
    excused = sum(_check_request(finding, record, request_id) for request_id in record.sent)
    for event in record.extra_responses:
        finding.add_breach(
            event["t"], instance_name(event), "something followed the final answer", event["req"]
        )
    finding.checked["lost with a killed umpire, or not taken"] = excused
    return finding


def _check_request(finding: Finding, record: ScenarioRecord, request_id: str) -> bool:
    """Check one request; return whether it is excused, as its instance was gone or not reached."""
    sent, responses = record.sent[request_id], record.responses[request_id]
    instance, since = instance_name(sent), sent["t"]
    until = since + sent["patience"] + record.slack
    if len(responses) > 1:
        finding.add_breach(responses[1]["t"], instance, "answered twice", request_id)
    if not responses:
        if not record.could_not_respond(instance, since, until):
            finding.add_breach(until, instance, "never answered", request_id)
        return False
    first = responses[0]
    if first["answer"] == "unreached":
        return True
    if first["answer"] in NO_RESPONSES:
        if _may_have_no_response(record, instance, since, first["t"]):
            return True
        what = f"no answer in the client's time ({first['answer']})"
        finding.add_breach(first["t"], instance, what, request_id)
        return False
    _check_response(finding, record, sent, first)
    return False


def _may_have_no_response(record: ScenarioRecord, instance: str, since: float, until: float) -> bool:
    gone = record.could_not_respond(instance, since, until + record.slack)
    return gone or record.is_stopping_at(instance, since + record.slack)


def _check_response(finding: Finding, record: ScenarioRecord, sent: Event, response: Event) -> None:
    """Check kind and time of a response, and that no attempt follows it."""
    request_id, instance = sent["req"], instance_name(sent)
    t, answer = response["t"], response["answer"]
    if answer not in RESPONSES:
        finding.add_breach(t, instance, f"an answer that is none of the three: {answer}", request_id)
    is_late = t > sent["t"] + sent["patience"] + record.slack
    if is_late and not record.stood_still(instance, sent["t"], t):
        finding.add_breach(t, instance, "answered after the client's time", request_id)
    for attempt in record.attempts.get(request_id, ()):
        if handed_over_at(attempt) > t + record.slack:
            finding.add_breach(attempt["t"], instance, "sent on after its final answer", request_id)
