"""Which parties and links a fault means at its time."""

from __future__ import annotations

from typing import NamedTuple

from gullmount.emulators.links import PartyLink
from gullmount.fault_harness.config import LEADER_WORK, TARGET, split_names
from gullmount.fault_harness.deployment import HarnessDeployment
from gullmount.fault_harness.party_names import DISCOVERY, RECEIVER, RELEASE_CONTROLLER, proxy_name

# What they notify counts as known when it is sent: a slow link to them would make that untrue.
NOTIFYING_SERVICES = (DISCOVERY, RELEASE_CONTROLLER)


class FaultedLink(NamedTuple):
    """A link of a target.

    Attributes:
        link: to or from it.
        is_source: whether the target connects, or is connected to.
    """

    link: PartyLink
    is_source: bool


def resolve_names(harness: HarnessDeployment, text: str) -> list[str]:
    """Return the parties that a fault's list of names means now; the leader may be nobody."""
    return [party for name in split_names(text) for party in _resolve(harness, name)]


def _resolve(harness: HarnessDeployment, name: str) -> list[str]:
    match = TARGET.fullmatch(name)
    if match is None:
        return []
    if match[3] == "receiver":
        return [RECEIVER]
    if match[3] == "umpires":
        return harness.proxy_names
    if match[3] == "keepers":
        return harness.replica_names
    if match[3] == "owner":
        leader = harness.receiver.lease_holders.get(LEADER_WORK)
        return [] if leader is None else [proxy_name(leader)]
    return [name]


def links_between(
    harness: HarnessDeployment, targets: list[str], peers: list[str], delays: bool
) -> list[FaultedLink]:
    """Return the links between targets and peers.

    Args:
        harness: has the links.
        targets: parties at one end.
        peers: parties at the other end; all if empty.
        delays: the links are to be slow, which leaves out those to services that notify.
    """
    found = []
    for (source, target), link in harness.links_between():
        if delays and target in NOTIFYING_SERVICES:
            continue
        if source in targets and (target in peers or not peers):
            found.append(FaultedLink(link, is_source=True))
        elif target in targets and (source in peers or not peers):
            found.append(FaultedLink(link, is_source=False))
    return found
