"""Wire format of the simulator: maps its events, actions and values to the names used in the code.

Each line is a JSON object whose field `verb` says which event or action it is. The names on the wire are
defined in this module; other modules use them in error messages only. Times on the wire are whole
microseconds, in attributes whose names end in `_us`.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

import msgspec
from msgspec import field

from gullmount.decisions.model import (
    Endpoint,
    EndpointState,
    EndpointUpdateKind,
    Outcome,
    ReleasePhase,
    Vote,
)
from gullmount.settings import (
    MICROSECONDS_PER_SECOND,
    VOTE_NUMBERS,
    PeerVote,
    encode_peer_vote,
    seconds_from_microseconds,
)
from gullmount.simulator.errors import (
    InvalidFieldError,
    MissingVerbError,
    NotJsonError,
    UnknownValueError,
    UnknownVerbError,
)

OUTCOMES = {
    100: Outcome.COMPLETED,
    301: Outcome.ERROR,
    302: Outcome.OVERLOADED,
    303: Outcome.TIMEOUT,
    304: Outcome.CONNECT_FAILED,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.EXPIRED,
}
PHASES = {
    0: ReleasePhase.CANDIDATE,
    1: ReleasePhase.ROLLING_BACK,
    2: ReleasePhase.RELEASED,
    3: ReleasePhase.ROLLED_BACK,
}
UPDATE_KINDS = {
    "changes": EndpointUpdateKind.UPDATE,
    "all": EndpointUpdateKind.SNAPSHOT,
    "remembered": EndpointUpdateKind.CACHED,
    "refused": EndpointUpdateKind.REFUSED,
}
ENDPOINT_STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}

Key = TypeVar("Key")
Value = TypeVar("Value")
Decoded = TypeVar("Decoded")


def look_up(table: Mapping[Key, Value], verb: str, field_name: str, value: Key | None) -> Value:
    """Return the table's entry for a field's value.

    Args:
        table: The known values.
        verb: The verb of the line, for the error message.
        field_name: The name of the field on the wire, for the error message.
        value: The field's value.

    Raises:
        UnknownValueError: The value is not in the table.
    """
    if value is None or value not in table:
        raise UnknownValueError(verb, field_name, value)
    return table[value]


# Events


class Event(msgspec.Struct, tag_field="verb"):
    """Base class of the events that the simulator sends."""


class ClockSet(Event, tag="Sync"):
    """Sets the time of all events up to the next event of this type."""

    time_us: int = field(name="TsUs")


class BatchEnd(Event, tag="Go"):
    """Ends a batch of events. The simulator waits for the actions."""


class EndpointEntry(msgspec.Struct):
    """A server in a page."""

    server_id: str = field(name="Box")
    zone: str = field(name="Zone")
    cell: int = field(name="Bay")
    build: int = field(name="Build")
    state: str = field(name="Availability")
    capacity_hint: int | float = field(name="PowerHint")
    started_at_us: int | None = field(name="LastStartUs", default=None)

    def endpoint(self) -> Endpoint:
        """Convert the entry to an endpoint for the router.

        Raises:
            UnknownValueError: The state is not known.
        """
        return Endpoint(
            server_id=self.server_id,
            zone=self.zone,
            cell=self.cell,
            build=self.build,
            state=look_up(ENDPOINT_STATES, "Page", "Availability", self.state),
            capacity_hint=self.capacity_hint,
            started_at=seconds_from_microseconds(self.started_at_us),
        )


class EndpointPage(Event, tag="Page"):
    """Defines a list of servers, which later events refer to by its number."""

    number: int = field(name="Buffer")
    entries: list[EndpointEntry] = field(name="Lines")


class InstanceEvent(Event):
    """Base class of the events for one instance."""

    instance: int = field(name="Who")


class InstanceStart(InstanceEvent, tag="Spawn"):
    """Starts an instance, which replaces an earlier one with the same number."""

    seed: int = field(name="RngSeed")
    settings: dict[str, Any] = field(name="ProfileData")


class InstanceEnd(InstanceEvent, tag="Exit"):
    """Ends an instance. Its state is lost."""


class EndpointUpdate(InstanceEvent, tag="Fleet"):
    """Updates the endpoint list with a page. There is no page if the watch was refused."""

    kind: str = field(name="Kind")
    page: int | None = field(name="Buffer", default=None)


class NewRequest(InstanceEvent, tag="NewRequest"):
    """A client sent a request."""

    request_id: str = field(name="Id")
    route: str = field(name="Grade")
    deadline_us: int = field(name="NotAfterUs")
    key: str | None = field(name="Item", default=None)


class AttemptResult(InstanceEvent, tag="Result"):
    """An attempt ended. `final` says whether the request is over."""

    request_id: str = field(name="Id")
    attempt: int = field(name="Hop")
    outcome: int = field(name="Disposition")
    latency_us: int = field(name="CostTimeUs")
    final: bool = field(name="Final")


class ResponseStart(InstanceEvent, tag="Begun"):
    """A streamed response started."""

    request_id: str = field(name="Id")
    attempt: int = field(name="Hop")


class ClientLeft(InstanceEvent, tag="Left"):
    """The client stopped waiting for the response."""

    request_id: str = field(name="Id")


class TimerDue(InstanceEvent, tag="Due"):
    """A timer of the instance expired."""

    timer: int = field(name="Name")


class ReleaseResponse(InstanceEvent, tag="RolloutState"):
    """The response to a vote, or the release status of a build.

    Only the outcome is decoded here. It decides whether the line becomes a `VoteFailed` or a `ReleaseUpdate`.
    """

    outcome: int = field(name="Disposition")


class VoteFailed(InstanceEvent, tag="RolloutState"):
    """A vote failed: the outcome of its response is not `Outcome.COMPLETED`."""


class ReleaseUpdate(InstanceEvent, tag="RolloutState"):
    """The release status of a build. `exposure_limit` is a share from 0 to 1."""

    build: int = field(name="Ver")
    stage: int = field(name="Step")
    phase: int = field(name="WhereAt")
    exposure_limit: int | float = field(name="Allowed")


class Metrics(InstanceEvent, tag="Tally"):
    """The platform's metrics on the attempts of one route at one build."""

    route: str = field(name="Grade")
    build: int = field(name="Ver")
    attempts: int = field(name="N")
    lost: int = field(name="Lost")
    latency_us: int | None = field(name="CostTimeUs")
    age_us: int = field(name="AgeUs")


