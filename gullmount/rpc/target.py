"""Parses a request target into path and query. It does no I/O and reads no clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from gullmount.rpc.errors import InvalidTargetError, TargetProblem

MAX_QUERY_FIELDS = 100


@dataclass(frozen=True)
class RequestTarget:
    """The path and query of a request.

    Attributes:
        path: The path as received, without the query.
        query: The first value of each query field, decoded.
    """

    path: str
    query: dict[str, str] = field(default_factory=dict)


def parse_target(target: str) -> RequestTarget:
    """Parse a target in origin form or absolute form (RFC 9112, 3.2). Raises InvalidTargetError."""
    if target.startswith("/"):
        path, _, query = target.partition("?")
    else:
        path, query = _split_absolute(target)
    return RequestTarget(path, _parse_query(query))


def _split_absolute(target: str) -> tuple[str, str]:
    try:
        parts = urlsplit(target)
    except ValueError:
        raise InvalidTargetError(TargetProblem.NOT_A_URL) from None
    if not parts.scheme or not parts.netloc:
        raise InvalidTargetError(TargetProblem.NO_PATH)
    return parts.path or "/", parts.query


def _parse_query(query: str) -> dict[str, str]:
    try:
        fields = parse_qs(query, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
    except ValueError:
        raise InvalidTargetError(TargetProblem.TOO_MANY_FIELDS) from None
    return {name: values[0] for name, values in fields.items()}
