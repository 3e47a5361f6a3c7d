"""Tests the order of versions."""

from __future__ import annotations

from gullmount.distribution.versions import NO_VERSION, Version


def test_versions_order_by_epoch_then_revision() -> None:
    assert Version(2, 1) > Version(1, 99) > Version(1, 98) > NO_VERSION
