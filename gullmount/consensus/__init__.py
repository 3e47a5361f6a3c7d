"""Replicated registers: named values on which a group of replicas agrees.

A register changes only by a compare-and-set. A majority of the replicas writes the change to disk before the
client receives the answer.

- `acceptor`, `ballot_round`, `membership` and `recovery` implement the protocol, without I/O, clock or
  randomness.
- `replica` and the modules that it combines run the protocol on a network.
- `client` and `group_client` send requests to the replicas.
"""
