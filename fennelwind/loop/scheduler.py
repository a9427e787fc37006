"""The scheduler: tasks on greenlets, deadlines that nest, channels. What waits for what is up to its
subclasses.

A task runs until it waits. A wait ends in one of three ways: what was waited for came, a deadline around it
passed (`DeadlineExceeded` leaves the `with` block that set it), or the task was cancelled (`Cancelled`).
What comes first holds: an answer that came in the same turn before its time-out is an answer.
"""

from collections import deque
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

from greenlet import getcurrent, greenlet

from fennelwind.loop.streams import Address, Datagrams, Listener, Stream
from fennelwind.loop.timers import Timer, TimerWheel

LAST_MOST = 1024  # calls at the end of one turn; the rest is for the next, so that no turn lasts for ever
LATE_LOOK_MS = 10.0  # ms; a look that ends so much behind its time tells that the process stood still
DELAY_PART = 0.1  # part of a new sample in the loop's delay: the last ten timers or so count


class Cancelled(BaseException):
    """The task was cancelled; not an `Exception`, so that no handler of errors holds it up."""


class _Expired(BaseException):
    """A deadline passed, on its way to the block that set it."""

    def __init__(self, scope: "Deadline") -> None:
        super().__init__()
        self.scope = scope


class DeadlineExceeded(TimeoutError):
    """What a `with loop.deadline(ms)` block was to do did not end in time."""


class Deadlock(RuntimeError):
    """Everything waits and no timer is set: nothing can ever happen again (virtual time only)."""


class ChannelClosed(Exception):
    """The channel takes and gives nothing more."""


class ChannelFull(Exception):
    """The channel holds as many items as it may."""


class Waiter:
    """One wait of one task. It is woken once; whatever comes later has no effect."""

    __slots__ = ("loop", "task", "done", "value", "error")

    def __init__(self, loop: "Loop") -> None:
        self.loop, self.task = loop, loop.current
        self.done, self.value, self.error = False, None, None

    def wake(self, value: Any = None, error: BaseException | None = None) -> bool:
        """End the wait; tell whether it had not ended before."""
        if self.done:
            return False
        self.done, self.value, self.error = True, value, error
        if self.task.waiter is self:
            self.loop.ready.append(self.task.resume)
        return True

    def wait(self) -> Any:
        """Wait until woken; return what it was woken with, or raise it."""
        task = self.task
        if task is not self.loop.current:
            raise RuntimeError("only the task that made a waiter may wait by it")
        if not self.done:
            if task.interrupted:
                try:
                    task.check()
                except BaseException:
                    self.done = True  # nobody waits by it: whoever has it in line must wake the next one
                    raise
            task.waiter = self
            self.loop.hub.switch()
            task.waiter = None
        if self.error is not None:
            error, self.error = self.error, None
            try:
                raise error
            finally:
                del error  # in this frame it would keep alive all frames of its traceback
        return self.value


