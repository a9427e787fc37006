"""What one controller runs for the Raft group, put together.

Its member, if it is one, its Raft client, its leased tasks, and what rests on them: the schema gate, schema
rollouts, shard migrations, replica locations, quiescence. `cli.program` makes, starts and closes it.
"""

from collections.abc import Callable, Iterable

from fennelwind.cluster.access_load import AccessLoadReporter
from fennelwind.cluster.engine_statements import EngineStatements
from fennelwind.cluster.errors import ClusterError
from fennelwind.cluster.identity import ClusterIdentity
from fennelwind.cluster.leased_tasks import LeasedTasks
from fennelwind.cluster.member_folder import MemberFolder
from fennelwind.cluster.quiescence import QuiescenceClient
from fennelwind.cluster.raft_client import RaftClient
from fennelwind.cluster.raft_host import RaftHost
from fennelwind.cluster.replica_locations import ReplicaLocations
from fennelwind.cluster.schema_gate import SchemaGate
from fennelwind.cluster.schema_rollout import SchemaRollouts
from fennelwind.cluster.shard_migration import ShardMigrations
from fennelwind.cluster.state_machines import answer, machines
from fennelwind.engines.engine_client import EngineClient
from fennelwind.loop import Loop, Task
from fennelwind.loop.disk import Disk
from fennelwind.quiescence.in_flight import InFlightTracker
from fennelwind.raft.council_pb2 import Member as StatedMember
from fennelwind.raft.member import RaftMember
from fennelwind.raft.messages import DurableState
from fennelwind.raft.replicated_state import LEVEL, ReplicatedState
from fennelwind.raft.state_machine import StateMachine
from fennelwind.raft_storage.store import StoreLimits
from fennelwind.shards.access_load import AccessCounter
from fennelwind.shards.model import Bounds, ReplicaHost
from fennelwind.shards.shards_pb2 import Shard

ENGINES_CHECK_MS = 100.0  # ms between two checks whether any engine is known here
LEASES_HANDOVER_SHARE = 0.5  # of the time to hand over: leases first, then leadership


