"""Exhaustive search of a council of three: every order of what can happen, to a depth or a number of states.

Cores are values here: what happens to one is worked out once for each state of it, and remembered. A message
that is lost is one that is never delivered; one that is doubled is delivered and stays. Time is each member's
own: it jumps to where its core would act, or forgets its leader.
`python tests/support/raft_search.py --states 1000000`.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import argparse
import sys
import time
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from random import Random
from typing import Any, NamedTuple

from google.protobuf.message import Message

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft import messages as api
from fennelwind.raft.log import Configuration
from fennelwind.raft.member import RaftMember
from fennelwind.raft.messages import DurableState, Incarnation, Timing

NAMES = ("a", "b", "c")
LIVES = tuple(Incarnation(name, name.encode()) for name in NAMES)
TIMING = Timing(
    heartbeat_ms=100,
    election_timeout_ms=200,
    max_append_bytes=1,
    max_in_flight_appends=2,
    clock_entry_interval_ms=1e12,
)
TIMES = (
    "now_ms",
    "last_leader_contact_ms",
    "last_response_ms",
    "last_write_progress_ms",
    "no_campaign_until_ms",
    "removal_pause_until_ms",
    "election_deadline_ms",
    "_timer_ms",
    "next_heartbeat_ms",
    "last_entry_ms",
    "transfer_deadline_ms",
    "sent_ms",
    "removal_notice_until_ms",
)
LONG_AGO = -1000.0  # ms; all times before are alike
HIDDEN = (
    "counters",
    "random",
    "member",
    "timing",
    "configured_members",
    "actions",
    "clock_base_ms",
    "data",
    "snapshot_data",
    "_reported_role",
    "_timer_ms",
    "started_ms",
    "last_entry_ms",
    "sent_ms",
    "is_requested",
    "last_write_progress_ms",
    "bootstrap",
    "incoming",
    "max_message_bytes",
    "max_reads",
    "round_starts",
)  # no rule rests on them


ATOMS = (int, float, str, bytes, bool, type(None), Incarnation)
SHARED = (Message, Configuration, Timing, Counter, Random, api.Send, api.RoleChanged)


class Broken(AssertionError):
    """Something happened that may never happen."""


class Found(Broken):
    """A path to it."""

    def __init__(self, what: str, path: list[str], states: int) -> None:
        self.what, self.path, self.states = what, path, states
        super().__init__(f"{what}; {states} states, behind {len(path)} steps: {'; '.join(path)}")


class Middle(Random):
    """Chance that always says the same: time is the search's to choose."""

    def random(self) -> float:
        """Return one half."""
        return 0.5


def copy(value: Any, core: RaftMember | None = None) -> Any:
    """Return a copy of a core; messages, entries and events are never changed and are shared."""
    kind = type(value)
    if kind in ATOMS or isinstance(value, SHARED):
        return value
    if kind in (list, deque, set, tuple, bytearray):
        return kind([copy(each, core) for each in value])
    if kind is dict:
        return {key: copy(each, core) for key, each in value.items()}
    if isinstance(value, RaftMember) and core is not None:
        return core
    made = kind.__new__(kind)
    core = made if isinstance(value, RaftMember) else core
    for name in value.__dict__ if hasattr(value, "__dict__") else value.__slots__:
        setattr(made, name, copy(getattr(value, name), core))
    return made


def key(value: Any) -> Any:
    """Return what tells one state of a core from another."""
    kind = type(value)
    if kind in ATOMS:
        return value
    if isinstance(value, (list, deque, tuple)):
        return tuple([key(each) for each in value])
    if kind in (set, bytearray):
        return tuple(sorted(value))
    if kind is dict:
        return tuple([(name, key(each)) for name, each in sorted(value.items())])
    if isinstance(value, Message):
        return value.SerializeToString(deterministic=True)
    names = value.__dict__ if hasattr(value, "__dict__") else value.__slots__
    return tuple([key(getattr(value, name)) for name in names if name not in HIDDEN])


def shift(value: Any, by: float) -> None:
    """Count a core's times from its present."""
    for name in TIMES:
        at = getattr(value, name, None)
        if at is not None:
            setattr(value, name, max(at - by, LONG_AGO))


