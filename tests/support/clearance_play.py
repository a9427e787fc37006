"""Quiescence in virtual time: controllers, Raft members and a lease holder, checked against an oracle.

Processes pause and restart; acknowledgements are lost, delayed and duplicated. The oracle knows the true
content of the replicated log, which attempts are open at which engine, and which pairs were reported to the
holder as cleared. The registry, the acknowledgements, the in-flight tracker and the routing are production
code.
"""

import heapq
import itertools
from random import Random

from test_shard_routing import SETTINGS

from fennelwind.quiescence import clearance_pb2 as pb
from fennelwind.quiescence.acknowledgements import Acknowledgements
from fennelwind.quiescence.in_flight import InFlightTracker, table_of
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.raft.state_machine import LogPosition
from fennelwind.shards.routing import Routing

SILENCE_TIMEOUT_MS, RENEWAL_INTERVAL_MS, DAY_MS = 20_000, 5_000.0, 150_000.0
NO_INDEX = 10**9  # greater than the index of any log entry
ENGINES = ("e0", "e1", "e2")
SHARDS = ("t/d=0", "t/d=1", "u/d=0", "new/d=0")  # the last one is not in the replicated log


class InvariantViolation(AssertionError):
    """A query ran or started where quiescence had been reported."""


class Registry(ControllerRegistry):
    silence_timeout_ms = SILENCE_TIMEOUT_MS


class Controller:
    """One process: its in-flight tracker, routing and number.

    `is_excused`: it has started, or continued after a long pause, and has no view of its own yet.
    """

    def __init__(self, name, is_excused):
        self.name, self.is_excused, self.paused_until_ms, self.is_dead = name, is_excused, 0.0, False
        self.in_flight = InFlightTracker()
        self.routing = Routing(SETTINGS, 2, self.in_flight)
        self.in_flight.on_replica_locations, self.in_flight.on_excluded_engines = (
            self.routing.update_replicas,
            self.routing.update_quiesced,
        )
        self.query_ids = itertools.count()
        self.heard_at_ms = 0.0  # when its last command was applied
        # Index of its last registration; a view from then on ends the excuse.
        self.last_registered_index = NO_INDEX if is_excused else 0


class Member:
    """A Raft member that leads, or does not know yet that another does."""

    def __init__(self):
        self.acknowledgements, self.registry, self.index, self.clock_ms = Acknowledgements(), Registry(), 0, 0


