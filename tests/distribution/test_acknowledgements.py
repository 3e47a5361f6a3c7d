"""Reports of what is in force."""

from __future__ import annotations

from gullmount.distribution.acknowledgements import Acknowledgements
from gullmount.distribution.versions import Version
from tests.support.subscription_scene import CONFIG, EPOCH, PAY


def test_report_holds_what_is_not_confirmed_and_no_more() -> None:
    acknowledgements = Acknowledgements("u", "a")
    for revision in range(1, 100):
        acknowledgements.record_applied(PAY, Version(EPOCH, revision))
    sent = acknowledgements.next_report()
    assert sent is not None and sent.in_force == {PAY: (EPOCH, 99)}
    acknowledgements.record_applied(PAY, Version(EPOCH, 100))
    acknowledgements.record_rejected(CONFIG, Version(EPOCH, 100), "x" * 500)
    acknowledgements.confirm(sent)
    again = acknowledgements.next_report()
    assert (
        again is not None
        and again.in_force == {PAY: (EPOCH, 100)}
        and len(again.rejections[CONFIG].reason) == 100
    )
    acknowledgements.confirm(again)
    assert acknowledgements.next_report() is None
    acknowledgements.record_applied(CONFIG, Version(EPOCH, 101))
    last = acknowledgements.next_report()
    assert last is not None and last.rejections == {}
