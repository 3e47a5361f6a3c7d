"""The names of a script's parties, as its file and its record have them."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

RECEIVER = "receiver 0"  # whom leaders announce themselves to
OPERATOR = "command 0"  # who changes the group of replicas
RELEASE_CONTROLLER = "launcher"
DISCOVERY = "roster"
SERVERS = "boxes"  # all of them: the links of one proxy to them fail together


class PartyKind(StrEnum):
    """The first word of a numbered party's name."""

    PROXY = "umpire"
    REPLICA = "keeper"
    PROBE = "prober"


class PartyName(NamedTuple):
    """A name taken apart.

    Attributes:
        kind: the first word.
        number: as text; empty where the name has none.
    """

    kind: str
    number: str


def split_name(name: str) -> PartyName:
    """Take a name such as `umpire 2` apart."""
    kind, _, number = name.partition(" ")
    return PartyName(kind, number)


def proxy_name(number: int) -> str:
    """Return the name of a proxy instance."""
    return f"{PartyKind.PROXY} {number}"


def replica_name(number: int) -> str:
    """Return the name of a replica."""
    return f"{PartyKind.REPLICA} {number}"


def probe_name(number: int) -> str:
    """Return the name of a register probe."""
    return f"{PartyKind.PROBE} {number}"
