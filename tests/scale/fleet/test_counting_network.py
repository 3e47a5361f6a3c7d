"""What is counted of a client's connections."""

from __future__ import annotations

import anyio

from gullmount.net import MemoryNet, Stream
from gullmount.scale.fleet.counting_network import CountingNetwork


def test_bytes_are_counted_by_address_and_times_of_the_connection_are_noted() -> None:
    async def scene() -> None:
        memory, by_address = MemoryNet(), dict[str, list[int]]()
        network = CountingNetwork(memory, by_address)

        async def answer(stream: Stream) -> None:
            await stream.send(b"x" * len(await stream.receive()) * 2)

        async with anyio.create_task_group() as tasks:
            memory.task_group = tasks
            started = anyio.Event()
            tasks.start_soon(memory.serve, "127.0.0.9:1", answer, started)
            await started.wait()
            stream = await network.connect("127.0.0.9:1")
            await stream.send(b"abc")
            assert await stream.receive() == b"xxxxxx"
            assert network.connections[0].first_byte_at and not network.connections[0].ended_at
            await stream.aclose()
            tasks.cancel_scope.cancel()
        assert (network.bytes_in, network.bytes_out) == (6, 3) and by_address == {"127.0.0.9:1": [6, 3]}
        assert network.connections[0].ended_at

    anyio.run(scene)
