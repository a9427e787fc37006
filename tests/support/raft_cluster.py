"""A simulated Raft group in virtual time, with faulty disks and networks, all drawn by a seed.

As a program it plays many seeds: `python tests/support/raft_cluster.py --seeds 10000`. Every step is checked
for violated invariants; see `InvariantChecks`.
"""

import search_paths  # noqa: F401 - for running as a program

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

TIGHT_TIMING = Timing(
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


class InvariantViolation(AssertionError):
    """An invariant of Raft was violated."""


def digest(state: bytes, entry: pb.Entry) -> bytes:
    """Return a state digest after an entry; it depends on all entries before."""
    return hashlib.sha256(state + entry.SerializeToString(deterministic=True)).digest()


class DiskImage:
    """A member's folder: what is durable, and the writes that are not synced yet."""

    def __init__(self) -> None:
        self.hard_state = pb.HardState()
        self.snapshot_head: pb.SnapshotHead | None = None
        self.snapshot = b""
        self.entries: list[pb.Entry] = []
        self.pending: deque[api.Write] = deque()

    def apply_write(self, write: api.Write) -> None:
        """Make a write durable."""
        if write.snapshot_head is not None:
            self.snapshot_head, self.snapshot = write.snapshot_head, write.snapshot
            self.entries = [e for e in self.entries if e.index >= write.retain_from]
        if write.truncate_after is not None:
            self.entries = [e for e in self.entries if e.index <= write.truncate_after]
        for entry in write.entries:
            last = (
                self.entries[-1].index
                if self.entries
                else self.snapshot_head.index
                if self.snapshot_head
                else 0
            )
            if entry.index != last + 1:
                raise InvariantViolation(f"entry {entry.index} written after entry {last}")
            self.entries.append(entry)
        if write.hard_state is not None:
            if write.hard_state.term < self.hard_state.term:
                raise InvariantViolation("the term on disk decreases")
            self.hard_state = write.hard_state

    def durable_state(self, me: Incarnation) -> DurableState:
        """Return what is read when the folder is opened."""
        return DurableState(me, self.hard_state, self.snapshot_head, self.snapshot, list(self.entries))

    def holds(self, index: int, term: int) -> bool:
        """Whether an entry is durable, in the log or in the snapshot."""
        if self.snapshot_head is not None and index <= self.snapshot_head.index:
            return True
        return any(e.index == index and e.term == term for e in self.entries)


class InvariantChecks:
    """Raft's safety invariants, checked at each step."""

    def __init__(self) -> None:
        self.leaders_by_term: dict[int, Incarnation] = {}
        self.votes: dict[tuple[Incarnation, int], Incarnation] = {}
        self.last_voted_terms: dict[Incarnation, int] = {}  # the last term in which each member voted
        self.entries: dict[
            tuple[int, int], tuple[bytes, int]
        ] = {}  # by index and term: bytes, previous entry's term
        self.committed: list[pb.Entry] = []
        self.state_digests: list[bytes] = [b""]
        self.acknowledged_index = self.read_index = 0  # the highest index answered

    def check_leader(self, node: "Node") -> None:
        """At most one leader per term, and it has all entries committed before."""
        core = node.core
        if self.leaders_by_term.setdefault(core.term, node.me) != node.me:
            raise InvariantViolation(f"two leaders in term {core.term}")
        if self.committed:
            last = self.committed[-1]
            held = core.log.term(last.index)
            if last.term < core.term and core.log.base_index < last.index and held != last.term:
                raise InvariantViolation(f"the leader of term {core.term} lacks committed entry {last.index}")

    def check_vote(self, voter: Incarnation, term: int, candidate: Incarnation) -> None:
        """At most one vote per term, even across crashes."""
        self.last_voted_terms[voter] = max(self.last_voted_terms.get(voter, 0), term)
        if self.votes.setdefault((voter, term), candidate) != candidate:
            raise InvariantViolation(f"{voter.name} voted twice in term {term}")

    def check_vote_kept(self, node: "Node") -> None:
        """A member never forgets a vote that it granted."""
        core = node.core
        given = self.votes.get((node.me, core.term))
        if core.term < self.last_voted_terms.get(node.me, 0) or given not in (None, core.voted_for):
            raise InvariantViolation(f"{node.name} has forgotten a vote")

    def check_snapshot_head(self, head: pb.SnapshotHead) -> None:
        """A snapshot's header matches the committed entries up to its index."""
        members = [e.members for e in self.committed[: head.index] if e.WhichOneof("what") == "members"]
        last = self.committed[head.index - 1]
        if (head.term, head.clock_ms, head.members) != (last.term, last.clock_ms, members[-1]):
            raise InvariantViolation(
                f"the head of the snapshot at {head.index} does not match the committed entries"
            )

    def check_log_matching(self, log, entries) -> None:
        """Log matching: entries of the same index and term are equal, and follow the same term."""
        for entry in entries:
            before = log.term(entry.index - 1)
            this = (entry.SerializeToString(deterministic=True), before)
            known = self.entries.setdefault((entry.index, entry.term), this)
            if known[0] != this[0] or (None not in (known[1], before) and known[1] != before):
                raise InvariantViolation(f"two logs differ at entry {entry.index} of term {entry.term}")

    def check_applied(self, node: "Node", entry: pb.Entry, images: dict[Incarnation, DiskImage]) -> None:
        """Committed entries are equal on all members, never change, and are durable on a majority."""
        if entry.index != node.applied + 1:
            raise InvariantViolation(f"{node.name} applied {entry.index} after {node.applied}")
        if entry.index <= len(self.committed):
            if self.committed[entry.index - 1] != entry:
                raise InvariantViolation(f"committed entry {entry.index} differs at {node.name}")
        else:
            if self.committed and entry.clock_ms < self.committed[-1].clock_ms:
                raise InvariantViolation("the replicated clock goes back")
            held = {
                incarnation for incarnation, image in images.items() if image.holds(entry.index, entry.term)
            }
            # Count the voters at the time of the commit: a new configuration may be in the same step.
            if not any(
                2 * len(held.intersection(voters)) > len(voters)
                for voters in (configuration.voters for configuration in node.core.log.configurations[-2:])
            ):
                raise InvariantViolation(f"entry {entry.index} committed with {len(held)} disks")
            self.committed.append(entry)
            self.state_digests.append(digest(self.state_digests[-1], entry))


@dataclass
class Node:
    """One simulated member: its core while it runs, its folder, its clock, its applied state."""

    name: str
    me: Incarnation
    clock_rate: float
    clock_offset_ms: float
    image: DiskImage = field(default_factory=DiskImage)
    core: RaftMember | None = None
    applied: int = 0
    state: bytes = b""
    clock_ms: int = 0
    inbox: list[api.Event] = field(default_factory=list)
    timer_ms: float = 0.0
    fails_writes: bool = False
    write_failed: bool = False  # a write failed and the folder has not been read again
    disk_slowdown: float = 1.0
    epoch: int = 0
    restarts: int = 0
    incarnation_count: int = 0


class Cluster:
    """Simulated members, clients and network, driven by one seed."""

    def __init__(
        self,
        seed: int,
        members: int = 3,
        timing: Timing = TIGHT_TIMING,
        core: type[RaftMember] = RaftMember,
        configured_count: int | None = None,
    ) -> None:
        self.random, self.seed, self.timing, self.core = Random(seed), seed, timing, core
        self.now, self.queue, self.sequence = 0.0, [], 0
        self.checks, self.counts = InvariantChecks(), Counter()
        names = [chr(ord("a") + i) for i in range(members)]
        self.configured_members = [pb.Member(name=n, address=f"{n}:1") for n in names[:configured_count]]
        self.nodes = {n: self._node(n) for n in names}
        self.wiped_images: dict[Incarnation, DiskImage] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_rate = self.duplication_rate = 0.0
        self.delay_range_ms = (0.5, 3.0)
        self.sync_range_ms = (0.2, 2.0)
        self.last_token = 0
        self.pending_requests: dict[
            int, tuple[str, float, int]
        ] = {}  # by token: kind, time, highest index answered by then
        self.proposed_bodies: dict[int, bytes] = {}
        self.committed_indexes: dict[int, int] = {}  # by token
        self.refusals: Counter[int] = Counter()
        self.expiry_interval_ms: int | None = None

    def _node(self, name: str) -> Node:
        return Node(
            name,
            Incarnation(name, b"%s1" % name.encode()),
            self.random.uniform(0.85, 1.18),
            self.random.uniform(0, 1e6),
        )

    # Time

    def schedule(self, delay: float, call, *args) -> None:
        """Call something after a delay."""
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + delay, self.sequence, call, args))

    def run(self, until: float) -> None:
        """Run events up to a time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.queue)
            call(*args)
        self.now = until

    # Members

    def start(self, name: str) -> None:
        """Start a member from its folder."""
        node = self.nodes[name]
        node.epoch += 1
        node.restarts += 1
        node.image.pending.clear()
        seed = self.seed + node.restarts
        node.core = self.core(self.timing, node.image.durable_state(node.me), seed, self.configured_members)
        self.checks.check_vote_kept(node)
        node.applied, node.state, node.clock_ms, node.inbox = 0, b"", 0, []
        node.fails_writes = node.write_failed = False
        self.step(node, [])

    def start_bootstrapped(self) -> None:
        """Start all members with a log that makes all of them voters."""
        members = pb.Members(
            members=[pb.Member(name=n, life=node.me.id, votes=True) for n, node in sorted(self.nodes.items())]
        )
        for node in self.nodes.values():
            node.image.hard_state = pb.HardState(term=1)
            node.image.entries = [pb.Entry(term=1, index=1, members=members)]
        self.start_all()

    def start_all(self) -> None:
        """Start all members."""
        for name in sorted(self.nodes):
            self.start(name)

    def crash(self, name: str, keep_all: bool = False) -> None:
        """Crash a member; a prefix of its unsynced writes may survive."""
        node = self.nodes[name]
        if node.core is None:
            return
        survives = self.random.randint(0, len(node.image.pending)) if self.random.random() < 0.5 else 0
        for _ in range(len(node.image.pending) if keep_all else survives):
            node.image.apply_write(node.image.pending.popleft())
        node.image.pending.clear()
        node.core = None
        node.epoch += 1
        self.counts["crashes"] += 1

    def wipe(self, name: str) -> None:
        """Delete a member's folder; it comes back as another incarnation."""
        self.crash(name)
        old = self.nodes[name]
        self.wiped_images[old.me] = (
            old.image
        )  # its messages in flight still count: only a minority loses its disk
        node = self.nodes[name] = Node(
            name,
            Incarnation(name, b"%s%d" % (name.encode(), old.incarnation_count + 2)),
            old.clock_rate,
            old.clock_offset_ms,
            epoch=old.epoch + 1,
            restarts=old.restarts,
            incarnation_count=old.incarnation_count + 1,
        )
        self.counts["wipes"] += 1
        node.core = None

    def clock(self, node: Node) -> float:
        """Return a member's local time in ms."""
        return node.clock_offset_ms + self.now * node.clock_rate

    def deliver(self, name: str, *events: api.Event) -> None:
        """Deliver events to a member; sometimes batched with later ones."""
        node = self.nodes[name]
        if node.core is None:
            return
        node.inbox += events
        if len(node.inbox) < 4 and self.random.random() < 0.3:
            self.schedule(0.2, self._process_inbox, node, node.epoch)
            return
        self._process_inbox(node, node.epoch)

    def _process_inbox(self, node: Node, epoch: int) -> None:
        if node.core is not None and node.epoch == epoch and node.inbox:
            events, node.inbox = node.inbox, []
            self.step(node, events)

    def step(self, node: Node, events: list[api.Event]) -> None:
        """Step a core, check invariants, carry out its actions."""
        core = node.core
        self.counts["steps"] += 1
        actions = core.step(self.clock(node), events)
        self.checks.check_vote_kept(node)
        if core.leader_state is not None:
            self.checks.check_leader(node)
        for action in actions:
            self._carry_out(node, action)
        if core.delivered_index != node.applied:
            raise InvariantViolation("not all committed entries were delivered")

    def _carry_out(self, node: Node, action: api.Action) -> None:
        match action:
            case api.Send(to, message):
                self._send(node, to, message)
            case api.Write(number):
                self.checks.check_log_matching(node.core.log, action.entries)
                if action.snapshot_head is not None:
                    self.checks.check_snapshot_head(action.snapshot_head)
                node.image.pending.append(action)
                self.schedule(
                    self.random.uniform(*self.sync_range_ms) * node.disk_slowdown,
                    self._finish_sync,
                    node,
                    node.epoch,
                    number,
                )
            case api.Apply(entries):
                images = self.wiped_images | {n.me: n.image for n in self.nodes.values()}
                for entry in entries:
                    self.checks.check_applied(node, entry, images)
                    node.applied, node.state = entry.index, digest(node.state, entry)
                    node.clock_ms = entry.clock_ms
                    if node.state != self.checks.state_digests[entry.index]:
                        raise InvariantViolation(f"{node.name} has a different state at {entry.index}")
                due = None
                if self.expiry_interval_ms:
                    due = (node.clock_ms // self.expiry_interval_ms + 1) * self.expiry_interval_ms
                self.schedule(0.1, self._deliver_if_running, node, node.epoch, api.Applied(node.applied, due))
            case api.Restore(head, data):
                if head.index < node.applied or data[:32] != self.checks.state_digests[head.index]:
                    raise InvariantViolation(f"{node.name} restored a different state at {head.index}")
                node.applied, node.state, node.clock_ms = head.index, data[:32], head.clock_ms
                self.counts["restores"] += 1
            case api.TakeSnapshot():
                data = node.state + bytes(self.random.randint(0, 300))
                snapshot = api.Snapshot(node.applied, node.clock_ms, data)
                self.schedule(self.random.uniform(0, 5), self._deliver_if_running, node, node.epoch, snapshot)
                self.counts["snapshots"] += 1
            case api.Timer(at):
                node.timer_ms = at
                delay = max((at - self.clock(node)) / node.clock_rate, 0.0) + 1e-6
                self.schedule(delay, self._fire_timer, node, node.epoch, at)
            case api.ProposalOutcome():
                self._handle_proposal_outcome(action)
            case api.ReadOutcome():
                self._handle_read_outcome(action)
            case api.RoleChanged(role):
                self.counts["became " + role] += 1

    def _deliver_if_running(self, node: Node, epoch: int, event: api.Event) -> None:
        if node.core is not None and node.epoch == epoch:
            self.deliver(node.name, event)

    def _fire_timer(self, node: Node, epoch: int, at: float) -> None:
        if node.core is not None and node.epoch == epoch and node.timer_ms == at:
            events, node.inbox = node.inbox, []
            self.step(node, [*events, api.TimerFired()])

    def _finish_sync(self, node: Node, epoch: int, number: int) -> None:
        if node.core is None or node.epoch != epoch or node.write_failed:
            return
        if node.fails_writes:
            survives = self.random.randint(0, len(node.image.pending))
            first = node.image.pending[0].number if node.image.pending else number
            for _ in range(survives):
                node.image.apply_write(node.image.pending.popleft())
            node.image.pending.clear()
            node.write_failed = True
            self.counts["failed writes"] += 1
            self.deliver(node.name, api.WriteFailed(first, self.random.random() < 0.5))
            return
        done = 0
        while node.image.pending and node.image.pending[0].number <= number:
            done = node.image.pending[0].number
            node.image.apply_write(node.image.pending.popleft())
        if done:
            self.deliver(node.name, api.WriteCompleted(done))

    def repair_disk(self, name: str) -> None:
        """Let a folder accept writes again."""
        node = self.nodes[name]
        node.fails_writes = False
        if node.core is not None and node.write_failed:
            node.write_failed = False
            self.deliver(name, api.StorageRecovered(node.image.durable_state(node.me)))

    # The network

    def _send(self, node: Node, to: Incarnation, message: pb.Message) -> None:
        body = message.WhichOneof("body")
        self.counts[body] += 1
        if body == "vote_answer" and message.vote_answer.granted and not message.vote_answer.before:
            self.checks.check_vote(node.me, message.term, to)
        if body == "vote" and not message.vote.before:
            self.checks.check_vote(node.me, message.term, node.me)
        if (body == "vote_answer" and message.vote_answer.granted) or (
            body == "append_answer" and message.append_answer.took
        ):
            self._check_promise(node, message)
        if (node.name, to.name) in self.blocked_links:
            return
        for _ in range(1 + (self.random.random() < self.duplication_rate)):
            if self.random.random() >= self.loss_rate:
                self.schedule(self.random.uniform(*self.delay_range_ms), self._receive, node.me, to, message)

    def _check_promise(self, node: Node, message: pb.Message) -> None:
        if node.core.storage_failed:
            raise InvariantViolation(f"{node.name} makes promises after a failed write")
        index = message.append_answer.index
        if index and not node.image.holds(index, node.core.log.term(index) or 0):
            raise InvariantViolation(f"{node.name} acknowledges {index} before it is durable")
        if node.image.hard_state.term < message.term and not message.vote_answer.before:
            raise InvariantViolation(
                f"{node.name} sends a message of term {message.term} before that is durable"
            )

    def _receive(self, sender: Incarnation, to: Incarnation, message: pb.Message) -> None:
        node = self.nodes.get(to.name)
        if node is None or node.core is None or (to.id and to != node.me):
            return
        if (sender.name, to.name) in self.blocked_links:
            return
        self.deliver(to.name, api.MessageReceived(sender, message))

    def block(self, a: str, b: str, both: bool = True) -> None:
        """Drop messages from a to b, and back if `both`."""
        self.blocked_links.add((a, b))
        if both:
            self.blocked_links.add((b, a))

    # Clients

    def propose(self, name: str, size: int = 8) -> int:
        """Propose a command to a member; return the token."""
        self.last_token += 1
        body = b"%d " % self.last_token + bytes(size)
        self.pending_requests[self.last_token] = (
            "propose",
            self.now,
            max(self.checks.acknowledged_index, self.checks.read_index),
        )
        self.proposed_bodies[self.last_token] = body
        command = pb.Command(client=1, number=self.last_token, machine="m", body=body)
        self.deliver(name, api.Propose(self.last_token, command))
        return self.last_token

    def read(self, name: str) -> int:
        """Request a read from a member; return the token."""
        self.last_token += 1
        self.pending_requests[self.last_token] = (
            "read",
            self.now,
            max(self.checks.acknowledged_index, self.checks.read_index),
        )
        self.deliver(name, api.ReadRequested(self.last_token))
        return self.last_token

    def change_membership(
        self, name: str, add: pb.Member | None = None, remove: Incarnation | None = None
    ) -> int:
        """Request a membership change from a member; return the token."""
        self.last_token += 1
        self.pending_requests[self.last_token] = ("change", self.now, 0)
        self.deliver(name, api.ChangeMembership(self.last_token, add, remove))
        return self.last_token

    def _handle_proposal_outcome(self, answer: api.ProposalOutcome) -> None:
        kind, _, answered_index = self.pending_requests.pop(answer.token)
        if answer.refusal:
            self.refusals[answer.refusal] += 1
            self.counts["refused"] += 1
            return
        self.committed_indexes[answer.token] = answer.index
        if kind != "propose":
            return
        self.counts["done"] += 1
        if answer.index > len(self.checks.committed):
            raise InvariantViolation(f"{answer.token} answered before entry {answer.index} was committed")
        if self.checks.committed[answer.index - 1].command.body != self.proposed_bodies[answer.token]:
            raise InvariantViolation(f"{answer.token} answered with another's entry")
        if answer.index <= answered_index:
            raise InvariantViolation(
                f"{answer.token} is ordered before an index answered ahead of its proposal"
            )
        self.checks.acknowledged_index = max(self.checks.acknowledged_index, answer.index)

    def _handle_read_outcome(self, answer: api.ReadOutcome) -> None:
        _, _, answered_index = self.pending_requests.pop(answer.token)
        if answer.refusal:
            self.refusals[answer.refusal] += 1
            return
        self.counts["reads"] += 1
        if answer.index < answered_index:
            raise InvariantViolation(
                f"a read sees {answer.index}, though {answered_index} was answered before its request"
            )
        self.checks.read_index = max(self.checks.read_index, answer.index)

    # Inspection

    def leaders(self) -> list[Node]:
        """Return all members that consider themselves leader."""
        return [n for n in self.nodes.values() if n.core is not None and n.core.leader_state is not None]

    def leader(self) -> Node | None:
        """Return the leader of the latest term, or None."""
        return max(self.leaders(), key=lambda n: n.core.term, default=None)

    def await_leader(self, max_ms: float = 10_000.0) -> Node:
        """Run until there is a leader."""
        end = self.now + max_ms
        while self.now < end:
            leader = self.leader()
            if leader is not None:
                return leader
            self.run(self.now + 10.0)
        raise InvariantViolation("no leader")

    def voters(self) -> list[str]:
        """Return the names of the voters in the leader's configuration."""
        leader = self.leader()
        return [incarnation.name for incarnation in leader.core.log.configuration.voters] if leader else []

    def commit_command(self, max_ms: float = 10_000.0, size: int = 8) -> int:
        """Propose a command until it is committed; return its index."""
        end = self.now + max_ms
        while self.now < end:
            leader = self.await_leader()
            token = self.propose(leader.name, size)
            while token in self.pending_requests and self.now < end:
                self.run(self.now + 5.0)
            if token in self.committed_indexes:
                return self.committed_indexes[token]
            self.run(self.now + 50.0)
        raise InvariantViolation("no command is committed")

    def converge(self) -> None:
        """Repair everything and check that all members converge."""
        self.blocked_links.clear()
        self.loss_rate = self.duplication_rate = 0.0
        for name, node in self.nodes.items():
            node.disk_slowdown = 1.0
            if node.core is None:
                self.start(name)
            self.repair_disk(name)
        while any(node.image.pending for node in self.nodes.values()):
            self.run(self.now + 50.0)
        index = self.commit_command(20_000.0)
        end = self.now + 20_000.0
        while self.lagging_members(index):
            if self.now > end:
                raise InvariantViolation(f"{self.lagging_members(index)} never reach {index}")
            self.run(self.now + 100.0)

    def lagging_members(self, index: int) -> list[str]:
        """Return the members that have not applied an entry."""
        leader = self.await_leader()
        return [
            incarnation.name
            for incarnation in leader.core.log.configuration.incarnations
            if self.nodes[incarnation.name].applied < index and self.nodes[incarnation.name].me == incarnation
        ]


FAULTS = (
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
    """Play one seed, or the first part of it: start a group, inject faults, check that it converges."""
    random = Random(f"day {seed}")
    size = random.choice((1, 2, 3, 3, 3, 3, 4, 5, 5))
    cluster = Cluster(seed, size, core=core)
    cluster.expiry_interval_ms = random.choice((None, None, 100, 1000))
    starts_bootstrapped = random.random() < 0.8
    if starts_bootstrapped:
        cluster.start_bootstrapped()
    else:
        cluster.start_all()
    cluster.loss_rate, cluster.duplication_rate = random.choice(((0, 0), (0.05, 0.05), (0.2, 0.2)))
    cluster.delay_range_ms = random.choice(((0.5, 3.0), (1.0, 40.0)))
    cluster.sync_range_ms = random.choice(((0.2, 2.0), (1.0, 60.0)))
    faults = random.sample(FAULTS, random.randint(1, 7))
    names = sorted(cluster.nodes)
    cluster.run(random.choice((300.0, 700.0 if starts_bootstrapped else 3000.0)))
    end = cluster.now + random.choice((2000.0, 5000.0)) * part
    is_folder_lost = False
    while cluster.now < end:
        cluster.run(cluster.now + random.expovariate(1 / 25.0))
        name = random.choice(names)
        draw = random.random()
        leading = [node.name for node in cluster.leaders()]
        target = (
            random.choice(leading) if leading and random.random() < 0.8 else name
        )  # also a deposed leader
        if draw < 0.5:
            for _ in range(random.choice((1, 1, 1, 12))):
                cluster.propose(target, random.choice((8, 8, 200)))
        elif draw < 0.8:
            cluster.read(target)
        elif draw < 0.92:
            is_folder_lost |= inject_fault(cluster, random, random.choice(faults), name, is_folder_lost)
        else:
            repair(cluster, random, name)
    cluster.converge()
    return cluster


def inject_fault(cluster: Cluster, random: Random, kind: str, name: str, is_folder_lost: bool) -> bool:
    """Inject one fault; return whether a folder was lost."""
    names = sorted(cluster.nodes)
    other = random.choice(names)
    match kind:
        case "crash":
            cluster.crash(name)
        case "all":
            for each in names:
                cluster.crash(each)
        case "cut" if other != name:
            cluster.block(name, other)
        case "one-way" if other != name:
            cluster.block(name, other, both=False)
        case "half":
            half = set(random.sample(names, random.randint(0, len(names))))
            for a in half:
                for b in set(names) - half:
                    cluster.block(a, b)
        case "minority":
            leader = cluster.leader()
            if leader is None or len(names) < 3:
                return False
            others = [n for n in names if n != leader.name]
            near = {leader.name, *random.sample(others, random.randint(0, (len(names) - 1) // 2))}
            for a in near:
                for b in set(names) - near:
                    cluster.block(a, b)
            if not is_folder_lost and leader.core.accepts_commands() and random.random() < 0.5:
                for each in random.sample(sorted(set(names) - near), min(2, len(names) - len(near))):
                    if leader.core is not None:
                        cluster.change_membership(leader.name, remove=cluster.nodes[each].me)
            for _ in range(random.choice((0, 40))):  # request from the old leader until it steps down
                cluster.run(cluster.now + 10.0)
                for each in sorted(cluster.leaders(), key=lambda n: -n.core.term):
                    cluster.propose(each.name)
                    cluster.read(each.name)
        case "fail":
            cluster.nodes[name].fails_writes = True
        case "slow":
            cluster.nodes[name].disk_slowdown = random.choice((1.0, 20.0, 100.0))
        case "hand over":
            cluster.deliver(name, api.TransferLeadership())
        case "room":
            cluster.deliver(name, api.DiskSpaceLow())
        case "member":
            for leader in cluster.leaders():
                for each in random.sample(names, random.choice((1, 1, min(2, len(names))))):
                    node = cluster.nodes[each]
                    if leader.core is None or is_folder_lost or not leader.core.accepts_commands():
                        continue
                    if node.me in leader.core.log.configuration.incarnations:
                        cluster.change_membership(leader.name, remove=node.me)
                    else:
                        cluster.change_membership(
                            leader.name, add=pb.Member(name=each, life=node.me.id, address=each)
                        )
        case "wipe":
            leader = cluster.leader()
            if is_folder_lost or leader is None or leader.name == name or len(cluster.voters()) < 3:
                return False
            cluster.run(cluster.now + 500.0)
            leader = cluster.leader()
            if not cluster.checks.committed:
                return False
            voters, last = cluster.voters(), cluster.checks.committed[-1]
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


def repair(cluster: Cluster, random: Random, name: str) -> None:
    """Repair something."""
    node = cluster.nodes[name]
    if node.core is None:
        cluster.start(name)
    elif node.fails_writes or node.write_failed:
        cluster.repair_disk(name)
    elif cluster.blocked_links:
        for pair in random.sample(sorted(cluster.blocked_links), max(1, len(cluster.blocked_links) // 2)):
            cluster.blocked_links.discard(pair)
    else:
        node.disk_slowdown = 1.0


def measure_speed(members: int, batch: int, commands: int, size: int = 100) -> tuple[float, float]:
    """Return commands and steps per second of CPU time of all cores together, with batches of proposals.

    Messages and writes take no time, and time passes for the leader only, so that no other member campaigns:
    this measures only the cores' work.
    """
    incarnations = [Incarnation(chr(ord("a") + i), b"x") for i in range(members)]
    first = pb.Entry(
        term=1,
        index=1,
        members=pb.Members(
            members=[
                pb.Member(name=incarnation.name, life=incarnation.id, votes=True)
                for incarnation in incarnations
            ]
        ),
    )
    cores = {
        incarnation: RaftMember(Timing(), DurableState(incarnation, pb.HardState(term=1), entries=[first]), 1)
        for incarnation in incarnations
    }
    inboxes: dict[Incarnation, list[api.Event]] = {incarnation: [] for incarnation in incarnations}
    counts, now, leader = Counter(), 0.0, incarnations[0]

    def step(incarnation: Incarnation, events: list[api.Event]) -> None:
        counts["steps"] += 1
        for action in cores[incarnation].step(now if incarnation == leader else 0.0, events):
            match action:
                case api.Send(to, message):
                    inboxes[to].append(api.MessageReceived(incarnation, message))
                case api.Write(number):
                    inboxes[incarnation].append(api.WriteCompleted(number))
                case api.ProposalOutcome(_, refusal):
                    counts["done" if not refusal else "refused"] += 1
                case api.TakeSnapshot():
                    inboxes[incarnation].append(
                        api.Snapshot(cores[incarnation].delivered_index, 0, bytes(1000))
                    )

    def run_until_quiet() -> None:
        while any(inboxes.values()):
            for incarnation in incarnations:
                events, inboxes[incarnation] = inboxes[incarnation], []
                if events:
                    step(incarnation, events)

    for incarnation in incarnations:
        step(incarnation, [])
    while cores[leader].leader_state is None:
        now += Timing().election_timeout_ms
        step(leader, [api.TimerFired()])
        run_until_quiet()
    counts.clear()
    body, began = bytes(size), time.process_time()
    while counts["done"] < commands:
        now += 1.0
        command = pb.Command(client=1, number=1, machine="m", body=body)
        step(leader, [api.Propose(token, command) for token in range(batch)])
        run_until_quiet()
    took = time.process_time() - began
    return counts["done"] / took, counts["steps"] / took


def main() -> int:
    """Play seeds and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--keep-on", action="store_true", help="continue after a seed that fails")
    parser.add_argument(
        "--speed", type=int, default=0, help="measure the speed with this many commands instead"
    )
    args = parser.parse_args()
    if args.speed:
        for members in (3, 5):
            for batch in (1, 10, 100):
                done, steps = measure_speed(members, batch, args.speed)
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
