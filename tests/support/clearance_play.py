"""Controllers, members and a lease holder in virtual time; acknowledgements are lost, late and doubled.

Processes stop and restart.
The oracle keeps what the record truly says, which attempts are open at which engine, and which pairs a holder
was told are cleared. The registry, the acknowledgements, the in-flight tracker and the routing are the
program's own.
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

FORGET_MS, RENEW_MS, DAY_MS = 20_000, 5_000.0, 150_000.0
NEVER = 10**9  # no entry of the record
ENGINES = ("e0", "e1", "e2")
SHARDS = ("t/d=0", "t/d=1", "u/d=0", "new/d=0")  # the last one is not on the record


class Broken(AssertionError):
    """What may not happen has happened."""


class Registry(ControllerRegistry):
    silence_timeout_ms = FORGET_MS


class Controller:
    """One process: its in-flight tracker, routing and number.

    `excused`: it began, or woke, with no view of its own.
    """

    def __init__(self, name, excused):
        self.name, self.excused, self.awake_at, self.dead = name, excused, 0.0, False
        self.in_flight = InFlightTracker()
        self.routing = Routing(SETTINGS, 2, self.in_flight)
        self.in_flight.on_replica_locations, self.in_flight.on_excluded_engines = (
            self.routing.update_replicas,
            self.routing.update_quiesced,
        )
        self.queries = itertools.count()
        self.heard_at = 0.0  # when the record last heard it
        self.since = NEVER if excused else 0  # the last sign-on: from a view of then on it is not excused


class Member:
    """One that leads, or does not know that another does."""

    def __init__(self):
        self.acknowledgements, self.registry, self.index, self.clock_ms = Acknowledgements(), Registry(), 0, 0


class Play:
    """One day."""

    def __init__(self, seed):
        self.random, self.now, self.index = Random(f"clearance {seed}"), 0.0, 0
        self.registry, self.members = Registry(), [Member(), Member(), Member()]
        self.log = {}  # by index: good copies, copies that leave, engines that are quiet
        self.good = {shard: set(ENGINES) for shard in SHARDS[:3]}
        self.wishes, self.cleared = {}, {}  # by kind and pair: entry; and when it was told to be cleared
        self.open = {}  # attempts at engines: the pairs that they read
        self.events, self.order = [], itertools.count()
        self.counts = dict.fromkeys(("cleared", "attempts", "kept away", "excused", "open", "silent"), 0)
        self.controllers = [Controller(f"c{n}", False) for n in range(4)]
        self.write()
        for each in self.controllers:
            self.begin(each)
        self.later(100.0, self.holder)
        self.later(50.0, self.clock)

    def play(self):
        while self.events and self.now < DAY_MS:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self.counts

    def later(self, ms, call, *args):
        heapq.heappush(self.events, (self.now + ms, next(self.order), call, args))

    def lag(self):
        """Return how long a message takes; one in twelve takes very long."""
        return self.random.uniform(1.0, 40.0 if self.random.random() < 0.92 else 30_000.0)

    # The record.

    def write(self):
        self.index += 1
        kinds = {kind: [pair for (k, pair) in self.wishes if k == kind] for kind in ("copy", "table")}
        self.log[self.index] = {s: tuple(sorted(e)) for s, e in self.good.items()}, kinds
        return LogPosition(self.index, int(self.now))

    def command(self, command):
        at = self.write()
        self.registry.expire_due(at)
        return pb.RollAnswer.FromString(self.registry.apply(at, command.SerializeToString(), None))

    def clock(self):
        """Let time pass on the record; members follow, the one of old behind."""
        self.later(500.0, self.clock)
        self.registry.expire_due(self.write())
        for member, heard in zip(self.members, (0.9, 0.15, 0.02), strict=True):
            if self.random.random() < 0.02:
                member.acknowledgements = Acknowledgements()  # it was begun anew
            if self.random.random() < heard:
                member.registry.restore(self.registry.snapshot())
                member.index, member.clock_ms = self.index, int(self.now)

    # Controllers.

    def begin(self, each):
        self.later(self.random.uniform(0.0, 6_000.0), self.sign_on, each)
        for call in (self.view, self.speak, self.query):
            self.later(self.random.uniform(0.0, 300.0), call, each)
        self.later(self.random.expovariate(1 / 60_000.0), self.trouble, each)

    def waits(self, each, call):
        """Tell whether a controller is stopped; what it would do is done when it goes on."""
        if each.awake_at > self.now:
            self.later(each.awake_at - self.now + self.random.uniform(0.0, 50.0), call, each)
        return each.dead or each.awake_at > self.now

    def sign_on(self, each):
        if self.waits(each, self.sign_on):
            return
        if each.in_flight.registration_number:
            answer = self.command(pb.RollCommand(renew=pb.Renew(number=each.in_flight.registration_number)))
        else:
            answer = self.command(pb.RollCommand(sign_on=pb.SignOn(name=each.name, routes=True)))
            each.since = answer.number
        each.heard_at = each.heard_at if answer.refusal else self.now
        if self.random.random() < 0.05:  # its answer is lost: whoever may be on the roll is waited for
            answer.number = each.in_flight.registration_number
        each.in_flight.registration_number = 0 if answer.refusal else answer.number
        self.later(RENEW_MS if each.in_flight.registration_number else 500.0, self.sign_on, each)

    def view(self, each):
        if self.waits(each, self.view):
            return
        self.later(self.random.uniform(50.0, 500.0), self.view, each)
        if self.random.random() < 0.1:
            return  # it can't be had now
        seen = self.index
        places, kinds = self.log[seen]
        each.in_flight.update_replicas(seen, places, kinds["copy"])
        seen = max(1, seen - self.random.choice((0, 0, 0, 5, 40)))  # of a member that lags
        _, kinds = self.log[seen]
        kept = {}
        for table, engine in kinds["table"]:
            kept.setdefault(table, set()).add(engine)
        cut = len(kinds["table"]) > 1 and self.random.random() < 0.3
        each.in_flight.update_tables(seen, kept, kinds["table"][:1] if cut else kinds["table"], not cut)
        each.excused = (
            each.excused and min(each.in_flight.replica_revision, each.in_flight.table_index) < each.since
        )

    def speak(self, each):
        if self.waits(each, self.speak):
            return
        due = each.in_flight.next_acknowledgement(self.now)
        self.later(max(1.0, min(due.check_at_ms - self.now, 100.0)), self.speak, each)
        if due.message is None:
            return
        if self.random.random() < 0.2:
            each.in_flight.acknowledgement_lost()
        for _ in range(self.random.choice((0, 1, 1, 1, 2))):
            self.later(
                self.lag(),
                self.random.choice(self.members).acknowledgements.accept,
                due.message,
                self.registry,
            )

    def query(self, each):
        if self.waits(each, self.query):
            return
        self.later(self.random.expovariate(1 / 150.0), self.query, each)
        query, shards = next(each.queries), tuple(self.random.sample(SHARDS, self.random.choice((1, 1, 2))))
        each.routing.classify(query, 0, shards)
        self.later(self.random.choice((0.0, 0.0, 300.0, 2_000.0)), self.send, each, query, shards)

    def send(self, each, query, shards):
        if each.dead or each.awake_at > self.now:
            return each.routing.query_ended(query)
        engine = self.random.choice(ENGINES)
        if not each.routing.may_send(query, engine):
            self.counts["kept away"] += 1
            return each.routing.query_ended(query)
        self.counts["attempts"] += 1
        pairs = [("copy", (s, engine)) for s in shards] + [("table", (table_of(s), engine)) for s in shards]
        for pair in pairs:
            if pair in self.cleared and each.excused:
                self.counts["excused"] += 1
            elif pair in self.cleared:
                raise Broken(f"{each.name} begins at {pair}, cleared at {self.cleared[pair]:.0f}")
        each.routing.attempt_started(query, 0, engine)
        each.routing.query_ended(query)  # its client may be gone, or have its answer from another attempt
        attempt = (each, query)
        self.open[attempt] = pairs
        takes = (
            self.random.expovariate(1 / 400.0)
            if self.random.random() < 0.9
            else self.random.uniform(0.0, 15_000.0)
        )
        if self.random.random() < 0.2:  # nobody waits for it any more, and its engine runs it on for a while
            self.later(takes * 0.3, self.lost, each, query, self.now + takes)
        else:
            self.later(takes, each.routing.attempt_ended, query, 0)
        self.later(takes, self.open.pop, attempt, None)

    def lost(self, each, query, until):
        each.routing.attempt_ended(query, 0, until + 1.0)

    def trouble(self, each):
        """Stop a controller for a while, or begin it anew; what it had open runs on at the engines."""
        if each.dead:
            return
        self.later(self.random.expovariate(1 / 20_000.0), self.trouble, each)
        if self.random.random() < 0.4:
            each.dead = True
            each = Controller(each.name, True)
            self.controllers.append(each)
            return self.begin(each)
        stop = self.random.choice((300.0, 3_000.0, FORGET_MS * 0.6, FORGET_MS * 2.5))
        each.awake_at = self.now + stop
        each.excused = each.excused or stop > FORGET_MS - RENEW_MS
        if stop > FORGET_MS - RENEW_MS:
            each.since = NEVER
            self.later(stop, lambda: setattr(each, "since", self.index))

    # The holder.

    def holder(self):
        """Ask for something, ask whether it is cleared, let it go, in any order."""
        self.later(self.random.uniform(50.0, 400.0), self.holder)
        if len(self.wishes) < 3 and self.random.random() < 0.3:
            shard, engine = self.random.choice(SHARDS), self.random.choice(ENGINES)
            copy = shard in self.good and len(self.good[shard]) > 1 and engine in self.good[shard]
            wish = (
                ("copy", (shard, engine))
                if copy and self.random.random() < 0.5
                else ("table", (table_of(shard), engine))
            )
            if wish not in self.wishes:
                if wish[0] == "copy":
                    self.good[shard].discard(engine)
                self.wishes[wish] = self.index + 1
                self.write()
        if self.wishes:
            asked = [
                pb.Wish(table=kind == "table", name=name, engine=engine, since=since)
                for (kind, (name, engine)), since in self.wishes.items()
            ]
            member = self.random.choice(self.members)
            heard = member.acknowledgements.evaluate(asked, member.registry, member.index, member.clock_ms)
            for wish, one in zip(list(self.wishes), heard.states, strict=True):
                self.counts["open"] += one.state == pb.Heard.OPEN
                self.counts["silent"] += one.state == pb.Heard.SILENT
                if one.state == pb.Heard.CLEARED and wish not in self.cleared:
                    self.look(wish)
        for wish in [w for w in self.wishes if self.random.random() < (0.1 if w in self.cleared else 0.005)]:
            del self.wishes[wish]
            self.cleared.pop(wish, None)
            if wish[0] == "copy":
                self.good[wish[1][0]].add(wish[1][1])
            self.write()

    def look(self, wish):
        """Hold what the holder was told against what is so."""
        for (each, query), pairs in self.open.items():
            counts = self.now < each.heard_at + FORGET_MS if each.dead else not each.excused
            if wish in pairs and counts:
                raise Broken(f"{wish} is cleared, and query {query} of {each.name} is open there")
        self.cleared[wish] = self.now
        self.counts["cleared"] += 1