class Play:
    """One simulated day."""

    def __init__(self, seed):
        self.random, self.now_ms, self.index = Random(f"clearance {seed}"), 0.0, 0
        self.registry, self.members = Registry(), [Member(), Member(), Member()]
        self.log = {}  # by index: replicas that serve; draining replicas and quiesced tables
        self.good = {shard: set(ENGINES) for shard in SHARDS[:3]}
        self.requests, self.cleared_at_ms = {}, {}  # by kind and pair: index; time
        self.open_attempts = {}  # by attempt at an engine: the pairs that it reads
        self.events, self.event_sequence = [], itertools.count()
        self.counts = dict.fromkeys(("cleared", "attempts", "kept away", "excused", "open", "silent"), 0)
        self.controllers = [Controller(f"c{n}", False) for n in range(4)]
        self.append_entry()
        for controller in self.controllers:
            self.start_controller(controller)
        self.schedule(100.0, self.run_lease_holder)
        self.schedule(50.0, self.advance_clock)

    def play(self):
        while self.events and self.now_ms < DAY_MS:
            self.now_ms, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self.counts

    def schedule(self, ms, call, *args):
        heapq.heappush(self.events, (self.now_ms + ms, next(self.event_sequence), call, args))

    def draw_delay_ms(self):
        """Draw the delay of a message; one in twelve is up to 30 s."""
        return self.random.uniform(1.0, 40.0 if self.random.random() < 0.92 else 30_000.0)

    # The replicated log.

    def append_entry(self):
        self.index += 1
        kinds = {kind: [pair for (k, pair) in self.requests if k == kind] for kind in ("copy", "table")}
        self.log[self.index] = {s: tuple(sorted(e)) for s, e in self.good.items()}, kinds
        return LogPosition(self.index, int(self.now_ms))

    def apply_command(self, command):
        at = self.append_entry()
        self.registry.expire_due(at)
        return pb.RollAnswer.FromString(self.registry.apply(at, command.SerializeToString(), None))

    def advance_clock(self):
        """Append an entry for the time; each member catches up with its own probability, so that some lag."""
        self.schedule(500.0, self.advance_clock)
        self.registry.expire_due(self.append_entry())
        for member, catch_up_probability in zip(self.members, (0.9, 0.15, 0.02), strict=True):
            if self.random.random() < 0.02:
                member.acknowledgements = Acknowledgements()  # it restarted
            if self.random.random() < catch_up_probability:
                member.registry.restore(self.registry.snapshot())
                member.index, member.clock_ms = self.index, int(self.now_ms)

    # Controllers.

    def start_controller(self, controller):
        self.schedule(self.random.uniform(0.0, 6_000.0), self.register, controller)
        for call in (self.update_views, self.acknowledge, self.query):
            self.schedule(self.random.uniform(0.0, 300.0), call, controller)
        self.schedule(self.random.expovariate(1 / 60_000.0), self.inject_fault, controller)

    def defer_if_paused(self, controller, call):
        """Return whether a controller is paused or dead; if paused, repeat the call when it continues."""
        if controller.paused_until_ms > self.now_ms:
            self.schedule(
                controller.paused_until_ms - self.now_ms + self.random.uniform(0.0, 50.0), call, controller
            )
        return controller.is_dead or controller.paused_until_ms > self.now_ms

    def register(self, controller):
        if self.defer_if_paused(controller, self.register):
            return
        if controller.in_flight.registration_number:
            answer = self.apply_command(
                pb.RollCommand(renew=pb.Renew(number=controller.in_flight.registration_number))
            )
        else:
            answer = self.apply_command(pb.RollCommand(sign_on=pb.SignOn(name=controller.name, routes=True)))
            controller.last_registered_index = answer.number
        controller.heard_at_ms = controller.heard_at_ms if answer.refusal else self.now_ms
        if self.random.random() < 0.05:  # the answer is lost: the controller may be registered
            answer.number = controller.in_flight.registration_number
        controller.in_flight.registration_number = 0 if answer.refusal else answer.number
        self.schedule(
            RENEWAL_INTERVAL_MS if controller.in_flight.registration_number else 500.0,
            self.register,
            controller,
        )

    def update_views(self, controller):
        if self.defer_if_paused(controller, self.update_views):
            return
        self.schedule(self.random.uniform(50.0, 500.0), self.update_views, controller)
        if self.random.random() < 0.1:
            return  # no member answers
        index = self.index
        locations, kinds = self.log[index]
        controller.in_flight.update_replicas(index, locations, kinds["copy"])
        index = max(1, index - self.random.choice((0, 0, 0, 5, 40)))  # from a member that lags behind
        _, kinds = self.log[index]
        excluded = {}
        for table, engine in kinds["table"]:
            excluded.setdefault(table, set()).add(engine)
        is_truncated = len(kinds["table"]) > 1 and self.random.random() < 0.3
        controller.in_flight.update_tables(
            index, excluded, kinds["table"][:1] if is_truncated else kinds["table"], not is_truncated
        )
        controller.is_excused = (
            controller.is_excused
            and min(controller.in_flight.replica_revision, controller.in_flight.table_index)
            < controller.last_registered_index
        )

    def acknowledge(self, controller):
        if self.defer_if_paused(controller, self.acknowledge):
            return
        next_acknowledgement = controller.in_flight.next_acknowledgement(self.now_ms)
        self.schedule(
            max(1.0, min(next_acknowledgement.check_at_ms - self.now_ms, 100.0)), self.acknowledge, controller
        )
        if next_acknowledgement.message is None:
            return
        if self.random.random() < 0.2:
            controller.in_flight.acknowledgement_lost()
        for _ in range(self.random.choice((0, 1, 1, 1, 2))):
            self.schedule(
                self.draw_delay_ms(),
                self.random.choice(self.members).acknowledgements.accept,
                next_acknowledgement.message,
                self.registry,
            )

    def query(self, controller):
        if self.defer_if_paused(controller, self.query):
            return
        self.schedule(self.random.expovariate(1 / 150.0), self.query, controller)
        query, shards = (
            next(controller.query_ids),
            tuple(self.random.sample(SHARDS, self.random.choice((1, 1, 2)))),
        )
        controller.routing.classify(query, 0, shards)
        self.schedule(
            self.random.choice((0.0, 0.0, 300.0, 2_000.0)), self.send_query, controller, query, shards
        )

    def send_query(self, controller, query, shards):
        if controller.is_dead or controller.paused_until_ms > self.now_ms:
            return controller.routing.query_ended(query)
        engine = self.random.choice(ENGINES)
        if not controller.routing.may_send(query, engine):
            self.counts["kept away"] += 1
            return controller.routing.query_ended(query)
        self.counts["attempts"] += 1
        pairs = [("copy", (s, engine)) for s in shards] + [("table", (table_of(s), engine)) for s in shards]
        for pair in pairs:
            if pair in self.cleared_at_ms and controller.is_excused:
                self.counts["excused"] += 1
            elif pair in self.cleared_at_ms:
                raise InvariantViolation(
                    f"{controller.name} starts at {pair}, cleared at {self.cleared_at_ms[pair]:.0f}"
                )
        controller.routing.attempt_started(query, 0, engine)
        controller.routing.query_ended(query)  # the client has left or has another answer
        attempt = (controller, query)
        self.open_attempts[attempt] = pairs
        duration_ms = (
            self.random.expovariate(1 / 400.0)
            if self.random.random() < 0.9
            else self.random.uniform(0.0, 15_000.0)
        )
        if self.random.random() < 0.2:  # abandoned; its engine still runs it for a while
            self.schedule(duration_ms * 0.3, self.abandon_query, controller, query, self.now_ms + duration_ms)
        else:
            self.schedule(duration_ms, controller.routing.attempt_ended, query, 0)
        self.schedule(duration_ms, self.open_attempts.pop, attempt, None)

    def abandon_query(self, controller, query, until_ms):
        controller.routing.attempt_ended(query, 0, until_ms + 1.0)

    def inject_fault(self, controller):
        """Pause or restart a controller; its open attempts continue at the engines."""
        if controller.is_dead:
            return
        self.schedule(self.random.expovariate(1 / 20_000.0), self.inject_fault, controller)
        if self.random.random() < 0.4:
            controller.is_dead = True
            controller = Controller(controller.name, True)
            self.controllers.append(controller)
            return self.start_controller(controller)
        pause_ms = self.random.choice((300.0, 3_000.0, SILENCE_TIMEOUT_MS * 0.6, SILENCE_TIMEOUT_MS * 2.5))
        controller.paused_until_ms = self.now_ms + pause_ms
        controller.is_excused = controller.is_excused or pause_ms > SILENCE_TIMEOUT_MS - RENEWAL_INTERVAL_MS
        if pause_ms > SILENCE_TIMEOUT_MS - RENEWAL_INTERVAL_MS:
            controller.last_registered_index = NO_INDEX
            self.schedule(pause_ms, lambda: setattr(controller, "last_registered_index", self.index))

    # The lease holder.

    def run_lease_holder(self):
        """Make requests, evaluate whether they are cleared, and withdraw them, in random order."""
        self.schedule(self.random.uniform(50.0, 400.0), self.run_lease_holder)
        if len(self.requests) < 3 and self.random.random() < 0.3:
            shard, engine = self.random.choice(SHARDS), self.random.choice(ENGINES)
            is_replica = shard in self.good and len(self.good[shard]) > 1 and engine in self.good[shard]
            request = (
                ("copy", (shard, engine))
                if is_replica and self.random.random() < 0.5
                else ("table", (table_of(shard), engine))
            )
            if request not in self.requests:
                if request[0] == "copy":
                    self.good[shard].discard(engine)
                self.requests[request] = self.index + 1
                self.append_entry()
        if self.requests:
            messages = [
                pb.Wish(table=kind == "table", name=name, engine=engine, since=since)
                for (kind, (name, engine)), since in self.requests.items()
            ]
            member = self.random.choice(self.members)
            heard = member.acknowledgements.evaluate(messages, member.registry, member.index, member.clock_ms)
            for request, result in zip(list(self.requests), heard.states, strict=True):
                self.counts["open"] += result.state == pb.Heard.OPEN
                self.counts["silent"] += result.state == pb.Heard.SILENT
                if result.state == pb.Heard.CLEARED and request not in self.cleared_at_ms:
                    self.check_cleared(request)
        for request in [
            made
            for made in self.requests
            if self.random.random() < (0.1 if made in self.cleared_at_ms else 0.005)
        ]:
            del self.requests[request]
            self.cleared_at_ms.pop(request, None)
            if request[0] == "copy":
                self.good[request[1][0]].add(request[1][1])
            self.append_entry()

    def check_cleared(self, request):
        """Check a request reported as cleared against the attempts that are really open."""
        for (controller, query), pairs in self.open_attempts.items():
            is_counted = (
                self.now_ms < controller.heard_at_ms + SILENCE_TIMEOUT_MS
                if controller.is_dead
                else not controller.is_excused
            )
            if request in pairs and is_counted:
                raise InvariantViolation(
                    f"{request} is cleared, but query {query} of {controller.name} is open there"
                )
        self.cleared_at_ms[request] = self.now_ms
        self.counts["cleared"] += 1
