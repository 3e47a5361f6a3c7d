"""Attributes a degradation of service to one of several candidate builds, or to none of them.

An instance records its attempts here, receives the samples of its peers, and gets the votes to cast on each
candidate. Where only one candidate may exist at a time, canary analysis decides and this package is not used.

The package does no I/O, reads no clock and draws no random numbers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gullmount.decisions.attribution.evidence import Evidence, SampleRow
from gullmount.decisions.attribution.findings import Assessment, Cause, Finding, Symptom
from gullmount.decisions.model import InstanceSettings

if TYPE_CHECKING:
    from gullmount.decisions.attribution.attribution import Attribution

__all__ = ["Assessment", "Cause", "Evidence", "Finding", "SampleRow", "Symptom", "attribution_for"]


def attribution_for(settings: InstanceSettings) -> Attribution | None:
    """Create the attribution of an instance, or return None if only one candidate may exist at a time.

    Attribution needs numpy, whose import takes a third of the time and memory of a start. The import is
    therefore deferred to this function.
    """
    if settings.release.concurrent_candidates <= 1:
        return None
    from gullmount.decisions.attribution.attribution import Attribution  # noqa: PLC0415 (imports numpy)

    return Attribution(
        settings.instance_number,
        settings.instance_count,
        settings.gossip_enabled,
        settings.release.one_way,
    )
