"""The rules together, over generated sequences of events, by a checker that knows only their wording."""

from collections import defaultdict

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from fennelwind import interface as api
from fennelwind.rules import Gateway

NEVER_RAN = ("full", "connect_failed", "moot")
DOUBT = ("timeout", "reset", "cancelled")
STATUSES = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled")
CLASSES = (
    api.QueryClass("safe", 500.0, 2000.0, 1.0),
    api.QueryClass("unsafe", 500.0, 2000.0, 2.0, effect="unsafe", threads=2),
    api.QueryClass("keyed", 500.0, 2000.0, 3.0, effect="keyed", group="zone", memory_ms=700.0),
    api.QueryClass("cell", 500.0, 2000.0, 3.0, effect="keyed", group="cell", memory_ms=700.0, serial=True),
    api.QueryClass("serial", 500.0, 2000.0, 3.0, serial=True),
    api.QueryClass("placed", 500.0, 2000.0, 1.0, zones=(1,), kinds=(0,)),
)
STEP = st.fixed_dictionaries(
    {
        "after": st.sampled_from([0.0, 5.0, 25.0, 130.0, 600.0]),
        "asks": st.lists(
            max_size=4,
            elements=st.tuples(
                st.integers(0, 5),
                st.sampled_from([0.0, 30.0, 700.0, 2000.0]),
                st.sampled_from(["a", "b"]),
                st.sampled_from([None, 1.0, 100.0, 9000.0]),
            ),
        ),
        "answers": st.lists(st.tuples(st.integers(0, 50), st.sampled_from(STATUSES)), max_size=4),
        "gone": st.booleans(),
        "listed": st.one_of(
            st.none(),
            st.tuples(st.integers(0, 4), st.sampled_from(["ready", "draining", "gone"]), st.booleans()),
        ),
    }
)
SITE = st.fixed_dictionaries(
    {
        "parallel": st.booleans(),
        "can_cancel": st.booleans(),
        "max_attempts": st.integers(1, 4),
        "gateways": st.integers(1, 3),
        "settle_ms": st.sampled_from([0.0, 300.0]),
        "budget_ms": st.sampled_from([0.0, 1000.0]),
        "fall_multiple": st.sampled_from([0.0, 2.0]),
    }
)


