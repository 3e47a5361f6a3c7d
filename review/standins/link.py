"""A link between zones: passes bytes on after a delay, in order."""

from __future__ import annotations

import asyncio
import random

from standins.http import HOST
from standins.record import Record
from standins.services import CONNECTION_ERRORS, Service

CHUNK_BYTES = 65536


class Link(Service):
    """Passes connections on to one address; each piece takes as long as is drawn between two bounds."""

    def __init__(self, record: Record, target_port: int, shortest: float, longest: float) -> None:
        super().__init__(record)
        self.target_port = target_port
        self.shortest, self.longest = shortest, longest

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on in both directions until one side ends."""
        target_reader, target_writer = await asyncio.open_connection(HOST, self.target_port)
        ways = [
            asyncio.create_task(self.pass_on(reader, target_writer)),
            asyncio.create_task(self.pass_on(target_reader, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            target_writer.close()

    async def pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass the bytes of one direction on; an end arrives after the bytes before it."""
        loop = asyncio.get_running_loop()
        pieces: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def deliver() -> None:
            while True:
                due_at, data = await pieces.get()
                await asyncio.sleep(max(0.0, due_at - loop.time()))
                if not data:
                    return
                writer.write(data)

        delivery = asyncio.create_task(deliver())
        try:
            while True:
                try:
                    data = await reader.read(CHUNK_BYTES)
                except CONNECTION_ERRORS:
                    data = b""
                pieces.put_nowait((loop.time() + random.uniform(self.shortest, self.longest), data))
                if not data:
                    await delivery
                    return
        finally:
            delivery.cancel()
