"""The stand-ins of a day on a loop: executors with their lives and faults, the channel, the clients.

Both rigs use it: in virtual time each party has a host of its own, among processes a few share a loop.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from fennelwind.audit.observations import Sighting
from fennelwind.emulators.model import Machine
from fennelwind.emulators.platform.channel import Channel
from fennelwind.emulators.platform.clients import Clients, Manners
from fennelwind.emulators.platform.executor import Executor, Faults, Reporting
from fennelwind.loop import Address, Loop, Stream
from fennelwind.testbed import day_pb2 as pb
from fennelwind.testbed.plan import FOREVER, RELOADED_MS, TENANT, ExecutorFault, Life, Plan
from fennelwind.testbed.settings import wish_of

RANKS = (1.0, 4.0, 8.0, 16.0)  # parts of short cores by priority, where it is heeded
BIND_AGAIN_MS = 100.0  # ms until an address that is still held is tried again
BIND_TRIES = 50
WELL_NOTICED_MS = 250.0  # ms after SIGTERM until the front sees that a controller is not well any more


class ExecutorStage:
    """The executors in one slot, one after the other, with what goes wrong with them."""

    def __init__(
        self,
        loop: Loop,
        plan: Plan,
        slot: int,
        address: Address,
        *,
        note: Callable[[Sighting], None],
        clock: Callable[[], float],
        caller: Callable[[Stream], int],
    ) -> None:
        self.loop, self.plan, self.slot, self.address = loop, plan, slot, address
        self.note, self.clock, self.caller = note, clock, caller
        self.current: Executor | None = None
        self.most_streams = self.probes = 0
        day = plan.day.file
        kind = next(kind for kind in day.kinds if kind.name == plan.slots[slot].kind)
        rules = day.rules
        self.machine = Machine(
            kind.cores,
            kind.memory_mb,
            rules.cold_share,
            rules.cold_ms,
            rules.fall_multiple,
            rules.fall_ms,
            RANKS if rules.priorities else (),
        )
        self.reporting = Reporting(
            tuple(day.reports.fields), day.reports.period_ms, day.reports.delay_ms, day.reports.noise
        )

    def prepare(self) -> None:
        """Start who is there from the beginning."""
        self._begin(next(life for life in self.plan.lives if life.slot == self.slot and not life.cold))

    def play(self) -> None:
        """Play the slot's lives and faults, until the day is over."""
        changes: list[tuple[float, Callable[[], None]]] = []
        for life in self.plan.lives:
            if life.slot == self.slot and life.cold:
                changes.append((life.start_ms, lambda life=life: self._begin(life)))
            if life.slot == self.slot and life.end_ms < FOREVER:
                changes.append((life.end_ms, lambda: self._end()))
        faults = [fault for fault in self.plan.executor_faults if fault.slot == self.slot]
        for fault in faults:
            changes += [(at, lambda: self._look(faults)) for at in (fault.at_ms, fault.until_ms)]
        for at, change in sorted(changes, key=lambda item: item[0]):
            self.loop.sleep(max(0.0, at - self.clock()))
            change()

    def _begin(self, life: Life) -> None:
        executor = self.current = Executor(
            self.loop,
            life.instance,
            self.address,
            self.machine,
            reporting=self.reporting,
            random=Random(f"{self.plan.seed}/{life.instance}"),
            note=self.note,
            clock=self.clock,
            caller=self.caller,
        )
        self._look([fault for fault in self.plan.executor_faults if fault.slot == self.slot])
        for number in range(BIND_TRIES):
            try:
                executor.start(life.cold)
                return
            except OSError:
                if number == BIND_TRIES - 1:
                    raise
                self.loop.sleep(BIND_AGAIN_MS)

    def _end(self) -> None:
        if self.current is not None:
            self.most_streams = max(self.most_streams, self.current.most_streams)
            self.probes += self.current.probes
            self.current.end()

    def _look(self, faults: list[ExecutorFault]) -> None:
        """Let the executor be as bad as what holds now; of two of a kind the worse counts."""
        now, is_now, told = self.clock(), Faults(), self.current
        for fault in faults:
            if not fault.at_ms <= now < fault.until_ms:
                continue
            match fault.kind:
                case pb.Fault.SLOW:
                    is_now.slow = max(is_now.slow, fault.factor)
                case pb.Fault.ERROR:
                    is_now.error = max(is_now.error, fault.share)
                case pb.Fault.LOSE:
                    is_now.lose = True
                case pb.Fault.HANG:
                    is_now.hang = True
                case pb.Fault.REFUSE:
                    is_now.refuse = True
                case pb.Fault.SPOIL:
                    is_now.spoil = max(is_now.spoil, fault.share)
                case pb.Fault.REPORT_LATE:
                    is_now.late_ms = max(is_now.late_ms, fault.delay_ms)
                    is_now.noise = max(is_now.noise, fault.share)
        if told is not None:
            told.faults = is_now
            told.set_slow(is_now.slow)


