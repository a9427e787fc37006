"""The record as a member or one that asks sees it: applied in slices, with revisions, reads and watches.

Entries are applied between turns of the loop, so many at a time, so that a long catch-up delays no query.
"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.framing import MAX_FRAME_BYTES
from fennelwind.cluster.wakeup import Wakeup
from fennelwind.loop import Loop
from fennelwind.raft import council_pb2
from fennelwind.raft.messages import Applied, Apply, Event, Restore, Snapshot, TakeSnapshot
from fennelwind.raft.replicated_state import ReplicatedState
from fennelwind.raft.state_machine import StateMachine

MAX_IMMEDIATE_ENTRIES = 8  # entries applied in the turn that committed them: a command's answer waits for it
ENTRIES_PER_SLICE = 64  # entries applied in one turn of the loop; some 2 ms
MAX_WATCHERS = 4096  # watches that wait here: two hundred controllers with twenty tables each
SWEEP_MS = 1000.0  # ms between two searches for watches of askers that have gone; one costs some ms
MAX_VIEW_BYTES = MAX_FRAME_BYTES - 4096  # bytes of a state that is told in one frame
MAX_WATCH_QUERY_BYTES = 4096  # bytes of what one watch compares with; a longer one is answered at once
MAX_WAIT_MS = 60_000  # ms that one watch waits; longer ones ask again

Result = council_pb2.Result


@dataclass(slots=True)
class _Watch:
    holds: Callable[[], bool]
    call: Callable[[], None]
    gone: Callable[[], bool]  # whether nobody waits for the answer any more
    timer: Any = None


class AppliedState:
    """Applies what is agreed; tells who waits for an entry, a state of at least an index, or a change."""

    def __init__(
        self,
        loop: Loop,
        record: ReplicatedState,
        post: Callable[[Event], None],
        ask: Callable[[StateMachine, bytes], bytes],
    ) -> None:
        self.loop, self.replicated_state, self.post, self.ask = loop, record, post, ask
        self.revisions = dict.fromkeys(record.known_machines, 0)
        self.applied = 0  # entries since the start
        self._work: deque[Apply | Restore | TakeSnapshot] = deque()
        self._wakeup, self._busy = Wakeup(loop), False
        self._due: int | None = None  # as it was told last
        self._results: dict[int, Callable[[Result], None]] = {}  # who waits for an entry's result
        self._reads: list[tuple[int, int, Callable[[], None]]] = []  # heap: index, order, what is to be done
        self._order = 0
        self._watches: dict[str, list[_Watch]] = {name: [] for name in record.known_machines}
        self.watchers = 0
        self._sweep_at = 0.0

    def take(self, action: Apply | Restore | TakeSnapshot) -> None:
        """Take what is to be done, in order; few entries are applied at once, if nothing is ahead of them."""
        small = isinstance(action, Apply) and len(action.entries) <= MAX_IMMEDIATE_ENTRIES
        if small and not self._work and not self._busy:
            self._do(action)
            return
        self._work.append(action)
        self._wakeup.notify()

    def when_applied(self, index: int, call: Callable[[Result], None]) -> None:
        """Make the call with what the entry brings; UNKNOWN if it was applied already: ask again."""
        if index <= self.replicated_state.index:
            call(Result(refusal=Result.UNKNOWN, index=index))
        else:
            self._results[index] = call

    def when_at_index(self, index: int, call: Callable[[], None]) -> None:
        """Make the call when the state is of this index or a later one."""
        if index <= self.replicated_state.index:
            call()
        else:
            self._order += 1
            heapq.heappush(self._reads, (index, self._order, call))

    def watch(self, view: pb.View, call: Callable[[], None], gone: Callable[[], bool]) -> bool:
        """Make the call once what is watched has changed, or after its time; False: too many wait."""
        machine = self.replicated_state.machines.get(view.machine)
        if machine is None or view.ByteSize() > MAX_WATCH_QUERY_BYTES:
            call()
            return True

        def holds() -> bool:
            if view.HasField("unlike"):
                return self.ask(machine, view.query) != view.unlike
            return self.revisions[view.machine] > view.after

        if holds():
            call()
            return True
        if self.watchers >= MAX_WATCHERS and not self._drop_gone():
            return False
        watch = _Watch(holds, call, gone)

        def late() -> None:
            self._watches[view.machine].remove(watch)
            self.watchers -= 1
            call()

        watch.timer = self.loop.after(min(view.wait_ms, MAX_WAIT_MS), late)
        self._watches[view.machine].append(watch)
        self.watchers += 1
        return True

    def _drop_gone(self) -> bool:
        """Forget watches whose askers have gone; tell whether there were any. Looked for once a second."""
        if self.loop.now() < self._sweep_at:
            return False
        self._sweep_at, before = self.loop.now() + SWEEP_MS, self.watchers
        for watches in self._watches.values():
            for watch in [watch for watch in watches if watch.gone()]:
                watches.remove(watch)
                watch.timer.cancel()
                self.watchers -= 1
        return self.watchers < before

    def run(self) -> None:
        """Apply what comes, for ever."""
        while True:
            while not self._work:
                self._busy = False
                self._wakeup.wait()
            self._busy = True
            self._do(self._work.popleft())
            self.loop.sleep(0.0)

    def _do(self, action: Apply | Restore | TakeSnapshot) -> None:
        record = self.replicated_state
        if self.too_new:
            return
        if isinstance(action, TakeSnapshot):
            self.post(Snapshot(record.index, record.clock_ms, record.snapshot()))
            return
        if isinstance(action, Restore):
            record.restore(action.data)
            self._changed(list(record.machines))
        else:
            for start in range(0, len(action.entries), ENTRIES_PER_SLICE):
                if start:
                    self.loop.sleep(0.0)
                self._apply(action.entries[start : start + ENTRIES_PER_SLICE])
        self._settle()
        due = record.next_expiry_clock_ms()
        if due != self._due:  # all that the core wants to know of what was applied
            self._due = due
            self.post(Applied(record.index, due))

    def _apply(self, entries: tuple[council_pb2.Entry, ...]) -> None:
        record = self.replicated_state
        for entry in entries:
            if self.too_new:
                return
            if entry.index <= record.index:
                continue  # a folder that was read anew gives again what was agreed
            clock_ms = max(record.clock_ms, entry.clock_ms)
            changed = [
                name
                for name, machine in record.machines.items()
                if (due := machine.next_expiry_clock_ms()) is not None and due <= clock_ms
            ]
            result = record.apply(entry)
            self.applied += 1
            if (
                entry.WhichOneof("what") == "command"
                and entry.command.machine in record.machines
                and entry.command.machine not in changed
            ):
                changed.append(entry.command.machine)
            if changed:
                self._changed(changed)
            call = self._results.pop(entry.index, None)
            if call is not None:
                call(result)

    def _changed(self, machines: list[str]) -> None:
        for name in machines:
            # A machine may tell when its state has really changed; else every command counts as a change.
            revision = getattr(self.replicated_state.machines[name], "revision", self.replicated_state.index)
            if revision == self.revisions[name]:
                continue
            self.revisions[name] = revision
            ripe = [watch for watch in self._watches[name] if watch.holds()]
            for watch in ripe:
                self._watches[name].remove(watch)
                watch.timer.cancel()
                self.watchers -= 1
                watch.call()

    @property
    def too_new(self) -> bool:
        """Tell whether the record uses what this version does not know: nothing more is applied then."""
        return self.replicated_state.level > self.replicated_state.supported_level

    def _settle(self) -> None:
        """Answer the reads whose index has come, and those whose entry a snapshot has swallowed."""
        while self._reads and self._reads[0][0] <= self.replicated_state.index:
            heapq.heappop(self._reads)[2]()
        for index in [i for i in self._results if i <= self.replicated_state.index]:
            self._results.pop(index)(Result(refusal=Result.UNKNOWN, index=index))

    def view(self, view: pb.View) -> pb.Told:
        """Return what is asked for as it is here now."""
        told = pb.Told(revision=self.revisions.get(view.machine, 0), clock_ms=self.replicated_state.clock_ms)
        result = Result(index=self.replicated_state.index)
        machine = self.replicated_state.machines.get(view.machine)
        if view.kind:
            told.fact = self.replicated_state.fact(view.kind, view.key)
        elif machine is None:
            result.refusal = Result.NO_MACHINE
        else:
            result.body = self.ask(machine, view.query)
            if len(result.body) > MAX_VIEW_BYTES:
                result.ClearField("body")
                result.refusal = Result.TOO_LARGE
        told.result = result.SerializeToString()
        return told


def complete_state(machine: StateMachine, query: bytes) -> bytes:
    """Answer any query by all that a machine keeps."""
    return machine.snapshot()
