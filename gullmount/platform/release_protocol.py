"""Parses status lines and encodes votes of the release controller's text protocol. No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, NamedTuple

from gullmount.decisions.model import ReleasePhase, Vote
from gullmount.platform.errors import InvalidReleaseStatusError, MissingStatusFieldError

SUBSCRIBE_LINE = b"NOTIFY\r\n"
STATUS_PREFIX = "* progress "
VOTE_ACCEPTED_PREFIX = "OK "
VOTE_WORDS = {Vote.NONE: "blank", Vote.PROMOTE: "go", Vote.HOLD: "stay", Vote.ROLLBACK: "stop"}
PHASES = {
    "IN_PROGRESS": ReleasePhase.CANDIDATE,
    "ROLLING_BACK": ReleasePhase.ROLLING_BACK,
    "COMPLETE": ReleasePhase.RELEASED,
    "ROLLED_BACK": ReleasePhase.ROLLED_BACK,
}
# Build, stage, phase, exposure limit, and milliseconds since the last change. The last field is not used.
STATUS_PATTERN = re.compile(
    r"(\d{1,5}) (\d{1,3}) ([A-Z_]{1,20}) (\d{1,3}(?:\.\d{1,20})?(?:[eE]-?\d{1,3})?) (\d{1,15})", re.ASCII
)
# Names of the status fields in the configuration file, in the order of `STATUS_PATTERN`.
STATUS_FIELDS = ("build", "stage", "phase", "cap", "age_ms")


class ReleaseStatus(NamedTuple):
    """State of a release; `exposure_limit` is the maximum share of the traffic for its build, 0 to 1."""

    build: int
    stage: int
    phase: ReleasePhase
    exposure_limit: float


def parse_release_status(text: str) -> ReleaseStatus:
    """Parse the status in a status line or in the response to a vote.

    Raises InvalidReleaseStatusError if the text is invalid.
    """
    match = STATUS_PATTERN.fullmatch(text)
    if match is None or match[3] not in PHASES or float(match[4]) > 1:
        raise InvalidReleaseStatusError(text)
    return ReleaseStatus(int(match[1]), int(match[2]), PHASES[match[3]], float(match[4]))


def release_status_from_fields(fields: Mapping[str, Any]) -> ReleaseStatus:
    """Parse the status in the configuration file.

    Raises:
        MissingStatusFieldError: A field is missing.
        InvalidReleaseStatusError: A field has an invalid value.
    """
    for name in STATUS_FIELDS:
        if name not in fields:
            raise MissingStatusFieldError(name)
    return parse_release_status(" ".join(str(fields[name]) for name in STATUS_FIELDS))


def encode_vote(build: int, stage: int, vote: Vote) -> bytes:
    """Encode a vote as a line of the protocol."""
    return f"BALLOT {build} {stage} {VOTE_WORDS[vote]}\r\n".encode()


def is_keep_alive(line: str) -> bool:
    """Return whether the line is an acknowledgement, a keep-alive or a notification that is ignored."""
    return line in {"OK", "*"} or line.startswith("* ")
