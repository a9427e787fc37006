"""A council in virtual time: N cores, disks that lose, networks that lose, double, reorder and cut, by seed.

Run as a program it plays many seeds: `python tests/support/raft_cluster.py --seeds 10000`. Every step is
checked against what may never be: see `Checks`.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import argparse
import hashlib
import heapq
import sys
import time
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

from fennelwind.raft import council_pb2 as pb
from fennelwind.raft import messages as api
from fennelwind.raft.member import RaftMember
from fennelwind.raft.messages import DurableState, Incarnation, Timing

TIGHT = Timing(
    heartbeat_ms=50,
    election_timeout_ms=300,
    max_append_bytes=300,
    max_in_flight_appends=3,
    max_chunk_bytes=64,
    max_pending_proposals=8,
    max_pending_reads=8,
    retained_entries=4,
    max_log_bytes=2000,
    clock_entry_interval_ms=400,
)


class Broken(AssertionError):
    """Something happened that may never happen."""


def digest(before: bytes, entry: pb.Entry) -> bytes:
    """Return the state that an entry makes of a state: any difference shows in all that follow."""
    return hashlib.sha256(before + entry.SerializeToString(deterministic=True)).digest()


class Image:
    """What a folder holds, and what has been written to it without being sure."""

    def __init__(self) -> None:
        self.hard = pb.HardState()
        self.head: pb.SnapshotHead | None = None
        self.snapshot = b""
        self.entries: list[pb.Entry] = []
        self.pending: deque[api.Write] = deque()

    def take(self, write: api.Write) -> None:
        """Make a write sure."""
        if write.snapshot_head is not None:
            self.head, self.snapshot = write.snapshot_head, write.snapshot
            self.entries = [e for e in self.entries if e.index >= write.retain_from]
        if write.truncate_after is not None:
            self.entries = [e for e in self.entries if e.index <= write.truncate_after]
        for entry in write.entries:
            last = self.entries[-1].index if self.entries else self.head.index if self.head else 0
            if entry.index != last + 1:
                raise Broken(f"entry {entry.index} written behind {last}")
            self.entries.append(entry)
        if write.hard_state is not None:
            if write.hard_state.term < self.hard.term:
                raise Broken("a term goes back on the disk")
            self.hard = write.hard_state

    def durable(self, me: Incarnation) -> DurableState:
        """Return what is read when the folder is opened."""
        return DurableState(me, self.hard, self.head, self.snapshot, list(self.entries))

    def holds(self, index: int, term: int) -> bool:
        """Whether an entry is on the disk, by itself or in the snapshot."""
        if self.head is not None and index <= self.head.index:
            return True
        return any(e.index == index and e.term == term for e in self.entries)


class Checks:
    """What may never be, checked at each step."""

    def __init__(self) -> None:
        self.leaders: dict[int, Incarnation] = {}
        self.votes: dict[tuple[Incarnation, int], Incarnation] = {}
        self.terms: dict[Incarnation, int] = {}  # the last in which each gave its vote
        self.entries: dict[tuple[int, int], tuple[bytes, int]] = {}  # by index and term: bytes, term before
        self.agreed: list[pb.Entry] = []
        self.digests: list[bytes] = [b""]
        self.acked = self.read = 0  # the highest index that somebody was told

    def leads(self, node: "Node") -> None:
        """One leader a term, and it has all that was agreed before."""
        core = node.core
        if self.leaders.setdefault(core.term, node.me) != node.me:
            raise Broken(f"two leaders in term {core.term}")
        if self.agreed:
            last = self.agreed[-1]
            held = core.log.term(last.index)
            if last.term < core.term and core.log.base_index < last.index and held != last.term:
                raise Broken(f"the leader of term {core.term} lacks agreed entry {last.index}")

    def voted(self, voter: Incarnation, term: int, candidate: Incarnation) -> None:
        """One vote a term, whatever was lost in between."""
        self.terms[voter] = max(self.terms.get(voter, 0), term)
        if self.votes.setdefault((voter, term), candidate) != candidate:
            raise Broken(f"{voter.name} voted twice in term {term}")

    def remembers(self, node: "Node") -> None:
        """A member knows whom it has given its vote, whatever became of it since."""
        core = node.core
        given = self.votes.get((node.me, core.term))
        if core.term < self.terms.get(node.me, 0) or given not in (None, core.voted_for):
            raise Broken(f"{node.name} has forgotten a promise")

    def headed(self, head: pb.SnapshotHead) -> None:
        """A snapshot's head says what was agreed up to its entry."""
        members = [e.members for e in self.agreed[: head.index] if e.WhichOneof("what") == "members"]
        last = self.agreed[head.index - 1]
        if (head.term, head.clock_ms, head.members) != (last.term, last.clock_ms, members[-1]):
            raise Broken(f"the head of the snapshot at {head.index} is not what was agreed")

    def logged(self, log, entries) -> None:
        """Entries of one index and term are the same, and so is what lies before them."""
        for entry in entries:
            before = log.term(entry.index - 1)
            this = (entry.SerializeToString(deterministic=True), before)
            known = self.entries.setdefault((entry.index, entry.term), this)
            if known[0] != this[0] or (None not in (known[1], before) and known[1] != before):
                raise Broken(f"two logs differ at entry {entry.index} of term {entry.term}")

    def apply(self, node: "Node", entry: pb.Entry, images: dict[Incarnation, Image]) -> None:
        """Agreed entries are the same everywhere, for ever, and on the disks of more than half."""
        if entry.index != node.applied + 1:
            raise Broken(f"{node.name} applied {entry.index} behind {node.applied}")
        if entry.index <= len(self.agreed):
            if self.agreed[entry.index - 1] != entry:
                raise Broken(f"agreed entry {entry.index} differs at {node.name}")
        else:
            if self.agreed and entry.clock_ms < self.agreed[-1].clock_ms:
                raise Broken("the record's clock goes back")
            held = {life for life, image in images.items() if image.holds(entry.index, entry.term)}
            # by those who counted when it was agreed: new members may have been written in the same step
            if not any(
                2 * len(held.intersection(voters)) > len(voters)
                for voters in (configuration.voters for configuration in node.core.log.configurations[-2:])
            ):
                raise Broken(f"entry {entry.index} agreed with {len(held)} disks")
            self.agreed.append(entry)
            self.digests.append(digest(self.digests[-1], entry))


