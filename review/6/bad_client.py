"""A bad client that sends a chunked body of 60 MB, most of it trailer fields, and reads what it is sent.

Arguments: the address of the instance, the id of the request.
"""

from __future__ import annotations

import asyncio
import sys

BODY_BYTES = 60_000_000
FIELD = b"a: b\r\n"
FIELDS_PER_WRITE = 10_000
SEND_SECONDS = 6.0


async def main() -> None:
    """Send the body at full speed until all of it is sent, the connection ends or the time is up."""
    host, port = sys.argv[1].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        "POST /final-submit HTTP/1.1\r\n"
        "Host: backend.local\r\n"
        f"Request-Id: {sys.argv[2]}\r\n"
        "Request-Class: final-submit\r\n"
        "Request-Timeout-Ms: 4000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(head.encode() + b"7\r\nanswers\r\n0\r\n")
    fields = FIELD * FIELDS_PER_WRITE
    try:
        async with asyncio.timeout(SEND_SECONDS):
            for _ in range(BODY_BYTES // len(fields)):
                writer.write(fields)
                await writer.drain()
            await reader.read()
    except (OSError, TimeoutError):
        pass
    finally:
        writer.transport.abort()


if __name__ == "__main__":
    asyncio.run(main())