class Cell(NamedTuple):
    """One member: its core, what is surely on its disk, what is being written."""

    core: RaftMember
    hard: pb.HardState
    entries: tuple[pb.Entry, ...]
    pending: tuple[api.Write, ...]
    failed: bool = False

    def holds(self, index: int, term: int) -> bool:
        """Whether an entry is on the disk."""
        return len(self.entries) >= index and self.entries[index - 1].term == term

    def after(self, write: api.Write) -> "Cell":
        """Return the disk with a write that is sure."""
        entries = self.entries if write.truncate_after is None else self.entries[: write.truncate_after]
        return self._replace(entries=entries + write.entries, hard=write.hard_state or self.hard)


class State(NamedTuple):
    """All members, what is on its way, what was seen, and what may still happen."""

    cells: tuple[int, int, int]
    net: tuple[int, ...]
    seen: tuple[tuple[int, int], ...]  # leaders by term
    votes: tuple[tuple[int, int, int], ...]  # voter, term, for whom
    agreed: tuple[bytes, ...]
    told: int  # the highest index that was answered
    asked: int  # what had been answered when the read was asked for; -1: none is out
    left: tuple[int, ...]  # of time-outs, crashes, proposals, reads, doublings, failed writes


@dataclass
class Bounds:
    """How often each may happen on one path."""

    timeouts: int = 2
    crashes: int = 1
    proposals: int = 1
    reads: int = 1
    doubles: int = 1
    failures: int = 0

    def left(self) -> tuple[int, ...]:
        """Return them as a state has them."""
        return (self.timeouts, self.crashes, self.proposals, self.reads, self.doubles, self.failures)


TIMEOUT, CRASH, PROPOSE, READ, DOUBLE, FAIL = range(6)


