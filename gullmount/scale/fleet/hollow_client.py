"""A hollow client, as kubemark's hollow nodes: a proxy's clients of the control roles, without traffic.

What both deliveries share; `hollow_subscriber` and `hollow_snapshot_client` have one delivery each.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Sequence
from importlib import import_module
from typing import Any, ClassVar, Protocol

from anyio.abc import TaskGroup

from gullmount.scale.fleet.applied_versions import AppliedVersions
from gullmount.scale.fleet.config import Delivery, FleetConfig
from gullmount.scale.fleet.counting_network import CountingNetwork
from gullmount.scale.fleet.drawn_elements import DrawnProxy
from gullmount.scale.fleet.process_messages import ClientReport, HollowProcessFile

MAX_PROBLEM_CHARACTERS = 80  # of a log line by which problems are counted
MODULES = {Delivery.RELAYS: "hollow_subscriber", Delivery.COMPLETE_LISTS: "hollow_snapshot_client"}


class HollowClient(ABC):
    """One client; `problems` counts what all clients of a process log."""

    NOT_PROBLEMS: ClassVar[frozenset[str]] = frozenset()  # log events of a client that is well

    def __init__(
        self, proxy: DrawnProxy, topics: Sequence[str], network: CountingNetwork, problems: Counter[str]
    ) -> None:
        self.applied = AppliedVersions(proxy.name, proxy.zone, list(topics))
        self.network = network
        self.problems = problems

    @abstractmethod
    def start(self, tasks: TaskGroup) -> None:
        """Begin to receive, in tasks of the group."""

    @abstractmethod
    def report(self) -> ClientReport:
        """What it saw, with digests of what it holds."""

    def counters(self) -> dict[str, int]:
        """What its client of the control roles counted so far."""
        return {}

    def report_details(self) -> dict[str, int]:
        """What its report has beside the fields of `ClientReport`, which it overrides."""
        return self.counters()

    def log(self, event: str, **fields: Any) -> None:
        """Count a log line as a problem, by its event and reason."""
        if event not in self.NOT_PROBLEMS:
            reason = fields.get("reason", fields.get("why", ""))
            self.problems[f"{event}: {reason}"[:MAX_PROBLEM_CHARACTERS]] += 1


class ClientFactory(Protocol):
    """Makes the hollow clients of one delivery."""

    def __call__(
        self,
        proxy: DrawnProxy,
        fleet: FleetConfig,
        network: CountingNetwork,
        file: HollowProcessFile,
        problems: Counter[str],
    ) -> HollowClient:
        """Make the client that plays `proxy`."""


def client_factory(delivery: Delivery) -> ClientFactory:
    """The function `make_client` of the delivery's module, which is loaded where it is run only."""
    factory: ClientFactory = import_module(f"gullmount.scale.fleet.{MODULES[delivery]}").make_client
    return factory