@dataclass
class Node:
    """One member: its core while it runs, its folder, its clock, its state."""

    name: str
    me: Incarnation
    rate: float
    offset: float
    image: Image = field(default_factory=Image)
    core: RaftMember | None = None
    applied: int = 0
    state: bytes = b""
    clock_ms: int = 0
    inbox: list[api.Event] = field(default_factory=list)
    timer: float = 0.0
    failing: bool = False
    broken: bool = False  # a write failed and the folder has not been read anew
    slow: float = 1.0
    epoch: int = 0
    restarts: int = 0
    life_count: int = 0


class Cluster:
    """Members, clients and what lies between them, by one seed."""

    def __init__(
        self,
        seed: int,
        members: int = 3,
        timing: Timing = TIGHT,
        core: type[RaftMember] = RaftMember,
        stated: int | None = None,
    ) -> None:
        self.random, self.seed, self.timing, self.core = Random(seed), seed, timing, core
        self.now, self.queue, self.count = 0.0, [], 0
        self.checks, self.counts = Checks(), Counter()
        names = [chr(ord("a") + i) for i in range(members)]
        self.stated = [pb.Member(name=n, address=f"{n}:1") for n in names[:stated]]
        self.nodes = {n: self._node(n) for n in names}
        self.lost: dict[Incarnation, Image] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.loss = self.double = 0.0
        self.delay = (0.5, 3.0)
        self.sync = (0.2, 2.0)
        self.tokens = 0
        self.asked: dict[int, tuple[str, float, int]] = {}  # token: kind, time, what had been told by then
        self.sent: dict[int, bytes] = {}
        self.done: dict[int, int] = {}  # token: index
        self.refused: Counter[int] = Counter()
        self.due_every: int | None = None

    def _node(self, name: str) -> Node:
        return Node(
            name,
            Incarnation(name, b"%s1" % name.encode()),
            self.random.uniform(0.85, 1.18),
            self.random.uniform(0, 1e6),
        )

    # Time

    def at(self, delay: float, what, *args) -> None:
        """Have something done later."""
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay, self.count, what, args))

    def run(self, until: float) -> None:
        """Play up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.queue)
            what(*args)
        self.now = until

    # Members

    def start(self, name: str) -> None:
        """Open a folder and begin."""
        node = self.nodes[name]
        node.epoch += 1
        node.restarts += 1
        node.image.pending.clear()
        seed = self.seed + node.restarts
        node.core = self.core(self.timing, node.image.durable(node.me), seed, self.stated)
        self.checks.remembers(node)
        node.applied, node.state, node.clock_ms, node.inbox = 0, b"", 0, []
        node.failing = node.broken = False
        self.step(node, [])

    def begin_founded(self) -> None:
        """Begin where all are members already and nothing else has happened."""
        members = pb.Members(
            members=[pb.Member(name=n, life=node.me.id, votes=True) for n, node in sorted(self.nodes.items())]
        )
        for node in self.nodes.values():
            node.image.hard = pb.HardState(term=1)
            node.image.entries = [pb.Entry(term=1, index=1, members=members)]
        self.start_all()

    def start_all(self) -> None:
        """Begin everywhere."""
        for name in sorted(self.nodes):
            self.start(name)

    def crash(self, name: str, whole: bool = False) -> None:
        """Kill a member; of what was not sure a part, in order, may be there all the same."""
        node = self.nodes[name]
        if node.core is None:
            return
        survives = self.random.randint(0, len(node.image.pending)) if self.random.random() < 0.5 else 0
        for _ in range(len(node.image.pending) if whole else survives):
            node.image.take(node.image.pending.popleft())
        node.image.pending.clear()
        node.core = None
        node.epoch += 1
        self.counts["crashes"] += 1

    def wipe(self, name: str) -> None:
        """Have a member's folder lost; it comes back as another life."""
        self.crash(name)
        old = self.nodes[name]
        self.lost[old.me] = old.image  # what it said before is on its way and counts: it was one loss of few
        node = self.nodes[name] = Node(
            name,
            Incarnation(name, b"%s%d" % (name.encode(), old.life_count + 2)),
            old.rate,
            old.offset,
            epoch=old.epoch + 1,
            restarts=old.restarts,
            life_count=old.life_count + 1,
        )
        self.counts["wipes"] += 1
        node.core = None

    def clock(self, node: Node) -> float:
        """Return a member's own time."""
        return node.offset + self.now * node.rate

    def give(self, name: str, *events: api.Event) -> None:
        """Let something happen to a member; sometimes with what comes next."""
        node = self.nodes[name]
        if node.core is None:
            return
        node.inbox += events
        if len(node.inbox) < 4 and self.random.random() < 0.3:
            self.at(0.2, self._look, node, node.epoch)
            return
        self._look(node, node.epoch)

    def _look(self, node: Node, epoch: int) -> None:
        if node.core is not None and node.epoch == epoch and node.inbox:
            events, node.inbox = node.inbox, []
            self.step(node, events)

    def step(self, node: Node, events: list[api.Event]) -> None:
        """Step a core, check it, and do what it says."""
        core = node.core
        self.counts["steps"] += 1
        actions = core.step(self.clock(node), events)
        self.checks.remembers(node)
        if core.leader_state is not None:
            self.checks.leads(node)
        for action in actions:
            self._act(node, action)
        if core.delivered_index != node.applied:
            raise Broken("not all that is agreed was handed over")

    def _act(self, node: Node, action: api.Action) -> None:
        match action:
            case api.Send(to, message):
                self._send(node, to, message)
            case api.Write(number):
                self.checks.logged(node.core.log, action.entries)
                if action.snapshot_head is not None:
                    self.checks.headed(action.snapshot_head)
                node.image.pending.append(action)
                self.at(self.random.uniform(*self.sync) * node.slow, self._synced, node, node.epoch, number)
            case api.Apply(entries):
                images = self.lost | {n.me: n.image for n in self.nodes.values()}
                for entry in entries:
                    self.checks.apply(node, entry, images)
                    node.applied, node.state = entry.index, digest(node.state, entry)
                    node.clock_ms = entry.clock_ms
                    if node.state != self.checks.digests[entry.index]:
                        raise Broken(f"{node.name} has another state at {entry.index}")
                due = None
                if self.due_every:
                    due = (node.clock_ms // self.due_every + 1) * self.due_every
                self.at(0.1, self._give_if, node, node.epoch, api.Applied(node.applied, due))
            case api.Restore(head, data):
                if head.index < node.applied or data[:32] != self.checks.digests[head.index]:
                    raise Broken(f"{node.name} restored another state at {head.index}")
                node.applied, node.state, node.clock_ms = head.index, data[:32], head.clock_ms
                self.counts["restores"] += 1
            case api.TakeSnapshot():
                data = node.state + bytes(self.random.randint(0, 300))
                snapshot = api.Snapshot(node.applied, node.clock_ms, data)
                self.at(self.random.uniform(0, 5), self._give_if, node, node.epoch, snapshot)
                self.counts["snapshots"] += 1
            case api.Timer(at):
                node.timer = at
                delay = max((at - self.clock(node)) / node.rate, 0.0) + 1e-6
                self.at(delay, self._timer, node, node.epoch, at)
            case api.ProposalOutcome():
                self._answered(action)
            case api.ReadOutcome():
                self._readable(action)
            case api.RoleChanged(part):
                self.counts["became " + part] += 1

    def _give_if(self, node: Node, epoch: int, event: api.Event) -> None:
        if node.core is not None and node.epoch == epoch:
            self.give(node.name, event)

    def _timer(self, node: Node, epoch: int, at: float) -> None:
        if node.core is not None and node.epoch == epoch and node.timer == at:
            events, node.inbox = node.inbox, []
            self.step(node, [*events, api.TimerFired()])

    def _synced(self, node: Node, epoch: int, number: int) -> None:
        if node.core is None or node.epoch != epoch or node.broken:
            return
        if node.failing:
            survives = self.random.randint(0, len(node.image.pending))
            first = node.image.pending[0].number if node.image.pending else number
            for _ in range(survives):
                node.image.take(node.image.pending.popleft())
            node.image.pending.clear()
            node.broken = True
            self.counts["failed writes"] += 1
            self.give(node.name, api.WriteFailed(first, self.random.random() < 0.5))
            return
        done = 0
        while node.image.pending and node.image.pending[0].number <= number:
            done = node.image.pending[0].number
            node.image.take(node.image.pending.popleft())
        if done:
            self.give(node.name, api.WriteCompleted(done))

    def mend(self, name: str) -> None:
        """Let a folder take writes again."""
        node = self.nodes[name]
        node.failing = False
        if node.core is not None and node.broken:
            node.broken = False
            self.give(name, api.StorageRecovered(node.image.durable(node.me)))

    # The network

    def _send(self, node: Node, to: Incarnation, message: pb.Message) -> None:
        body = message.WhichOneof("body")
        self.counts[body] += 1
        if body == "vote_answer" and message.vote_answer.granted and not message.vote_answer.before:
            self.checks.voted(node.me, message.term, to)
        if body == "vote" and not message.vote.before:
            self.checks.voted(node.me, message.term, node.me)
        if (body == "vote_answer" and message.vote_answer.granted) or (
            body == "append_answer" and message.append_answer.took
        ):
            self._promised(node, message)
        if (node.name, to.name) in self.cuts:
            return
        for _ in range(1 + (self.random.random() < self.double)):
            if self.random.random() >= self.loss:
                self.at(self.random.uniform(*self.delay), self._deliver, node.me, to, message)

    def _promised(self, node: Node, message: pb.Message) -> None:
        if node.core.storage_failed:
            raise Broken(f"{node.name} can't write and promises")
        index = message.append_answer.index
        if index and not node.image.holds(index, node.core.log.term(index) or 0):
            raise Broken(f"{node.name} says that {index} is on its disk")
        if node.image.hard.term < message.term and not message.vote_answer.before:
            raise Broken(f"{node.name} speaks in term {message.term} without having written it")

    def _deliver(self, sender: Incarnation, to: Incarnation, message: pb.Message) -> None:
        node = self.nodes.get(to.name)
        if node is None or node.core is None or (to.id and to != node.me):
            return
        if (sender.name, to.name) in self.cuts:
            return
        self.give(to.name, api.MessageReceived(sender, message))

    def cut(self, a: str, b: str, both: bool = True) -> None:
        """Let nothing from a reach b (nor back)."""
        self.cuts.add((a, b))
        if both:
            self.cuts.add((b, a))

    # Clients

    def propose(self, name: str, size: int = 8) -> int:
        """Ask a member to have a command done; return the token."""
        self.tokens += 1
        body = b"%d " % self.tokens + bytes(size)
        self.asked[self.tokens] = ("propose", self.now, max(self.checks.acked, self.checks.read))
        self.sent[self.tokens] = body
        command = pb.Command(client=1, number=self.tokens, machine="m", body=body)
        self.give(name, api.Propose(self.tokens, command))
        return self.tokens

    def read(self, name: str) -> int:
        """Ask a member for a read; return the token."""
        self.tokens += 1
        self.asked[self.tokens] = ("read", self.now, max(self.checks.acked, self.checks.read))
        self.give(name, api.ReadRequested(self.tokens))
        return self.tokens

    def change(self, name: str, add: pb.Member | None = None, remove: Incarnation | None = None) -> int:
        """Ask a member to change the members; return the token."""
        self.tokens += 1
        self.asked[self.tokens] = ("change", self.now, 0)
        self.give(name, api.ChangeMembership(self.tokens, add, remove))
        return self.tokens

    def _answered(self, answer: api.ProposalOutcome) -> None:
        kind, _, told = self.asked.pop(answer.token)
        if answer.refusal:
            self.refused[answer.refusal] += 1
            self.counts["refused"] += 1
            return
        self.done[answer.token] = answer.index
        if kind != "propose":
            return
        self.counts["done"] += 1
        if answer.index > len(self.checks.agreed):
            raise Broken(f"{answer.token} answered before entry {answer.index} was agreed")
        if self.checks.agreed[answer.index - 1].command.body != self.sent[answer.token]:
            raise Broken(f"{answer.token} answered with another's entry")
        if answer.index <= told:
            raise Broken(f"{answer.token} stands before what had been answered when it was asked")
        self.checks.acked = max(self.checks.acked, answer.index)

    def _readable(self, answer: api.ReadOutcome) -> None:
        _, _, told = self.asked.pop(answer.token)
        if answer.refusal:
            self.refused[answer.refusal] += 1
            return
        self.counts["reads"] += 1
        if answer.index < told:
            raise Broken(f"a read sees {answer.index}, though {told} had been answered when it was asked")
        self.checks.read = max(self.checks.read, answer.index)

    # Looking

    def leading(self) -> list[Node]:
        """Return all who think that they lead."""
        return [n for n in self.nodes.values() if n.core is not None and n.core.leader_state is not None]

    def leader(self) -> Node | None:
        """Return who leads in the latest term."""
        return max(self.leading(), key=lambda n: n.core.term, default=None)

    def await_leader(self, most: float = 10_000.0) -> Node:
        """Play until somebody leads."""
        end = self.now + most
        while self.now < end:
            leader = self.leader()
            if leader is not None:
                return leader
            self.run(self.now + 10.0)
        raise Broken("nobody leads")

    def voters(self) -> list[str]:
        """Return the names of those who vote, as the leader has it."""
        leader = self.leader()
        return [life.name for life in leader.core.log.configuration.voters] if leader else []

    def await_done(self, most: float = 10_000.0, size: int = 8) -> int:
        """Have a command done, however often it takes; return its index."""
        end = self.now + most
        while self.now < end:
            leader = self.await_leader()
            token = self.propose(leader.name, size)
            while token in self.asked and self.now < end:
                self.run(self.now + 5.0)
            if token in self.done:
                return self.done[token]
            self.run(self.now + 50.0)
        raise Broken("nothing gets done")

    def settle(self) -> None:
        """Mend all, and see that all members come to the same."""
        self.cuts.clear()
        self.loss = self.double = 0.0
        for name, node in self.nodes.items():
            node.slow = 1.0
            if node.core is None:
                self.start(name)
            self.mend(name)
        while any(node.image.pending for node in self.nodes.values()):
            self.run(self.now + 50.0)
        index = self.await_done(20_000.0)
        end = self.now + 20_000.0
        while self.behind(index):
            if self.now > end:
                raise Broken(f"{self.behind(index)} never come to {index}")
            self.run(self.now + 100.0)

    def behind(self, index: int) -> list[str]:
        """Return the members that have not applied an entry."""
        leader = self.await_leader()
        return [
            life.name
            for life in leader.core.log.configuration.incarnations
            if self.nodes[life.name].applied < index and self.nodes[life.name].me == life
        ]


TROUBLES = (
    "crash",
    "all",
    "cut",
    "one-way",
    "half",
    "minority",
    "fail",
    "slow",
    "hand over",
    "room",
    "member",
    "wipe",
)


def play(seed: int, core: type[RaftMember] = RaftMember, part: float = 1.0) -> Cluster:
    """Play one seed's day, or the first part of it: a council is founded, troubled, and comes to rest."""
    random = Random(f"day {seed}")
    size = random.choice((1, 2, 3, 3, 3, 3, 4, 5, 5))
    cluster = Cluster(seed, size, core=core)
    cluster.due_every = random.choice((None, None, 100, 1000))
    short = random.random() < 0.8
    if short:
        cluster.begin_founded()
    else:
        cluster.start_all()
    cluster.loss, cluster.double = random.choice(((0, 0), (0.05, 0.05), (0.2, 0.2)))
    cluster.delay = random.choice(((0.5, 3.0), (1.0, 40.0)))
    cluster.sync = random.choice(((0.2, 2.0), (1.0, 60.0)))
    troubles = random.sample(TROUBLES, random.randint(1, 7))
    names = sorted(cluster.nodes)
    cluster.run(random.choice((300.0, 700.0 if short else 3000.0)))
    end = cluster.now + random.choice((2000.0, 5000.0)) * part
    wiped = False
    while cluster.now < end:
        cluster.run(cluster.now + random.expovariate(1 / 25.0))
        name = random.choice(names)
        ask = random.random()
        leading = [node.name for node in cluster.leading()]
        target = random.choice(leading) if leading and random.random() < 0.8 else name  # the old one as well
        if ask < 0.5:
            for _ in range(random.choice((1, 1, 1, 12))):
                cluster.propose(target, random.choice((8, 8, 200)))
        elif ask < 0.8:
            cluster.read(target)
        elif ask < 0.92:
            wiped |= trouble(cluster, random, random.choice(troubles), name, wiped)
        else:
            heal(cluster, random, name)
    cluster.settle()
    return cluster


def trouble(cluster: Cluster, random: Random, kind: str, name: str, wiped: bool) -> bool:
    """Make one trouble; tell whether a folder was lost."""
    names = sorted(cluster.nodes)
    other = random.choice(names)
    match kind:
        case "crash":
            cluster.crash(name)
        case "all":
            for each in names:
                cluster.crash(each)
        case "cut" if other != name:
            cluster.cut(name, other)
        case "one-way" if other != name:
            cluster.cut(name, other, both=False)
        case "half":
            half = set(random.sample(names, random.randint(0, len(names))))
            for a in half:
                for b in set(names) - half:
                    cluster.cut(a, b)
        case "minority":
            leader = cluster.leader()
            if leader is None or len(names) < 3:
                return False
            others = [n for n in names if n != leader.name]
            near = {leader.name, *random.sample(others, random.randint(0, (len(names) - 1) // 2))}
            for a in near:
                for b in set(names) - near:
                    cluster.cut(a, b)
            if not wiped and leader.core.accepts_commands() and random.random() < 0.5:
                for each in random.sample(sorted(set(names) - near), min(2, len(names) - len(near))):
                    if leader.core is not None:
                        cluster.change(leader.name, remove=cluster.nodes[each].me)
            for _ in range(random.choice((0, 40))):  # the old leader is asked until it steps down
                cluster.run(cluster.now + 10.0)
                for each in sorted(cluster.leading(), key=lambda n: -n.core.term):
                    cluster.propose(each.name)
                    cluster.read(each.name)
        case "fail":
            cluster.nodes[name].failing = True
        case "slow":
            cluster.nodes[name].slow = random.choice((1.0, 20.0, 100.0))
        case "hand over":
            cluster.give(name, api.TransferLeadership())
        case "room":
            cluster.give(name, api.DiskSpaceLow())
        case "member":
            for leader in cluster.leading():
                for each in random.sample(names, random.choice((1, 1, min(2, len(names))))):
                    node = cluster.nodes[each]
                    if leader.core is None or wiped or not leader.core.accepts_commands():
                        continue
                    if node.me in leader.core.log.configuration.incarnations:
                        cluster.change(leader.name, remove=node.me)
                    else:
                        cluster.change(leader.name, add=pb.Member(name=each, life=node.me.id, address=each))
        case "wipe":
            leader = cluster.leader()
            if wiped or leader is None or leader.name == name or len(cluster.voters()) < 3:
                return False
            cluster.run(cluster.now + 500.0)
            leader = cluster.leader()
            if not cluster.checks.agreed:
                return False
            voters, last = cluster.voters(), cluster.checks.agreed[-1]
            fresh = [n for n in voters if cluster.nodes[n].image.holds(last.index, last.term)]
            if (
                leader is None
                or leader.name == name
                or 2 * len(fresh) <= len(voters)
                or len(voters) < 3
                or leader.core.log.configuration.index > leader.core.commit_index
            ):
                return False
            cluster.wipe(name)
            return True
    return False


def heal(cluster: Cluster, random: Random, name: str) -> None:
    """Mend something."""
    node = cluster.nodes[name]
    if node.core is None:
        cluster.start(name)
    elif node.failing or node.broken:
        cluster.mend(name)
    elif cluster.cuts:
        for pair in random.sample(sorted(cluster.cuts), max(1, len(cluster.cuts) // 2)):
            cluster.cuts.discard(pair)
    else:
        node.slow = 1.0


def speed(members: int, batch: int, commands: int, size: int = 100) -> tuple[float, float]:
    """Return commands and steps per second of processor time of all cores together, in steps of a batch each.

    Messages and writes come at once, and time passes for the leader alone, so that nobody else asks:
    what is counted is the cores' own work.
    """
    lives = [Incarnation(chr(ord("a") + i), b"x") for i in range(members)]
    first = pb.Entry(
        term=1,
        index=1,
        members=pb.Members(members=[pb.Member(name=life.name, life=life.id, votes=True) for life in lives]),
    )
    cores = {
        life: RaftMember(Timing(), DurableState(life, pb.HardState(term=1), entries=[first]), 1)
        for life in lives
    }
    boxes: dict[Incarnation, list[api.Event]] = {life: [] for life in lives}
    counts, now, leader = Counter(), 0.0, lives[0]

    def step(life: Incarnation, events: list[api.Event]) -> None:
        counts["steps"] += 1
        for action in cores[life].step(now if life == leader else 0.0, events):
            match action:
                case api.Send(to, message):
                    boxes[to].append(api.MessageReceived(life, message))
                case api.Write(number):
                    boxes[life].append(api.WriteCompleted(number))
                case api.ProposalOutcome(_, refusal):
                    counts["done" if not refusal else "refused"] += 1
                case api.TakeSnapshot():
                    boxes[life].append(api.Snapshot(cores[life].delivered_index, 0, bytes(1000)))

    def quiet() -> None:
        while any(boxes.values()):
            for life in lives:
                events, boxes[life] = boxes[life], []
                if events:
                    step(life, events)

    for life in lives:
        step(life, [])
    while cores[leader].leader_state is None:
        now += Timing().election_timeout_ms
        step(leader, [api.TimerFired()])
        quiet()
    counts.clear()
    body, began = bytes(size), time.process_time()
    while counts["done"] < commands:
        now += 1.0
        command = pb.Command(client=1, number=1, machine="m", body=body)
        step(leader, [api.Propose(token, command) for token in range(batch)])
        quiet()
    took = time.process_time() - began
    return counts["done"] / took, counts["steps"] / took


def main() -> int:
    """Play seeds and tell what came of it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--keep-on", action="store_true", help="go on behind a seed that fails")
    parser.add_argument("--speed", type=int, default=0, help="commands to have done, in place of seeds")
    args = parser.parse_args()
    if args.speed:
        for members in (3, 5):
            for batch in (1, 10, 100):
                done, steps = speed(members, batch, args.speed)
                print(f"{members} members, {batch} at once: {done:.0f} commands/s, {steps:.0f} steps/s")
        return 0
    began, counts, failed = time.perf_counter(), Counter(), []
    for seed in range(args.first, args.first + args.seeds):
        try:
            counts += play(seed).counts
        except Exception as exc:
            failed.append(seed)
            print(f"seed {seed}: {type(exc).__name__}: {exc}")
            if not args.keep_on:
                raise
    took = time.perf_counter() - began
    print(
        f"{args.seeds} seeds in {took:.1f} s, {len(failed)} failed; "
        + ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
