"""Which of several builds on trial is to blame when service falls, or that none is. No I/O, no clock, no
chance."""

from gullmount.blame.evidence import Evidence, Row
from gullmount.blame.findings import Cause, Finding, Standing
from gullmount.blame.inquest import Inquest

__all__ = ["Cause", "Evidence", "Finding", "Inquest", "Row", "Standing"]
