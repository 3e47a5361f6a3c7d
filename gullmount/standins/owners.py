"""Who is told which umpire owns a job, and refuses whoever comes with a lower token than it has seen."""

from __future__ import annotations

import anyio
import msgspec
from anyio.abc import TaskGroup

from gullmount.calls import Asked, NotUnderstood, Said, check, decode, serve
from gullmount.net import Stream
from gullmount.standins.links import Party, source_of
from gullmount.standins.record import Record

BODY_MOST = 4096  # bytes of an announcement


class OwnersStandIn:
    """Lives as long as the day."""

    def __init__(self, tasks: TaskGroup, party: Party, address: str, record: Record) -> None:
        self.tasks = tasks
        self.party = party
        self.address = address
        self.record = record
        self.tokens: dict[str, int] = {}  # by job: the highest seen
        self.owners: dict[str, int] = {}  # by job: whose announcement was taken last

    async def run(self) -> None:
        await self.party.serve(self.address, self.connected)

    async def connected(self, stream: Stream) -> None:
        await serve(stream, self.answer, BODY_MOST)

    async def answer(self, asked: Asked, stream: Stream) -> Said:
        await anyio.lowlevel.checkpoint()
        fields = {"job": str, "owner": int, "token": int, "number": int}
        try:
            told = check(decode(asked.body), dict(fields))
        except NotUnderstood as fault:
            return Said(400, f"{fault}\n".encode())
        job, owner, token = told["job"], told["owner"], told["token"]
        taken = token >= self.tokens.get(job, 0)
        source = self.party.links.names.get(source_of(stream), "")
        said = {"job": job, "owner": owner, "token": token, "number": told["number"]}
        self.record.note("effect", **said, source=source, taken=taken)
        if not taken:
            return Said(409, msgspec.json.encode({"v": 1, "token": self.tokens[job]}))
        self.tokens[job] = token
        self.owners[job] = owner
        return Said(200, msgspec.json.encode({"v": 1}))