class Task:
    """A greenlet of the loop. An exception ends the task alone, and is reported to the loop's `on_error`."""

    __slots__ = (
        "loop",
        "name",
        "greenlet",
        "waiter",
        "scopes",
        "interrupted",
        "cancelled",
        "done",
        "value",
        "error",
        "joiners",
    )

    def __init__(self, loop: "Loop", call: Callable[..., Any], args: tuple, name: str) -> None:
        self.loop, self.name = loop, name
        self.waiter: Waiter | None = None
        self.scopes: list[Deadline] = []
        self.interrupted = self.cancelled = self.done = False
        self.value: Any = None
        self.error: BaseException | None = None
        self.joiners: list[Waiter] = []
        self.greenlet = greenlet(lambda: self._run(call, args), loop.hub)

    def _run(self, call: Callable[..., Any], args: tuple) -> None:
        try:
            if self.interrupted:
                self.check()
            self.value = call(*args)
        except Cancelled as exc:
            self.error = exc.with_traceback(None)  # it would keep alive what the task's frames refer to
        except Exception as exc:  # the task's own failure must not be the loop's
            self.error = exc
            self.loop.on_error(self, exc)
        finally:
            self.done = True
            self.loop.tasks.discard(self)
            for waiter in self.joiners:
                waiter.wake()

    def resume(self) -> None:
        """Run the task until it waits again."""
        if not self.done:
            self.loop.current = self
            self.greenlet.switch()
            self.loop.current = None

    def check(self) -> None:
        """Raise what interrupts this task, the outermost first."""
        if self.cancelled:
            raise Cancelled
        for scope in self.scopes:
            if scope.expired:
                raise _Expired(scope)
        self.interrupted = False

    def interrupt(self) -> None:
        """Let the task's present or next wait raise what has come up."""
        self.interrupted = True
        waiter = self.waiter
        if waiter is not None and not waiter.done:
            try:
                self.check()
            except BaseException as exc:  # raised where the task waits, not here
                waiter.wake(error=exc)

    def cancel(self) -> None:
        """Raise `Cancelled` where the task waits, and at every wait of its from then on."""
        if not self.done:
            self.cancelled = True
            self.interrupt()

    def absolve(self) -> None:
        """Take a cancellation as heard: from here on the task may wait again, to leave things in order."""
        self.cancelled = False
        self.interrupted = any(scope.expired for scope in self.scopes)

    def join(self) -> Any:
        """Wait for the task's end; return its value or raise its error."""
        if not self.done:
            waiter = Waiter(self.loop)
            self.joiners.append(waiter)
            waiter.wait()
        if self.error is not None:
            raise self.error
        return self.value


class Deadline:
    """A block that has to end in time; blocks nest, and the earliest deadline counts."""

    __slots__ = ("loop", "at", "task", "timer", "expired")

    def __init__(self, loop: "Loop", at: float) -> None:
        self.loop, self.at, self.expired = loop, at, False
        self.task: Task | None = None
        self.timer: Timer | None = None

    def __enter__(self) -> "Deadline":
        self.task = self.loop.current
        self.task.scopes.append(self)
        if self.at != float("inf"):
            self.timer = self.loop.at(self.at, self._fire)
        return self

    def _fire(self) -> None:
        self.expired = True
        self.task.interrupt()

    def __exit__(self, kind: type | None, exc: BaseException | None, trace: object) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.task.scopes.remove(self)
        if kind is _Expired and exc.scope is self:
            raise DeadlineExceeded from None


class Once:
    """A value that is set once and waited for by any number of tasks."""

    __slots__ = ("loop", "ready", "value", "_waiters")

    def __init__(self, loop: "Loop") -> None:
        self.loop, self.ready, self.value = loop, False, None
        self._waiters: list[Waiter] = []

    def set(self, value: Any = None) -> bool:
        """Set the value; tell whether it was not set before."""
        if self.ready:
            return False
        self.ready, self.value = True, value
        for waiter in self._waiters:
            waiter.wake(value)
        self._waiters.clear()
        return True

    def wait(self) -> Any:
        """Wait for the value."""
        if not self.ready:
            waiter = Waiter(self.loop)
            self._waiters.append(waiter)
            try:
                return waiter.wait()
            except BaseException:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)
                raise
        return self.value


class Channel:
    """A bounded queue between tasks. `put` waits while it is full, `offer` raises `ChannelFull`."""

    def __init__(self, loop: "Loop", most: int) -> None:
        self.loop, self.most, self.closed = loop, most, False
        self._items: deque = deque()
        self._getters: deque[Waiter] = deque()
        self._putters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self._items)

    def offer(self, item: Any) -> None:
        """Add the item at once, or raise `ChannelFull` or `ChannelClosed`."""
        if self.closed:
            raise ChannelClosed
        if len(self._items) >= self.most:
            raise ChannelFull
        self._items.append(item)
        self._wake(self._getters)

    def put(self, item: Any) -> None:
        """Add the item; wait while the channel is full."""
        while not self.closed and len(self._items) >= self.most:
            waiter = Waiter(self.loop)
            self._putters.append(waiter)
            waiter.wait()
        self.offer(item)

    def get(self) -> Any:
        """Take the oldest item; wait while there is none. A closed channel first gives what it holds."""
        while not self._items:
            if self.closed:
                raise ChannelClosed
            waiter = Waiter(self.loop)
            self._getters.append(waiter)
            waiter.wait()
        item = self._items.popleft()
        self._wake(self._putters)
        if self._items:  # a getter that was woken and then cancelled must not leave an item lying
            self._wake(self._getters)
        return item

    def close(self) -> None:
        """Take nothing more; wake all that wait."""
        self.closed = True
        for waiters in (self._getters, self._putters):
            while waiters:
                waiters.popleft().wake()

    @staticmethod
    def _wake(waiters: deque[Waiter]) -> None:
        while waiters and not waiters.popleft().wake():
            pass


