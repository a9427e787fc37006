"""Routing by copies: exact where slots reach, guarded where not, and nothing at all without them."""

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


class Rig:
    """A module with its routing, or without."""

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


def day(rig, shards_of, steps=400):
    """Let queries come and go for a while; some fail first."""
    draw, now = Random(3), 0.0
    for query in range(steps):
        now += draw.uniform(0.5, 6.0)
        rig.arrive(now, query, draw.randrange(2), shards_of(query))
        for one in [q for q in rig.out if draw.random() < 0.35]:
            rig.end(now, one, "error" if draw.random() < 0.1 else "ok")
        rig.step(now, policy.TimerFired(rig.gateway.timer_token))
    return rig


def test_without_slots_nothing_is_changed():
    routing = Routing(SETTINGS, 0)
    assert widen(SETTINGS, 0) is SETTINGS and routing.rewrite_list(ENGINES) is ENGINES
    assert routing.update_replicas({"t/": ("e1",)}) == [] and routing.classify(1, 1, ["t/"]) == (1, [])
    assert routing.may_send(1, "e0")


def test_with_slots_but_no_shards_named_the_module_decides_as_without():
    plain, split = (day(Rig(slots, {"t/": ("e1",)}), lambda query: ()) for slots in (0, 3))
    assert plain.log == split.log and len(plain.sent) > 300


def test_queries_go_to_engines_with_good_copies_only_at_first_and_after_failures():
    places = {"a/d=1": ("e1", "e3"), "a/d=2": ("e3", "e5", "e7"), "b/": ("e0", "e1", "e2", "e3")}
    named = [("a/d=1",), ("a/d=2",), ("b/",), ("a/d=1", "a/d=2"), ()]
    rig = day(Rig(4, places), lambda query: named[query % 5])
    for query, engines in rig.sent.items():
        holders = rig.routing.holders(named[query % 5])
        assert holders is None or set(engines) <= holders, (query, engines)
    assert len(rig.sent) > 300 and any(len(set(engines)) > 1 for engines in rig.sent.values())
    assert rig.routing.holders(("a/d=1", "a/d=2")) == {"e3"}


def test_a_switch_moves_queries_that_wait_as_well():
    rig = Rig(1, {"t/": ("e1",)})
    for query in range(80):  # more than one engine takes
        rig.arrive(1.0, query, 0, ["t/"])
    first = len(rig.sent)
    assert {engine for sent in rig.sent.values() for engine in sent} == {"e1"} and first < 80
    rig.step(2.0, *rig.routing.update_replicas({"t/": ("e6",)}))
    assert {sent[0] for query, sent in rig.sent.items() if query >= first} == {"e6"}


def test_a_copy_that_left_after_the_choice_is_not_sent_to():
    rig = Rig(1, {"t/": ("e1", "e3")})
    rig.arrive(1.0, 1, 0, ["t/"])
    chosen = rig.sent[1][0]
    assert rig.routing.may_send(1, chosen)
    rig.routing.update_replicas({"t/": ("e3",) if chosen == "e1" else ("e1",)})
    assert not rig.routing.may_send(1, chosen)


def test_an_engine_that_lacks_a_copy_is_believed_until_the_next_view():
    rig = Rig(6, {"a": ("e1", "e2")})
    rig.arrive(0.0, 1, shards=("a",))
    first = rig.out[1][1]
    rig.step(1.0, *rig.routing.replica_missing(1, first))
    rig.end(1.0, 1, "moot")
    assert sorted(rig.sent[1]) == ["e1", "e2"] and not rig.routing.may_send(1, first)
    assert rig.routing.replica_missing(1, rig.out[1][1]) is None  # nobody else has it: that is the answer
    rig.routing.update_replicas({"a": ("e1", "e2")})
    assert rig.routing.may_send(1, first)


def test_slots_are_given_anew_when_no_query_needs_them_and_overflow_is_guarded():
    rig = Rig(2, {f"t/d={n}": (f"e{n}",) for n in range(4)})
    for query in range(3):
        rig.arrive(1.0, query, 0, [f"t/d={query}"])
    assert rig.routing.overflows == 1
    assert rig.routing.may_send(2, "e2") and not rig.routing.may_send(2, "e1")
    rig.routing.query_ended(0)
    rig.arrive(2.0, 3, 0, ["t/d=3"])
    assert rig.sent[3] == ["e3"] and rig.routing.overflows == 1


def test_a_shard_without_any_good_copy_gets_no_query():
    rig = Rig(1, {"t/": ()})
    rig.arrive(1.0, 1, 0, ["t/"])
    assert 1 not in rig.sent and not rig.routing.may_send(1, "e0")


def test_slots_are_bounded():
    assert len(Routing(SETTINGS, 50).slots) == MAX_SLOTS
    assert len(widen(SETTINGS, 50).kind_cores) == 2 * 2**MAX_SLOTS
