"""A way between two data centres that takes time, in both directions."""

from __future__ import annotations

import asyncio
import random

from standins2.record import Record
from standins2.services import BROKEN, Service

PIECE_BYTES = 65536


class Link(Service):
    """Passes the connections to one address on, each piece of bytes after a time drawn between two bounds.

    The bytes of a direction stay in their order, and none are lost.
    """

    def __init__(self, record: Record, name: str, host: str, port: int, target: str) -> None:
        super().__init__(record, name, host, port)
        self.target_host, target_port = target.split(":")
        self.target_port = int(target_port)
        self.delay_seconds = (0.0, 0.0)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on until one side ends."""
        target_reader, target_writer = await asyncio.open_connection(self.target_host, self.target_port)
        directions = [
            asyncio.create_task(self.carry(reader, target_writer)),
            asyncio.create_task(self.carry(target_reader, writer)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            target_writer.close()

    async def carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one direction on; its end comes behind its last piece."""
        pieces: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        delivery = asyncio.create_task(self.deliver(pieces, writer))
        try:
            data = b"."
            while data:
                try:
                    data = await reader.read(PIECE_BYTES)
                except BROKEN:
                    data = b""
                pieces.put_nowait((self.record.now() + random.uniform(*self.delay_seconds), data))
            await delivery
        finally:
            delivery.cancel()

    async def deliver(self, pieces: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter) -> None:
        """Write each piece when its time has come, in order."""
        while True:
            due_at, data = await pieces.get()
            await asyncio.sleep(max(0.0, due_at - self.record.now()))
            if not data:
                return
            writer.write(data)
