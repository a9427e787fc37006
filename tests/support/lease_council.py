"""Lease simulations over a real Raft group: three members, with their disks, network and clocks.

python tests/support/lease_council.py --seeds 1000 [--kind fences|plain]

As lease_play.py, but the log is replicated by Raft members (raft_cluster.py, with all its checks). They crash
with loss of unsynced writes, are cut off in one or both directions, lose and duplicate messages, and transfer
leadership; snapshots are small and frequent. Each member's clock has its own rate within the maximum drift.
"""

import search_paths  # noqa: F401 - makes imports work when run as a script

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

CLIENT_COUNT = 60  # registered in advance: controller incarnations in one simulation


class Members(Cluster):
    """Three members with the replicated leases, in place of the `Leader` of lease_play.py."""

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
        self.replicated_states: dict[str, ReplicatedState] = {}
        self.results: dict[tuple[str, int], council.Result] = {}
        self.client_ids: list[int] = []
        self.pending_commands: dict[int, tuple[Controller, ControllerIncarnation, int]] = {}  # by token
        # By member and index: token of the entry that the member is going to apply.
        self.token_by_index: dict[tuple[str, int], int] = {}
        for node in self.nodes.values():
            node.clock_rate = play.draw_clock_rate()

    # The interface of `Leader` in lease_play.py.

    @property
    def replicated_state(self) -> ReplicatedState:
        return max(self.replicated_states.values(), key=lambda replicated_state: replicated_state.index)

    @property
    def log_clock_ms(self) -> int:
        return self.replicated_state.clock_ms

    def register_client(self) -> int:
        return self.client_ids.pop(0)

    def change_leader(self) -> None:
        """Make the leader transfer its leadership."""
        for node in self.leaders():
            self.deliver(node.name, api.TransferLeadership())

    def start_group(self) -> None:
        """Start the Raft group and register clients."""
        self.start_all()
        while len(self.client_ids) < CLIENT_COUNT:
            leader = self.await_leader()
            for _ in range(CLIENT_COUNT - len(self.client_ids)):
                self.propose_command(leader.name, council.Command())
            self.run(self.now + 200.0)
            self.client_ids = [
                entry.index
                for entry in self.checks.committed
                if entry.WhichOneof("what") == "command" and not entry.command.client
            ][:CLIENT_COUNT]

    def propose_command(self, name: str, command: council.Command) -> int:
        self.last_token += 1
        self.pending_requests[self.last_token] = (
            "propose",
            self.now,
            max(self.checks.acknowledged_index, self.checks.read_index),
        )
        self.proposed_bodies[self.last_token] = command.body
        self.deliver(name, api.Propose(self.last_token, command))
        return self.last_token

    # Actions of the members.

    def start(self, name: str) -> None:
        self.replicated_states[name] = ReplicatedState([LeaseStateMachine()])
        super().start(name)

    def _carry_out(self, node: Node, action: api.Action) -> None:
        replicated_state = self.replicated_states[node.name]
        match action:
            case api.TakeSnapshot():
                snapshot = api.Snapshot(node.applied, node.clock_ms, node.state + replicated_state.snapshot())
                self.schedule(self.random.uniform(0, 5), self._deliver_if_running, node, node.epoch, snapshot)
                self.counts["snapshots"] += 1
                return
            case api.Restore(_, data):
                replicated_state.restore(data[32:])
        super()._carry_out(node, action)
        match action:
            case api.Apply(entries):
                for entry in entries:
                    is_newest = entry.index > max(state.index for state in self.replicated_states.values())
                    result = replicated_state.apply(entry)
                    if entry.WhichOneof("what") == "command":
                        self._deliver_result(node.name, entry.index, result)
                    if is_newest:
                        self.play.notify_offers()
                self.schedule(
                    0.1,
                    self._deliver_if_running,
                    node,
                    node.epoch,
                    api.Applied(node.applied, replicated_state.next_expiry_clock_ms()),
                )
            case api.ProposalOutcome(token, refusal, index, _, retry_after_ms) if (
                token in self.pending_commands
            ):
                if refusal:
                    controller, identity, request_id = self.pending_commands.pop(token)
                    self.play.send_answer(
                        controller,
                        identity,
                        lease_events.CommandAnswered(request_id, None, float(retry_after_ms)),
                    )
                else:
                    self.token_by_index[node.name, index] = token
                    if (node.name, index) in self.results:
                        self._deliver_result(node.name, index, self.results[node.name, index])

    def _deliver_result(self, name: str, index: int, result: council.Result) -> None:
        self.results[name, index] = result
        token = self.token_by_index.pop((name, index), None)
        if token is not None:
            controller, identity, request_id = self.pending_commands.pop(token)
            self.play.send_answer(
                controller,
                identity,
                lease_events.CommandAnswered(request_id, None if result.refusal else result.body),
            )


class CouncilPlay(Play):
    """A simulation over a Raft group."""

    def start_leader(self) -> Members:
        self.members = Members(self)
        self.members.start_group()
        self.faults_from_ms = self.members.now
        return self.members

    @property
    def now_ms(self) -> float:
        return self.members.now if "members" in self.__dict__ else 0.0

    @now_ms.setter
    def now_ms(self, now_ms: float) -> None:
        pass

    def schedule_at(self, at_ms: float, call, *args) -> None:
        self.members.schedule(max(0.0, at_ms - self.now_ms), call, *args)

    def run(self) -> Counter:
        members = self.members
        members.loss_rate, members.duplication_rate = self.random.choice(((0, 0), (0.05, 0.05), (0.15, 0.1)))
        members.delay_range_ms = self.random.choice(((0.5, 3.0), (1.0, 20.0)))
        for _ in range(self.random.randint(4, 16)):
            self.schedule_at(self.faults_from_ms + self.random.uniform(0, self.faulty_ms), self.inject_fault)
        self.schedule_at(self.faults_from_ms + self.faulty_ms, self.stop_faults)
        members.run(self.faults_from_ms + self.faulty_ms + 20_000.0)
        self.check_end()
        return self.counts + members.counts

    def apply_command(
        self,
        controller: Controller,
        identity: ControllerIncarnation,
        request_id: int,
        command: council.Command,
    ) -> None:
        leader = self.members.leader()
        name = leader.name if leader is not None and self.random.random() < 0.9 else self.random.choice("abc")
        if self.members.nodes[name].core is not None:
            self.members.pending_commands[self.members.last_token + 1] = (controller, identity, request_id)
            self.members.propose_command(name, command)

    def lose_leader(self, ms: float) -> None:
        """Crash, isolate or slow down a member, usually the leader, or crash all, for `ms`."""
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
                for other_name in "abc":
                    members.crash(other_name)
        self.schedule_at(self.now_ms + ms, self.heal)

    def heal(self) -> None:
        members = self.members
        members.blocked_links.clear()
        for name, node in members.nodes.items():
            node.disk_slowdown = 1.0
            if node.core is None:
                members.start(name)
            members.repair_disk(name)

    def stop_faults(self) -> None:
        self.members.loss_rate = self.members.duplication_rate = 0.0
        self.heal()
        super().stop_faults()


if __name__ == "__main__":
    sys.exit(main(CouncilPlay, __doc__, AssertionError))
