"""Exhaustive search of a Raft group of three: every order of events, to a depth or a number of states.

Cores are treated as values: the effect of an event on a member's state is computed once and cached. A lost
message is one that is never delivered; a duplicated one is delivered and stays in flight. Each member has its
own time, which jumps to its core's next timer or to the point where it no longer considers its leader alive.
`python tests/support/raft_search.py --states 1000000`.
"""

import search_paths  # noqa: F401 - for running as a program

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
INCARNATIONS = tuple(Incarnation(name, name.encode()) for name in NAMES)
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
LONG_AGO = -1000.0  # ms; earlier times are equivalent
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
)  # attributes that no decision depends on


ATOMS = (int, float, str, bytes, bool, type(None), Incarnation)
SHARED = (Message, Configuration, Timing, Counter, Random, api.Send, api.RoleChanged)


class InvariantViolation(AssertionError):
    """An invariant of Raft was violated."""


class ViolationFound(InvariantViolation):
    """A violation with the path that leads to it."""

    def __init__(self, what: str, path: list[str], states: int) -> None:
        self.what, self.path, self.states = what, path, states
        super().__init__(f"{what}; {states} states, after {len(path)} steps: {'; '.join(path)}")


class FixedRandom(Random):
    """A random generator with a constant result, as the search chooses all times."""

    def random(self) -> float:
        """Return one half."""
        return 0.5


def copy_value(value: Any, core: RaftMember | None = None) -> Any:
    """Return a deep copy of a core; messages, entries and events are immutable and shared."""
    kind = type(value)
    if kind in ATOMS or isinstance(value, SHARED):
        return value
    if kind in (list, deque, set, tuple, bytearray):
        return kind([copy_value(each, core) for each in value])
    if kind is dict:
        return {key: copy_value(each, core) for key, each in value.items()}
    if isinstance(value, RaftMember) and core is not None:
        return core
    made = kind.__new__(kind)
    core = made if isinstance(value, RaftMember) else core
    for name in value.__dict__ if hasattr(value, "__dict__") else value.__slots__:
        setattr(made, name, copy_value(getattr(value, name), core))
    return made


def state_key(value: Any) -> Any:
    """Return a key that is equal for equivalent states of a core."""
    kind = type(value)
    if kind in ATOMS:
        return value
    if isinstance(value, (list, deque, tuple)):
        return tuple([state_key(each) for each in value])
    if kind in (set, bytearray):
        return tuple(sorted(value))
    if kind is dict:
        return tuple([(name, state_key(each)) for name, each in sorted(value.items())])
    if isinstance(value, Message):
        return value.SerializeToString(deterministic=True)
    names = value.__dict__ if hasattr(value, "__dict__") else value.__slots__
    return tuple([state_key(getattr(value, name)) for name in names if name not in HIDDEN])


def shift_times(value: Any, by: float) -> None:
    """Make an object's times relative to its core's current time."""
    for name in TIMES:
        at = getattr(value, name, None)
        if at is not None:
            setattr(value, name, max(at - by, LONG_AGO))


class MemberState(NamedTuple):
    """One member: its core, what is durable, and its pending writes."""

    core: RaftMember
    hard_state: pb.HardState
    entries: tuple[pb.Entry, ...]
    pending: tuple[api.Write, ...]
    failed: bool = False

    def holds(self, index: int, term: int) -> bool:
        """Whether an entry is durable."""
        return len(self.entries) >= index and self.entries[index - 1].term == term

    def after(self, write: api.Write) -> "MemberState":
        """Return this state with a write made durable."""
        entries = self.entries if write.truncate_after is None else self.entries[: write.truncate_after]
        return self._replace(entries=entries + write.entries, hard_state=write.hard_state or self.hard_state)


class State(NamedTuple):
    """The members, messages in flight, the history for the checks, and the budget of events."""

    members: tuple[int, int, int]
    in_flight: tuple[int, ...]  # messages
    leaders: tuple[tuple[int, int], ...]  # leaders by term
    votes: tuple[tuple[int, int, int], ...]  # voter, term, candidate
    committed: tuple[bytes, ...]
    answered_index: int  # the highest index answered
    read_floor: int  # answered_index when the pending read was requested; -1: none pending
    budget: tuple[int, ...]  # timeouts, crashes, proposals, reads, duplications, failed writes


