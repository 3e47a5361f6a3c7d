"""The server side of HTTP/1.1, based on h11.

A handler receives complete requests and returns a response or a stream of lines. An unexpected error of a
handler ends only its own connection, see `serve`.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from enum import StrEnum

import anyio
import h11

from gullmount.net import STREAM_ERRORS, DeadlineStream, HandlerErrors, Stream, abort, ends_process
from gullmount.rpc.target import RequestTarget, parse_target

# Default limit for the body of a request.
MAX_BODY_BYTES = 64 << 20
INJECTED_SILENCE_SECONDS = 60
HEAD, CONNECT = "HEAD", "CONNECT"
BAD_REQUEST, INTERNAL_SERVER_ERROR, NOT_IMPLEMENTED = 400, 500, 501

# Errors that the stream raises once the peer has gone. Any other OSError comes from the handler itself.
CONNECTION_ENDED_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    ConnectionError,
)


class InjectedFailure(StrEnum):
    """How an emulator fails instead of sending a response."""

    SILENCE = "silence"
    RESET = "reset"


class Request:
    """A complete request.

    Attributes:
        method: The HTTP method.
        target: The path and query as received.
        headers: The header values by lower-case name. For a repeated name, only the last value is kept.
        body: The complete body.
        work_started: Whether the handler has begun its own work on the request. The handler sets it.
        cancel_scope: A scope that the handler cancels when it sees that the client has disconnected.
    """

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.work_started = False
        self.cancel_scope = anyio.CancelScope()

    def parse_target(self) -> RequestTarget:
        """Return the path and query. Raises InvalidTargetError, a subclass of InvalidMessageError."""
        return parse_target(self.target)


class Response:
    """A response.

    Attributes:
        status: The HTTP status.
        body: The complete body, if there are no `lines`.
        headers: The headers other than those that frame the body.
        lines: The chunks of a streamed body, or None.
        failure: The `InjectedFailure` to cause instead of sending the response. Only emulators set it.
    """

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        lines: AsyncIterator[bytes] | None = None,
        failure: str = "",
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers or {}
        self.lines = lines
        self.failure = failure


Handler = Callable[[Request, Stream], Awaitable[Response]]


async def read_event(http: h11.Connection, stream: Stream) -> h11.Event | None:
    """Return the next HTTP event, or None if the connection is paused or has ended."""
    while True:
        event = http.next_event()
        if isinstance(event, h11.Event):
            return event
        if event is not h11.NEED_DATA:
            return None
        try:
            data = await stream.receive()
        except STREAM_ERRORS:
            data = b""
        http.receive_data(data)


async def serve(
    stream: Stream,
    handler: Handler,
    max_body_bytes: int = MAX_BODY_BYTES,
    errors: HandlerErrors | None = None,
    on_stalled: Callable[[], None] | None = None,
) -> None:
    """Serve the requests of one connection until it ends.

    The connection ends if its client sends no byte of a request, or accepts none of a response, for as long
    as `DeadlineStream` allows; `on_stalled` is called in the latter case.

    A request that is not HTTP gets status 400. A body longer than `max_body_bytes` ends the connection.

    An error that the handler or its `lines` raise ends this connection only. The client gets status 500 if no
    byte of the response has been sent. `errors` counts and logs the error. Cancellation propagates, and so
    does `ProcessFatalError`, for example after a disk failure, when the process must send no more responses.
    """
    http = h11.Connection(h11.SERVER)
    errors = errors or HandlerErrors()
    try:
        with errors.contained("request"):
            await _serve_requests(http, DeadlineStream(stream, on_stalled), handler, max_body_bytes)
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


async def _serve_requests(
    http: h11.Connection, stream: DeadlineStream, handler: Handler, max_body_bytes: int
) -> None:
    """Serve one request after another until the connection ends."""
    try:
        while await _serve_request(http, stream, handler, max_body_bytes):
            http.start_next_cycle()
    except CONNECTION_ENDED_ERRORS:
        pass
    except h11.RemoteProtocolError as error:
        with suppress(*CONNECTION_ENDED_ERRORS):
            await _reject(http, stream, Response(BAD_REQUEST, f"not HTTP/1.1: {error}\n".encode()))


async def _serve_request(
    http: h11.Connection, stream: DeadlineStream, handler: Handler, max_body_bytes: int
) -> bool:
    """Serve one request; return whether another may follow."""
    request = await _read_request(http, stream, max_body_bytes)
    if request is None:
        return False
    if request.method == CONNECT:
        await _reject(http, stream, Response(NOT_IMPLEMENTED, b"no tunnels here\n"))
        return False
    response = await _handle(http, stream, handler, request)
    try:
        return await _send_response(http, stream, request, response)
    finally:
        # Even if the client has gone, close the source of the lines immediately, so that it does not go on.
        close = getattr(response.lines, "aclose", None)
        if close is not None:
            with anyio.CancelScope(shield=True):
                await close()


async def _handle(
    http: h11.Connection, stream: DeadlineStream, handler: Handler, request: Request
) -> Response:
    """Return the handler's response. If the handler raises, send status 500 and re-raise its error."""
    try:
        return await handler(request, stream.inner)
    except CONNECTION_ENDED_ERRORS:
        raise
    except Exception as error:
        if not ends_process(error):
            with suppress(*CONNECTION_ENDED_ERRORS):
                await _reject(http, stream, Response(INTERNAL_SERVER_ERROR, b"internal error\n"))
        raise


