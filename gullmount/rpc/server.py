"""The server side of HTTP/1.1, on h11: a handler gets whole requests, gives answers or streams of lines.

What a handler raises unexpectedly ends its own connection: see `serve`.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from enum import StrEnum

import anyio
import h11

from gullmount.net import STREAM_ERRORS, HandlerErrors, Stream, abort, ends_process
from gullmount.rpc.target import RequestTarget, parse_target

MAX_BODY_BYTES = 64 << 20  # of a request, where whoever serves does not say
INJECTED_SILENCE_SECONDS = 60
HEAD, CONNECT = "HEAD", "CONNECT"
BAD_REQUEST, INTERNAL_SERVER_ERROR, NOT_IMPLEMENTED = 400, 500, 501

# What the stream itself raises once the other side has gone; any other OSError is the handler's own.
CONNECTION_ENDED_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    ConnectionError,
)


class InjectedFailure(StrEnum):
    """How an emulator fails instead of answering."""

    SILENCE = "silence"
    RESET = "reset"


class Request:
    """A complete request.

    Attributes:
        method: the HTTP method.
        target: path and query, as they came.
        headers: by lower-case name; the last one counts where a name comes twice.
        body: the whole body.
        work_started: set by a handler once its own work on it began.
        cancel_scope: cancelled by a handler that watches for the client to go away.
    """

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.work_started = False
        self.cancel_scope = anyio.CancelScope()

    def parse_target(self) -> RequestTarget:
        """Return path and query; raise InvalidTargetError, which is an InvalidMessageError."""
        return parse_target(self.target)


class Response:
    """An answer.

    Attributes:
        status: the HTTP status.
        body: the whole body, where there are no `lines`.
        headers: beside those that frame the body.
        lines: chunks of a body that ends when they do.
        failure: what happens instead of an answer; only emulators set it.
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
    """Return the next HTTP event; None where the connection is paused or at its end."""
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
) -> None:
    """Answer the requests of one connection until it ends; a longer body ends it.

    What is no HTTP gets 400. An error that `handler` or its `lines` raise ends this connection alone, with
    500 where no byte of the answer has left; `errors` counts and logs it. Cancellation passes, and so does
    `ProcessFatalError`, such as a failed disk: the process must not answer any more.
    """
    http = h11.Connection(h11.SERVER)
    errors = errors or HandlerErrors()
    try:
        with errors.contained("request"):
            await _serve_requests(http, stream, handler, max_body_bytes)
    finally:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


async def _serve_requests(
    http: h11.Connection, stream: Stream, handler: Handler, max_body_bytes: int
) -> None:
    """Answer one request after the other until the connection ends."""
    try:
        while await _serve_request(http, stream, handler, max_body_bytes):
            http.start_next_cycle()
    except CONNECTION_ENDED_ERRORS:
        pass
    except h11.RemoteProtocolError as error:
        with suppress(*CONNECTION_ENDED_ERRORS):
            await _reject(http, stream, Response(BAD_REQUEST, f"not HTTP/1.1: {error}\n".encode()))


async def _serve_request(http: h11.Connection, stream: Stream, handler: Handler, max_body_bytes: int) -> bool:
    """Answer one request; return whether another may follow."""
    request = await _read_request(http, stream, max_body_bytes)
    if request is None:
        return False
    if request.method == CONNECT:
        await _reject(http, stream, Response(NOT_IMPLEMENTED, b"no tunnels here\n"))
        return False
    response = await _handle(http, stream, handler, request)
    try:
        return await _send_response(http, stream, request, response)
    finally:  # at once, also where the client is gone: the source of the lines must not go on
        close = getattr(response.lines, "aclose", None)
        if close is not None:
            with anyio.CancelScope(shield=True):
                await close()


async def _handle(http: h11.Connection, stream: Stream, handler: Handler, request: Request) -> Response:
    """Return the handler's answer; where it fails, send 500 and raise what it raised."""
    try:
        return await handler(request, stream)
    except CONNECTION_ENDED_ERRORS:
        raise
    except Exception as error:
        if not ends_process(error):
            with suppress(*CONNECTION_ENDED_ERRORS):
                await _reject(http, stream, Response(INTERNAL_SERVER_ERROR, b"internal error\n"))
        raise


async def _reject(http: h11.Connection, stream: Stream, response: Response) -> None:
    """Send an answer after which the connection ends, if none has begun."""
    if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [("content-length", str(len(response.body))), ("connection", "close")]
    data = http.send(h11.Response(status_code=response.status, headers=headers)) or b""
    with suppress(h11.LocalProtocolError):  # a HEAD gets no body
        data += http.send(h11.Data(data=response.body)) or b""
    await stream.send(data)


async def _read_request(http: h11.Connection, stream: Stream, max_body_bytes: int) -> Request | None:
    head = await read_event(http, stream)
    if not isinstance(head, h11.Request):
        return None
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    body = b""
    while not isinstance(part := await read_event(http, stream), h11.EndOfMessage):
        if not isinstance(part, h11.Data):
            return None
        body += bytes(part.data)
        if len(body) > max_body_bytes:
            return None
    return Request(head.method.decode(), head.target.decode("latin-1"), headers, body)


async def _send_response(http: h11.Connection, stream: Stream, request: Request, response: Response) -> bool:
    """Return whether another request may follow."""
    if response.failure == InjectedFailure.RESET:
        await abort(stream)
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
    http: h11.Connection, stream: Stream, request: Request, response: Response, lines: AsyncIterator[bytes]
) -> None:
    headers = list(response.headers.items())
    await stream.send(http.send(h11.Response(status_code=response.status, headers=headers)) or b"")
    if request.method != HEAD:
        async for line in lines:
            await stream.send(http.send(h11.Data(data=line)) or b"")
    await stream.send(http.send(h11.EndOfMessage()) or b"")