class ClusterRuntime:
    """What a controller with a section `council` runs. No query waits for it."""

    def __init__(
        self,
        loop: Loop,
        place: ClusterIdentity,
        seed: int,
        log: Callable[[str, dict], None],
        disk: Callable[[], Disk] | None = None,
        more: Iterable[StateMachine] = (),
        level: int = LEVEL,
    ) -> None:
        """Make it. `disk`, `more` state machines and another known `level` are for testbeds."""
        self.loop = loop
        self.place = place
        self._log = log
        self.member = (
            self._member(seed, disk, ReplicatedState([*machines(), *more], level))
            if place.is_member
            else None
        )
        self.client = RaftClient(
            loop, place.fleet, place.me, place.members, f"asker {seed}", self._log_connect_error
        )
        self.tasks = LeasedTasks(loop, self.client, place.me, seed, log)
        self.gate: SchemaGate | None = None
        self.changes: SchemaRollouts | None = None
        self.moves: ShardMigrations | None = None
        self._engines: Callable[[], Iterable[str]] = tuple
        self._migrations_task: Task | None = None
        self.copies: ReplicaLocations | None = None
        self.heat: AccessLoadReporter | None = None
        self.quiescence: QuiescenceClient | None = None
        self._seed = seed

    def _member(self, seed: int, disk: Callable[[], Disk] | None, record: ReplicatedState) -> RaftHost:
        place, loop = self.place, self.loop
        limits = StoreLimits(reserve_bytes=place.reserve_bytes, min_free_bytes=2 * place.reserve_bytes)
        stated = [
            StatedMember(name=name, address=str(address)) for name, address in sorted(place.members.items())
        ]

        def core(durable: DurableState) -> RaftMember:
            return RaftMember(place.timing, durable, seed, stated)

        folder = MemberFolder(
            disk or self._disk, place.fleet, place.me, loop.token, limits, lambda: loop.sleep(0.0)
        )
        return RaftHost(loop, place, record, folder, core, f"member {seed}", self._log, answer)

    def _disk(self) -> Disk:
        from fennelwind.loop.realdisk import RealDisk  # in virtual time the disk is handed in

        return RealDisk(self.loop, str(self.place.folder))

    def _log_connect_error(self, exc: ClusterError) -> None:
        self._log("raft client cannot connect", exc.told())

    def serve_engines(self, links: EngineClient, engines: Callable[[], Iterable[str]]) -> None:
        """Guard the schemas of the engines' tables; `engines` returns those that are there now."""
        statements, self._engines = EngineStatements(self.loop, links.settings, links.tls), engines
        self.gate = SchemaGate(self.loop, self.client, engines, f"gate {self._seed}", self._log)
        self.changes = SchemaRollouts(self.loop, self.client, self.tasks, statements, engines, self._log)

    def serve_shards(
        self,
        links: EngineClient,
        homes: Callable[[], Iterable[ReplicaHost]],
        staging: str,
        bounds: Bounds,
        shards: Iterable[Shard],
        in_flight: InFlightTracker,
        named: AccessCounter,
        *,
        cleared: bool = False,
    ) -> None:
        """Move shards while the lease is held here.

        `in_flight` counts the queries in flight here, and gives routing each newer view of the replicated
        state; `named` counts what queries name, to be reported; with `cleared`, a lease holder here goes by
        what all controllers have acknowledged.
        """
        statements = EngineStatements(self.loop, links.settings, links.tls)
        record = self.member.state.record if self.member is not None else None
        self.moves = ShardMigrations(
            self.loop,
            self.client,
            self.tasks,
            statements,
            homes,
            staging,
            self._log,
            bounds,
            shards=shards,
            record=record,
        )
        self.heat = AccessLoadReporter(self.loop, self.client, named, self._seed)
        self.quiescence = quiescence = QuiescenceClient(self.loop, self.client, self.place.me, in_flight)
        self.copies = ReplicaLocations(self.loop, self.client, quiescence.update_replicas)
        self.moves.quiescence = quiescence if cleared else None
        if self.changes is not None:
            self.changes.on_quiesced_tables = quiescence.update_tables
            self.changes.quiescence = self.moves.quiescence

    def start(self) -> None:
        """Start all parts; returns at once, or once replica locations are known or their time is up."""
        if self.member is not None:
            self.member.start()
        self.tasks.start()
        if self.quiescence is None and self.changes is not None:
            # It sends queries, and keeps none away: whoever holds a lease is to know so.
            self.quiescence = QuiescenceClient(self.loop, self.client, self.place.me, None)
        for part in (self.quiescence, self.gate, self.changes, self.copies, self.heat):
            if part is not None:
                part.start()
        if self.moves is not None:
            self._migrations_task = self.loop.spawn(self._start_migrations, name="keeper: moves")
        if self.copies is not None and not self.copies.wait():
            self._log(
                "replica locations unknown", {"advice": "Queries go to any engine until the council answers."}
            )

    def _start_migrations(self) -> None:
        """Migrate shards once an engine is known: to a controller that knows none, all seem removed."""
        while not list(self._engines()):
            self.loop.sleep(ENGINES_CHECK_MS)
        self.moves.start()

    def gauges(self) -> list[tuple[str, str, float]]:
        """Return the gauges: name, meaning and value of each."""
        held = len(self.tasks.lease_client.held_tasks(self.loop.now()))
        told = [("leases_held", "Leases of tasks held here.", held)]
        if self.copies is not None:
            told.append(
                (
                    "shards_known",
                    "Shards of the record, by the view that queries go by here.",
                    len(self.copies.places),
                )
            )
            told.append(
                (
                    "shards_readable",
                    "Shards with a good copy, by the view that queries go by here.",
                    sum(map(bool, self.copies.places.values())),
                )
            )
        member = self.member
        if member is not None and member.core is not None:
            record = member.state.record
            told += [
                ("leads", "1 where this member leads.", member.role == "leader"),
                (
                    "votes",
                    "1 where this member has a vote and can write.",
                    member.role in ("leader", "follower", "asking"),
                ),
                ("term", "The member's term.", member.term),
                ("index", "The last entry that was applied.", record.index),
                ("level", "The record's level.", record.level),
                (
                    "members_reached",
                    "Other members that can be sent to.",
                    sum(peer.is_connected for peer in member.peers.by_name.values()),
                ),
                ("watchers", "Watches that wait here.", member.state.watchers),
            ]
        return [(name, help_, float(value)) for name, help_, value in told]

    def events(self) -> list[tuple[str, str, int]]:
        """Return the counters: component, event and count of each."""
        found = {
            "asker": {"asked": self.client.attempts, "lost": self.client.unanswered_attempts},
            "tasks": self.tasks.counts,
        }
        if self.quiescence is not None:
            found["clearances"] = self.quiescence.counts
        if self.heat is not None:
            found["heat"] = self.heat.counts
        member = self.member
        if member is not None:
            found |= {"member": member.counts, "peers": member.peers.counts}
            if member.server is not None:
                found["door"] = member.server.counts
        return [(where, event, count) for where, counts in found.items() for event, count in counts.items()]

    def hand_over(self) -> None:
        """Hand leases and leadership over to others, within the stated time."""
        within_ms = self.place.handover_ms
        self.tasks.hand_over_all(within_ms * LEASES_HANDOVER_SHARE)
        if self.member is not None:
            self.member.hand_over(within_ms * (1.0 - LEASES_HANDOVER_SHARE))

    def close(self) -> None:
        """Stop all parts."""
        if self._migrations_task is not None:
            self._migrations_task.cancel()
        for part in (self.quiescence, self.gate, self.changes, self.moves, self.copies, self.heat):
            if part is not None:
                part.close()
        self.tasks.close()
        self.client.close()
        if self.member is not None:
            self.member.close()