class PeerMessage(InstanceEvent, tag="NoteFrom"):
    """Another instance sent a text."""

    peer: int = field(name="Neighbour")
    text: str = field(name="Msg")


class ProbeResult(InstanceEvent, tag="ProbeResult"):
    """The result of a health check. No decision uses it."""


class FaultReport(InstanceEvent, tag="ReportedWrong"):
    """A client's report of a wrong response. No decision uses it."""


EVENTS: dict[str, type[Event]] = {
    "Sync": ClockSet,
    "Go": BatchEnd,
    "Page": EndpointPage,
    "Spawn": InstanceStart,
    "Exit": InstanceEnd,
    "Fleet": EndpointUpdate,
    "NewRequest": NewRequest,
    "Result": AttemptResult,
    "Begun": ResponseStart,
    "Left": ClientLeft,
    "Due": TimerDue,
    "RolloutState": ReleaseResponse,
    "Tally": Metrics,
    "NoteFrom": PeerMessage,
    "ProbeResult": ProbeResult,
    "ReportedWrong": FaultReport,
}


def decode_event(line: bytes) -> Event:
    """Decode one line.

    Raises:
        MalformedLineError: The line is not an event.
    """
    try:
        message = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise NotJsonError(error) from None
    if not isinstance(message, dict) or not isinstance(message.get("verb"), str):
        raise MissingVerbError
    verb = message["verb"]
    if verb not in EVENTS:
        raise UnknownVerbError(verb)
    event = _convert(verb, message, EVENTS[verb])
    if not isinstance(event, ReleaseResponse):
        return event
    if look_up(OUTCOMES, verb, "Disposition", event.outcome) is not Outcome.COMPLETED:
        return VoteFailed(event.instance)
    return _convert(verb, message, ReleaseUpdate)


def verb_of(event: Event) -> str:
    """Return the event's verb on the wire."""
    return str(event.__struct_config__.tag)


def _convert(verb: str, message: dict[str, Any], kind: type[Decoded]) -> Decoded:
    try:
        return msgspec.convert(message, kind)
    except (msgspec.ValidationError, UnicodeError) as error:
        raise InvalidFieldError(verb, str(error)) from None


# Actions

BATCH_END = '{"verb":"Yield"}'


class Action(msgspec.Struct, tag_field="verb"):
    """Base class of the actions that an instance requests. Fields are encoded in the order of definition."""

    instance: int = field(name="Who")


class Forward(Action, tag="Relay"):
    """Start an attempt at a server."""

    request_id: str = field(name="Id")
    server_id: str = field(name="Box")
    timeout_us: int = field(name="PatienceUs")


class Reject(Action, tag="Refuse"):
    """Reject a request. Its client may retry after `retry_after_us`."""

    request_id: str = field(name="Id")
    retry_after_us: int = field(name="ComeBackUs")


class Fail(Action, tag="GiveUp"):
    """Fail a request."""

    request_id: str = field(name="Id")


class SetTimer(Action, tag="SetTimer"):
    """Send a `TimerDue` event after a delay."""

    timer: int = field(name="Name")
    delay_us: int = field(name="OffsetUs")


class CastVote(Action, tag="Ruling"):
    """Cast a vote on a build."""

    build: int = field(name="Ver")
    stage: int = field(name="Step")
    vote: int = field(name="Sense")


class SendPeerMessage(Action, tag="WritePeer"):
    """Send a text to another instance."""

    peer: int = field(name="Target")
    text: str = field(name="Msg")


class WatchEndpoints(Action, tag="KeepInformed"):
    """Subscribe to the endpoint list."""

    enabled: bool = field(name="On", default=True)


class LogMessage(Action, tag="Debug"):
    """Log a message for operators."""

    text: str = field(name="What")


def microseconds(seconds: float) -> int:
    """Convert a duration to microseconds, the unit on the wire."""
    return round(seconds * MICROSECONDS_PER_SECOND)


def cast_vote(instance: int, build: int, stage: int, vote: Vote) -> CastVote:
    """Return the action that casts a vote."""
    return CastVote(instance, build, stage, VOTE_NUMBERS[vote])


def gossip_vote(instance: int, peer: int, build: int, stage: int, vote: Vote) -> SendPeerMessage:
    """Return the action that sends a vote to a peer."""
    return SendPeerMessage(instance, peer, encode_peer_vote(PeerVote(build, stage, vote)))


def encode_batch(actions: Iterable[Action]) -> bytes:
    """Encode the actions, one per line, followed by the line that ends the batch."""
    lines = [json.dumps(msgspec.to_builtins(action), separators=(",", ":")) for action in actions]
    return ("\n".join([*lines, BATCH_END]) + "\n").encode()
