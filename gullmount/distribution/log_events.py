"""Defines the names of the log events of distribution.

The names are stable, so that logs can be searched for them. docs/operators/relays.md describes what to do
about each event.
"""

from __future__ import annotations

from enum import StrEnum


class LogEvent(StrEnum):
    """Names of log events.

    The groups are, in order: subscriber, proxy, server, relay, origin, and any process.
    """

    SUBSCRIBED = "subscribed"
    LEAVING_RELAY = "leaving_relay"
    SUBSCRIPTION_ENDED = "subscription_ended"
    UPDATE_MALFORMED = "update_malformed"
    SUBSCRIBER_CALL_FAILED = "subscriber_call_failed"
    CONFIGURATION_UNUSABLE = "configuration_unusable"

    WAITING_FOR_RELAY = "waiting_for_relay"
    STARTED_FROM_REMEMBERED_STATE = "started_from_remembered_state"
    ENDPOINTS_MALFORMED = "endpoints_malformed"
    REMEMBERED_STATE_UNREADABLE = "remembered_state_unreadable"
    REMEMBERED_CONFIGURATION_DROPPED = "remembered_configuration_dropped"
    REMEMBERED_STATE_NOT_SAVED = "remembered_state_not_saved"

    CONNECTION_LIMIT_REACHED = "connection_limit_reached"
    SUBSCRIBER_LIMIT_REACHED = "subscriber_limit_reached"
    TOPIC_LIMIT_REACHED = "topic_limit_reached"
    STREAM_STALLED = "stream_stalled"
    REQUEST_MALFORMED = "request_malformed"

    PROCESS_PAUSE_DETECTED = "process_pause_detected"
    SENDING_RESUMED = "sending_resumed"
    SUMMARY_REPORT_FAILED = "summary_report_failed"

    ORIGIN_STARTED = "origin_started"
    CHANGES_NOT_STORED = "changes_not_stored"
    SUMMARY_FROM_UNKNOWN_RELAY = "summary_from_unknown_relay"

    LISTENING = "listening"
    STOPPING = "stopping"
