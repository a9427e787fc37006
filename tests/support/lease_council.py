"""The plays of leases over a real council: three cores, their disks and network, and their clocks.

python tests/support/lease_council.py --seeds 1000 [--kind fences|plain]

As lease_play.py, but the record is agreed by cores (raft_cluster.py, with all its checks). They crash
with unsynced writes lost, are cut off one way or both, lose and double messages, and hand over; snapshots are
small and frequent. Each member's clock has its own pace within the stated drift.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import sys
from collections import Counter

from lease_play import Controller, Play, main
from raft_cluster import Cluster, Node

from fennelwind.leases import lease_events
from fennelwind.leases.model import ControllerIncarnation
from fennelwind.leases.state_machine import LeaseStateMachine
from fennelwind.raft import council_pb2 as council
from fennelwind.raft import messages as api
from fennelwind.raft.messages import Timing
from fennelwind.raft.replicated_state import ReplicatedState

CLIENTS = 60  # opened ahead: lives of controllers in one play


class Members(Cluster):
    """Three members with the leases' record; stands where lease_play has its one record."""

    def __init__(self, play: "CouncilPlay") -> None:
        timing = Timing(
            heartbeat_ms=50,
            election_timeout_ms=200,
            max_append_bytes=4000,
            max_in_flight_appends=3,
            max_chunk_bytes=512,
            retained_entries=10,
            max_log_bytes=8000,
            clock_entry_interval_ms=100,
        )
        super().__init__(play.seed, 3, timing)
        self.play = play
        self.records: dict[str, ReplicatedState] = {}
        self.results: dict[tuple[str, int], council.Result] = {}
        self.clients: list[int] = []
        self.waiting: dict[int, tuple[Controller, ControllerIncarnation, int]] = {}  # by token
        self.at_index: dict[tuple[str, int], int] = {}  # the token whose entry a member is going to apply
        for node in self.nodes.values():
            node.clock_rate = play.pace()

    # What lease_play asks of its leader.

    @property
    def record(self) -> ReplicatedState:
        return max(self.records.values(), key=lambda record: record.index)

    @property
    def stamped(self) -> int:
        return self.record.clock_ms

    def open(self) -> int:
        return self.clients.pop(0)

    def change(self) -> None:
        """Let another lead."""
        for node in self.leaders():
            self.deliver(node.name, api.TransferLeadership())

    def begin(self) -> None:
        """Found the council, and open clients."""
        self.start_all()
        while len(self.clients) < CLIENTS:
            leader = self.await_leader()
            for _ in range(CLIENTS - len(self.clients)):
                self.command(leader.name, council.Command())
            self.run(self.now + 200.0)
            self.clients = [
                e.index
                for e in self.checks.committed
                if e.WhichOneof("what") == "command" and not e.command.client
            ][:CLIENTS]

    def command(self, name: str, command: council.Command) -> int:
        self.last_token += 1
        self.pending_requests[self.last_token] = (
            "propose",
            self.now,
            max(self.checks.acknowledged_index, self.checks.read_index),
        )
        self.proposed_bodies[self.last_token] = command.body
        self.deliver(name, api.Propose(self.last_token, command))
        return self.last_token

    # Carrying out.

    def start(self, name: str) -> None:
        self.records[name] = ReplicatedState([LeaseStateMachine()])
        super().start(name)

    def _carry_out(self, node: Node, action: api.Action) -> None:
        record = self.records[node.name]
        match action:
            case api.TakeSnapshot():
                snapshot = api.Snapshot(node.applied, node.clock_ms, node.state + record.snapshot())
                self.schedule(self.random.uniform(0, 5), self._deliver_if_running, node, node.epoch, snapshot)
                self.counts["snapshots"] += 1
                return
            case api.Restore(_, data):
                record.restore(data[32:])
        super()._carry_out(node, action)
        match action:
            case api.Apply(entries):
                for entry in entries:
                    ahead = entry.index > max(r.index for r in self.records.values())
                    result = record.apply(entry)
                    if entry.WhichOneof("what") == "command":
                        self._told(node.name, entry.index, result)
                    if ahead:
                        self.play.watched()
                self.schedule(
                    0.1,
                    self._deliver_if_running,
                    node,
                    node.epoch,
                    api.Applied(node.applied, record.next_expiry_clock_ms()),
                )
            case api.ProposalOutcome(token, refusal, index, _, again_ms) if token in self.waiting:
                if refusal:
                    who, life, number = self.waiting.pop(token)
                    self.play.answered(who, life, lease_events.CommandAnswered(number, None, float(again_ms)))
                else:
                    self.at_index[node.name, index] = token
                    if (node.name, index) in self.results:
                        self._told(node.name, index, self.results[node.name, index])

    def _told(self, name: str, index: int, result: council.Result) -> None:
        self.results[name, index] = result
        token = self.at_index.pop((name, index), None)
        if token is not None:
            who, life, number = self.waiting.pop(token)
            self.play.answered(
                who, life, lease_events.CommandAnswered(number, None if result.refusal else result.body)
            )


class CouncilPlay(Play):
    """A play over a council."""

    def found(self) -> Members:
        self.members = Members(self)
        self.members.begin()
        self.from_ms = self.members.now
        return self.members

    @property
    def now(self) -> float:
        return self.members.now if "members" in self.__dict__ else 0.0

    @now.setter
    def now(self, now: float) -> None:
        pass

    def at(self, when: float, what, *args) -> None:
        self.members.schedule(max(0.0, when - self.now), what, *args)

    def run(self) -> Counter:
        members = self.members
        members.loss_rate, members.duplication_rate = self.random.choice(((0, 0), (0.05, 0.05), (0.15, 0.1)))
        members.delay_range_ms = self.random.choice(((0.5, 3.0), (1.0, 20.0)))
        for _ in range(self.random.randint(4, 16)):
            self.at(self.from_ms + self.random.uniform(0, self.played_ms), self.fault)
        self.at(self.from_ms + self.played_ms, self.end_of_faults)
        members.run(self.from_ms + self.played_ms + 20_000.0)
        self.check_end()
        return self.counts + members.counts

    def asked(
        self, who: Controller, life: ControllerIncarnation, token: int, command: council.Command
    ) -> None:
        leader = self.members.leader()
        name = leader.name if leader is not None and self.random.random() < 0.9 else self.random.choice("abc")
        if self.members.nodes[name].core is not None:
            self.members.waiting[self.members.last_token + 1] = (who, life, token)
            self.members.command(name, command)

    def no_leader(self, ms: float) -> None:
        """Something happens to a member, the leader mostly, for so long."""
        members, random = self.members, self.random
        leader = members.leader()
        name = leader.name if leader is not None and random.random() < 0.7 else random.choice("abc")
        others = [other for other in "abc" if other != name]
        match random.randrange(4):
            case 0:
                members.crash(name)
            case 1:
                for other in others:
                    members.block(name, other, both=random.random() < 0.6)
            case 2:
                members.nodes[name].disk_slowdown = 50.0
            case 3:
                for each in "abc":
                    members.crash(each)
        self.at(self.now + ms, self.heal)

    def heal(self) -> None:
        members = self.members
        members.blocked_links.clear()
        for name, node in members.nodes.items():
            node.disk_slowdown = 1.0
            if node.core is None:
                members.start(name)
            members.repair_disk(name)

    def end_of_faults(self) -> None:
        self.members.loss_rate = self.members.duplication_rate = 0.0
        self.heal()
        super().end_of_faults()


if __name__ == "__main__":
    sys.exit(main(CouncilPlay, __doc__, AssertionError))
