"""Program that reads from a socket while its process is stopped, in one of two modes.

`plain` reads with a deadline alone; any other mode reads through `EventLoopStalls.receive_within`.
"""

from __future__ import annotations

import sys

import anyio

from gullmount.net import HandlerErrors
from gullmount.proxy.event_loop_stalls import EventLoopStalls

DEADLINE_SECONDS = 0.5
DECISION_DELAY_SECONDS = 0.2


async def read(host: str, port: int, mode: str) -> None:
    """Print `ready`, then the received data or `timeout`, and `decided` for a decision that fell due."""
    errors = HandlerErrors(lambda event, **fields: None)
    async with anyio.create_task_group() as tasks:
        stalls = EventLoopStalls(anyio.current_time, tasks, errors.log, errors)
        tasks.start_soon(stalls.run)

        async def print_decision() -> None:
            await anyio.sleep(DECISION_DELAY_SECONDS)
            stalls.call_when_resumed(lambda: print("decided", flush=True))

        tasks.start_soon(print_decision)
        async with await anyio.connect_tcp(host, port) as stream:
            print("ready", flush=True)
            try:
                if mode == "plain":
                    with anyio.fail_after(DEADLINE_SECONDS):
                        data = await stream.receive()
                else:
                    data = await stalls.receive_within(DEADLINE_SECONDS, stream.receive)
                print(data.decode(), flush=True)
            except TimeoutError:
                print("timeout", flush=True)
        await anyio.sleep(2 * DECISION_DELAY_SECONDS)
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    host, port, mode = sys.argv[1:]
    anyio.run(read, host, int(port), mode, backend_options={"use_uvloop": True})
