"""Rule 3: drains are kept. No attempt goes to a server that its instance was told is draining or gone."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from gullmount.checker.findings import Finding
from gullmount.checker.scenario_record import Event, ScenarioRecord, handed_over_at, instance_name


class KnownState(NamedTuple):
    """A server's state as an instance was told it, and since when in seconds."""

    state: str
    since: float


UNKNOWN = KnownState("ready", 0.0)
KnownServers = dict[str, KnownState]  # by server


def check_drains(record: ScenarioRecord) -> Finding:
    """Check all attempts against what their instance had been told of the server."""
    finding = Finding("drains kept")
    known_by: dict[str, KnownServers] = defaultdict(dict)  # by instance
    attempts = ended = 0
    grace = record.rules["drain_grace"] + record.slack
    for event in record.events:
        if event["ev"] == "umpire_up":
            known_by[instance_name(event)].clear()
        elif event["ev"] == "told_boxes":
            ended += _note_endpoints(known_by[event["umpire"]], event)
        elif event["ev"] == "box_got":
            attempts += 1
            known = known_by[event["umpire"]].get(event["box"], UNKNOWN)
            if known.state != "ready" and handed_over_at(event) > known.since + grace:
                late = event["t"] - known.since
                what = f"sent to {event['box']} {late:.3f} s after told {known.state}"
                finding.add_breach(event["t"], event["umpire"], what, event["req"])
    finding.checked = {"tries at boxes": attempts, "drains and ends told": ended}
    return finding


def _note_endpoints(known: KnownServers, event: Event) -> int:
    """Note what an instance is told of the servers; return how many begin to drain or end."""
    ended = 0
    if event["kind"] == "full":
        for server in [server for server, told in known.items() if told.state != "gone"]:
            if server not in event["boxes"]:
                known[server] = KnownState("gone", event["t"])
    for server, (state, _) in event["boxes"].items():
        if server not in known or known[server].state != state:
            ended += state != "ready"
            known[server] = KnownState(state, event["t"])
    return ended
