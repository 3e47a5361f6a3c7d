"""Tests the reports of the versions in force and of the rejected versions."""

from __future__ import annotations

from gullmount.distribution.acknowledgements import Acknowledgements
from gullmount.distribution.versions import Version
from tests.support.subscription_scene import CONFIG, EPOCH, PAY


def test_report_holds_unconfirmed_topics_only() -> None:
    acknowledgements = Acknowledgements("u", "a")
    for revision in range(1, 100):
        acknowledgements.record_applied(PAY, Version(EPOCH, revision))
    first_report = acknowledgements.next_report()
    assert first_report is not None and first_report.in_force == {PAY: (EPOCH, 99)}
    acknowledgements.record_applied(PAY, Version(EPOCH, 100))
    acknowledgements.record_rejected(CONFIG, Version(EPOCH, 100), "x" * 500)
    acknowledgements.confirm(first_report)
    second_report = acknowledgements.next_report()
    assert (
        second_report is not None
        and second_report.in_force == {PAY: (EPOCH, 100)}
        and len(second_report.rejections[CONFIG].reason) == 100
    )
    acknowledgements.confirm(second_report)
    assert acknowledgements.next_report() is None
    acknowledgements.record_applied(CONFIG, Version(EPOCH, 101))
    third_report = acknowledgements.next_report()
    assert third_report is not None and third_report.rejections == {}
