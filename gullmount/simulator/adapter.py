"""The adapter process: passes events to the instances and responds to each batch with their actions."""

from __future__ import annotations

from collections.abc import Iterable
from typing import BinaryIO

from gullmount.decisions.model import Endpoint
from gullmount.settings import InvalidSettingsError, decode_instance_settings, seconds_from_microseconds
from gullmount.simulator import wire
from gullmount.simulator.errors import InvalidFieldError
from gullmount.simulator.instance import Instance
from gullmount.simulator.wire import look_up


class Adapter:
    """Runs the instances of one adapter process.

    Attributes:
        clock: The time of the current events, in seconds.
        pages: The pages of servers, by number.
        instances: The running instances, by number.
        actions: The actions that have not been sent yet.
    """

    def __init__(self) -> None:
        self.clock = 0.0
        self.pages: dict[int, list[Endpoint]] = {}
        self.instances: dict[int, Instance] = {}
        self.actions: list[wire.Action] = []

    def handle(self, event: wire.Event) -> None:
        """Handle one event other than the end of a batch.

        Raises:
            MalformedLineError: The event refers to something that does not exist, or has an invalid value.
        """
        if isinstance(event, wire.ClockSet):
            self.clock = seconds_from_microseconds(event.time_us)
        elif isinstance(event, wire.EndpointPage):
            self.pages[event.number] = [entry.endpoint() for entry in event.entries]
        elif isinstance(event, wire.InstanceStart):
            self.instances[event.instance] = self._start(event)
        elif isinstance(event, wire.InstanceEnd):
            self.instances.pop(event.instance, None)
        elif isinstance(event, wire.InstanceEvent):
            instance = look_up(self.instances, wire.verb_of(event), "Who", event.instance)
            instance.handle(event)

    def end_batch(self) -> bytes:
        """Return the lines that respond to the batch, and clear the actions."""
        lines = wire.encode_batch(self.actions)
        self.actions.clear()
        return lines

    def _start(self, event: wire.InstanceStart) -> Instance:
        try:
            settings = decode_instance_settings(event.seed, event.settings)
        except InvalidSettingsError as error:
            raise InvalidFieldError("Spawn", f"field ProfileData: {error}") from None
        return Instance(
            event.instance,
            settings,
            clock=lambda: self.clock,
            pages=self.pages,
            emit=self.actions.append,
        )


def serve(input_lines: Iterable[bytes], output: BinaryIO) -> None:
    """Respond to every batch of lines until the input ends.

    Args:
        input_lines: The simulator's lines. Blank lines are skipped.
        output: Gets the responses; flushed after each batch.

    Raises:
        MalformedLineError: A line is malformed.
    """
    adapter = Adapter()
    for line in input_lines:
        if not line.strip():
            continue
        event = wire.decode_event(line)
        if isinstance(event, wire.BatchEnd):
            output.write(adapter.end_batch())
            output.flush()
        else:
            adapter.handle(event)