@dataclass
class Bounds:
    """How often each kind of event may happen on one path."""

    timeouts: int = 2
    crashes: int = 1
    proposals: int = 1
    reads: int = 1
    duplicates: int = 1
    failures: int = 0

    def budget(self) -> tuple[int, ...]:
        """Return the initial budget of a state."""
        return (self.timeouts, self.crashes, self.proposals, self.reads, self.duplicates, self.failures)


TIMEOUT, CRASH, PROPOSE, READ, DUPLICATE, FAIL = range(6)


class Search:
    """A search with its tables of member states, messages and cached transitions."""

    def __init__(self, core: type[RaftMember] = RaftMember) -> None:
        self.kind = core
        self.member_states: list[MemberState] = []
        self.member_state_ids: dict[Any, int] = {}
        self.messages: list[tuple[int, int, pb.Message]] = []  # sender, recipient, message
        self.message_ids: dict[tuple[int, int, bytes], int] = {}
        self.transition_cache: dict[Any, tuple[int, tuple[int, ...], tuple]] = {}

    # Members

    def member_id(self, member: MemberState) -> int:
        """Return the id of a member's state."""
        shift_core_times(member.core)
        identity = (
            state_key(member.core),
            state_key(member.hard_state),
            state_key(member.entries),
            state_key(member.pending),
            member.failed,
        )
        number = self.member_state_ids.setdefault(identity, len(self.member_states))
        if number == len(self.member_states):
            self.member_states.append(member)
        return number

    def restarted(
        self, me: int, hard_state: pb.HardState, entries: tuple
    ) -> tuple[MemberState, list[api.Action]]:
        """Return a member that has just opened its folder, and its first actions."""
        core = self.kind(TIMING, DurableState(INCARNATIONS[me], hard_state, entries=list(entries)), 0)
        core.random = FixedRandom()
        return MemberState(core, hard_state, entries, ()), core.step(0.0, ())

    def transition(self, me: int, number: int, what: str, detail: Any = None) -> tuple[int, tuple, tuple]:
        """Return a member's next state, the messages it sends, and the effects to check; cached."""
        identity = (me, number, what, detail)
        cached = self.transition_cache.get(identity)
        if cached is None:
            cached = self.transition_cache[identity] = self._compute_transition(
                me, self.member_states[number], what, detail
            )
        return cached

    def _compute_transition(
        self, me: int, member: MemberState, what: str, detail: Any
    ) -> tuple[int, tuple[int, ...], tuple]:
        if what == "crash":
            for write in member.pending[:detail]:
                member = member.after(write)
            member, actions = self.restarted(me, member.hard_state, member.entries)
            return self._carry_out(me, member, actions)
        core, at, events = copy_value(member.core), 0.0, []
        member = member._replace(core=core)
        match what:
            case "deliver":
                sender, _, message = self.messages[detail]
                events = [api.MessageReceived(INCARNATIONS[sender], message)]
            case "written":
                events = [api.WriteCompleted(member.pending[0].number)]
                member = member.after(member.pending[0])._replace(pending=member.pending[1:])
            case "fail":
                events = [api.WriteFailed(member.pending[0].number, True)]
                for write in member.pending[:detail]:
                    member = member.after(write)
                member = member._replace(pending=(), failed=True)
            case "mend":
                events = [
                    api.StorageRecovered(
                        DurableState(INCARNATIONS[me], member.hard_state, entries=list(member.entries))
                    )
                ]
                member = member._replace(failed=False)
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
        return self._carry_out(me, member, core.step(at, events))

    def _carry_out(self, me: int, member: MemberState, actions: list) -> tuple[int, tuple[int, ...], tuple]:
        sent, effects, pending = [], [], list(member.pending)
        core = member.core
        if core.leader_state is not None:
            effects.append(("leads", core.term, me, state_key(core.log.entries)))
        for action in actions:
            match action:
                case api.Write():
                    pending.append(action)
                case api.Send(to, message):
                    if to in INCARNATIONS:
                        sent.append(self._message(me, INCARNATIONS.index(to), message))
                    body = message.WhichOneof("body")
                    if body == "vote" and not message.vote.before:
                        effects.append(("votes", message.term, me, me))
                    vote = message.vote_answer
                    if body == "vote_answer" and vote.granted and not vote.before:
                        effects.append(("votes", message.term, me, INCARNATIONS.index(to)))
                    if body == "append_answer" and message.append_answer.took:
                        index = message.append_answer.index
                        if index and not member.holds(index, core.log.term(index)):
                            effects.append(
                                ("broken", f"{NAMES[me]} acknowledges {index} before it is durable")
                            )
                case api.Apply(entries):
                    effects += [
                        ("agreed", e.index, e.term, e.SerializeToString(deterministic=True)) for e in entries
                    ]
                case api.ProposalOutcome(_, refusal, index) if not refusal:
                    effects.append(("answered", index))
                case api.ReadOutcome(_, index, refusal):
                    effects.append(("read", -1 if refusal else index))
        number = self.member_id(member._replace(pending=tuple(pending)))
        return number, tuple(sent), tuple(effects)

    def _message(self, me: int, to: int, message: pb.Message) -> int:
        identity = (me, to, message.SerializeToString(deterministic=True))
        number = self.message_ids.setdefault(identity, len(self.messages))
        if number == len(self.messages):
            self.messages.append((me, to, message))
        return number

    # The group

    def start(self, bounds: Bounds) -> State:
        """Return three members with a log and no leader."""
        configuration = pb.Members(members=[pb.Member(name=n, life=n.encode(), votes=True) for n in NAMES])
        entry = pb.Entry(term=1, index=1, members=configuration)
        members = tuple(
            self.member_id(self.restarted(me, pb.HardState(term=1), (entry,))[0]) for me in range(3)
        )
        return State(members, (), (), (), (), 0, -1, bounds.budget())

    def apply(
        self,
        state: State,
        me: int,
        what: str,
        detail: Any = None,
        budget_index: int | None = None,
        delivered_message: int | None = None,
    ) -> State:
        """Apply an event to a member. Raises `InvariantViolation`."""
        number, sent, effects = self.transition(me, state.members[me], what, detail)
        members = state.members[:me] + (number,) + state.members[me + 1 :]
        in_flight = set(state.in_flight)
        if delivered_message is not None:
            in_flight.discard(delivered_message)
        in_flight.update(sent)
        leaders, votes, committed = dict(state.leaders), state.votes, state.committed
        answered_index, read_floor, budget = state.answered_index, state.read_floor, state.budget
        if what == "read":
            read_floor = answered_index
        if what == "crash":
            read_floor = (
                -1
                if read_floor >= 0 and self.member_states[state.members[me]].core.leader_state
                else read_floor
            )
        if budget_index is not None:
            budget = budget[:budget_index] + (budget[budget_index] - 1,) + budget[budget_index + 1 :]
        for effect in effects:
            match effect:
                case ("broken", text):
                    raise InvariantViolation(text)
                case ("leads", term, leader, held):
                    if term not in leaders and held[: len(committed)] != committed:
                        raise InvariantViolation(f"the leader of term {term} lacks committed entries")
                    if leaders.setdefault(term, leader) != leader:
                        raise InvariantViolation(f"two leaders in term {term}")
                case ("votes", term, voter, whom):
                    if any((a, b) == (voter, term) and c != whom for a, b, c in votes):
                        raise InvariantViolation(f"{NAMES[voter]} voted twice in term {term}")
                    if (voter, term, whom) not in votes:
                        votes = tuple(sorted((*votes, (voter, term, whom))))
                case ("agreed", index, term, data):
                    if index <= len(committed):
                        if committed[index - 1] != data:
                            raise InvariantViolation(f"committed entry {index} differs at {NAMES[me]}")
                        continue
                    if index != len(committed) + 1:
                        raise InvariantViolation(f"{NAMES[me]} skips an entry before {index}")
                    if sum(self.member_states[n].holds(index, term) for n in members) < 2:
                        raise InvariantViolation(f"entry {index} committed on one disk")
                    committed = (*committed, data)
                case ("answered", index):
                    answered_index = max(answered_index, index)
                case ("read", index):
                    if 0 <= index < read_floor:
                        raise InvariantViolation(
                            f"a read sees {index}, though {read_floor} was answered before it"
                        )
                    answered_index, read_floor = max(answered_index, index), -1
        return State(
            members,
            tuple(sorted(in_flight)),
            tuple(sorted(leaders.items())),
            votes,
            committed,
            answered_index,
            read_floor,
            budget,
        )

    def transitions(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield every possible next event with the state after it."""
        budget = state.budget
        for number in state.in_flight:
            sender, to, message = self.messages[number]
            name = f"{NAMES[sender]}>{NAMES[to]} {message.WhichOneof('body')}"
            yield name, self.apply(state, to, "deliver", number, delivered_message=number)
            if budget[DUPLICATE]:
                yield name + " doubled", self.apply(state, to, "deliver", number, DUPLICATE)
        for me, number in enumerate(state.members):
            member = self.member_states[number]
            core, name = member.core, NAMES[me]
            if member.pending:
                yield f"{name} written", self.apply(state, me, "written")
            if budget[TIMEOUT] and not core.storage_failed:
                yield f"{name} time-out", self.apply(state, me, "timeout", None, TIMEOUT)
            if (
                core.leader is not None
                and core.leader_state is None
                and core.last_leader_contact_ms > -TIMING.election_timeout_ms
            ):
                yield f"{name} forgets its leader", self.apply(state, me, "lapse")
            if budget[CRASH]:
                for survives in {0, len(member.pending)}:
                    yield (
                        f"{name} crashes, {survives} written",
                        self.apply(state, me, "crash", survives, CRASH),
                    )
            if budget[FAIL] and member.pending:
                for survives in {0, len(member.pending)}:
                    yield (
                        f"{name} fails to write, {survives} written",
                        self.apply(state, me, "fail", survives, FAIL),
                    )
            if member.failed:
                yield f"{name} can write", self.apply(state, me, "mend")
            if core.leader_state is not None and budget[PROPOSE]:
                yield f"{name} proposes", self.apply(state, me, "propose", budget[PROPOSE], PROPOSE)
            if core.leader_state is not None and budget[READ] and state.read_floor < 0:
                yield f"{name} reads", self.apply(state, me, "read", 100 + budget[READ], READ)

    # Starts

    def run_until_idle(self, state: State, among: str = "abc", until: int | None = None) -> State:
        """Deliver and write everything among some members, or until one leads; drop the rest."""
        places = [NAMES.index(name) for name in among]
        for _ in range(1000):
            writing = [me for me in places if self.member_states[state.members[me]].pending]
            coming = [
                n for n in state.in_flight if self.messages[n][0] in places and self.messages[n][1] in places
            ]
            if until is not None and self.member_states[state.members[until]].core.leader_state is not None:
                return state._replace(in_flight=tuple(coming))
            if writing:
                state = self.apply(state, writing[0], "written")
            elif coming:
                state = self.apply(
                    state, self.messages[coming[0]][1], "deliver", coming[0], delivered_message=coming[0]
                )
            else:
                return state._replace(in_flight=())
        raise InvariantViolation("the members never become idle")

    def led(self, bounds: Bounds) -> State:
        """Return a group led by a, with equal logs."""
        state = self.run_until_idle(self.apply(self.start(bounds), 0, "timeout"))
        return self.run_until_idle(self.apply(state, 0, "timeout"))

    def contested(self, bounds: Bounds) -> State:
        """Return a group where a still leads, with an entry that only it has, and b leads a later term."""
        state = self.apply(self.led(bounds), 0, "propose", 77)
        state = self.run_until_idle(state, "a")
        state = self.run_until_idle(self.apply(self.apply(state, 2, "lapse"), 1, "timeout"), "bc")
        return self.run_until_idle(self.apply(state, 1, "propose", 79), "bc")

    def rivals(self, bounds: Bounds) -> State:
        """Return a group where a and b request votes in the same term."""
        state = self.start(bounds)
        for me in (0, 1):
            state = self.apply(state, me, "timeout")
        for me in (0, 1):
            ask = next(n for n in state.in_flight if self.messages[n][:2] == (me, 2))
            state = self.apply(state, 2, "deliver", ask, delivered_message=ask)
            answer = next(n for n in state.in_flight if self.messages[n][:2] == (2, me))
            state = self.apply(
                self.apply(state, me, "deliver", answer, delivered_message=answer), me, "written"
            )
        return state._replace(
            in_flight=tuple(
                n
                for n in state.in_flight
                if self.messages[n][2].vote.last_index and not self.messages[n][2].vote.before
            )
        )

    def old_term(self, bounds: Bounds) -> State:
        """Return a group where a leads again with an entry of its old term; b has one of a term between."""
        state = self.run_until_idle(self.apply(self.led(bounds), 0, "propose", 77), "a")
        state = self.run_until_idle(self.apply(state, 0, "crash", 0), "a")
        state = self.run_until_idle(self.apply(self.apply(state, 2, "lapse"), 1, "timeout"), "bc", 1)
        state = self.run_until_idle(self.apply(self.run_until_idle(state, "b"), 1, "crash", 0), "b")
        state = self.run_until_idle(self.apply(state, 0, "timeout"), "ac")  # learns of b's term
        state = self.run_until_idle(self.apply(state, 0, "timeout"), "ac", 0)
        (probe,) = state.in_flight
        state = self.run_until_idle(self.apply(state, 1, "timeout"), "bc")  # b learns of a's term
        state = self.apply(state, 2, "deliver", probe)
        return self.apply(state, 0, "deliver", state.in_flight[0], delivered_message=state.in_flight[0])

    def tails(self, bounds: Bounds) -> State:
        """Return a group without a leader where a holds an old entry, b a later one, c neither."""
        state = self.contested(bounds)
        state = self.run_until_idle(self.apply(state, 1, "propose", 78), "b")
        for me in (0, 1):
            state = self.apply(state, me, "crash", 0)
        return state._replace(in_flight=())


def shift_core_times(core: RaftMember) -> None:
    """Make all times of a core relative to its current time."""
    by = core.now_ms
    for part in (
        core,
        core.bootstrap,
        *((core.leader_state, *core.leader_state.peers.values()) if core.leader_state else ()),
    ):
        shift_times(part, by)
    if core.leader_state is not None:
        core.leader_state.started_ms = 0.0  # the replicated clock stands still: no decision depends on it


def run(search: Search, start: State, states: int, depth: int) -> dict[str, Any]:
    """Search breadth first from a state; return how far it got. Raises `ViolationFound`."""
    found = {hash(start)}
    level: list[tuple[State, Any]] = [(start, None)]
    moves = depth_reached = 0
    began = time.perf_counter()
    complete_depth = 0
    while level and depth_reached < depth and len(found) < states:
        depth_reached += 1
        following = []
        for state, path in level:
            try:
                for name, after in search.transitions(state):
                    moves += 1
                    code = hash(after)
                    if code not in found:
                        found.add(code)
                        following.append((after, (path, name)))
            except InvariantViolation as exc:
                names = []
                while path is not None:
                    path, name = path
                    names.append(name)
                raise ViolationFound(str(exc), names[::-1], len(found)) from exc
            if len(found) >= states:
                break
        else:
            complete_depth = depth_reached
        level = following
    return {
        "states": len(found),
        "moves": moves,
        "depth": complete_depth,
        "seconds": time.perf_counter() - began,
        "members' states": len(search.member_states),
        "all": not level,
    }


FEW_EVENTS = Bounds(timeouts=2, crashes=1, proposals=0, reads=0, duplicates=0)
STARTS = {
    "start": Bounds(),
    "led": Bounds(),
    "contested": Bounds(),
    "tails": Bounds(),
    "rivals": FEW_EVENTS,
    "old_term": Bounds(timeouts=1, crashes=0, proposals=0, reads=0, duplicates=0),
}


def main() -> int:
    """Search from each start."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--states", type=int, default=1_000_000, help="in total, shared by the starts")
    parser.add_argument("--depth", type=int, default=100)
    parser.add_argument("--failures", type=int, default=0, help="failed writes per path")
    args = parser.parse_args()
    for name, bounds in STARTS.items():
        search = Search()
        start = getattr(search, name)(replace(bounds, failures=args.failures))
        print(name, run(search, start, args.states // len(STARTS), args.depth), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
