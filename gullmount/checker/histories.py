"""Whether the recorded history of a register is linearizable. No I/O.

Each change raises the register's version by one, so the versions give the order; what is left to look at is
whether it agrees with time and with the values: an operation that ended before another began may not have
seen, or made, a later version. A change whose end nobody knows may have been made at any time after it was
asked for.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import Any

from gullmount.checker.findings import Breach, Finding

Event = dict[str, Any]

ONE_ORDER = "one order"
UNKNOWN_VERSION = -1
LAST_TIME = 1e9  # seconds; JSON has no infinity for an operation without an end


@dataclass(frozen=True)
class Operation:
    """A read or a change of a register.

    Attributes:
        name: Its name in the record.
        register: The register.
        begun: When it was asked for, in seconds.
        ended: When its result came, in seconds; infinity where none did.
        made: Whether it is a change that was made.
        version: The version that it saw or made; UNKNOWN_VERSION where its end isn't known.
        value: The value that it saw, made or asked for.
        expect: Of a change: the version that it was asked for over.
    """

    name: str
    register: str
    begun: float
    ended: float
    made: bool
    version: int
    value: Any
    expect: int | None = None

    def summary(self) -> str:
        """Return what it did, for people."""
        if self.version < 0:
            return f"{self.name} (a change over version {self.expect}, its end unknown)"
        return f"{self.name} ({'made' if self.made else 'saw'} version {self.version}: {self.value!r})"


def operations(events: Sequence[Event]) -> list[Operation]:
    """Return the operations of a record; those that changed nothing for certain are left out."""
    begun: dict[str, Event] = {}
    found: list[Operation] = []
    for event in events:
        if event["ev"] == "op":
            begun[event["op"]] = event
        elif event["ev"] == "op_end":
            found += _operation(begun.pop(event["op"]), event)
    for request in begun.values():
        found += _operation(request, {"end": "unknown", "t": inf})
    return found


def _operation(request: Event, end: Event) -> list[Operation]:
    """Return one operation, or none for a read without a result or a change that was not made."""
    expect = request.get("expect")
    base = request["op"], request["register"], request["t"]
    if end["end"] in ("done", "other"):
        made = end["end"] == "done" and expect is not None
        value = request["value"] if made else end["value"]
        return [Operation(*base, end["t"], made, end["version"], value, expect)]
    if end["end"] == "unknown" and expect is not None:
        return [Operation(*base, inf, False, UNKNOWN_VERSION, request["value"], expect)]
    return []


def check_history(events: Sequence[Event]) -> Finding:
    """Check the history of each register."""
    finding = Finding(ONE_ORDER)
    history = operations(events)
    finding.checked = {"operations": sum(operation.version >= 0 for operation in history)}
    for register in sorted({operation.register for operation in history}):
        _check_register([one for one in history if one.register == register], finding)
    return finding


def _check_register(history: Sequence[Operation], finding: Finding) -> None:
    known = [operation for operation in history if operation.version >= 0]
    makers = _makers(history, known, finding)
    for operation in known:
        maker = makers.get(operation.version)
        if maker is None or maker is operation:
            continue
        if maker.value != operation.value:
            _add_breach(finding, "it saw another value than was made", maker, operation)
        elif operation.ended < maker.begun:
            _add_breach(finding, "it was seen before it was asked for", maker, operation)
    _check_real_time_order(known, finding)


def _makers(
    history: Sequence[Operation], known: Sequence[Operation], finding: Finding
) -> dict[int, Operation]:
    """Return the change that made each version."""
    makers: dict[int, Operation] = {}
    for operation in known:
        if operation.made and operation.version in makers:
            _add_breach(finding, "both made one version", makers[operation.version], operation)
        elif operation.made:
            makers[operation.version] = operation
    for operation in known:
        if operation.version and operation.version not in makers:
            # Its maker must be a change whose end isn't known.
            sought = (UNKNOWN_VERSION, operation.version - 1, operation.value)
            candidates = [one for one in history if (one.version, one.expect, one.value) == sought]
            if candidates:
                makers[operation.version] = candidates[0]
            else:
                _add_breach(finding, "nobody made what it saw", operation)
    return makers


def _check_real_time_order(known: Sequence[Operation], finding: Finding) -> None:
    """Check that of all that had ended when an operation began, none saw or made a later version."""
    latest: Operation | None = None
    by_end = sorted(known, key=lambda operation: operation.ended)
    position = 0
    for operation in sorted(known, key=lambda operation: operation.begun):
        while position < len(by_end) and by_end[position].ended < operation.begun:
            if latest is None or by_end[position].version > latest.version:
                latest = by_end[position]
            position += 1
        version_before = operation.version - operation.made
        if latest is not None and latest.version > version_before:
            _add_breach(finding, "it comes after one that knew more", latest, operation)


def _add_breach(finding: Finding, what: str, *history: Operation) -> None:
    t = min(max(operation.ended for operation in history), LAST_TIME)
    summaries = ", ".join(operation.summary() for operation in history)
    finding.breaches.append(Breach(t, history[-1].name, f"{what}: {summaries}", []))
