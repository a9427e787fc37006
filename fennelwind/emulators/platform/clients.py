"""Stand-in clients of one zone: planned requests over MessagePack-RPC, and the front that spreads them.

The front sends a request to its planned controller unless it has noticed that one to be gone; then another of
its zone takes it. A controller comes back in once it answers `isWell` with true.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import msgpack

from fennelwind.audit.observations import (
    FAILED,
    REFUSED,
    SERVED,
    STRANGE,
    Answered,
    Asked,
    Broken,
    Left,
    Odd,
    Sighting,
    Unreached,
)
from fennelwind.loop import Address, DeadlineExceeded, Loop, Once, Stream, StreamReset

OPEN_MOST = 32  # open requests on a connection, as the protocol states
IDLE_MS = 4000.0  # ms after which clients close an idle connection, as the protocol states
DIAL_MS = 400.0  # ms for a connection; then the front tries elsewhere
WELL_MS = 400.0  # ms for the answer to isWell
AFTER_MS = 600.0  # ms past its time in which a client still reads an answer: late ones are to be seen
ELSEWHERE_MOST = 3  # controllers that are tried for one request
PENDING_MOST = 50_000  # requests under way; what is over it is not asked, and counted
WITHDRAWN = "withdrawn"


@dataclass(slots=True, frozen=True)
class Wish:
    """A planned request, ready to be written."""

    number: int
    at_ms: float
    controller: int
    cls: int
    method: str
    wait_ms: float
    estimate_ms: float
    estimate_mb: float
    statement: bytes
    withdrawn_ms: float


@dataclass(slots=True, frozen=True)
class Manners:
    """How clients behave."""

    tenant: str
    retries: int
    backoff_ms: float
    honour: float
    notice_ms: float


class _Link:
    """One connection to a controller, with requests open on it."""

    def __init__(self, clients: "Clients", controller: int, stream: Stream) -> None:
        self.clients, self.controller, self.stream = clients, controller, stream
        self.unpacker = msgpack.Unpacker(raw=False, max_buffer_size=1 << 20)
        self.number = 0
        self.open: dict[int, Once] = {}
        self.given_up: dict[int, str] = {}  # requests whose answers nobody waits for any more, by number
        self.alive = True
        self.idle_since = clients.loop.now()
        clients.loop.spawn(self._read, name="client: read")

    def write(self, message: list) -> None:
        """Write a message. Raises `StreamReset` and `DeadlineExceeded`."""
        self.stream.write(msgpack.packb(message), DIAL_MS)

    def ask(self, method: str, params: list) -> tuple[int, Once]:
        """Write a request; return its number and what its answer will be set to: None if the link ends."""
        self.number += 1
        number = self.number
        once = self.open[number] = Once(self.clients.loop)
        try:
            self.write([0, number, method, params])
        except (StreamReset, DeadlineExceeded):
            self.open.pop(number, None)
            self.close()
            raise
        return number, once

    def _read(self) -> None:
        clients = self.clients
        try:
            while self.alive and (data := self.stream.read(65536)):
                self.unpacker.feed(data)
                for kind, number, error, result in self.unpacker:
                    once = self.open.pop(number, None)
                    if kind == 1 and number in self.given_up:
                        self._late(self.given_up.pop(number), error, result)
                    elif kind != 1 or once is None:
                        clients.odd(self.controller, f"an answer that nobody waits for: {number}")
                    else:
                        once.set((error, result))
                self.idle_since = clients.loop.now()
        except StreamReset:
            pass
        except (ValueError, TypeError, msgpack.UnpackException) as exc:
            clients.odd(self.controller, f"what can't be read: {type(exc).__name__}")
        finally:
            self.close()

    def _late(self, name: str, error: object, result: object) -> None:
        """Note an answer that came long after its time; one that crossed a withdrawal is nothing odd."""
        if name:
            kind, proof, wait = read_answer(name, error, result)
            self.clients.note(Answered(self.clients.clock(), name, kind, proof, wait))

    def close(self) -> None:
        """Close it; whoever waits on it is told that no answer will come."""
        if self.alive:
            self.alive = False
            self.stream.close()
            self.clients.links[self.controller].remove(self)
            for once in list(self.open.values()):
                once.set(None)
            self.open.clear()


class Clients:
    """The clients of one zone; `play` asks all that is planned and returns when all has ended."""

    def __init__(
        self,
        loop: Loop,
        wishes: Iterable[Wish],
        neighbours: dict[int, list[int]],
        where: Callable[[int], Address],
        manners: Manners,
        *,
        seed: str,
        note: Callable[[Sighting], None],
        clock: Callable[[], float],
    ) -> None:
        self.loop, self.wishes, self.neighbours = loop, list(wishes), neighbours
        self.where, self.manners, self.seed, self.note, self.clock = where, manners, seed, note, clock
        self.links: dict[int, list[_Link]] = {number: [] for number in neighbours}
        self.out: set[int] = set()  # controllers that the front has noticed to be gone
        self.pending = 0
        self.unasked = 0  # planned requests that found `PENDING_MOST` under way
        self._random = Random(f"{seed}/front")

    def play(self) -> None:
        """Ask everything at its time; return once all has ended."""
        tasks = []
        self.loop.spawn(self._sweep, name="clients: sweep")
        for wish in self.wishes:
            wait = wish.at_ms - self.clock()
            if wait > 0.0:
                self.loop.sleep(wait)
            if self.pending >= PENDING_MOST:
                self.unasked += 1
                self.note(Unreached(self.clock(), wish.number, wish.cls))
                continue
            self.pending += 1
            tasks.append(self.loop.spawn(self._wish, wish, name="client"))
            if len(tasks) > 2 * PENDING_MOST:
                tasks = [task for task in tasks if not task.done]
        for task in tasks:
            task.join()

    def odd(self, controller: int, text: str) -> None:
        """Note what makes no sense."""
        self.note(Odd(self.clock(), controller, text))

    def notice(self, controller: int) -> None:
        """Take a controller out until it is well again."""
        if controller not in self.out:
            self.out.add(controller)
            self.loop.spawn(self._watch, controller, name="front: watch")

    def _watch(self, controller: int) -> None:
        """Look at a controller that is out, again and again."""
        while True:
            self.loop.sleep(self.manners.notice_ms * (0.75 + 0.5 * self._random.random()))
            try:
                link = self._link(controller)
                with self.loop.deadline(WELL_MS):
                    answer = link.ask("isWell", [{}])[1].wait()
                if answer is not None and answer[0] is None and answer[1][0] is True:
                    self.out.discard(controller)
                    return
            except (OSError, DeadlineExceeded):
                continue

    def _sweep(self) -> None:
        while True:
            self.loop.sleep(500.0)
            old = self.loop.now() - IDLE_MS
            for links in self.links.values():
                for link in [link for link in links if not link.open and link.idle_since < old]:
                    link.close()

    def _link(self, controller: int) -> _Link:
        """Return a connection with room. Raises `OSError` and `DeadlineExceeded`."""
        for link in self.links[controller]:
            if link.alive and len(link.open) < OPEN_MOST:
                return link
        with self.loop.deadline(DIAL_MS):
            stream = self.loop.connect(self.where(controller))
        link = _Link(self, controller, stream)
        self.links[controller].append(link)
        return link

    def _choose(self, random: Random, planned: int, avoid: set[int]) -> int:
        """Return the planned controller, or another where the front has noticed that one to be gone."""
        if planned not in self.out and planned not in avoid:
            return planned
        near = [n for n in self.neighbours[planned] if n not in self.out and n not in avoid]
        far = [n for n in self.neighbours if n not in self.out and n not in avoid]
        return random.choice(near or far or [planned])

    def _wish(self, wish: Wish) -> None:
        """Ask until served, out of tries, or given up."""
        random = Random(f"{self.seed}/{wish.number}")
        honours = random.random() < self.manners.honour
        planned = wish.controller
        try:
            for retry in range(self.manners.retries + 1):
                kind, wait, controller = self._try(wish, random, planned, retry)
                if kind in (SERVED, WITHDRAWN, STRANGE, "") or retry == self.manners.retries:
                    return
                pause = self.manners.backoff_ms * 2**retry * (0.5 + random.random())
                if kind == REFUSED and honours:
                    pause = max(pause, wait)
                self.loop.sleep(pause)
                if kind in ("broken", "unreached"):
                    planned = self._choose(random, planned, {controller})
        finally:
            self.pending -= 1

    def _try(self, wish: Wish, random: Random, planned: int, retry: int) -> tuple[str, float, int]:
        """Make one try; return how it ended ("" for no answer in time), the wait told, and with whom."""
        avoid: set[int] = set()
        controller = planned
        for _ in range(ELSEWHERE_MOST):
            controller = self._choose(random, planned, avoid)
            try:
                link = self._link(controller)
                return self._ask(link, wish, random, retry)
            except (OSError, DeadlineExceeded):  # nothing, or half a request, has left
                avoid.add(controller)
                self.notice(controller)
        self.note(Unreached(self.clock(), wish.number, wish.cls))
        return "unreached", 0.0, controller

    def _ask(self, link: _Link, wish: Wish, random: Random, retry: int) -> tuple[str, float, int]:
        name, controller, now = f"{random.getrandbits(64):016x}", link.controller, self.clock()
        fields = {
            "i": name,
            "d": f"{wish.wait_ms:.0f}",
            "t": self.manners.tenant,
            "h": f"{wish.estimate_ms:.1f}",
            "mb": f"{math.ceil(wish.estimate_mb)}",
        }
        if retry:
            fields["r"] = "1"
        number, once = link.ask(wish.method, [fields, wish.statement])
        deadline = now + wish.wait_ms
        self.note(Asked(now, name, wish.number, retry, wish.cls, controller, deadline))
        patience = wish.withdrawn_ms or wish.wait_ms + AFTER_MS
        try:
            with self.loop.deadline(patience):
                answer = once.wait()
        except DeadlineExceeded:
            link.open.pop(number, None)
            link.given_up[number] = "" if wish.withdrawn_ms else name
            if not wish.withdrawn_ms:
                return "", 0.0, controller
            self.note(Left(self.clock(), name))
            try:
                link.write([2, "forget", [number]])
            except (StreamReset, DeadlineExceeded):
                link.close()
            return WITHDRAWN, 0.0, controller
        if answer is None:
            self.note(Broken(self.clock(), name))
            self.notice(controller)
            return "broken", 0.0, controller
        kind, proof, wait = read_answer(name, *answer)
        self.note(Answered(self.clock(), name, kind, proof, wait))
        return kind, wait, controller


def read_answer(name: str, error: object, result: object) -> tuple[str, str, float]:
    """Return an answer's kind, the proof an executor put into it, and the wait that it tells."""
    if error is not None:
        try:
            sort, fields = error
            wait = float(fields.get("w", "0"))
        except (ValueError, TypeError, AttributeError):
            return STRANGE, repr(error)[:80], 0.0
        return (REFUSED if sort == "Shed" else FAILED), "", wait
    try:
        rows = result[0].decode("utf-8").split("\n")
        parts = {tuple(row.split("\t")) for row in rows[:-1]}
    except (TypeError, IndexError, AttributeError, UnicodeDecodeError):
        return STRANGE, repr(result)[:80], 0.0
    if len(parts) != 1 or rows[-1] != "" or len(next(iter(parts))) != 3 or next(iter(parts))[0] != name:
        return STRANGE, f"{sorted(parts)[:2]}"[:80], 0.0
    return SERVED, next(iter(parts))[2], 0.0