class Search:
    """The states that can be reached, and what is known of each member's own."""

    def __init__(self, core: type[RaftMember] = RaftMember) -> None:
        self.kind = core
        self.cells: list[Cell] = []
        self.cell_ids: dict[Any, int] = {}
        self.messages: list[tuple[int, int, pb.Message]] = []  # from, to, what
        self.message_ids: dict[tuple[int, int, bytes], int] = {}
        self.known: dict[Any, tuple[int, tuple[int, ...], tuple]] = {}

    # Members

    def cell(self, cell: Cell) -> int:
        """Return the number of a member's state."""
        shift_core(cell.core)
        this = (key(cell.core), key(cell.hard), key(cell.entries), key(cell.pending), cell.failed)
        number = self.cell_ids.setdefault(this, len(self.cells))
        if number == len(self.cells):
            self.cells.append(cell)
        return number

    def begun(self, me: int, hard: pb.HardState, entries: tuple) -> tuple[Cell, list[api.Action]]:
        """Return a member that has just opened its folder."""
        core = self.kind(TIMING, DurableState(LIVES[me], hard, entries=list(entries)), 0)
        core.random = Middle()
        return Cell(core, hard, entries, ()), core.step(0.0, ())

    def happen(self, me: int, number: int, what: str, detail: Any = None) -> tuple[int, tuple, tuple]:
        """Return what a member becomes, what it sends, and what it lets be seen."""
        this = (me, number, what, detail)
        known = self.known.get(this)
        if known is None:
            known = self.known[this] = self._happen(me, self.cells[number], what, detail)
        return known

    def _happen(self, me: int, cell: Cell, what: str, detail: Any) -> tuple[int, tuple[int, ...], tuple]:
        if what == "crash":
            for write in cell.pending[:detail]:
                cell = cell.after(write)
            cell, actions = self.begun(me, cell.hard, cell.entries)
            return self._carry_out(me, cell, actions)
        core, at, events = copy(cell.core), 0.0, []
        cell = cell._replace(core=core)
        match what:
            case "deliver":
                sender, _, message = self.messages[detail]
                events = [api.MessageReceived(LIVES[sender], message)]
            case "written":
                events = [api.WriteCompleted(cell.pending[0].number)]
                cell = cell.after(cell.pending[0])._replace(pending=cell.pending[1:])
            case "fail":
                events = [api.WriteFailed(cell.pending[0].number, True)]
                for write in cell.pending[:detail]:
                    cell = cell.after(write)
                cell = cell._replace(pending=(), failed=True)
            case "mend":
                events = [
                    api.StorageRecovered(DurableState(LIVES[me], cell.hard, entries=list(cell.entries)))
                ]
                cell = cell._replace(failed=False)
            case "timeout":
                at = (
                    core.leader_state.next_heartbeat_ms
                    if core.leader_state
                    else max(
                        core.election_deadline_ms,
                        core.last_leader_contact_ms + core.randomized_election_timeout_ms,
                    )
                )
            case "lapse":
                at = core.last_leader_contact_ms + TIMING.election_timeout_ms
            case "propose":
                events = [api.Propose(detail, pb.Command(client=1, number=detail))]
            case "read":
                events = [api.ReadRequested(detail)]
        return self._carry_out(me, cell, core.step(at, events))

    def _carry_out(self, me: int, cell: Cell, actions: list) -> tuple[int, tuple[int, ...], tuple]:
        sent, effects, pending = [], [], list(cell.pending)
        core = cell.core
        if core.leader_state is not None:
            effects.append(("leads", core.term, me, key(core.log.entries)))
        for action in actions:
            match action:
                case api.Write():
                    pending.append(action)
                case api.Send(to, message):
                    if to in LIVES:
                        sent.append(self._message(me, LIVES.index(to), message))
                    body = message.WhichOneof("body")
                    if body == "vote" and not message.vote.before:
                        effects.append(("votes", message.term, me, me))
                    vote = message.vote_answer
                    if body == "vote_answer" and vote.granted and not vote.before:
                        effects.append(("votes", message.term, me, LIVES.index(to)))
                    if body == "append_answer" and message.append_answer.took:
                        index = message.append_answer.index
                        if index and not cell.holds(index, core.log.term(index)):
                            effects.append(("broken", f"{NAMES[me]} says that {index} is on its disk"))
                case api.Apply(entries):
                    effects += [
                        ("agreed", e.index, e.term, e.SerializeToString(deterministic=True)) for e in entries
                    ]
                case api.ProposalOutcome(_, refusal, index) if not refusal:
                    effects.append(("answered", index))
                case api.ReadOutcome(_, index, refusal):
                    effects.append(("read", -1 if refusal else index))
        number = self.cell(cell._replace(pending=tuple(pending)))
        return number, tuple(sent), tuple(effects)

    def _message(self, me: int, to: int, message: pb.Message) -> int:
        this = (me, to, message.SerializeToString(deterministic=True))
        number = self.message_ids.setdefault(this, len(self.messages))
        if number == len(self.messages):
            self.messages.append((me, to, message))
        return number

    # All together

    def start(self, bounds: Bounds) -> State:
        """Return three members that have a record and no leader."""
        members = pb.Members(members=[pb.Member(name=n, life=n.encode(), votes=True) for n in NAMES])
        entry = pb.Entry(term=1, index=1, members=members)
        cells = tuple(self.cell(self.begun(me, pb.HardState(term=1), (entry,))[0]) for me in range(3))
        return State(cells, (), (), (), (), 0, -1, bounds.left())

    def take(
        self,
        state: State,
        me: int,
        what: str,
        detail: Any = None,
        spend: int | None = None,
        gone: int | None = None,
    ) -> State:
        """Let something happen to a member; raises Broken where it may not come to that."""
        number, sent, effects = self.happen(me, state.cells[me], what, detail)
        cells = state.cells[:me] + (number,) + state.cells[me + 1 :]
        net = set(state.net)
        if gone is not None:
            net.discard(gone)
        net.update(sent)
        seen, votes, agreed = dict(state.seen), state.votes, state.agreed
        told, asked, left = state.told, state.asked, state.left
        if what == "read":
            asked = told
        if what == "crash":
            asked = -1 if asked >= 0 and self.cells[state.cells[me]].core.leader_state else asked
        if spend is not None:
            left = left[:spend] + (left[spend] - 1,) + left[spend + 1 :]
        for effect in effects:
            match effect:
                case ("broken", text):
                    raise Broken(text)
                case ("leads", term, leader, held):
                    if term not in seen and held[: len(agreed)] != agreed:
                        raise Broken(f"the leader of term {term} lacks agreed entries")
                    if seen.setdefault(term, leader) != leader:
                        raise Broken(f"two leaders in term {term}")
                case ("votes", term, voter, whom):
                    if any((a, b) == (voter, term) and c != whom for a, b, c in votes):
                        raise Broken(f"{NAMES[voter]} voted twice in term {term}")
                    if (voter, term, whom) not in votes:
                        votes = tuple(sorted((*votes, (voter, term, whom))))
                case ("agreed", index, term, data):
                    if index <= len(agreed):
                        if agreed[index - 1] != data:
                            raise Broken(f"agreed entry {index} differs at {NAMES[me]}")
                        continue
                    if index != len(agreed) + 1:
                        raise Broken(f"{NAMES[me]} leaves out an entry before {index}")
                    if sum(self.cells[n].holds(index, term) for n in cells) < 2:
                        raise Broken(f"entry {index} agreed on one disk")
                    agreed = (*agreed, data)
                case ("answered", index):
                    told = max(told, index)
                case ("read", index):
                    if 0 <= index < asked:
                        raise Broken(f"a read sees {index}, though {asked} had been answered")
                    told, asked = max(told, index), -1
        return State(cells, tuple(sorted(net)), tuple(sorted(seen.items())), votes, agreed, told, asked, left)

    def moves(self, state: State) -> Iterator[tuple[str, State]]:
        """Return all that can happen next."""
        left = state.left
        for number in state.net:
            sender, to, message = self.messages[number]
            name = f"{NAMES[sender]}>{NAMES[to]} {message.WhichOneof('body')}"
            yield name, self.take(state, to, "deliver", number, gone=number)
            if left[DOUBLE]:
                yield name + " doubled", self.take(state, to, "deliver", number, DOUBLE)
        for me, number in enumerate(state.cells):
            cell = self.cells[number]
            core, name = cell.core, NAMES[me]
            if cell.pending:
                yield f"{name} written", self.take(state, me, "written")
            if left[TIMEOUT] and not core.storage_failed:
                yield f"{name} time-out", self.take(state, me, "timeout", None, TIMEOUT)
            if (
                core.leader is not None
                and core.leader_state is None
                and core.last_leader_contact_ms > -TIMING.election_timeout_ms
            ):
                yield f"{name} forgets its leader", self.take(state, me, "lapse")
            if left[CRASH]:
                for survives in {0, len(cell.pending)}:
                    yield (
                        f"{name} crashes, {survives} written",
                        self.take(state, me, "crash", survives, CRASH),
                    )
            if left[FAIL] and cell.pending:
                for survives in {0, len(cell.pending)}:
                    yield (
                        f"{name} fails to write, {survives} written",
                        self.take(state, me, "fail", survives, FAIL),
                    )
            if cell.failed:
                yield f"{name} can write", self.take(state, me, "mend")
            if core.leader_state is not None and left[PROPOSE]:
                yield f"{name} proposes", self.take(state, me, "propose", left[PROPOSE], PROPOSE)
            if core.leader_state is not None and left[READ] and state.asked < 0:
                yield f"{name} reads", self.take(state, me, "read", 100 + left[READ], READ)

    # Starts

    def quiet(self, state: State, among: str = "abc", until: int | None = None) -> State:
        """Deliver and write all that there is among some members, or until one leads; drop the rest."""
        places = [NAMES.index(name) for name in among]
        for _ in range(1000):
            writing = [me for me in places if self.cells[state.cells[me]].pending]
            coming = [n for n in state.net if self.messages[n][0] in places and self.messages[n][1] in places]
            if until is not None and self.cells[state.cells[until]].core.leader_state is not None:
                return state._replace(net=tuple(coming))
            if writing:
                state = self.take(state, writing[0], "written")
            elif coming:
                state = self.take(state, self.messages[coming[0]][1], "deliver", coming[0], gone=coming[0])
            else:
                return state._replace(net=())
        raise Broken("never quiet")

    def led(self, bounds: Bounds) -> State:
        """Return a council that a leads, all the same everywhere."""
        state = self.quiet(self.take(self.start(bounds), 0, "timeout"))
        return self.quiet(self.take(state, 0, "timeout"))

    def contested(self, bounds: Bounds) -> State:
        """Return one where a leads still with an entry that nobody else has, and b leads a later term."""
        state = self.take(self.led(bounds), 0, "propose", 77)
        state = self.quiet(state, "a")
        state = self.quiet(self.take(self.take(state, 2, "lapse"), 1, "timeout"), "bc")
        return self.quiet(self.take(state, 1, "propose", 79), "bc")

    def rivals(self, bounds: Bounds) -> State:
        """Return one where a and b ask for votes in the same term."""
        state = self.start(bounds)
        for me in (0, 1):
            state = self.take(state, me, "timeout")
        for me in (0, 1):
            ask = next(n for n in state.net if self.messages[n][:2] == (me, 2))
            state = self.take(state, 2, "deliver", ask, gone=ask)
            answer = next(n for n in state.net if self.messages[n][:2] == (2, me))
            state = self.take(self.take(state, me, "deliver", answer, gone=answer), me, "written")
        return state._replace(
            net=tuple(
                n
                for n in state.net
                if self.messages[n][2].vote.last_index and not self.messages[n][2].vote.before
            )
        )

    def old_term(self, bounds: Bounds) -> State:
        """Return one where a leads again with an entry of its earlier term; b has another of one between."""
        state = self.quiet(self.take(self.led(bounds), 0, "propose", 77), "a")
        state = self.quiet(self.take(state, 0, "crash", 0), "a")
        state = self.quiet(self.take(self.take(state, 2, "lapse"), 1, "timeout"), "bc", 1)
        state = self.quiet(self.take(self.quiet(state, "b"), 1, "crash", 0), "b")
        state = self.quiet(self.take(state, 0, "timeout"), "ac")  # learns of b's term
        state = self.quiet(self.take(state, 0, "timeout"), "ac", 0)
        (probe,) = state.net
        state = self.quiet(self.take(state, 1, "timeout"), "bc")  # and b of a's
        state = self.take(state, 2, "deliver", probe)
        return self.take(state, 0, "deliver", state.net[0], gone=state.net[0])

    def tails(self, bounds: Bounds) -> State:
        """Return one where a holds an old entry, b a later one, c neither: nobody leads any more."""
        state = self.contested(bounds)
        state = self.quiet(self.take(state, 1, "propose", 78), "b")
        for me in (0, 1):
            state = self.take(state, me, "crash", 0)
        return state._replace(net=())


