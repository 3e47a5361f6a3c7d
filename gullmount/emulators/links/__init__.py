"""The network between the emulated hosts: delays, partitions, lost messages, and who connects from where.

It runs over the machine's sockets or over a network in memory. `network_links` has what all hosts share,
`party_link` the faults between two hosts, `host_network` the network as one host sees it.
"""

from gullmount.emulators.links.current_process import CURRENT_PROCESS
from gullmount.emulators.links.host_network import HostNetwork
from gullmount.emulators.links.linked_stream import source_of
from gullmount.emulators.links.network_links import NetworkLinks
from gullmount.emulators.links.party_link import LinkDirection, LinkFault, PartyLink

__all__ = [
    "CURRENT_PROCESS",
    "HostNetwork",
    "LinkDirection",
    "LinkFault",
    "NetworkLinks",
    "PartyLink",
    "source_of",
]
