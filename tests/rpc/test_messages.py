"""Decoding of messages, and the errors for invalid ones."""

from __future__ import annotations

import msgspec
import pytest

from gullmount.errors import GullmountError
from gullmount.rpc import InvalidMessageError, check_fields, decode_as, decode_message
from gullmount.rpc.errors import InvalidFieldError, MessageVersionError, NotAnObjectError, NotJsonError


class Point(msgspec.Struct):
    x: int
    v: int = 1


@pytest.mark.parametrize(
    ("data", "error_type"),
    [
        (b"", NotJsonError),
        (b"{", NotJsonError),
        (b"\xff", NotJsonError),
        (b"[" * 100_000, NotJsonError),
        (b"[]", NotAnObjectError),
        (b"{}", InvalidFieldError),
        (b'{"v":true}', InvalidFieldError),
        (b'{"v":2}', MessageVersionError),
    ],
)
def test_invalid_message_raises_the_error_of_its_problem(
    data: bytes, error_type: type[InvalidMessageError]
) -> None:
    with pytest.raises(error_type) as raised:
        decode_message(data)
    assert isinstance(raised.value, InvalidMessageError) and isinstance(raised.value, GullmountError)


def test_error_names_the_invalid_field() -> None:
    with pytest.raises(InvalidFieldError, match="field x is missing or wrong") as raised:
        check_fields({"x": True}, {"x": int})
    assert raised.value.field == "x"
    with pytest.raises(InvalidMessageError, match=r"\$\.x"):
        decode_as(b'{"v":1,"x":"no"}', Point)
    assert decode_as(b'{"v":1,"x":3}', Point) == Point(3)
