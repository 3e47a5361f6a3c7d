"""Decodes the timeouts that only a proxy on real sockets needs."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from gullmount.settings.section import SettingsSection


@dataclass(frozen=True, slots=True)
class SocketSettings:
    """Timeouts of sockets, in seconds."""

    route_timeouts: Mapping[str, float]
    """Longest time that a client waits for its response, by route name."""

    connect_timeout: float
    """Longest time to establish a connection to a server."""

    connection_idle_timeout: float
    """Idle time after which a server closes a connection."""

    vote_timeout: float
    """Longest time to wait for the release controller's response to a vote."""


def decode_socket_settings(fields: dict[str, Any]) -> SocketSettings:
    """Decode the socket timeouts. Raises InvalidSettingsError."""
    settings = SettingsSection(fields)
    limits = settings.section("Ceilings")
    return SocketSettings(
        route_timeouts={
            route.text("Name"): route.duration("DeadlineUs", 1) for route in settings.sections("Grades")
        },
        connect_timeout=limits.duration("ConnectTimeoutUs", 1),
        connection_idle_timeout=limits.duration("ConnIdleUs"),
        vote_timeout=settings.section("Specifics").duration("VoteWaitUs", 1),
    )
