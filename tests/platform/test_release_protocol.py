"""Tests the parsing of release statuses."""

from __future__ import annotations

import pytest

from gullmount.decisions.model import ReleasePhase
from gullmount.platform.errors import InvalidReleaseStatusError
from gullmount.platform.release_protocol import ReleaseStatus, parse_release_status


def test_valid_release_status_is_parsed_and_invalid_text_raises_an_error() -> None:
    status = ReleaseStatus(42, 1, ReleasePhase.CANDIDATE, 0.28)
    assert parse_release_status("42 1 IN_PROGRESS 0.28 310") == status
    for text in ("42 1 COMPLETE 0.28", "42 1 COMPLETE nan 310", "x 1 COMPLETE 1 0", "4 1 COMPLETE 1 0 0"):
        with pytest.raises(InvalidReleaseStatusError):
            parse_release_status(text)