class Checker:
    """Plays the world's side for one gateway and checks every action by the rules."""

    def __init__(self, site):
        self.site = api.Settings(
            classes=CLASSES,
            kind_cores=(4, 8),
            budget_free=1.0,
            budget_share=0.2,
            answer_slack_ms=20.0,
            drain_grace_ms=500.0,
            cold_share=0.3,
            cold_ms=3000.0,
            fall_ms=500.0,
            tick_ms=5.0,
            **site,
        )
        self.gateway = Gateway(self.site, 3)
        self.now, self.count, self.token, self.timer = 0.0, 0, 0, None
        self.asked, self.final, self.tries, self.out = {}, {}, defaultdict(list), {}
        self.keys, self.rest, self.taken, self.further = defaultdict(list), {}, [], []
        self.sent = defaultdict(list)
        self.entries = {f"e{i}": api.EngineEntry(f"e{i}", zone=i % 2, kind=i // 3, cell=i) for i in range(5)}
        self.step([api.EngineList("cached", tuple(self.entries.values()))])

    def step(self, events):
        if self.timer is not None and self.timer <= self.now:
            events = [*events, api.TimerFired(self.token)]
            self.timer = None
        for action in self.gateway.step(self.now, events):
            self.check(action)
        for query, told in self.asked.items():
            assert query in self.final or self.now <= told.deadline_ms + self.site.answer_slack_ms, "lost"

    def check(self, action):
        match action:
            case api.Timer(delay, token):
                assert delay > 0
                self.timer, self.token = self.now + delay, token
            case api.Cancel(query, attempt):
                assert self.site.can_cancel and attempt < len(self.tries[query])
            case api.Refuse(query):
                told = self.finish(query)
                cls = CLASSES[told.cls]
                clean = all(s in NEVER_RAN for _, _, s in self.tries[query])
                assert clean or cls.effect == "safe" or cls.effect == "keyed" and cls.group == "all"
            case api.Fail(query):
                self.finish(query)
            case api.Send(query, engine):
                self.check_send(query, engine)

    def finish(self, query):
        assert query not in self.final, "two final answers"
        self.final[query] = self.now
        return self.asked[query]

    def check_send(self, query, engine):
        told, entry, tries = self.asked[query], self.entries[engine], self.tries[query]
        cls = CLASSES[told.cls]
        assert query not in self.final
        assert entry.state == "ready", "drain"
        assert cls.zones is None or entry.zone in cls.zones
        assert cls.kinds is None or entry.kind in cls.kinds
        assert len(tries) < self.site.max_attempts
        pending = [n for n in range(len(tries)) if (query, n) in self.out]
        assert not pending or self.site.parallel
        maybe = [(e, t) for n, (e, t, s) in enumerate(tries) if s not in NEVER_RAN]
        if maybe and cls.effect == "unsafe":
            raise AssertionError("effect twice")
        if maybe and cls.effect == "keyed":
            first, when = maybe[0]
            assert self.now <= when + cls.memory_ms
            assert entry.zone == self.entries[first].zone
            assert cls.group != "cell" or entry.cell == self.entries[first].cell
        if cls.serial:
            for earlier in self.keys[told.key]:
                if earlier == query:
                    break
                assert earlier in self.final and not any(q == earlier for q, _ in self.out), "order"
            assert tries or self.rest.get(told.key, 0.0) <= self.now, "rest after doubt"
        if tries:
            self.further.append(self.now)
            if self.site.budget_ms:
                since = self.now - self.site.budget_ms
                took = sum(t > since for t in self.taken)
                assert sum(t > since for t in self.further) <= 1.0 + 0.2 * took + 1e-9, "budget"
        if self.site.fall_multiple and entry.launched_ms and self.now - entry.launched_ms < self.site.cold_ms:
            work = self.gateway.work[told.cls]
            recent = sum(w for t, w in self.sent[engine] if t > self.now - self.site.fall_ms) + work
            share = 0.3 + 0.7 * (self.now - entry.launched_ms) / self.site.cold_ms
            cores = self.site.kind_cores[entry.kind]
            assert recent <= 2.0 * share * cores * self.site.fall_ms / self.site.gateways + 1e-6, "cold"
        self.sent[engine].append((self.now, self.gateway.work[told.cls]))
        self.out[query, len(tries)] = self.now
        tries.append([engine, self.now, None])

    def outcome(self, query, attempt, status):
        sent = self.out.pop((query, attempt))
        record = self.tries[query][attempt]
        record[2] = status
        told = self.asked[query]
        if status == "ok" and query not in self.final:
            self.final[query] = self.now
        if status in DOUBT and CLASSES[told.cls].serial:
            self.rest[told.key] = self.now + self.site.settle_ms
        return api.Outcome(query, attempt, record[0], status, self.now - sent, query in self.final)

    def play(self, step):
        target = self.now + step["after"]
        while self.timer is not None and self.timer < target:
            self.now = self.timer
            self.step(self.overdue())
        self.now = target
        events = self.overdue()
        waiting = [q for q in self.asked if q not in self.final]
        if step["gone"] and waiting:
            self.final[waiting[0]] = self.now
            events.append(api.Gone(waiting[0]))
        for pick, status in step["answers"]:
            if self.out:
                events.append(self.outcome(*sorted(self.out)[pick % len(self.out)], status))
        if step["listed"] is not None:
            i, state, restarted = step["listed"]
            old = self.entries[f"e{i}"]
            launched = self.now if restarted and state == "ready" else old.launched_ms
            self.entries[f"e{i}"] = api.EngineEntry(
                f"e{i}", state, old.zone, old.kind, old.cell, launched_ms=launched
            )
            events.append(api.EngineList("delta", (self.entries[f"e{i}"],)))
        for cls, left, key, work in step["asks"]:
            self.count += 1
            told = api.Arrival(self.count, cls, self.now + left, key=key, work_ms=work)
            self.asked[self.count] = told
            self.taken.append(self.now)
            if CLASSES[cls].serial:
                self.keys[key].append(self.count)
            events.append(told)
        self.step(events)

    def overdue(self):
        """Attempts end at the client's deadline at the latest."""
        late = [(q, n) for q, n in sorted(self.out) if self.asked[q].deadline_ms <= self.now]
        return [self.outcome(q, n, "timeout") for q, n in late]


@hypothesis_settings(max_examples=250, deadline=None, derandomize=True, database=None)
@given(SITE, st.lists(STEP, min_size=5, max_size=40))
def test_all_seven_rules_hold_together(site, steps):
    checker = Checker(site)
    for step in steps:
        checker.play(step)
    for _ in range(30):
        checker.play({"after": 130.0, "asks": [], "answers": [], "gone": False, "listed": None})
    assert all(q in checker.final for q in checker.asked)
    assert not checker.gateway.queries or checker.out  # nothing is kept for what is over
