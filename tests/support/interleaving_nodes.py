"""An origin, relays and proxies by the same classes as the processes use, in a played world's time.

Checked all the while: who holds a version of a topic holds what the origin had then; nothing goes back;
what a summary says to be in force is in force.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from gullmount.distribution import decoding, encoding, messages
from gullmount.distribution.acknowledgements import Acknowledgements
from gullmount.distribution.in_force_summary import RelaySummaries
from gullmount.distribution.relay_selection import RESPONSE_TIMEOUT_SECONDS, RelayEndpoint, RelaySelector
from gullmount.distribution.subscriptions import Subscriptions
from gullmount.distribution.topic_log import TopicLog
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.update_receiver import UpdateReceiver
from gullmount.distribution.versions import NO_VERSION, Version

if TYPE_CHECKING:
    from tests.support.interleavings import World


SERVICES = 4
NAMES = [f"{kind}/{number}" for number in range(SERVICES) for kind in ("boxes", "config")]


KEYS = "abcdef"
ZONES = "abc"
WALL = 2e6  # s, at the start
EPOCH = 1_900_000_000  # ms, of the first origin


class RuleBrokenError(Exception):
    """An invariant was violated."""


@dataclass
class Implementation:
    """The classes that the world is made of; a planted fault replaces one."""

    topics: type[TopicStore] = TopicStore
    topic: type[TopicLog] = TopicLog
    subscriptions: type[Subscriptions] = Subscriptions
    receiver: type[UpdateReceiver] = UpdateReceiver
    relay_summaries: type[RelaySummaries] = RelaySummaries


@dataclass
class Wire:
    """A stream from a server to a client."""

    server: ServerNode
    client: SubscriberNode
    session: int
    open: bool = True
    busy: bool = False


class Node:
    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.dead = False
        self.stopped_until = 0.0
        self.waiting: list[Callable[[], Any]] = []  # while it is stopped

    @property
    def topics(self) -> TopicStore:
        raise NotImplementedError


class ServerNode(Node):
    """Sends its subscribers what it holds."""

    subscriptions: Subscriptions

    def begin_serving(self) -> None:
        self.wires: dict[str, Wire] = {}
        self.clients: dict[str, SubscriberNode] = {}
        self.world.each(1.0, self.say_alive, self)

    def ready(self) -> bool:
        return self.topics.newest_seen != NO_VERSION

    def accept(self, client: SubscriberNode, body: bytes) -> Wire:
        asked = decoding.parse_subscribe_request(body, self.world.wall())
        if client.name in self.wires:
            self.wires[client.name].open = False
        session = self.subscriptions.subscribe(
            client.name, asked.zone, asked.held, self.world.now, in_force=asked.in_force, as_of=asked.as_of,
            rejections=asked.rejections, with_history=asked.with_history,
        )  # fmt: skip
        self.clients[client.name] = client
        wire = self.wires[client.name] = Wire(self, client, session)
        self.joined(asked)
        self.world.after(0.0, lambda: self.pump(wire), self)
        return wire

    def joined(self, asked: messages.SubscribeRequest) -> None:
        pass

    def told(self, touched: list[str]) -> None:
        for name in self.subscriptions.topics_changed(*touched):
            if name in self.wires:
                self.pump(self.wires[name])

    def pump(self, wire: Wire) -> None:
        if not wire.open or wire.busy:
            return
        most = self.world.random.choice([100, 500, 5000])
        batch = self.subscriptions.next_batch(wire.client.name, wire.session, most)
        if batch is None:
            return
        for one in json.loads(batch.line)["topics"]:
            self.world.expect(
                Version(*one["version"]) == self.topics.version(one["topic"]),
                f"{self.name} told {wire.client.name} {one['topic']} as it was",
            )
        self.world.transmit(wire, batch.line)

    def say_alive(self) -> None:
        for name, wire in list(self.wires.items()):
            if wire.open and not wire.busy:
                line = self.subscriptions.heartbeat(name, wire.session)
                self.world.expect(line is not None, f"{self.name} took the stream of {name} for ended")
                self.world.transmit(wire, line or b"")

    def stream_ended(self, wire: Wire) -> None:
        if self.wires.get(wire.client.name) is wire:
            del self.wires[wire.client.name]
        self.subscriptions.disconnect(wire.client.name, wire.session, self.world.now)


class OriginNode(ServerNode):
    def __init__(self, world: World, epoch: int, state: dict[str, dict[str, Any]], filled_in: float) -> None:
        super().__init__(world, "source")
        self.held = world.made.topics(epoch=epoch)
        self.subscriptions = world.made.subscriptions(self.held)
        self.relay_summaries = world.made.relay_summaries()
        self.filled = False
        self.begin_serving()
        world.after(filled_in, lambda: self.fill(state), self)
        world.each(0.5, lambda: self.subscriptions.expire(world.now), self)

    @property
    def topics(self) -> TopicStore:
        return self.held

    def ready(self) -> bool:
        return self.filled

    def fill(self, state: dict[str, dict[str, Any]]) -> None:
        for name in NAMES:
            self.held.open_topic(name)
            self.world.history[name][self.held.version(name)] = {}
        self.filled = True
        self.change([(name, key, value) for name, entries in state.items() for key, value in entries.items()])
        self.told(NAMES)

    def change(self, changes: list[tuple[str, str, Any]]) -> None:
        version, names = self.held.commit(changes)
        for topic, key, value in changes:
            entries = self.world.state[topic]
            entries.pop(key, None)
            if value is not None:
                entries[key] = value
        for name in names:
            self.world.history[name][version] = dict(self.world.state[name])
        self.told(names)


class SubscriberNode(Node):
    """Subscribes at the relay that its selector chooses, and reports what is in force."""

    def __init__(
        self, world: World, name: str, zone: str, relays: list[RelayEndpoint], topics: list[str]
    ) -> None:
        super().__init__(world, name)
        self.zone = zone
        self.receiver = world.made.receiver(
            world.made.topics(topics), decode_values=isinstance(self, ProxyNode)
        )
        self.acknowledgements = Acknowledgements(name, zone)
        self.selector = RelaySelector(relays, zone, Random(world.random.random()))
        self.wire: Wire | None = None
        self.cut_until = 0.0
        self.versions: dict[str, Version] = {}

    @property
    def topics(self) -> TopicStore:
        return self.receiver.store

    def begin(self) -> None:
        self.dial()
        self.world.each(0.5, self.tick, self)

    def dial(self) -> None:
        dial = self.selector.next_connection(self.world.now)
        self.world.after(dial.not_before - self.world.now, lambda: self.connect(dial.relay), self)

    def connect(self, relay: RelayEndpoint) -> None:
        world, server = self.world, self.world.servers.get(relay.address)
        if server is None or server.dead or world.now < self.cut_until or world.cut(self, server):
            self.selector.failed(relay, world.now)
            self.dial()
        elif server.stopped_until > world.now:
            world.after(RESPONSE_TIMEOUT_SECONDS, lambda: self.hung(relay), self)
        elif not server.ready():
            self.selector.refused(relay, world.now, 1.0)
            self.dial()
        else:
            body = encoding.encode(
                self.acknowledgements.subscribe_request(self.topics, with_history=self.history())
            )
            self.wire = server.accept(self, body)
            self.selector.connected(relay, world.now)
            self.receiver.stream_started(world.now)

    def history(self) -> bool:
        return False

    def hung(self, relay: RelayEndpoint) -> None:
        self.selector.failed(relay, self.world.now, hung=True)
        self.dial()

    def give_up(self, failed: bool = True, hung: bool = False) -> None:
        wire, self.wire = self.wire, None
        if wire is None:
            return
        wire.open = False
        server = wire.server
        self.world.after(self.world.random.random() * 3.0, lambda: server.stream_ended(wire), server)
        if failed and self.selector.current is not None:
            self.selector.failed(self.selector.current, self.world.now, hung)
        self.dial()

    def tick(self) -> None:
        world, wire = self.world, self.wire
        if wire is None:
            return
        if world.now >= self.selector.silence_deadline():
            self.give_up(hung=True)
        elif self.selector.should_leave(world.now):
            self.selector.left(world.now)
            self.give_up(failed=False)
        else:
            due = self.receiver.due_requests(world.now)
            if not due:
                self.report(wire)
            elif wire.server.dead or world.drawn(0.1):
                self.give_up()  # the call was lost
            elif not wire.server.subscriptions.add_topics(self.name, wire.session, due):
                self.give_up()
            else:
                world.after(0.0, lambda: wire.server.pump(wire), wire.server)

    def report(self, wire: Wire) -> None:
        one = self.acknowledgements.next_report()
        if one is None or self.world.drawn(0.1):
            return
        body = encoding.encode(one)

        def take() -> bool:
            word = decoding.parse_acknowledgement(body, self.world.wall())
            unable = word.rejections
            return wire.server.subscriptions.acknowledge(self.name, word.in_force, unable)

        if wire.server.dead or wire.server.stopped_until > self.world.now:
            return
        known = take()
        if self.world.drawn(0.1):
            self.world.after(self.world.random.random() * 5.0, take, wire.server)  # doubled, and late
        if not known:
            self.give_up()
        elif not self.world.drawn(0.1):
            self.acknowledgements.confirm(one)

    def line(self, line: bytes) -> None:
        world = self.world
        self.selector.received(world.now, 1)
        result = self.receiver.receive(line, world.wall())
        self.selector.note_lag(result.sender_is_behind, world.now)
        for topic in result.touched_topics:
            self.check(topic)
        self.took(result.updates, result.touched_topics)

    def check(self, topic: str) -> None:
        held = self.topics.logs.get(topic)
        if held is None:
            return
        version = held.version
        before = self.versions.get(topic, NO_VERSION)
        self.world.expect(version >= before, f"{self.name}: {topic} went back from {before} to {version}")
        self.versions[topic] = version
        then = self.world.history[topic].get(version)
        have = {key: msgspec.json.decode(value) for key, value in held.snapshot().items()}
        self.world.expect(have == then, f"{self.name}: {topic} at {version} is {have}, was {then}")

    def took(self, news: list[Any], touched: list[str]) -> None:
        raise NotImplementedError


class ProxyNode(SubscriberNode):
    """A subscriber that puts what it receives in force a while later."""

    def __init__(
        self, world: World, name: str, zone: str, relays: list[RelayEndpoint], topics: list[str]
    ) -> None:
        super().__init__(world, name, zone, relays, topics)
        self.entries: dict[str, dict[str, Any]] = {}
        self.applies_at = 0.0

    def took(self, news: list[Any], touched: list[str]) -> None:
        for one in news:
            entries = {} if one.is_snapshot else self.entries.setdefault(one.topic, {})
            for key, value in one.entries.items():
                entries.pop(key, None)
                if value is not None:
                    entries[key] = value
            self.entries[one.topic] = entries
            self.world.expect(
                entries == self.world.history[one.topic].get(one.version), f"{self.name}: news of {one.topic}"
            )
            self.applies_at = max(self.applies_at, self.world.now + self.world.random.random() * 0.3)
            self.world.after(self.applies_at - self.world.now, lambda one=one: self.apply(one), self)

    def apply(self, one: Any) -> None:
        if one.topic.startswith("config") and self.world.drawn(0.1):
            self.acknowledgements.record_rejected(one.topic, one.version, "no such route")
        else:
            self.acknowledgements.record_applied(one.topic, one.version)


class RelayNode(SubscriberNode, ServerNode):
    def __init__(self, world: World, name: str, zone: str) -> None:
        SubscriberNode.__init__(self, world, name, zone, [RelayEndpoint("source", zone)], [])
        self.subscriptions = world.made.subscriptions(self.topics)
        self.begin_serving()
        world.each(0.5, self.sum_up, self)

    def history(self) -> bool:
        return self.world.history_told

    def joined(self, asked: messages.SubscribeRequest) -> None:
        self.topics.subscribe(asked.held)

    def took(self, news: list[Any], touched: list[str]) -> None:
        self.told(touched)

    def report(self, wire: Wire) -> None:
        pass  # it has nothing in force itself

    def sum_up(self) -> None:
        world = self.world
        self.subscriptions.expire(world.now)
        over = self.subscriptions.take_unused_topics(world.now)
        if over:
            self.topics.unsubscribe(over)
            for topic in over:
                self.versions.pop(topic, None)
            if self.wire is not None:
                self.wire.server.subscriptions.remove_topics(self.name, self.wire.session, over, world.now)
        if not self.ready():
            return
        zones = self.subscriptions.summary()
        for zone, one in zones.items():
            if one.lowest_used is not None:
                self.true(zone, one.lowest_used)
        body = encoding.encode(messages.RelaySummaryReport(self.name, zones))
        origin = world.origin
        if not origin.dead and origin.stopped_until <= world.now and not world.drawn(0.1):
            origin.relay_summaries.record(
                self.name, decoding.parse_relay_summary(body, world.wall()).zones, world.now
            )

    def true(self, zone: str, lowest: Version) -> None:
        """All counted subscribers of the zone have in force whatever changed up to `lowest`."""
        if self.world.with_reordering:
            return  # a stream that loses lines without an end is none
        for name, subscriber in self.subscriptions.by_subscriber.items():
            proxy = self.clients[name]
            if subscriber.zone != zone or proxy.dead:
                continue
            here = proxy.wire is not None and proxy.wire.server is self
            for topic in proxy.acknowledgements.in_force.keys() & subscriber.sent:
                if subscriber.in_force[topic] == NO_VERSION and not here:
                    continue  # it began elsewhere since, and is counted there
                due = max((one for one in self.world.history[topic] if one <= lowest), default=NO_VERSION)
                in_force = proxy.acknowledgements.in_force[topic]
                what = f"{self.name} counts {lowest} at {name}, where {topic} is {in_force} not {due}"
                self.world.expect(in_force >= due, what)
