"""Checks the record of a scenario against the five rules. Shares nothing with the decisions."""

from gullmount.checker.findings import Breach, Finding
from gullmount.checker.rules import check
from gullmount.checker.summary import Summary, summarize

__all__ = ["Breach", "Finding", "Summary", "check", "summarize"]
