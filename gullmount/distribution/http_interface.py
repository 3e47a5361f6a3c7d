"""Paths, status codes and responses of the HTTP interface between subscribers, relays and the origin."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from gullmount.rpc import Response
from gullmount.rpc.messages import MESSAGE_VERSION

SUBSCRIBE_PATH = "/v1/follow"
IN_FORCE_PATH = "/v1/in-force"
CHANGES_PATH = "/v1/changes"

OK = 200
BAD_REQUEST, FORBIDDEN, NOT_FOUND, CONFLICT, TOO_LARGE = 400, 403, 404, 409, 413
UNAVAILABLE = 503


def json_response(fields: Mapping[str, object]) -> Response:
    """Return a 200 response with a JSON object of these fields and the protocol version."""
    return Response(OK, msgspec.json.encode({"v": MESSAGE_VERSION, **fields}))


def text_response(status: int, text: str) -> Response:
    """Return a response whose body is one line of plain text."""
    return Response(status, f"{text}\n".encode())
