"""Defines the log events of this package.

An event that `gullmount proxy` logs as well has the same name as in `gullmount.proxy.log_events`.
docs/on-call.md describes what to do about each event.
"""

from __future__ import annotations

from enum import StrEnum


class LogEvent(StrEnum):
    """Values of the key `event` in log lines. They are stable because searches and alerts depend on them."""

    LISTENING = "listening"
    """The listener accepts clients at `address`."""

    STOPPED_BEFORE_LISTENING = "stopped_before_listening"
    """The process received SIGTERM or SIGINT before it accepted clients."""

    STARTING_STATE_INVALID = "starting_state_invalid"
    """The configured endpoint list or release status is invalid; startup continues without it."""

    CONFIGURATION_RELOADED = "configuration_reloaded"
    """The configuration file was reloaded after SIGHUP."""

    CONFIGURATION_INVALID = "configuration_invalid"
    """The file is invalid after SIGHUP; the old addresses stay, and the reload is retried for a while."""

    COUNTERS = "counters"
    """Periodic report of requests, attempts, connections, servers and the age of the endpoint list."""

    EVENT_LOOP_DELAYED = "event_loop_delayed"
    """Timers fired up to `max_seconds` late; latencies measured in that time include the delay."""

    DISCOVERY_CALL_SUCCEEDED = "discovery_call_succeeded"
    """Discovery returned the endpoint list or changes to it."""

    DISCOVERY_CALL_FAILED = "discovery_call_failed"
    """A call to discovery returned no usable response; `failure` and `reason` give the cause."""

    ENDPOINT_LIST_STATE_CHANGED = "endpoint_list_state_changed"
    """The endpoint list became fresh, suspect or stale; no request is forwarded with a stale list."""

    WALL_CLOCK_CORRECTED = "wall_clock_corrected"
    """A server's start time was ahead of the wall clock, which was behind; start times are recomputed."""

    RELEASE_WATCH_ENDED = "release_watch_ended"
    """The stream of status lines from the release controller ended; the client reconnects."""

    VOTE_FAILED = "vote_failed"
    """The release controller did not confirm a vote as accepted; the vote is cast again."""

    PEER_UNREACHABLE = "peer_unreachable"
    """A vote could not be sent to the instance `peer`."""

    PEER_SOCKET_BROKEN = "peer_socket_broken"
    """The socket for votes of peers failed; no votes are received until the next start of the process."""
