"""Recorded days as tables and plots."""

from gullmount.reports.blame import Course, course, plot

__all__ = ["Course", "course", "plot"]
