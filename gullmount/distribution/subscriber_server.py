"""Base of the origin and of a relay: a server of subscribers' streams and reports.

The module `subscriptions` decides which updates each subscriber gets. A server lives as long as its process.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import anyio

from gullmount.distribution import decoding
from gullmount.distribution.errors import MalformedMessageError, TooManySubscribersError, UnavailableError
from gullmount.distribution.http_interface import (
    BAD_REQUEST,
    IN_FORCE_PATH,
    NOT_FOUND,
    OK,
    SUBSCRIBE_PATH,
    UNAVAILABLE,
    json_response,
    text_response,
)
from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.messages import SubscribeRequest
from gullmount.distribution.streams import limit_kernel_buffers
from gullmount.distribution.subscription_client import Log
from gullmount.distribution.subscriptions import Subscriptions
from gullmount.distribution.update_stream import UpdateStream
from gullmount.net import HandlerErrors, Stream, abort, source_host
from gullmount.rpc import InvalidMessageError, Request, Response, serve

# Interval between checks for disconnected subscribers and unused topics.
CLEANUP_SECONDS = 0.5
# The retry time in responses to subscribers that cannot be served yet.
RETRY_AFTER_SECONDS = 1.0


class SubscriberServer:
    """Serves subscribers. A subclass decides when updates may be sent and which subscribers are admitted."""

    def __init__(
        self,
        subscriptions: Subscriptions,
        *,
        zones: Collection[str],
        max_connections: int,
        heartbeat_seconds: float,
        bytes_per_second: int | None = None,
        max_body_bytes: int = decoding.MAX_REQUEST_BYTES,
        log: Log,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        """Create a server for subscribers of `zones`.

        Args:
            subscriptions: The subscriptions that the server serves.
            zones: The zones whose subscribers are admitted.
            max_connections: Maximum number of open connections.
            heartbeat_seconds: Interval between the lines of a stream without updates.
            bytes_per_second: The send rate to one subscriber; None for no limit.
            max_body_bytes: Maximum size of a request body.
            log: The log function.
            clock: Returns the monotonic time in seconds.
            wall: Returns the wall clock time in seconds.
        """
        self.subscriptions = subscriptions
        self.zones = frozenset(zones)
        self.max_connections = max_connections
        self.heartbeat_seconds = heartbeat_seconds
        self.bytes_per_second = bytes_per_second
        self.log = log
        self.clock = clock
        self.wall = wall
        self.max_body_bytes = max_body_bytes
        # The open streams by subscriber name.
        self.streams: dict[str, UpdateStream] = {}
        self.open_connections = 0
        self.malformed_messages = 0
        # Streams that ended because the subscriber accepted no data.
        self.stalled_streams = 0
        # Connections that were closed because of `max_connections`.
        self.refused_connections = 0
        self.handler_errors = HandlerErrors(log)

    # Overridden by subclasses

    def check_ready(self) -> None:
        """Raise UnavailableError while no state is known, as an unknown state must not be sent as empty."""

    def check_clock(self) -> None:
        """Called before each request and each cleanup; a relay detects pauses of its process here."""

    async def wait_until_current(self) -> None:
        """Wait until the held state may be sent."""

    def origin_silent_seconds(self) -> float:
        """Return for how many seconds the origin was silent if subscribers are to be told, else 0."""
        return 0.0

    def check_admission(self, message: SubscribeRequest) -> None:
        """Raise MalformedMessageError for an unknown subscriber, UnavailableError at a limit."""

    def on_topics_requested(self, topics: Collection[str]) -> None:
        """Called when a subscriber requests these topics."""

    async def handle_other_request(self, request: Request, path: str) -> Response | None:
        """Handle a request that is not from a subscriber; return None for any other.

        It may raise the errors that `handle_request` handles.
        """
        raise NotImplementedError

    def may_drop_topics(self) -> bool:
        """Return whether dropped topics could be requested again."""
        return True

    def on_topics_unused(self, topics: list[str]) -> None:
        """Called when these topics have had no subscriber for a while."""

    # Connections

    async def handle_connection(self, stream: Stream) -> None:
        """Serve a connection until it ends; close it at once if there are too many."""
        if self.open_connections >= self.max_connections:
            self.note_refused_connection()
            await abort(stream)
            return
        limit_kernel_buffers(stream)
        self.open_connections += 1
        try:
            await serve(
                stream, self.handle_request, self.max_body_bytes, self.handler_errors, self.note_stalled
            )
        finally:
            self.open_connections -= 1

    def note_refused_connection(self) -> None:
        """Count a refused connection; log the 1st, 2nd, 4th and so on, so that no flood fills the log."""
        self.refused_connections += 1
        if not self.refused_connections & (self.refused_connections - 1):
            self.log(LogEvent.CONNECTION_LIMIT_REACHED, count=self.refused_connections)

    def note_stalled(self) -> None:
        """Count and log a stream that ends because the subscriber accepted no data for too long."""
        self.stalled_streams += 1
        self.log(LogEvent.STREAM_STALLED, count=self.stalled_streams)

    async def handle_request(self, request: Request, stream: Stream) -> Response:
        """Handle a request and return the response."""
        try:
            path = request.parse_target().path
            self.check_clock()
            if request.method == "POST" and path == SUBSCRIBE_PATH:
                return await self.handle_subscribe(request, stream)
            response = await self.handle_other_request(request, path)
            if response is not None:
                return response
            if request.method == "POST" and path == IN_FORCE_PATH:
                return self.handle_acknowledgement(request)
        except InvalidMessageError as error:
            return self.handle_malformed_request(stream, error)
        except UnavailableError as error:
            retry_after = {"retry-after-ms": f"{RETRY_AFTER_SECONDS * 1000:.0f}"}
            return Response(UNAVAILABLE, f"{error}\n".encode(), retry_after)
        return text_response(NOT_FOUND, "nothing here")

    def handle_malformed_request(self, stream: Stream, error: InvalidMessageError) -> Response:
        """Count and log a request that could not be decoded, and return the response to it."""
        self.malformed_messages += 1
        self.log(
            LogEvent.REQUEST_MALFORMED,
            client=source_host(stream),
            reason=str(error),
            count=self.malformed_messages,
        )
        return text_response(BAD_REQUEST, "not understood")

    # Subscribers

    async def handle_subscribe(self, request: Request, stream: Stream) -> Response:
        """Begin a stream, or change the topics of the subscriber's current stream."""
        message = decoding.parse_subscribe_request(request.body, self.wall())
        if message.extends:
            return self.handle_extension(message)
        if message.zone not in self.zones:
            raise MalformedMessageError("zone", "not known here")
        self.check_admission(message)
        self.check_ready()
        update_stream = self.begin_stream(message, stream)
        earlier = self.streams.pop(message.subscriber, None)
        self.streams[message.subscriber] = update_stream
        self.on_topics_requested(message.held.keys())
        if earlier is not None:
            await earlier.abort()
        return Response(OK, lines=update_stream)

    def begin_stream(self, message: SubscribeRequest, stream: Stream) -> UpdateStream:
        """Register the subscription and return its stream; raise TooManySubscribersError at the limit."""
        try:
            session = self.subscriptions.subscribe(
                message.subscriber,
                message.zone,
                message.held,
                self.clock(),
                in_force=message.in_force,
                rejections=message.rejections,
                as_of=message.as_of,
                with_history=message.with_history,
            )
        except TooManySubscribersError:
            self.log(LogEvent.SUBSCRIBER_LIMIT_REACHED, count=len(self.subscriptions.by_subscriber))
            raise
        return UpdateStream(self, message.subscriber, session, stream)

    def handle_extension(self, message: SubscribeRequest) -> Response:
        """Change the topics of the subscriber's current stream."""
        name, now = message.subscriber, self.clock()
        update_stream = self.streams.get(name)
        if update_stream is None:
            return text_response(NOT_FOUND, "no such stream")
        self.check_admission(message)
        session = update_stream.session
        self.subscriptions.remove_topics(name, session, message.unsubscribe, now)
        if not self.subscriptions.add_topics(name, session, message.held):
            return text_response(NOT_FOUND, "no such stream")
        self.on_topics_requested(message.held.keys())
        update_stream.wake.set()
        return json_response({})

    def handle_acknowledgement(self, request: Request) -> Response:
        """Record which updates a subscriber reports as in force or rejected."""
        report = decoding.parse_acknowledgement(request.body, self.wall())
        if not self.subscriptions.acknowledge(report.subscriber, report.in_force, report.rejections):
            return text_response(NOT_FOUND, "no such follower")
        return json_response({})

    def stream_closed(self, stream: UpdateStream) -> None:
        """Remove a stream that has ended, and mark its subscriber as disconnected."""
        if self.streams.get(stream.name) is stream:
            del self.streams[stream.name]
        self.subscriptions.disconnect(stream.name, stream.session, self.clock())

    def topics_changed(self, topics: Collection[str]) -> None:
        """Wake the streams of the subscribers of these topics, which one change or message updated."""
        for name in self.subscriptions.topics_changed(*topics):
            update_stream = self.streams.get(name)
            if update_stream is not None:
                update_stream.wake.set()

    async def cleanup_loop(self) -> None:
        """Remove disconnected subscribers and unused topics until cancelled."""
        while True:
            await anyio.sleep(CLEANUP_SECONDS)
            self.check_clock()
            self.subscriptions.expire(self.clock())
            if self.may_drop_topics():
                unused_topics = self.subscriptions.take_unused_topics(self.clock())
                if unused_topics:
                    self.on_topics_unused(unused_topics)