class ChannelStage:
    """The command channel at its two addresses: SIGHUP moves a controller from the first to the second."""

    def __init__(
        self,
        loop: Loop,
        plan: Plan,
        addresses: tuple[Address, Address],
        told: Callable[[int], list[tuple[float, dict[str, Any]]]],
        *,
        note: Callable[[Sighting], None],
        clock: Callable[[], float],
        caller: Callable[[Stream], int],
    ) -> None:
        self.loop, self.plan, self.clock = loop, plan, clock
        moves: dict[int, float] = {}
        for step in plan.steps:
            if step.verb == "hup":
                moves.setdefault(step.controller, step.at_ms)
        self.channels = [
            Channel(
                loop,
                addresses[0],
                told,
                clock=clock,
                caller=caller,
                note=note,
                linger_ms=RELOADED_MS,
                open_until=lambda number: moves.get(number, FOREVER),
            ),
            Channel(
                loop,
                addresses[1],
                told,
                clock=clock,
                caller=caller,
                note=note,
                linger_ms=0.0,
                open_until=lambda number: FOREVER,
            ),
        ]

    def prepare(self) -> None:
        """Listen."""
        for channel in self.channels:
            channel.start()

    def play(self) -> None:
        """Play the channel's faults."""
        changes = sorted(
            {time for fault in self.plan.channel_faults for time in (fault.at_ms, fault.until_ms)}
        )
        for at in changes:
            self.loop.sleep(max(0.0, at - self.clock()))
            now = self.clock()
            on = [fault for fault in self.plan.channel_faults if fault.at_ms <= now < fault.until_ms]
            for channel in self.channels:
                channel.silent = any(fault.silent for fault in on)
                if any(not fault.silent for fault in on):
                    channel.break_off()
                else:
                    channel.broken = False


class ClientStage:
    """The clients of one zone, and the front that is told by `isWell` who leaves."""

    def __init__(
        self,
        loop: Loop,
        plan: Plan,
        zone: str,
        where: Callable[[int], Address],
        *,
        note: Callable[[Sighting], None],
        clock: Callable[[], float],
    ) -> None:
        self.loop, self.plan, self.clock = loop, plan, clock
        told = plan.day.file.clients
        here = {c.number for c in plan.controllers if c.zone == zone}
        everyone = [c.number for c in plan.controllers]
        zones = {c.number: c.zone for c in plan.controllers}
        neighbours = {n: [m for m in everyone if m != n and zones[m] == zones[n]] for n in everyone}
        wishes = (wish_of(plan, ask) for ask in plan.asks if ask.controller in here)
        self.clients = Clients(
            loop,
            wishes,
            neighbours,
            where,
            Manners(TENANT, told.retries, told.backoff_ms, told.honour, max(told.notice_ms, 1.0)),
            seed=f"{plan.seed}/{zone}",
            note=note,
            clock=clock,
        )

    def play(self) -> None:
        """Ask all that is planned; return when it has ended."""
        self.loop.spawn(self._notice, name="front: notice")
        self.clients.play()

    def _notice(self) -> None:
        for step in self.plan.steps:
            if step.verb == "term":
                self.loop.sleep(max(0.0, step.at_ms + WELL_NOTICED_MS - self.clock()))
                self.clients.notice(step.controller)
