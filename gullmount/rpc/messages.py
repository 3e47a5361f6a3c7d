"""Turns bytes into checked messages. No I/O, no clock."""

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

MESSAGE_VERSION = 1  # of all messages; a message of another version is invalid

Decoded = TypeVar("Decoded")
Fields = dict[str, type | tuple[type, ...]]


def check_fields(message: Any, fields: Fields) -> dict[str, Any]:
    """Return `message` once it is an object with these fields; raise InvalidMessageError otherwise."""
    if not isinstance(message, dict):
        raise NotAnObjectError
    for name, expected_type in fields.items():
        value = message.get(name)
        if not isinstance(value, expected_type) or (isinstance(value, bool) and expected_type is not bool):
            raise InvalidFieldError(name, "is missing or wrong")
    return message


def convert(value: Any, expected_type: type[Decoded]) -> Decoded:
    """Return decoded JSON as an object of `kind`; raise InvalidMessageError where it does not fit."""
    try:
        return msgspec.convert(value, type=expected_type)
    except msgspec.ValidationError as error:
        raise InvalidMessageError(str(error)) from None


def look_up(table: dict[str, Any], message: dict[str, Any], name: str) -> Any:
    """Return what `table` holds for a field's value; raise InvalidMessageError where it holds nothing."""
    value = message.get(name)
    if value not in table:
        raise InvalidFieldError(name, "has no such value")
    return table[value]


def decode_message(data: bytes) -> dict[str, Any]:
    """Return the JSON object of a message of this version; raise InvalidMessageError otherwise."""
    try:
        message = check_fields(msgspec.json.decode(data), {"v": int})
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        raise NotJsonError from None
    if message["v"] != MESSAGE_VERSION:
        raise MessageVersionError(message["v"])
    return message


def decode_as(data: bytes, expected_type: type[Decoded]) -> Decoded:
    """Return a message of this version as an object of `kind`; raise InvalidMessageError otherwise."""
    return convert(decode_message(data), expected_type)
