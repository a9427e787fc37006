"""Assembles everything that one controller runs for the Raft group.

These parts are the Raft member (if this controller is one), the Raft client, the leased tasks, and the
services built on them: schema gate, schema rollouts, shard migrations, replica locations and quiescence.
`cli.program` creates, starts and closes the `ClusterRuntime`.
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
from fennelwind.cluster.state_machines import answer_query, machines
from fennelwind.engines.engine_client import EngineClient
from fennelwind.loop import Loop, Task
from fennelwind.loop.disk import Disk
from fennelwind.quiescence.in_flight import InFlightTracker
from fennelwind.raft.council_pb2 import Member as MemberMessage
from fennelwind.raft.member import RaftMember
from fennelwind.raft.messages import DurableState
from fennelwind.raft.replicated_state import LEVEL, ReplicatedState
from fennelwind.raft.state_machine import StateMachine
from fennelwind.raft_storage.store import StoreLimits
from fennelwind.shards.access_load import AccessCounter
from fennelwind.shards.model import Bounds, ReplicaHost
from fennelwind.shards.shards_pb2 import Shard

ENGINES_CHECK_MS = 100.0  # ms between two checks whether any engine is known yet
LEASES_HANDOVER_SHARE = 0.5  # share of the handover time for leases; the remainder is for leadership


class ClusterRuntime:
    """Runs the Raft services of a controller with a `council` section; no query waits for these services."""

    def __init__(
        self,
        loop: Loop,
        identity: ClusterIdentity,
        seed: int,
        log: Callable[[str, dict], None],
        disk: Callable[[], Disk] | None = None,
        extra_machines: Iterable[StateMachine] = (),
        level: int = LEVEL,
    ) -> None:
        """Create the services without starting them.

        Only testbeds set `disk`, `extra_machines` or a `level` other than this version's.
        """
        self.loop = loop
        self.identity = identity
        self._log = log
        self.member = (
            self._member(seed, disk, ReplicatedState([*machines(), *extra_machines], level))
            if identity.is_member
            else None
        )
        self.client = RaftClient(
            loop, identity.fleet, identity.me, identity.members, f"asker {seed}", self._log_connect_error
        )
        self.tasks = LeasedTasks(loop, self.client, identity.me, seed, log)
        self.gate: SchemaGate | None = None
        self.rollouts: SchemaRollouts | None = None
        self.migrations: ShardMigrations | None = None
        self._engines: Callable[[], Iterable[str]] = tuple
        self._migrations_task: Task | None = None
        self.locations: ReplicaLocations | None = None
        self.load_reporter: AccessLoadReporter | None = None
        self.quiescence: QuiescenceClient | None = None
        self._seed = seed

    def _member(self, seed: int, disk: Callable[[], Disk] | None, state: ReplicatedState) -> RaftHost:
        identity, loop = self.identity, self.loop
        limits = StoreLimits(reserve_bytes=identity.reserve_bytes, min_free_bytes=2 * identity.reserve_bytes)
        settings_members = [
            MemberMessage(name=name, address=str(address))
            for name, address in sorted(identity.members.items())
        ]

        def make_core(durable: DurableState) -> RaftMember:
            return RaftMember(identity.timing, durable, seed, settings_members)

        folder = MemberFolder(
            disk or self._disk, identity.fleet, identity.me, loop.token, limits, lambda: loop.sleep(0.0)
        )
        return RaftHost(loop, identity, state, folder, make_core, f"member {seed}", self._log, answer_query)

    def _disk(self) -> Disk:
        from fennelwind.loop.realdisk import RealDisk  # not loaded in virtual time, where `disk` is given

        return RealDisk(self.loop, str(self.identity.folder))

    def _log_connect_error(self, exc: ClusterError) -> None:
        self._log("raft client cannot connect", exc.told())

    def serve_engines(self, links: EngineClient, engines: Callable[[], Iterable[str]]) -> None:
        """Set up the schema gate and schema rollouts; `engines` returns the engines known now."""
        statements, self._engines = EngineStatements(self.loop, links.settings, links.tls), engines
        self.gate = SchemaGate(self.loop, self.client, engines, f"gate {self._seed}", self._log)
        self.rollouts = SchemaRollouts(self.loop, self.client, self.tasks, statements, engines, self._log)

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
        wait_for_acknowledgements: bool = False,
    ) -> None:
        """Set up shard migrations, which run while this controller holds their lease.

        `in_flight` counts the queries in flight here, and passes each newer view of the replicated state to
        routing. `named` counts the shards that queries name. With `wait_for_acknowledgements`, the lease
        holder drops a replica as soon as all controllers have acknowledged that they send it no query.
        """
        statements = EngineStatements(self.loop, links.settings, links.tls)
        state = self.member.state.replicated_state if self.member is not None else None
        self.migrations = ShardMigrations(
            self.loop,
            self.client,
            self.tasks,
            statements,
            homes,
            staging,
            self._log,
            bounds,
            shards=shards,
            replicated_state=state,
        )
        self.load_reporter = AccessLoadReporter(self.loop, self.client, named, self._seed)
        self.quiescence = quiescence = QuiescenceClient(self.loop, self.client, self.identity.me, in_flight)
        self.locations = ReplicaLocations(self.loop, self.client, quiescence.update_replicas)
        self.migrations.quiescence = quiescence if wait_for_acknowledgements else None
        if self.rollouts is not None:
            self.rollouts.on_quiesced_tables = quiescence.update_tables
            self.rollouts.quiescence = self.migrations.quiescence

    def start(self) -> None:
        """Start all services.

        With shard migrations, wait until the replica locations are known or that wait times out.
        """
        if self.member is not None:
            self.member.start()
        self.tasks.start()
        if self.quiescence is None and self.rollouts is not None:
            # This controller can send queries but not withhold any from an engine; its registration says so.
            self.quiescence = QuiescenceClient(self.loop, self.client, self.identity.me, None)
        for service in (self.quiescence, self.gate, self.rollouts, self.locations, self.load_reporter):
            if service is not None:
                service.start()
        if self.migrations is not None:
            self._migrations_task = self.loop.spawn(self._start_migrations, name="keeper: moves")
        if self.locations is not None and not self.locations.wait():
            self._log(
                "replica locations unknown",
                {"advice": "Queries go to any engine until the Raft group answers."},
            )

    def _start_migrations(self) -> None:
        """Start shard migrations once an engine is known.

        A controller that knows no engine yet would treat all engines as removed.
        """
        while not list(self._engines()):
            self.loop.sleep(ENGINES_CHECK_MS)
        self.migrations.start()

    def gauges(self) -> list[tuple[str, str, float]]:
        """Return the gauges, each as name, meaning and value."""
        held = len(self.tasks.lease_client.held_tasks(self.loop.now()))
        gauges = [("leases_held", "Leases of tasks held here.", held)]
        if self.locations is not None:
            gauges.append(
                (
                    "shards_known",
                    "Shards of the record, by the view that queries go by here.",
                    len(self.locations.places),
                )
            )
            gauges.append(
                (
                    "shards_readable",
                    "Shards with a good copy, by the view that queries go by here.",
                    sum(map(bool, self.locations.places.values())),
                )
            )
        member = self.member
        if member is not None and member.core is not None:
            state = member.state.replicated_state
            gauges += [
                ("leads", "1 where this member leads.", member.role == "leader"),
                (
                    "votes",
                    "1 where this member has a vote and can write.",
                    member.role in ("leader", "follower", "asking"),
                ),
                ("term", "The member's term.", member.term),
                ("index", "The last entry that was applied.", state.index),
                ("level", "The record's level.", state.level),
                (
                    "members_reached",
                    "Other members that can be sent to.",
                    sum(peer.is_connected for peer in member.peers.by_name.values()),
                ),
                ("watchers", "Watches that wait here.", member.state.watch_count),
            ]
        return [(name, help_, float(value)) for name, help_, value in gauges]

    def events(self) -> list[tuple[str, str, int]]:
        """Return the counters, each as component, event and count."""
        counters = {
            "asker": {"asked": self.client.attempts, "lost": self.client.unanswered_attempts},
            "tasks": self.tasks.counts,
        }
        if self.quiescence is not None:
            counters["clearances"] = self.quiescence.counts
        if self.load_reporter is not None:
            counters["heat"] = self.load_reporter.counts
        member = self.member
        if member is not None:
            counters |= {"member": member.counts, "peers": member.peers.counts}
            if member.server is not None:
                counters["door"] = member.server.counts
        return [
            (component, event, count)
            for component, counts in counters.items()
            for event, count in counts.items()
        ]

    def hand_over(self) -> None:
        """Hand leases and leadership over to other controllers, within the `handover_ms` of the settings."""
        within_ms = self.identity.handover_ms
        self.tasks.hand_over_all(within_ms * LEASES_HANDOVER_SHARE)
        if self.member is not None:
            self.member.hand_over(within_ms * (1.0 - LEASES_HANDOVER_SHARE))

    def close(self) -> None:
        """Stop all services."""
        if self._migrations_task is not None:
            self._migrations_task.cancel()
        for service in (
            self.quiescence,
            self.gate,
            self.rollouts,
            self.migrations,
            self.locations,
            self.load_reporter,
        ):
            if service is not None:
                service.close()
        self.tasks.close()
        self.client.close()
        if self.member is not None:
            self.member.close()
