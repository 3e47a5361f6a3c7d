"""Handler errors are contained, counted and logged, or propagate if the process must exit."""

from __future__ import annotations

from typing import Any

import pytest

from gullmount.errors import ProcessFatalError
from gullmount.net import HandlerErrors


def test_repeated_error_is_logged_at_powers_of_two_and_a_new_error_at_once() -> None:
    counts: list[tuple[str, int]] = []

    def log(event: str, **fields: Any) -> None:
        counts.append((fields["error"], fields["count"]))

    errors = HandlerErrors(log)
    for _ in range(9):
        with errors.contained("test"):
            raise KeyError
    with errors.contained("test"):
        raise IndexError
    assert counts == [("KeyError", 1), ("KeyError", 2), ("KeyError", 4), ("KeyError", 8), ("IndexError", 10)]


@pytest.mark.parametrize(
    "error", [ProcessFatalError(), ExceptionGroup("", [KeyError(), ProcessFatalError()])]
)
def test_process_fatal_error_propagates_alone_and_in_a_group(error: Exception) -> None:
    errors = HandlerErrors(lambda event, **fields: None)
    with pytest.raises(type(error)), errors.contained("test"):
        raise error
    assert errors.count == 0


def test_expected_error_propagates() -> None:
    with pytest.raises(KeyError), HandlerErrors().contained("test", expected_errors=(KeyError,)):
        raise KeyError
