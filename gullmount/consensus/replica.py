"""Assembles a replica from its parts and runs it on a network.

- `local_acceptor` owns the state.
- `proposer` runs rounds for clients.
- `chosen_values` feeds watches.
- `admission` lets the replica take part after a start.
- `group_changes` completes changes of the group.
- `server` answers requests.
"""

from __future__ import annotations

from random import Random

import anyio

from gullmount.consensus.admission import Admission
from gullmount.consensus.chosen_values import ChosenValues
from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.group_changes import GroupChanges
from gullmount.consensus.local_acceptor import LocalAcceptor
from gullmount.consensus.log_events import Log, no_log
from gullmount.consensus.peers import PeerClient
from gullmount.consensus.proposer import Proposer
from gullmount.consensus.server import RequestServer
from gullmount.consensus.storage import Storage
from gullmount.net import StreamNet


class Replica:
    """Runs one replica. The caller starts `run` in a task."""

    def __init__(
        self,
        config: ReplicaConfig,
        *,
        net: StreamNet,
        storage: Storage,
        random: Random,
        log: Log = no_log,
        bootstrap: bool = False,
        vouched: bool = False,
    ) -> None:
        """Build the replica.

        Args:
            config: Settings of the replica's configuration file.
            net: Network on which the replica listens and connects.
            storage: Storage that outlives the process.
            random: Source of random delays and marks.
            log: Called with each event and its fields.
            bootstrap: Whether a replica with blank storage starts a new group.
            vouched: Whether the replica takes part without recovery. The operator then guarantees that the
                storage holds everything that the replica has answered.
        """
        self.config = config
        self.net = net
        self.bootstrap = bootstrap
        self.acceptor = LocalAcceptor(config, storage, log)
        self.peers = PeerClient(config, net, self.acceptor, log)
        self.chosen_values = ChosenValues(self.acceptor, self.peers)
        self.proposer = Proposer(config, self.acceptor, self.peers, self.chosen_values, random, log)
        self.group_changes = GroupChanges(self.acceptor, self.peers, self.proposer, random)
        self.admission = Admission(self.acceptor, self.peers, random, vouched, log)
        self.server = RequestServer(
            config, self.acceptor, self.proposer, self.chosen_values, self.group_changes, log
        )

    async def run(self, started: anyio.Event | None = None) -> None:
        """Run until cancelled; raise StorageWriteError if the storage fails.

        `started` is set once the replica listens.
        """
        self.acceptor.load(self.bootstrap)
        async with anyio.create_task_group() as tasks:
            self.chosen_values.tasks = tasks
            tasks.start_soon(self.admission.run)
            tasks.start_soon(self.group_changes.run)
            try:
                await self.net.serve(self.config.listens_at, self.server.serve, started)
            finally:
                await self.peers.aclose()
