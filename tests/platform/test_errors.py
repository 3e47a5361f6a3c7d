"""Tests the texts of the errors and that each one is a GullmountError."""

from __future__ import annotations

import pytest

from gullmount.decisions.endpoint_freshness import CallFailure
from gullmount.errors import GullmountError
from gullmount.platform.configuration import InvalidConfigurationError
from gullmount.platform.discovery_client import DiscoveryCallError
from gullmount.platform.errors import (
    EndpointListTooLongError,
    InvalidEndpointFieldError,
    InvalidLineError,
    InvalidReleaseStatusError,
    LineProblem,
    MissingStatusFieldError,
    UnexpectedReplyError,
)
from gullmount.settings import InvalidSettingsError, SettingsProblem


@pytest.mark.parametrize(
    ("error", "text"),
    [
        (InvalidConfigurationError(None, "PROXY_CONFIG is not set"), "PROXY_CONFIG is not set"),
        (InvalidConfigurationError("c.json", "not a number", key="seed"), "c.json: seed: not a number"),
        (InvalidSettingsError("Grades[1].Name", SettingsProblem.MISSING), "Grades[1].Name: missing"),
        (
            InvalidSettingsError("GateMode", SettingsProblem.UNKNOWN_VALUE, "o" * 30),
            f"GateMode: no such value: {'o' * 20!r}",
        ),
        (DiscoveryCallError(CallFailure.REFUSED, "status 503"), "discovery call refused: status 503"),
        (EndpointListTooLongError(9), "list too long: more than 9 bytes"),
        (InvalidEndpointFieldError("size", "is out of range"), "field size is out of range"),
        (InvalidLineError(LineProblem.TOO_LONG), "line from the release controller is too long"),
        (InvalidReleaseStatusError("42 x"), "not a release status: '42 x'"),
        (MissingStatusFieldError("cap"), "platform.news: no 'cap'"),
        (UnexpectedReplyError("ERR BUSY"), "unexpected reply 'ERR BUSY'"),
    ],
)
def test_error_text_describes_the_problem(error: GullmountError, text: str) -> None:
    assert str(error) == text and isinstance(error, GullmountError)
