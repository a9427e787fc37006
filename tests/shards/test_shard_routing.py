"""Routing by replicas: exact where slots suffice, checked before sending where not, unused without slots."""

from random import Random

from fennelwind import policy
from fennelwind.policy.gateway import Gateway
from fennelwind.shards.routing import MAX_SLOTS, Routing, widen

SETTINGS = policy.Settings(
    classes=(
        policy.QueryClass("short", 500.0, 2_000.0, 1.0),
        policy.QueryClass("long", 5_000.0, 20_000.0, 3.0, kinds=(1,)),
    ),
    kind_cores=(4, 8),
    gateway_count=2,
    max_attempts=3,
    resolution_ms=5.0,
)
ENGINES = policy.EngineListUpdate(
    "full", tuple(policy.EngineEndpoint(f"e{n}", zone=n % 2, kind=n % 2) for n in range(8))
)


class RoutingHarness:
    """A policy module, with or without its routing."""

    def __init__(self, slots, places):
        self.routing = Routing(SETTINGS, slots)
        self.gateway = Gateway(widen(SETTINGS, slots), 7)
        self.routing.update_replicas(places)
        self.sent, self.out, self.log = {}, {}, []
        self.step(0.0, self.routing.rewrite_list(ENGINES))

    def step(self, now, *events):
        for action in self.gateway.step(now, list(events)):
            self.log.append((now, action))
            if isinstance(action, policy.StartAttempt):
                self.sent.setdefault(action.query, []).append(action.engine)
                self.out[action.query] = (len(self.sent[action.query]) - 1, action.engine)

    def arrive(self, now, query, cls=0, shards=()):
        handed, told = self.routing.classify(query, cls, shards)
        self.step(now, *told, policy.QueryArrived(query, handed, now + 2_000.0, estimated_work_ms=50.0))

    def end(self, now, query, status="ok"):
        number, engine = self.out.pop(query)
        self.step(now, policy.AttemptEnded(query, number, engine, status, 20.0, status == "ok"))


def run_queries(rig, shards_of, steps=400):
    """Simulate arriving and ending queries; some attempts fail."""
    draw, now = Random(3), 0.0
    for query in range(steps):
        now += draw.uniform(0.5, 6.0)
        rig.arrive(now, query, draw.randrange(2), shards_of(query))
        for one in [q for q in rig.out if draw.random() < 0.35]:
            rig.end(now, one, "error" if draw.random() < 0.1 else "ok")
        rig.step(now, policy.TimerFired(rig.gateway.timer_token))
    return rig


def test_without_slots_nothing_changes():
    routing = Routing(SETTINGS, 0)
    assert widen(SETTINGS, 0) is SETTINGS and routing.rewrite_list(ENGINES) is ENGINES
    assert routing.update_replicas({"t/": ("e1",)}) == [] and routing.classify(1, 1, ["t/"]) == (1, [])
    assert routing.may_send(1, "e0")


def test_slots_do_not_affect_queries_without_shards():
    plain, split = (run_queries(RoutingHarness(slots, {"t/": ("e1",)}), lambda query: ()) for slots in (0, 3))
    assert plain.log == split.log and len(plain.sent) > 300


def test_queries_and_retries_go_only_to_engines_with_good_replicas():
    places = {"a/d=1": ("e1", "e3"), "a/d=2": ("e3", "e5", "e7"), "b/": ("e0", "e1", "e2", "e3")}
    named = [("a/d=1",), ("a/d=2",), ("b/",), ("a/d=1", "a/d=2"), ()]
    rig = run_queries(RoutingHarness(4, places), lambda query: named[query % 5])
    for query, engines in rig.sent.items():
        holders = rig.routing.holders(named[query % 5])
        assert holders is None or set(engines) <= holders, (query, engines)
    assert len(rig.sent) > 300 and any(len(set(engines)) > 1 for engines in rig.sent.values())
    assert rig.routing.holders(("a/d=1", "a/d=2")) == {"e3"}


def test_switch_redirects_waiting_queries():
    rig = RoutingHarness(1, {"t/": ("e1",)})
    for query in range(80):  # more than one engine can run
        rig.arrive(1.0, query, 0, ["t/"])
    first = len(rig.sent)
    assert {engine for sent in rig.sent.values() for engine in sent} == {"e1"} and first < 80
    rig.step(2.0, *rig.routing.update_replicas({"t/": ("e6",)}))
    assert {sent[0] for query, sent in rig.sent.items() if query >= first} == {"e6"}


def test_no_query_is_sent_to_replica_that_left_after_selection():
    rig = RoutingHarness(1, {"t/": ("e1", "e3")})
    rig.arrive(1.0, 1, 0, ["t/"])
    chosen = rig.sent[1][0]
    assert rig.routing.may_send(1, chosen)
    rig.routing.update_replicas({"t/": ("e3",) if chosen == "e1" else ("e1",)})
    assert not rig.routing.may_send(1, chosen)


def test_missing_replica_report_holds_until_next_view():
    rig = RoutingHarness(6, {"a": ("e1", "e2")})
    rig.arrive(0.0, 1, shards=("a",))
    first = rig.out[1][1]
    rig.step(1.0, *rig.routing.replica_missing(1, first))
    rig.end(1.0, 1, "moot")
    assert sorted(rig.sent[1]) == ["e1", "e2"] and not rig.routing.may_send(1, first)
    # no other engine has it, so the engine's answer is final
    assert rig.routing.replica_missing(1, rig.out[1][1]) is None
    rig.routing.update_replicas({"a": ("e1", "e2")})
    assert rig.routing.may_send(1, first)


def test_unused_slots_are_reassigned_and_overflow_is_checked_before_sending():
    rig = RoutingHarness(2, {f"t/d={n}": (f"e{n}",) for n in range(4)})
    for query in range(3):
        rig.arrive(1.0, query, 0, [f"t/d={query}"])
    assert rig.routing.overflows == 1
    assert rig.routing.may_send(2, "e2") and not rig.routing.may_send(2, "e1")
    rig.routing.query_ended(0)
    rig.arrive(2.0, 3, 0, ["t/d=3"])
    assert rig.sent[3] == ["e3"] and rig.routing.overflows == 1


def test_shard_without_good_replica_gets_no_query():
    rig = RoutingHarness(1, {"t/": ()})
    rig.arrive(1.0, 1, 0, ["t/"])
    assert 1 not in rig.sent and not rig.routing.may_send(1, "e0")


def test_slots_are_limited():
    assert len(Routing(SETTINGS, 50).slots) == MAX_SLOTS
    assert len(widen(SETTINGS, 50).kind_cores) == 2 * 2**MAX_SLOTS
