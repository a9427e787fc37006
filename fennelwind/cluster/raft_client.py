"""How a controller asks the record, be it a member or not.

A command gets a number once and is asked with it until an answer comes, however often and of whomever: the
record does it once. Members that don't lead name who does. What is under way is bounded by what the record
keeps of one client; who comes then waits for its turn until its deadline.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from fennelwind.cluster import keeper_pb2 as pb
from fennelwind.cluster.backoff import Waits
from fennelwind.cluster.errors import (
    AskerFull,
    CommandRefused,
    CouncilError,
    CouncilLost,
    FleetMismatch,
    FrameRefused,
    NameMismatch,
    NoLeader,
    OutcomeUnknown,
)
from fennelwind.cluster.framing import FrameReader, Outbox, framed
from fennelwind.cluster.identity import PROTOCOL, wrong_hello
from fennelwind.loop import Address, Loop, Once, Stream, Task
from fennelwind.raft import council_pb2
from fennelwind.raft.replicated_state import MAX_RETAINED_RESULTS

Result = council_pb2.Result
DIAL_MS = 500.0  # ms to connect and hear a member's name; a member that runs needs few
ATTEMPT_MS = 1000.0  # ms until another member is asked; three election time-outs of 300 ms
DIAL_MOST_MS = 5000.0  # ms between two rounds of dials when no member is there at all
AGAIN_MOST_MS = 800.0  # ms between two asks at most: a leader is there again within some 600
AGAIN_MS = 2000  # ms; a time to come back when no member names one: an election and a growing wait
LINED_MOST = 1024  # commands that wait for a number; one more is refused at once
WATCHES_MOST = 64  # watches under way from one controller
LATER = {Result.NO_LEADER, Result.UNKNOWN, Result.TOO_MANY, Result.NOT_MEMBER, Result.NOT_LEADER}


@dataclass(slots=True, frozen=True)
class Seen:
    """What a read told."""

    state: bytes  # the machine's answer
    fact: int
    revision: int  # of the machine's state: the entry that last changed it
    index: int  # the state is of this entry, or a later one
    clock_ms: int  # the record's clock


class Line:
    """A connection to one member, on which asks and answers pass."""

    def __init__(self, loop: Loop, name: str, stream: Stream, reader: FrameReader) -> None:
        self.loop, self.name, self.stream, self.reader = loop, name, stream, reader
        self.outbox = Outbox(loop)
        self.up = True
        self.heard_ms = loop.now()
        self._token = 0
        self._waiting: dict[int, Once] = {}
        self._tasks: list[Task] = [
            loop.spawn(self._read, name=f"asker: from {name}"),
            loop.spawn(self._write, name=f"asker: to {name}"),
        ]

    def ask(self, ask: pb.Ask, until: float) -> pb.Told | None:
        """Return the answer; None if the connection broke or the time is up."""
        if not self.up:
            return None
        self._token += 1
        token, once = self._token, Once(self.loop)
        self._waiting[token] = once
        began = self.loop.now()
        ask.token = token
        try:
            if not self.outbox.put(framed(pb.Frame(ask=ask))):
                return None
            with self.loop.deadline_at(until):
                return once.wait()
        except TimeoutError:
            if self.heard_ms < began:  # it said nothing to anybody meanwhile
                self.close()
            return None
        finally:
            self._waiting.pop(token, None)

    def _read(self) -> None:
        try:
            while (frame := self.reader.frame()) is not None and frame.WhichOneof("what") == "told":
                self.heard_ms = self.loop.now()
                once = self._waiting.pop(frame.told.token, None)
                if once is not None:
                    once.set(frame.told)
        except (OSError, FrameRefused):
            pass
        finally:
            self.close()

    def _write(self) -> None:
        try:
            self.outbox.run(self.stream)
        except (OSError, TimeoutError):
            self.close()

    def close(self) -> None:
        """Give the connection up; nobody waits for it any more."""
        if not self.up:
            return
        self.up = False
        self.stream.abort()
        waiting, self._waiting = self._waiting, {}
        for once in waiting.values():
            once.set(None)
        for task in self._tasks:
            if task is not self.loop.current:
                task.cancel()


class Asker:
    """Asks the record on behalf of one controller."""

    def __init__(
        self,
        loop: Loop,
        fleet: str,
        name: str,
        members: dict[str, Address],
        seed: str,
        said: Callable[[CouncilError], None] = lambda _: None,
    ) -> None:
        self.loop, self.fleet, self.name, self.members, self.said = loop, fleet, name, dict(members), said
        self.random = Random(seed)
        self.wrong: CouncilError | None = None  # what an operator has to put right, as the last dial met it
        self.asked = self.lost = 0  # attempts, and those to which nothing came
        self._order = sorted(self.members)
        self._target = self._order[self.random.randrange(len(self._order))]
        self._line: Line | None = None
        self._dialing: Once | None = None
        self._dial_waits = Waits(self.random, most_ms=DIAL_MOST_MS)
        self._failed = 0  # dials, one after the other
        self._rest_until = -math.inf  # no dial before
        self._client = 0
        self._opening: Once | None = None
        self._number = self._heard = 0  # given to the last command; all up to it are over
        self._over: set[int] = set()  # numbers behind `_heard` that are over
        self._lined: deque[Once] = deque()
        self._watches = 0
        self._last = Result.NONE  # what kept the last answer from counting

    # Commands.

    def propose(self, machine: str, body: bytes, within_ms: float) -> bytes:
        """Have a command done once; return the machine's answer. Raises as `propose_at` does."""
        return self.propose_at(machine, body, within_ms)[0]

    def propose_at(self, machine: str, body: bytes, within_ms: float) -> tuple[bytes, int]:
        """Have a command done once; return the machine's answer, and the entry that did it.

        Raises `CommandRefused` and `AskerFull`, where nothing was done, `OutcomeUnknown`, where it may be,
        and `CouncilLost` and its like, where it was never sent or refused by all that were asked.
        """
        until = self.loop.now() + within_ms
        maybe = False  # it was sent, and nobody told what became of it
        while True:
            client = self._client or self._open(until)
            number = self._take_number(until)
            if client != self._client:
                continue  # the numbers are another client's by now: this one was never sent
            try:
                result, lost = self._command(
                    council_pb2.Command(client=client, number=number, machine=machine, body=body), until
                )
            finally:
                if client == self._client:
                    self._end_number(number)
            maybe = maybe or lost
            if result is None:
                raise self._unknown(machine, number) if maybe else self._nobody()
            if result.refusal == Result.NONE:
                return result.body, result.index
            if result.refusal == Result.CLIENT_GONE:
                if client == self._client:
                    self._forget_client()
                if not maybe:
                    continue  # the record never did it, and knows nothing of it: a new client asks anew
            if result.refusal in (Result.CLIENT_GONE, Result.NUMBER_GONE):
                raise self._unknown(machine, number)
            name = Result.Refusal.Name(result.refusal)
            raise CommandRefused(
                f"{machine}: {name} {result.text[:200]}".strip(), refusal=name, machine=machine
            )

    def _command(self, command: council_pb2.Command, until: float) -> tuple[Result | None, bool]:
        """Return what the record says, None when the time is up; and whether it may be done unsaid."""
        maybe = [False]

        def ask() -> pb.Ask:
            command.heard = self._heard
            return pb.Ask(command=command.SerializeToString())

        told = self._ask(ask, until, maybe)
        return (None if told is None else told[1]), maybe[0]

    def _open(self, until: float) -> int:
        """Be given a number as a client, once for all that wait for it."""
        if self._opening is None:
            self._opening = Once(self.loop)
            self.loop.spawn(self._open_client, self._opening, name="asker: open")
        opening = self._opening
        try:
            with self.loop.deadline_at(until):
                opening.wait()
        except TimeoutError:
            raise self._nobody() from None
        if not opening.value:
            raise self._nobody()
        return opening.value

    def _open_client(self, opening: Once) -> None:
        result, _ = self._command(council_pb2.Command(), self.loop.now() + 4.0 * ATTEMPT_MS)
        if result is not None and result.refusal == Result.NONE:
            self._client, self._number, self._heard, self._over = result.index, 0, 0, set()
        self._opening = None
        opening.set(self._client)

    def _forget_client(self) -> None:
        self._client = 0
        while self._lined:
            self._lined.popleft().set()

    def _take_number(self, until: float) -> int:
        """Return the next number, when the record has room to keep its answer."""
        client = self._client
        while self._number - self._heard >= MAX_RETAINED_RESULTS and client == self._client:
            if len(self._lined) >= LINED_MOST:
                raise AskerFull(f"{LINED_MOST} commands wait here already", most=LINED_MOST)
            turn = Once(self.loop)
            self._lined.append(turn)
            try:
                with self.loop.deadline_at(until):
                    turn.wait()
            except TimeoutError:
                raise self._nobody() from None
            finally:
                if turn in self._lined:
                    self._lined.remove(turn)
        self._number += 1
        return self._number

    def _end_number(self, number: int) -> None:
        self._over.add(number)
        while self._heard + 1 in self._over:
            self._heard += 1
            self._over.discard(self._heard)
        for _ in range(min(len(self._lined), MAX_RETAINED_RESULTS - (self._number - self._heard))):
            self._lined.popleft().set()

    # Reads.

    def read(self, machine: str, query: bytes = b"", *, within_ms: float) -> Seen:
        """Return a machine's state or answer to a query, as of now. Raises `CouncilLost` and its like."""
        return self._view(pb.View(machine=machine, query=query, fresh=True), within_ms)

    def fact(self, machine: str, kind: str, key: str, *, within_ms: float, fresh: bool = True) -> Seen:
        """Return a fact; without `fresh` as some member knows it. Raises `CouncilLost` and its like."""
        return self._view(pb.View(machine=machine, kind=kind, key=key, fresh=fresh), within_ms)

    def watch(
        self, machine: str, after: int = 0, *, wait_ms: float, query: bytes = b"", unlike: bytes | None = None
    ) -> Seen:
        """Return the state once it has changed behind the revision, or as it is after so long.

        With `unlike` it is the answer to the query that has to be another. Raises `AskerFull` when as many
        watch as may, and `CouncilLost` and its like.
        """
        if self._watches >= WATCHES_MOST:
            raise AskerFull(f"{WATCHES_MOST} watches are under way", most=WATCHES_MOST)
        self._watches += 1
        try:
            view = pb.View(machine=machine, query=query, after=after, wait_ms=int(wait_ms), unlike=unlike)
            return self._view(view, wait_ms + 4.0 * ATTEMPT_MS, wait_ms)
        finally:
            self._watches -= 1

    def leader(self, make: Callable[[], pb.Ask], within_ms: float) -> bytes:
        """Return what the leader alone answers to an ask. Raises `CouncilLost` and its like."""
        found = self._ask(make, self.loop.now() + within_ms, [False])
        if found is None:
            raise self._nobody()
        if found[1].refusal != Result.NONE:
            name = Result.Refusal.Name(found[1].refusal)
            raise CommandRefused(f"the leader: {name} {found[1].text[:200]}".strip(), refusal=name)
        return found[1].body

    def _view(self, view: pb.View, within_ms: float, long_ms: float = 0.0) -> Seen:
        until = self.loop.now() + within_ms
        found = self._ask(lambda: pb.Ask(view=view), until, [False], long_ms)
        if found is None:
            raise self._nobody()
        told, result = found
        if result.refusal != Result.NONE:
            name = Result.Refusal.Name(result.refusal)
            raise CommandRefused(
                f"{view.machine}: {name} {result.text[:200]}".strip(), refusal=name, machine=view.machine
            )
        return Seen(result.body, told.fact, told.revision, result.index, told.clock_ms)

    # Who is asked.

    def _ask(
        self, make: Callable[[], pb.Ask], until: float, maybe: list[bool], long_ms: float = 0.0
    ) -> tuple[pb.Told, Result] | None:
        """Ask one member after the other until one answers for good; None when the time is up.

        `maybe[0]` becomes true where an ask went out and what became of it is not known.
        """
        waits, hops = Waits(self.random, most_ms=AGAIN_MOST_MS), 0
        self._last = Result.NONE
        while self.loop.now() < until:
            line = self._connected(until)
            if line is None:
                continue
            again_ms = 0.0
            self.asked += 1
            told = line.ask(make(), min(until, self.loop.now() + ATTEMPT_MS + long_ms))
            if told is None:
                self.lost += 1
                maybe[0] = True
                self._turn(line.name, "")
            else:
                result = Result.FromString(told.result)
                if result.refusal not in LATER:
                    return told, result
                self._last = result.refusal
                maybe[0] = maybe[0] or result.refusal == Result.UNKNOWN
                again_ms = float(result.again_ms)
                if (
                    result.refusal != Result.TOO_MANY
                    and self._turn(line.name, result.leader)
                    and hops < len(self._order)
                ):
                    hops += 1
                    continue  # somebody said who leads: no need to wait
                hops = 0
            wait = max(waits.next(), again_ms)
            self.loop.sleep(max(0.0, min(wait, until - self.loop.now())))
        return None

    def _turn(self, asked: str, leader: str) -> bool:
        """Ask another from now on, unless somebody turned already; tell whether it should know."""
        if self._target != asked:
            return True
        if leader in self.members and leader != asked:
            self._target = leader
        elif leader != asked:
            self._target = self._order[(self._order.index(asked) + 1) % len(self._order)]
        if self._target != asked and self._line is not None:
            self._leave(self._line)
        return leader in self.members and leader != asked

    def _leave(self, line: Line) -> None:
        """Let a line end when what is under way on it has its answers; nothing new goes there."""
        self._line = None
        self.loop.after(ATTEMPT_MS, line.close)

    def _connected(self, until: float) -> Line | None:
        """Return a line to some member; None: the dial that was waited for has failed, or the time is up."""
        if self._line is not None and self._line.up:
            return self._line
        rest = min(self._rest_until, until) - self.loop.now()
        if rest > 0.0:
            self.loop.sleep(rest)
            return None
        if self._dialing is None:
            self._dialing = Once(self.loop)
            self.loop.spawn(self._dial, self._dialing, name="asker: dial")
        try:
            with self.loop.deadline_at(until):
                return self._dialing.wait()
        except TimeoutError:
            return None

    def _dial(self, dialing: Once) -> None:
        name, line = self._target, None
        try:
            line = self._connect(name)
            self.wrong = None
        except CouncilError as exc:
            if type(exc) is not type(self.wrong):
                self.said(exc)
            self.wrong = exc
        except (OSError, TimeoutError):
            pass
        finally:
            if line is None:
                self._rest(name)
            else:
                self._failed = 0
                self._dial_waits.reset()
            self._line, self._dialing = line, None
            dialing.set(line)

    def _rest(self, name: str) -> None:
        """Dial the next one; when all have failed, wait first, once for all who ask here."""
        if self._target == name:
            self._target = self._order[(self._order.index(name) + 1) % len(self._order)]
        self._failed += 1
        if self._failed % len(self._order) == 0:
            self._rest_until = self.loop.now() + self._dial_waits.next()

    def _connect(self, name: str) -> Line:
        loop = self.loop
        with loop.deadline(DIAL_MS):
            stream = loop.connect(self.members[name])
            try:
                stream.write(framed(pb.Hello(protocol=PROTOCOL, fleet=self.fleet, name=self.name)))
                reader = FrameReader(stream)
                hello = reader.hello()
                if hello is None:
                    raise FrameRefused(f"{name} closed without a word", peer=name)
                wrong = wrong_hello(hello, self.fleet)
                if wrong is None and hello.refused:
                    wrong = FleetMismatch(f"{name} refuses us: {hello.refused[:200]}", peer=name)
                if wrong is None and hello.name != name:
                    wrong = NameMismatch(
                        f"{hello.name!r} answers where {name!r} is said to be", theirs=hello.name, wanted=name
                    )
                if wrong is not None:
                    raise wrong
            except BaseException:
                stream.abort()
                raise
        return Line(loop, name, stream, reader)

    # Errors.

    def _unknown(self, machine: str, number: int) -> OutcomeUnknown:
        return OutcomeUnknown(
            f"{machine}: command {number} may be done or not",
            machine=machine,
            client=self._client,
            number=number,
        )

    def _nobody(self) -> CouncilError:
        if self.wrong is not None:
            return self.wrong
        if self._last in (Result.NO_LEADER, Result.NOT_LEADER):
            return NoLeader("no member leads", again_ms=AGAIN_MS, members=self._order)
        return CouncilLost("no member answered", again_ms=AGAIN_MS, members=self._order)

    def close(self) -> None:
        """Give the connection up."""
        if self._line is not None:
            self._line.close()
