"""The replica group: shown, and changed one replica at a time."""

from __future__ import annotations

import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import click

from gullmount.commands.files import BROKEN, Path_, loaded
from gullmount.consensus.config import ReplicaConfig, valid_address
from gullmount.consensus.errors import (
    ChangeRevertedError,
    GroupChangeError,
    NoReplicaError,
    OutcomeUnknownError,
    UnknownMemberError,
)
from gullmount.consensus.group_client import ReplicaGroupClient
from gullmount.consensus.membership import Members, ReplicaGroup
from gullmount.net import TcpNet

ANSWER_TIMEOUT_SECONDS = 5.0  # for one call: a replica takes 2 s for a change
NUMBER = click.IntRange(1, 1000)


def address_option(ctx: click.Context, param: click.Parameter, value: str) -> str:
    """Check an address on the command line; raise BadParameter."""
    try:
        return valid_address(value)
    except ValueError as error:
        raise click.BadParameter(str(error)) from None


within = click.option("--within", default=30.0, show_default=True, help="s to wait until the change stands.")
as_json = click.option("--json", "as_json", is_flag=True, help="The group as JSON on standard output.")


@click.group("group")
def group() -> None:
    """Show and change the replica group that FILE, a file of any of its replicas, belongs to.

    Exit code 0 when it stands as asked, 1 when it does not or not yet, 2 for bad input.
    """


@group.command()
@click.argument("file", type=Path_)
@as_json
def show(file: Path, as_json: bool) -> None:
    """Who is in it, and what change is under way."""

    async def act(client: ReplicaGroupClient) -> ReplicaGroup:
        return await client.show()

    print_group(run(file, act), as_json)


@group.command()
@click.argument("file", type=Path_)
@click.argument("number", type=NUMBER)
@click.argument("place", callback=address_option, metavar="ADDRESS")
@click.option("--in-place-of", "leaves", type=NUMBER, default=None, help="The replica that leaves for it.")
@within
@as_json
def join(file: Path, number: int, place: str, leaves: int | None, within: float, as_json: bool) -> None:
    """Replica NUMBER, which listens at ADDRESS and waits, joins; with a number that none had before.

    \b
    gullmount group join replica-1.yaml 4 10.0.4.5:7299 --in-place-of 2
    """

    def make(members: Members) -> Members:
        if leaves is not None and leaves not in members:
            raise UnknownMemberError(leaves)
        return {one: at for one, at in members.items() if one != leaves} | {number: place}

    change(file, make, within, as_json)


@group.command()
@click.argument("file", type=Path_)
@click.argument("number", type=NUMBER)
@within
@as_json
def leave(file: Path, number: int, within: float, as_json: bool) -> None:
    """Replica NUMBER leaves; end its process afterwards."""

    def make(members: Members) -> Members:
        if number not in members:
            raise UnknownMemberError(number)
        return {one: at for one, at in members.items() if one != number}

    change(file, make, within, as_json)


@group.command()
@click.argument("file", type=Path_)
@within
@as_json
def undo(file: Path, within: float, as_json: bool) -> None:
    """Go back to the group as it was, while a change is under way."""

    async def act(client: ReplicaGroupClient) -> ReplicaGroup:
        await client.undo()
        return await wait_until_settled(client, within)

    print_group(run(file, act), as_json)


def change(file: Path, make: Callable[[Members], Members], within: float, as_json: bool) -> None:
    """Change the group and wait until the change stands; `within` in seconds."""

    async def act(client: ReplicaGroupClient) -> ReplicaGroup:
        begun = await client.change(make)
        settled = await wait_until_settled(client, within)
        if not settled.next and settled.current != begun.next:
            raise ChangeRevertedError
        return settled

    print_group(run(file, act), as_json)


async def wait_until_settled(client: ReplicaGroupClient, within: float) -> ReplicaGroup:
    """Return the group once no change is under way, or as it is after `within` seconds."""
    with anyio.move_on_after(within):
        return await client.wait_until_settled()
    return await client.show()


def run(file: Path, act: Callable[[ReplicaGroupClient], Awaitable[ReplicaGroup]]) -> ReplicaGroup:
    """Return what `act` does on the group of the file; exit with 1 where it can't be done."""
    config = loaded(file, ReplicaConfig)

    async def main() -> ReplicaGroup:
        addresses = list(config.members.values())
        return await act(ReplicaGroupClient(TcpNet(), addresses, ANSWER_TIMEOUT_SECONDS))

    try:
        return anyio.run(main)
    except GroupChangeError as error:
        click.echo(f"not changed: {error}", err=True)
    except NoReplicaError as error:
        click.echo(str(error), err=True)
    except OutcomeUnknownError:
        click.echo("no answer in time: the change may have begun; look with: gullmount group show", err=True)
    sys.exit(BROKEN)


def print_group(group: ReplicaGroup, as_json: bool) -> None:
    """Print the group and exit: with 0 where no change is under way, with 1 otherwise."""
    if as_json:
        shown = {"revision": group.revision, "now": group.current, "next": group.next}
        click.echo(json.dumps(shown))
    else:
        click.echo(f"revision {group.revision}: {listed(group.current)}")
        if group.next:
            click.echo(f"under way to: {listed(group.next)}")
    sys.exit(BROKEN if group.next else 0)


def listed(members: Members) -> str:
    """Return the members for reading."""
    return ", ".join(f"{number} at {address}" for number, address in sorted(members.items()))