class TurnQuota:
    """Limits how often a task goes on within one turn of the loop without leaving it to others."""

    __slots__ = ("loop", "most", "_turn", "_taken")

    def __init__(self, loop: "Loop", most: int) -> None:
        self.loop, self.most = loop, most
        self._turn, self._taken = -1, 0

    def try_take(self) -> bool:
        """Count one step; return False if this turn's steps are used up."""
        if self._turn != self.loop.turns:
            self._turn, self._taken = self.loop.turns, 0
        if self._taken >= self.most:
            return False
        self._taken += 1
        return True

    def take(self) -> None:
        """Count one step; if this turn's steps are used up, wait for the next turn first."""
        while not self.try_take():
            self.loop.sleep(0.0)


class Loop:
    """Tasks, time and streams. `RealLoop` and `SimLoop` fill in the clock, the wait and the streams."""

    def __init__(self) -> None:
        self.hub: greenlet | None = None
        self.current: Task | None = None
        self.ready: deque[Callable[[], None]] = deque()
        self._last: deque[Callable[[], None]] = deque()  # behind all that is ready in this turn
        self._calling = False
        self.timers = TimerWheel()
        self.turns = 0  # turns of the loop so far
        self.tasks: set[Task] = set()
        self.looked_ms = 0.0  # when the loop last looked for news
        self.turn_ms = 0.0  # how long the turn before that took
        self.unseen_since_ms = 0.0  # since when what the last look found may have been there
        self.look_most_ms: float | None = None  # ms that one look may wait for news
        self.delay_ms = 0.0  # how late timers are called, a fading mean
        self.worst_delay_ms = 0.0
        self.errors = 0  # tasks that ended by an exception
        self.on_error: Callable[[Task, Exception], None] = self._count_error
        self.callbacks = SimpleNamespace(name="a call of the loop's own")  # in a task's place for `on_error`

    # What a subclass fills in.

    def now(self) -> float:
        """Return the time in ms."""
        raise NotImplementedError

    def token(self, size: int) -> bytes:
        """Return so many random bytes; on `RealLoop` nobody can guess them."""
        raise NotImplementedError

    def resident_bytes(self) -> int:
        """Return the bytes of memory that the process holds; 0 if that can't be measured."""
        return 0

    def aside(self, call: Callable[..., Any], *args: Any) -> Any:
        """Make a call that takes long beside the loop; wait for it. It must touch nothing of the loop's."""
        raise NotImplementedError

    def listen(self, address: Address, backlog: int = 512) -> Listener:
        """Listen at an address; port 0 takes a free one."""
        raise NotImplementedError

    def connect(self, address: Address) -> Stream:
        """Connect to an address; `ConnectFailed` proves that nothing was sent."""
        raise NotImplementedError

    def datagrams(self, address: Address) -> Datagrams:
        """Open a socket for datagrams at an address; port 0 takes a free one."""
        raise NotImplementedError

    def _pause(self, until: float | None) -> None:
        """Wait for news until the time, at most; None: as long as it takes."""
        raise NotImplementedError

    # Tasks.

    def spawn(self, call: Callable[..., Any], *args: Any, name: str = "") -> Task:
        """Start a task; it first runs in the next turn."""
        task = Task(self, call, args, name or getattr(call, "__name__", "task"))
        self.tasks.add(task)
        self.ready.append(task.resume)
        return task

    def soon(self, call: Callable[[], None]) -> None:
        """Make the call in the next turn; it must not wait."""
        self.ready.append(call)

    def last(self, call: Callable[[], None]) -> None:
        """Make the call at the end of this turn, behind all else, or in the next one; it must not wait.

        What gathers while a turn lasts is handed on by it as one, without a look at the sockets in between.
        """
        (self._last if self._calling else self.ready).append(call)

    def at(self, due: float, call: Callable[[], None]) -> Timer:
        """Make the call at the time (ms); it must not wait."""
        return self.timers.add(due, call)

    def after(self, ms: float, call: Callable[[], None]) -> Timer:
        """Make the call so much later; it must not wait."""
        return self.timers.add(self.now() + ms, call)

    def sleep(self, ms: float) -> None:
        """Let the task wait so long."""
        waiter = Waiter(self)
        timer = self.after(ms, waiter.wake)
        try:
            waiter.wait()
        finally:
            timer.cancel()

    def catch_up(self, ms: float) -> None:
        """Let the tasks that wait for news go ahead, if some may have been there for longer than that.

        News of the turn before is told in this one, but maybe behind the task that calls.
        """
        if self.now() - self.unseen_since_ms > ms:
            self.sleep(0.0)

    def deadline(self, ms: float) -> Deadline:
        """Return a block that has to end within so long, else it raises `DeadlineExceeded`."""
        return Deadline(self, self.now() + ms)

    def deadline_at(self, at: float) -> Deadline:
        """Return a block that has to end by then, else it raises `DeadlineExceeded`."""
        return Deadline(self, at)

    def run(self, call: Callable[..., Any], *args: Any) -> Any:
        """Run a task to its end; cancel whatever else is left then. Return its value or raise its error."""
        if self.hub is not None:
            raise RuntimeError("the loop runs already")
        self.hub, self.looked_ms = getcurrent(), self.now()
        self.unseen_since_ms = self.looked_ms
        try:
            main = self.spawn(call, *args, name="main")
            while True:
                self._call_ready()
                if main.done:
                    break
                self._look()
                self._call_timers()
            for _ in self._left():
                self._call_ready()
            if main.error is not None:
                raise main.error
            return main.value
        finally:
            self.hub = None

    def _look(self) -> None:
        began, before = self.now(), self.looked_ms
        self.turn_ms = began - before
        until = self._look_until(began)
        self._pause(until)
        self.looked_ms = self.now()
        stood_still = until is not None and self.looked_ms > until + LATE_LOOK_MS
        self.unseen_since_ms = before if stood_still else self.looked_ms - self.turn_ms

    def _look_until(self, now: float) -> float | None:
        """Return when a look that begins now has to end without news; None: it has no end."""
        if self.ready:
            return now
        due = self.timers.next_due()
        if self.look_most_ms is None:
            return due
        most = now + self.look_most_ms
        return most if due is None else min(due, most)

    def _left(self) -> Iterator[int]:
        """Cancel all tasks that are left, in order of their names, for as many turns as they take to end."""
        for turn in range(100):
            for task in sorted(self.tasks, key=lambda t: t.name):
                task.cancel()
            if not self.tasks:
                return
            yield turn

    def _call_ready(self) -> None:
        self.turns += 1
        self._calling = True
        for calls, most in ((self.ready, len(self.ready)), (self._last, LAST_MOST)):
            while most and calls:
                most -= 1
                call = calls.popleft()
                try:
                    call()
                except Exception as exc:  # one call's failure must not end the program
                    self.on_error(self.callbacks, exc)
        self._calling = False
        if self._last:
            self.ready.extend(self._last)
            self._last.clear()

    def _call_timers(self) -> None:
        now = self.now()
        for timer in self.timers.due(now):
            call, late = timer.call, now - timer.due
            self.delay_ms += (late - self.delay_ms) * DELAY_PART
            self.worst_delay_ms = max(self.worst_delay_ms, late)
            if call is not None:  # one due earlier in this turn may have cancelled it
                try:
                    call()
                except Exception as exc:
                    self.on_error(self.callbacks, exc)

    def _count_error(self, task: Task, exc: Exception) -> None:
        self.errors += 1
