"""The simulator's adapter: runs gateways and speaks the simulator's protocol on standard input and output.

`deploy/balancer.toml` starts it with `python -m fennelwind.adapter`. It processes one batch at a time: it
reads the events of one or more instances and writes their actions. A malformed line ends the program with
exit code 2 and one line on standard error. A gateway that raises an exception is reported to the simulator,
and the other instances continue.
"""

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from io import TextIOWrapper
from typing import TextIO

from fennelwind import policy, simulator_wire
from fennelwind.policy.gateway import Gateway
from fennelwind.simulator_wire import Fields, InstanceStart, WireError

Line = tuple[str, list[str]]  # a message's name and its unparsed fields


@dataclass(slots=True)
class InstanceBatch:
    """One instance's share of a batch: its events, and its settings and seed if it starts in this batch."""

    instance: int
    start: InstanceStart | None = None
    events: list[policy.Event] = field(default_factory=list)


class Host:
    """Runs the gateway instances of one process, isolated from each other."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source, self.sink = source, sink
        self.gateways: dict[int, Gateway] = {}
        self.settings: dict[int, policy.Settings] = {}  # by number of a running instance
        self.engine_lists: dict[int, tuple[policy.EngineEndpoint, ...]] = {}  # by page number

    def run(self) -> None:
        """Process batches until the input ends. Raises `WireError` for a malformed line."""
        while line := self.source.readline():
            message, fields = self._split(line)
            if message != simulator_wire.BATCH_START:
                quoted = message[: simulator_wire.MAX_QUOTED_NAME] or "empty line"
                raise WireError(f"{quoted}: a {simulator_wire.BATCH_START} was expected")
            now_ms = simulator_wire.read_now_ms(Fields(message, fields))
            response: list[str] = []
            for batch in self._read_batch():
                response += self._step_instance(now_ms, batch)
            response.append(simulator_wire.BATCH_DONE)
            self.sink.write("\n".join(response) + "\n")
            self.sink.flush()

    @staticmethod
    def _split(line: str) -> Line:
        message, *fields = line.rstrip("\r\n").split("\t")
        return message, fields

    def _lines(self) -> Iterator[Line]:
        """Yield the lines of a batch. Raises `WireError` if the input ends before the batch does."""
        while line := self.source.readline():
            message, fields = self._split(line)
            if message == simulator_wire.BATCH_END:
                return
            yield message, fields
        raise WireError(f"{simulator_wire.BATCH_START}: the input ended before {simulator_wire.BATCH_END}")

    def _read_batch(self) -> list[InstanceBatch]:
        """Read one batch; return the instances' shares, ordered by the first line that names the instance."""
        batches: list[InstanceBatch] = []
        instance: int | None = None
        current: InstanceBatch | None = None
        lines = self._lines()
        for message, raw_fields in lines:
            fields = Fields(message, raw_fields)
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
                    current = self._find_or_add(instance, batches)
                current.events.append(event)
        return batches

    @staticmethod
    def _find_or_add(instance: int, batches: list[InstanceBatch]) -> InstanceBatch:
        """Return the instance's share of the batch; add an empty one if it has none yet."""
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
        """Read the settings and seed of an instance that starts; drop an earlier instance with its number."""
        start = simulator_wire.read_start(fields)
        self.gateways.pop(instance, None)
        self.settings[instance] = start.settings
        return start

    def _stop(self, instance: int) -> None:
        self.gateways.pop(instance, None)
        self.settings.pop(instance, None)

    def _step_instance(self, now_ms: float, batch: InstanceBatch) -> list[str]:
        """Run one step of an instance; return its actions, or its failure, as lines."""
        try:
            if batch.start is not None:
                self.gateways[batch.instance] = Gateway(batch.start.settings, batch.start.seed)
            actions = self.gateways[batch.instance].step(now_ms, batch.events)
            lines = [simulator_wire.action_line(action) for action in actions]
        except Exception as error:  # reported to the simulator; the other instances continue
            lines = [simulator_wire.failure_line(error)]
        return [simulator_wire.instance_line(batch.instance), *lines] if lines else []


def main() -> int:
    """Run the adapter on standard input and output; return the exit code."""
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
