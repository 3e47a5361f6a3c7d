"""Accepts connections on a listening socket directly, for streams and for callback-based transports.

The event loop's own server handles a shortage of file descriptors badly: it accepts a connection and closes
it, or stops accepting for a second, or raises an error that ends the listener. Here, waiting connections stay
in the kernel's backlog and are accepted some milliseconds later.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import anyio

from gullmount.net.descriptors import RESOURCE_SHORTAGE_ERRNOS
from gullmount.net.handler_errors import HandlerErrors
from gullmount.net.socket_state import is_readable
from gullmount.net.types import ShortageCallback

# Delay before accepting again after an error.
ACCEPT_RETRY_SECONDS = 0.02
# Connections accepted in one turn of the event loop; further ones wait for the next turn, so that the
# connections that are open are read and answered in between.
MAX_ACCEPTS_PER_TURN = 32
# Event loop turns that `Acceptor.stop` may take to empty the backlog.
MAX_DRAIN_TURNS = 1024
# Failed turns, each followed by `ACCEPT_RETRY_SECONDS`, after which `Acceptor.stop` gives up the backlog.
MAX_FAILED_DRAIN_TURNS = 25


class Acceptor:
    """Accepts connections on one listening socket from `start` until `stop`.

    Attributes:
        listener: The listening socket, which `stop` closes.
    """

    def __init__(
        self,
        listener: socket.socket,
        open_connection: Callable[[socket.socket], Awaitable[object]],
        handler_errors: HandlerErrors,
        on_shortage: ShortageCallback | None = None,
    ) -> None:
        """Create an acceptor that does not accept yet.

        Args:
            listener: The listening socket, which must be non-blocking.
            open_connection: Called with each accepted socket; it is closed if this raises.
            handler_errors: Contains, counts and logs the errors of `open_connection` and of accepting.
            on_shortage: Called instead of `handler_errors` if descriptors or memory are short.
        """
        self.listener = listener
        self._open_connection = open_connection
        self._handler_errors = handler_errors
        self._on_shortage = on_shortage
        self._loop = asyncio.get_running_loop()
        self._open_tasks: set[asyncio.Task[None]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to accept connections as they arrive."""
        self._retry_timer = None
        self._loop.add_reader(self.listener.fileno(), self._accept_waiting)

    async def stop(self) -> None:
        """Accept the connections in the backlog, then close the listener.

        The kernel would reset the connections that are still in the backlog when the listener closes.
        """
        self._pause()
        await self._drain_backlog()
        if self._open_tasks:
            await asyncio.wait(self._open_tasks)
        self.listener.close()

    async def _drain_backlog(self) -> None:
        failed_turns = 0
        for _ in range(MAX_DRAIN_TURNS):
            if not is_readable(self.listener.fileno()):
                return
            if self._accept_batch():
                await anyio.lowlevel.checkpoint()
                continue
            failed_turns += 1
            if failed_turns == MAX_FAILED_DRAIN_TURNS:
                return
            await anyio.sleep(ACCEPT_RETRY_SECONDS)

    def _pause(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._loop.remove_reader(self.listener.fileno())

    def _accept_waiting(self) -> None:
        if not self._accept_batch():
            self._pause()
            self._retry_timer = self._loop.call_later(ACCEPT_RETRY_SECONDS, self.start)

    def _accept_batch(self) -> bool:
        """Accept up to `MAX_ACCEPTS_PER_TURN` connections; return False if accepting has to pause."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                return True
            except (ConnectionAbortedError, InterruptedError):
                continue
            except OSError as error:
                self._accept_failed(error)
                return False
            task = self._loop.create_task(self._open(connection))
            self._open_tasks.add(task)
            task.add_done_callback(self._open_tasks.discard)
        return True

    def _accept_failed(self, error: OSError) -> None:
        if self._on_shortage is not None and error.errno in RESOURCE_SHORTAGE_ERRNOS:
            with self._handler_errors.contained("accept"):
                self._on_shortage(error)
        else:
            self._handler_errors.record("accept", error)

    async def _open(self, connection: socket.socket) -> None:
        with self._handler_errors.contained("accept"):
            try:
                connection.setblocking(False)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._open_connection(connection)
            except BaseException:
                connection.close()
                raise


def listening_socket(host: str, port: int, backlog: int) -> socket.socket:
    """Return a non-blocking listening socket. Raises OSError."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family, backlog=backlog)
    listener.setblocking(False)
    return listener
