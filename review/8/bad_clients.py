"""Bad clients that send heads that never end, at full speed, and read whatever they are sent.

Arguments: the address of the instance, how many clients connect at once.
"""

from __future__ import annotations

import asyncio
import sys

# What one client sends at most; a connection that is closed earlier gets less.
MAX_HEAD_BYTES = 400_000
HEADER = b"a: b\r\n"
# A bad client is owed an error or a close within 3 s of connecting.
OWED_SECONDS = 3.0


async def send_endless_head(host: str, port: int) -> None:
    """Connect, send a head that does not end, and read until the connection ends."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return
    try:
        writer.write(b"GET /item-fetch HTTP/1.1\r\n" + HEADER * (MAX_HEAD_BYTES // len(HEADER)))
        async with asyncio.timeout(OWED_SECONDS):
            while await reader.read(65536):
                pass
    except (OSError, TimeoutError):
        pass
    finally:
        writer.transport.abort()


async def main() -> None:
    """Run all clients at once."""
    host, port = sys.argv[1].split(":")
    await asyncio.gather(*(send_endless_head(host, int(port)) for _ in range(int(sys.argv[2]))))


if __name__ == "__main__":
    asyncio.run(main())
