"""The simulator's adapter: hosts gateways and speaks the simulator's wire on the standard streams.

`python -m fennelwind.adapter` starts it, as `deploy/balancer.toml` says. It answers one batch at a time:
lines to one or more instances in, their actions out. A line that the wire does not allow ends the program
with code 2 and a line on standard error; a gateway that fails is reported on the wire, and the others go on.
"""

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from io import TextIOWrapper
from typing import TextIO

from fennelwind import policy, simulator_wire
from fennelwind.policy.gateway import Gateway
from fennelwind.simulator_wire import Fields, InstanceStart, WireError

Line = tuple[str, list[str]]  # a message's name and its fields, unread


@dataclass(slots=True)
class InstanceBatch:
    """What one instance gets in a batch: how it starts, if it starts there, and its events."""

    instance: int
    start: InstanceStart | None = None
    events: list[policy.Event] = field(default_factory=list)


class Host:
    """Hosts the instances of one process, each apart from the others."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source, self.sink = source, sink
        self.gateways: dict[int, Gateway] = {}
        self.settings: dict[int, policy.Settings] = {}  # of the instances that run
        self.engine_lists: dict[int, tuple[policy.EngineEndpoint, ...]] = {}

    def run(self) -> None:
        """Answer batches until the input ends. Raises `WireError`."""
        while line := self.source.readline():
            message, fields = self._split(line)
            if message != simulator_wire.BATCH_START:
                quoted = message[: simulator_wire.MAX_QUOTED_NAME] or "empty line"
                raise WireError(f"{quoted}: a {simulator_wire.BATCH_START} was expected")
            now_ms = simulator_wire.read_now_ms(Fields(message, fields))
            answer: list[str] = []
            for batch in self._read_batch():
                answer += self._answer(now_ms, batch)
            answer.append(simulator_wire.BATCH_DONE)
            self.sink.write("\n".join(answer) + "\n")
            self.sink.flush()

    @staticmethod
    def _split(line: str) -> Line:
        message, *fields = line.rstrip("\r\n").split("\t")
        return message, fields

    def _lines(self) -> Iterator[Line]:
        """Return the lines of a batch, up to its end."""
        while line := self.source.readline():
            message, fields = self._split(line)
            if message == simulator_wire.BATCH_END:
                return
            yield message, fields
        raise WireError(f"{simulator_wire.BATCH_START}: the input ended before {simulator_wire.BATCH_END}")

    def _read_batch(self) -> list[InstanceBatch]:
        """Read one batch: what each instance gets, in the order in which they were first named."""
        batches: list[InstanceBatch] = []
        instance: int | None = None
        current: InstanceBatch | None = None
        lines = self._lines()
        for message, parts in lines:
            fields = Fields(message, parts)
            if message == simulator_wire.INSTANCE_SELECTED:
                instance, current = simulator_wire.read_instance(fields), None
            elif message == simulator_wire.ENGINE_LIST:
                page, endpoints = simulator_wire.read_engine_list(fields, lines)
                self.engine_lists[page] = endpoints
            elif instance is None:
                quoted = message[: simulator_wire.MAX_QUOTED_NAME]
                raise WireError(f"{quoted}: no {simulator_wire.INSTANCE_SELECTED} names its instance")
            elif message == simulator_wire.INSTANCE_STOPPED:
                self._stop(instance)
                batches = [batch for batch in batches if batch.instance != instance]
                current = None
            elif message == simulator_wire.INSTANCE_STARTED:
                current = InstanceBatch(instance, self._start(instance, fields))
                batches.append(current)
            else:
                event = self._read_event(instance, message, fields)
                if current is None:
                    current = self._batch_of(instance, batches)
                current.events.append(event)
        return batches

    @staticmethod
    def _batch_of(instance: int, batches: list[InstanceBatch]) -> InstanceBatch:
        """Return the instance's part of the batch, which is new if it was not named before."""
        for batch in batches:
            if batch.instance == instance:
                return batch
        batches.append(InstanceBatch(instance))
        return batches[-1]

    def _read_event(self, instance: int, message: str, fields: Fields) -> policy.Event:
        settings = self.settings.get(instance)
        if settings is None:
            quoted = message[: simulator_wire.MAX_QUOTED_NAME]
            raise WireError(f"{quoted}: field Who names no running instance")
        return simulator_wire.read_event(message, fields, settings, self.engine_lists)

    def _start(self, instance: int, fields: Fields) -> InstanceStart:
        """Read how an instance starts; what ran under its number before is gone at once."""
        start = simulator_wire.read_start(fields)
        self.gateways.pop(instance, None)
        self.settings[instance] = start.settings
        return start

    def _stop(self, instance: int) -> None:
        self.gateways.pop(instance, None)
        self.settings.pop(instance, None)

    def _answer(self, now_ms: float, batch: InstanceBatch) -> list[str]:
        """Let one instance decide, and return its actions as lines."""
        try:
            if batch.start is not None:
                self.gateways[batch.instance] = Gateway(batch.start.settings, batch.start.seed)
            actions = self.gateways[batch.instance].step(now_ms, batch.events)
            lines = [simulator_wire.action_line(action) for action in actions]
        except Exception as error:  # the wire has a message for an instance that fails; the others go on
            lines = [simulator_wire.failure_line(error)]
        return [simulator_wire.instance_line(batch.instance), *lines] if lines else []


def main() -> int:
    """Serve the wire on standard input and output."""
    for stream in (sys.stdin, sys.stdout):
        if isinstance(stream, TextIOWrapper):
            stream.reconfigure(encoding="utf-8", newline="\n")
    try:
        Host(sys.stdin, sys.stdout).run()
    except (WireError, UnicodeDecodeError) as error:
        print(f"fennelwind.adapter: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
