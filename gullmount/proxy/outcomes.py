"""Maps the end of an attempt, as seen at its socket, to an outcome for the router. Does no I/O.

An outcome states that the server did not execute an attempt only in two cases: no byte of the request was
written to a connection, or the server itself states that it did not begin. Any other attempt may have been
executed.
"""

from __future__ import annotations

from enum import Enum

from gullmount.decisions.model import Outcome
from gullmount.proxy.http1 import HEAD_TOO_LARGE, ProtocolError
from gullmount.proxy.messages import SERVICE_UNAVAILABLE


class AttemptEnd(Enum):
    """How an upstream attempt ended, as seen at its socket; the value describes it."""

    CONNECT_REFUSED = "connect refused, or broken before a byte of the request was written"
    CONNECT_TIMEOUT = "not connected within the connect timeout"
    DEADLINE_WHILE_CONNECTING = "the attempt's time ran out while connecting"
    NO_CONNECTION_AVAILABLE = "all connections allowed are in use, or descriptors or memory are short here"
    SERVER_WITHDRAWN = "no longer allowed once the connection was up; nothing was written"
    BODY_NOT_REPLAYABLE = "the body was streamed once and cannot be sent again"
    WRITE_FAILED = "the connection broke while the request was being written"
    CLOSED_BEFORE_RESPONSE = "closed or reset before the head of a response, also on a reused connection"
    RESPONSE_TRUNCATED = "closed or reset after the head, in the middle of the body"
    MALFORMED_RESPONSE = "the response broke the protocol"
    RESPONSE_TOO_LARGE = "the head or the buffered body of the response was too large"
    DEADLINE_BEFORE_RESPONSE = "the attempt's time ran out after all or part of the request was written"
    CLIENT_PRESENCE_UNKNOWN = (
        "the client sent more than was read, so its end may be unseen; nothing was written"
    )
    CLIENT_DISCONNECTED = "the client disconnected while the attempt was in flight"
    RESPONSE_COMPLETE = "a response was read to its end"


OUTCOME_BY_ATTEMPT_END = {
    AttemptEnd.CONNECT_REFUSED: Outcome.CONNECT_FAILED,
    AttemptEnd.CONNECT_TIMEOUT: Outcome.CONNECT_FAILED,
    AttemptEnd.DEADLINE_WHILE_CONNECTING: Outcome.CONNECT_FAILED,
    AttemptEnd.NO_CONNECTION_AVAILABLE: Outcome.EXPIRED,
    AttemptEnd.SERVER_WITHDRAWN: Outcome.EXPIRED,
    AttemptEnd.BODY_NOT_REPLAYABLE: Outcome.EXPIRED,
    AttemptEnd.CLIENT_PRESENCE_UNKNOWN: Outcome.EXPIRED,
    AttemptEnd.WRITE_FAILED: Outcome.RESET,
    AttemptEnd.CLOSED_BEFORE_RESPONSE: Outcome.RESET,
    AttemptEnd.RESPONSE_TRUNCATED: Outcome.RESET,
    AttemptEnd.MALFORMED_RESPONSE: Outcome.ERROR,
    AttemptEnd.RESPONSE_TOO_LARGE: Outcome.ERROR,
    AttemptEnd.DEADLINE_BEFORE_RESPONSE: Outcome.TIMEOUT,
    AttemptEnd.CLIENT_DISCONNECTED: Outcome.CANCELLED,
}

FIRST_SERVER_ERROR_STATUS = 500


def protocol_error_end(error: ProtocolError) -> AttemptEnd:
    """Return the end of an attempt whose response violated the protocol."""
    too_large = error.status == HEAD_TOO_LARGE
    return AttemptEnd.RESPONSE_TOO_LARGE if too_large else AttemptEnd.MALFORMED_RESPONSE


def attempt_outcome(end: AttemptEnd, status: int = 0, not_begun: bool = False) -> Outcome:
    """Return the outcome of an attempt for the router.

    Args:
        end: How the attempt ended.
        status: Status of the response; ignored unless the response is complete.
        not_begun: Whether the server marked the request as not begun; ignored unless the response is
            complete.
    """
    if end is not AttemptEnd.RESPONSE_COMPLETE:
        return OUTCOME_BY_ATTEMPT_END[end]
    if status == SERVICE_UNAVAILABLE and not_begun:
        return Outcome.OVERLOADED
    return Outcome.ERROR if status >= FIRST_SERVER_ERROR_STATUS else Outcome.COMPLETED