async def _reject(http: h11.Connection, stream: DeadlineStream, response: Response) -> None:
    """Send a response that closes the connection, unless another response has begun."""
    if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [("content-length", str(len(response.body))), ("connection", "close")]
    data = http.send(h11.Response(status_code=response.status, headers=headers)) or b""
    # A response to HEAD has no body.
    with suppress(h11.LocalProtocolError):
        data += http.send(h11.Data(data=response.body)) or b""
    await stream.send(data)


async def _read_request(http: h11.Connection, stream: DeadlineStream, max_body_bytes: int) -> Request | None:
    head = await read_event(http, stream)
    if not isinstance(head, h11.Request):
        return None
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    body = bytearray()
    while not isinstance(part := await read_event(http, stream), h11.EndOfMessage):
        if not isinstance(part, h11.Data):
            return None
        body += part.data
        if len(body) > max_body_bytes:
            return None
    return Request(head.method.decode(), head.target.decode("latin-1"), headers, bytes(body))


async def _send_response(
    http: h11.Connection, stream: DeadlineStream, request: Request, response: Response
) -> bool:
    """Send the response, or cause its injected failure; return whether another request may follow."""
    if response.failure == InjectedFailure.RESET:
        await abort(stream.inner)
        return False
    if response.failure == InjectedFailure.SILENCE:
        await anyio.sleep(INJECTED_SILENCE_SECONDS)
        return False
    if response.lines is not None:
        await _send_lines(http, stream, request, response, response.lines)
        return False
    headers = [*response.headers.items(), ("content-length", str(len(response.body)))]
    data = http.send(h11.Response(status_code=response.status, headers=headers)) or b""
    if response.body and request.method != HEAD:
        data += http.send(h11.Data(data=response.body)) or b""
    await stream.send(data + (http.send(h11.EndOfMessage()) or b""))
    return http.our_state is h11.DONE and http.their_state is h11.DONE


async def _send_lines(
    http: h11.Connection,
    stream: DeadlineStream,
    request: Request,
    response: Response,
    lines: AsyncIterator[bytes],
) -> None:
    headers = list(response.headers.items())
    await stream.send(http.send(h11.Response(status_code=response.status, headers=headers)) or b"")
    if request.method != HEAD:
        async for line in lines:
            await stream.send(http.send(h11.Data(data=line)) or b"")
    await stream.send(http.send(h11.EndOfMessage()) or b"")
