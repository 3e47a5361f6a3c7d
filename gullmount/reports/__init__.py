"""Recorded scenarios and runs of fleets as tables and plots."""

from gullmount.reports.attribution import ReleaseTimeline, plot, release_timeline

__all__ = ["ReleaseTimeline", "plot", "release_timeline"]
