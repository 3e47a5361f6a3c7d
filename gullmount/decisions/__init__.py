"""Decides on requests, servers and releases, without I/O and without reading a clock.

`Router` is the entry point. `model` defines the values that it shares with the surrounding program,
and `runtime` the operations that it calls there. Each other module implements one rule with its constants
and state.
"""

from __future__ import annotations

from gullmount.decisions.model import InstanceSettings, ReleaseSettings, Route
from gullmount.decisions.requests import Request
from gullmount.decisions.router import Router
from gullmount.decisions.runtime import Runtime

__all__ = ["InstanceSettings", "ReleaseSettings", "Request", "Route", "Router", "Runtime"]