def shift_core(core: RaftMember) -> None:
    """Count all of a core's times from its present."""
    by = core.now_ms
    for part in (
        core,
        core.bootstrap,
        *((core.leader_state, *core.leader_state.peers.values()) if core.leader_state else ()),
    ):
        shift(part, by)
    if core.leader_state is not None:
        core.leader_state.started_ms = 0.0  # the record's clock stands still: no rule rests on it


def run(search: Search, start: State, states: int, depth: int) -> dict[str, Any]:
    """Search breadth first from a state; return how far it came. Raises Found."""
    found = {hash(start)}
    level: list[tuple[State, Any]] = [(start, None)]
    moves = deep = 0
    began = time.perf_counter()
    whole = 0
    while level and deep < depth and len(found) < states:
        deep += 1
        following = []
        for state, path in level:
            try:
                for name, after in search.moves(state):
                    moves += 1
                    code = hash(after)
                    if code not in found:
                        found.add(code)
                        following.append((after, (path, name)))
            except Broken as exc:
                names = []
                while path is not None:
                    path, name = path
                    names.append(name)
                raise Found(str(exc), names[::-1], len(found)) from exc
            if len(found) >= states:
                break
        else:
            whole = deep
        level = following
    return {
        "states": len(found),
        "moves": moves,
        "depth": whole,
        "seconds": time.perf_counter() - began,
        "members' states": len(search.cells),
        "all": not level,
    }


FEW = Bounds(timeouts=2, crashes=1, proposals=0, reads=0, doubles=0)
STARTS = {
    "start": Bounds(),
    "led": Bounds(),
    "contested": Bounds(),
    "tails": Bounds(),
    "rivals": FEW,
    "old_term": Bounds(timeouts=1, crashes=0, proposals=0, reads=0, doubles=0),
}


def main() -> int:
    """Search from each start."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--states", type=int, default=1_000_000, help="in all, shared by the starts")
    parser.add_argument("--depth", type=int, default=100)
    parser.add_argument("--failures", type=int, default=0, help="writes that may fail on one path")
    args = parser.parse_args()
    for name, bounds in STARTS.items():
        search = Search()
        start = getattr(search, name)(replace(bounds, failures=args.failures))
        print(name, run(search, start, args.states // len(STARTS), args.depth), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
