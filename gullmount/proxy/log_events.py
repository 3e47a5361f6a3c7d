"""Names of the events that a proxy instance logs. Operators and alerts search for them: keep them stable."""

from __future__ import annotations

from enum import StrEnum


class LogEvent(StrEnum):
    """Log events; docs/on-call.md describes how to respond to each."""

    ACCEPT_FAILED = "accept_failed"
    CACHED_ENDPOINT_INVALID = "cached_endpoint_invalid"
    CACHED_RELEASE_INVALID = "cached_release_invalid"
    CACHED_STATE_INVALID = "cached_state_invalid"
    CANARY_ANALYSIS = "canary_analysis"
    CONNECTION_DROPPED = "connection_dropped"
    DISCOVERY_MESSAGE_INVALID = "discovery_message_invalid"
    DISCOVERY_WATCH_ENDED = "discovery_watch_ended"
    EVENT_LOOP_STALLED = "event_loop_stalled"
    LISTENING = "listening"
    MEMORY_RECLAIMED = "memory_reclaimed"
    PEER_MESSAGE_INVALID = "peer_message_invalid"
    PEER_UNREACHABLE = "peer_unreachable"
    # Recorded scenarios contain this value.
    RELEASE_ATTRIBUTION = "blame"
    RELEASE_STATUS_INVALID = "release_status_invalid"
    RELEASE_WATCH_ENDED = "release_watch_ended"
    REQUEST_NOT_ACCEPTED = "request_not_accepted"
    REQUEST_NOT_SERVED = "request_not_served"
    SHUTDOWN_COMPLETE = "shutdown_complete"
    SHUTDOWN_STARTED = "shutdown_started"
    STATE_NOT_SAVED = "state_not_saved"
    VOTE_FAILED = "vote_failed"
