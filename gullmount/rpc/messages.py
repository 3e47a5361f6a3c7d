"""Decodes and validates messages. It does no I/O and reads no clock."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from gullmount.rpc.errors import (
    InvalidFieldError,
    InvalidMessageError,
    MessageVersionError,
    NotAnObjectError,
    NotJsonError,
)

# The version of all messages. A message of any other version is invalid.
MESSAGE_VERSION = 1

Decoded = TypeVar("Decoded")
Fields = dict[str, type | tuple[type, ...]]


def check_fields(message: Any, fields: Fields) -> dict[str, Any]:
    """Return `message` if it is an object with these fields. Raises InvalidMessageError otherwise."""
    if not isinstance(message, dict):
        raise NotAnObjectError
    for name, expected_type in fields.items():
        value = message.get(name)
        if not isinstance(value, expected_type) or (isinstance(value, bool) and expected_type is not bool):
            raise InvalidFieldError(name, "is missing or wrong")
    return message


def convert(value: Any, expected_type: type[Decoded]) -> Decoded:
    """Convert decoded JSON to `expected_type`. Raises InvalidMessageError if it does not match."""
    try:
        return msgspec.convert(value, type=expected_type)
    except msgspec.ValidationError as error:
        raise InvalidMessageError(str(error)) from None


def look_up(table: dict[str, Any], message: dict[str, Any], name: str) -> Any:
    """Return the entry of `table` for the field's value. Raises InvalidMessageError if there is none."""
    value = message.get(name)
    if value not in table:
        raise InvalidFieldError(name, "has no such value")
    return table[value]


def decode_message(data: bytes) -> dict[str, Any]:
    """Decode a message to a JSON object. Raises InvalidMessageError if it or its version is invalid."""
    try:
        message = check_fields(msgspec.json.decode(data), {"v": int})
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        raise NotJsonError from None
    if message["v"] != MESSAGE_VERSION:
        raise MessageVersionError(message["v"])
    return message


def decode_as(data: bytes, expected_type: type[Decoded]) -> Decoded:
    """Decode a message to `expected_type`. Raises InvalidMessageError if it or its version is invalid."""
    return convert(decode_message(data), expected_type)
