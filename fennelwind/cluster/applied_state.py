"""A member's replicated state: applies committed entries, and serves reads and watches of the result.

Entries are applied in slices, one slice per iteration of the loop, so that a long catch-up delays no query.
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

MAX_IMMEDIATE_ENTRIES = 8  # entries applied as soon as committed, since a command's answer waits for them
ENTRIES_PER_SLICE = 64  # entries applied in one iteration of the loop; about 2 ms
MAX_WATCHES = 4096  # pending watches: two hundred controllers with twenty tables each
SWEEP_INTERVAL_MS = 1000.0  # ms between two searches for watches of disconnected clients; one takes some ms
MAX_VIEW_BYTES = MAX_FRAME_BYTES - 4096  # bytes of the largest state that fits in one frame
MAX_WATCH_QUERY_BYTES = 4096  # bytes of a watch request; a larger request is answered at once
MAX_WAIT_MS = 60_000  # ms that one watch waits; clients that wait longer repeat the request

Result = council_pb2.Result


@dataclass(slots=True)
class _Watch:
    is_triggered: Callable[[], bool]
    callback: Callable[[], None]
    is_abandoned: Callable[[], bool]  # whether nobody waits for the answer any more
    timer: Any = None


class AppliedState:
    """Applies committed entries; calls back the callers that wait for an entry, an index or a change."""

    def __init__(
        self,
        loop: Loop,
        replicated_state: ReplicatedState,
        post: Callable[[Event], None],
        answer_query: Callable[[StateMachine, bytes], bytes],
    ) -> None:
        self.loop, self.replicated_state, self.post, self.answer_query = (
            loop,
            replicated_state,
            post,
            answer_query,
        )
        self.revisions = dict.fromkeys(replicated_state.known_machines, 0)
        self.applied_entries = 0  # number of entries applied since the start
        self._work: deque[Apply | Restore | TakeSnapshot] = deque()
        self._wakeup, self._is_busy = Wakeup(loop), False
        self._posted_expiry_ms: int | None = None  # on the log's clock, as last posted to the core
        self._results: dict[int, Callable[[Result], None]] = {}  # callbacks by the index of the entry
        self._reads: list[tuple[int, int, Callable[[], None]]] = []  # heap: index, sequence number, callback
        self._last_read = 0
        self._watches: dict[str, list[_Watch]] = {name: [] for name in replicated_state.known_machines}
        self.watch_count = 0
        self._next_sweep_ms = 0.0

    def submit(self, action: Apply | Restore | TakeSnapshot) -> None:
        """Queue an action of the core; a few entries are applied at once if the queue is empty."""
        is_small = isinstance(action, Apply) and len(action.entries) <= MAX_IMMEDIATE_ENTRIES
        if is_small and not self._work and not self._is_busy:
            self._perform(action)
            return
        self._work.append(action)
        self._wakeup.notify()

    def when_applied(self, index: int, callback: Callable[[Result], None]) -> None:
        """Call back with the result of an entry; with UNKNOWN if the entry was applied already."""
        if index <= self.replicated_state.index:
            callback(Result(refusal=Result.UNKNOWN, index=index))
        else:
            self._results[index] = callback

    def when_at_index(self, index: int, callback: Callable[[], None]) -> None:
        """Call back when the entries up to this index have been applied."""
        if index <= self.replicated_state.index:
            callback()
        else:
            self._last_read += 1
            heapq.heappush(self._reads, (index, self._last_read, callback))

    def watch(self, view: pb.View, callback: Callable[[], None], is_abandoned: Callable[[], bool]) -> bool:
        """Call back once the watched state has changed or the wait is over; return False if too many wait."""
        machine = self.replicated_state.machines.get(view.machine)
        if machine is None or view.ByteSize() > MAX_WATCH_QUERY_BYTES:
            callback()
            return True

        def is_triggered() -> bool:
            if view.HasField("unlike"):
                return self.answer_query(machine, view.query) != view.unlike
            return self.revisions[view.machine] > view.after

        if is_triggered():
            callback()
            return True
        if self.watch_count >= MAX_WATCHES and not self._remove_abandoned():
            return False
        watch = _Watch(is_triggered, callback, is_abandoned)

        def time_out() -> None:
            self._watches[view.machine].remove(watch)
            self.watch_count -= 1
            callback()

        watch.timer = self.loop.after(min(view.wait_ms, MAX_WAIT_MS), time_out)
        self._watches[view.machine].append(watch)
        self.watch_count += 1
        return True

    def _remove_abandoned(self) -> bool:
        """Remove watches of disconnected clients, at most once a second; return whether any were removed."""
        if self.loop.now() < self._next_sweep_ms:
            return False
        self._next_sweep_ms, count_before = self.loop.now() + SWEEP_INTERVAL_MS, self.watch_count
        for watches in self._watches.values():
            for watch in [watch for watch in watches if watch.is_abandoned()]:
                watches.remove(watch)
                watch.timer.cancel()
                self.watch_count -= 1
        return self.watch_count < count_before

    def run(self) -> None:
        """Perform queued actions, forever."""
        while True:
            while not self._work:
                self._is_busy = False
                self._wakeup.wait()
            self._is_busy = True
            self._perform(self._work.popleft())
            self.loop.sleep(0.0)

    def _perform(self, action: Apply | Restore | TakeSnapshot) -> None:
        state = self.replicated_state
        if self.is_too_new:
            return
        if isinstance(action, TakeSnapshot):
            self.post(Snapshot(state.index, state.clock_ms, state.snapshot()))
            return
        if isinstance(action, Restore):
            state.restore(action.data)
            self._notify_watches(list(state.machines))
        else:
            for start in range(0, len(action.entries), ENTRIES_PER_SLICE):
                if start:
                    self.loop.sleep(0.0)
                self._apply(action.entries[start : start + ENTRIES_PER_SLICE])
        self._call_back_waiters()
        expiry_ms = state.next_expiry_clock_ms()
        if expiry_ms != self._posted_expiry_ms:  # the core needs to know only changes of the next expiry
            self._posted_expiry_ms = expiry_ms
            self.post(Applied(state.index, expiry_ms))

    def _apply(self, entries: tuple[council_pb2.Entry, ...]) -> None:
        state = self.replicated_state
        for entry in entries:
            if self.is_too_new:
                return
            if entry.index <= state.index:
                continue  # already applied: a reopened folder returns its entries again
            clock_ms = max(state.clock_ms, entry.clock_ms)
            changed = [
                name
                for name, machine in state.machines.items()
                if (expiry_ms := machine.next_expiry_clock_ms()) is not None and expiry_ms <= clock_ms
            ]
            result = state.apply(entry)
            self.applied_entries += 1
            if (
                entry.WhichOneof("what") == "command"
                and entry.command.machine in state.machines
                and entry.command.machine not in changed
            ):
                changed.append(entry.command.machine)
            if changed:
                self._notify_watches(changed)
            callback = self._results.pop(entry.index, None)
            if callback is not None:
                callback(result)

    def _notify_watches(self, machines: list[str]) -> None:
        for name in machines:
            # A state machine may keep its own revision; if it has none, every command counts as a change.
            revision = getattr(self.replicated_state.machines[name], "revision", self.replicated_state.index)
            if revision == self.revisions[name]:
                continue
            self.revisions[name] = revision
            triggered = [watch for watch in self._watches[name] if watch.is_triggered()]
            for watch in triggered:
                self._watches[name].remove(watch)
                watch.timer.cancel()
                self.watch_count -= 1
                watch.callback()

    @property
    def is_too_new(self) -> bool:
        """Whether this version does not support the log's level; if so, no further entries are applied."""
        return self.replicated_state.level > self.replicated_state.supported_level

    def _call_back_waiters(self) -> None:
        """Call back reads whose index was reached, and commands whose entry a snapshot replaced."""
        while self._reads and self._reads[0][0] <= self.replicated_state.index:
            heapq.heappop(self._reads)[2]()
        for index in [i for i in self._results if i <= self.replicated_state.index]:
            self._results.pop(index)(Result(refusal=Result.UNKNOWN, index=index))

    def answer_view(self, view: pb.View) -> pb.Told:
        """Return the answer to a read, from the state applied on this member."""
        response = pb.Told(
            revision=self.revisions.get(view.machine, 0), clock_ms=self.replicated_state.clock_ms
        )
        result = Result(index=self.replicated_state.index)
        machine = self.replicated_state.machines.get(view.machine)
        if view.kind:
            response.fact = self.replicated_state.fact(view.kind, view.key)
        elif machine is None:
            result.refusal = Result.NO_MACHINE
        else:
            result.body = self.answer_query(machine, view.query)
            if len(result.body) > MAX_VIEW_BYTES:
                result.ClearField("body")
                result.refusal = Result.TOO_LARGE
        response.result = result.SerializeToString()
        return response


def complete_state(machine: StateMachine, query: bytes) -> bytes:
    """Answer any query with the complete state of a state machine."""
    return machine.snapshot()
