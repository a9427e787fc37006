"""The rules together, over generated sequences of events, by a checker that knows only their wording."""

from collections import defaultdict

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from fennelwind import policy
from fennelwind.policy.gateway import Gateway

NEVER_RAN = ("full", "connect_failed", "moot")
DOUBT = ("timeout", "reset", "cancelled")
STATUSES = ("ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled")
CLASSES = (
    policy.QueryClass("safe", 500.0, 2000.0, 1.0),
    policy.QueryClass("unsafe", 500.0, 2000.0, 2.0, idempotency="unsafe", threads=2),
    policy.QueryClass(
        "keyed",
        500.0,
        2000.0,
        3.0,
        idempotency="keyed",
        deduplication_scope="zone",
        deduplication_window_ms=700.0,
    ),
    policy.QueryClass(
        "cell",
        500.0,
        2000.0,
        3.0,
        idempotency="keyed",
        deduplication_scope="cell",
        deduplication_window_ms=700.0,
        is_ordered_by_key=True,
    ),
    policy.QueryClass("serial", 500.0, 2000.0, 3.0, is_ordered_by_key=True),
    policy.QueryClass("placed", 500.0, 2000.0, 1.0, zones=(1,), kinds=(0,)),
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
        "allows_concurrent_attempts": st.booleans(),
        "can_cancel": st.booleans(),
        "max_attempts": st.integers(1, 4),
        "gateway_count": st.integers(1, 3),
        "unresolved_hold_ms": st.sampled_from([0.0, 300.0]),
        "retry_budget_window_ms": st.sampled_from([0.0, 1000.0]),
        "overload_multiple": st.sampled_from([0.0, 2.0]),
    }
)


class Checker:
    """Plays the world's side for one gateway and checks every action by the rules."""

    def __init__(self, site):
        self.site = policy.Settings(
            classes=CLASSES,
            kind_cores=(4, 8),
            retry_budget_free=1.0,
            retry_budget_share=0.2,
            answer_slack_ms=20.0,
            drain_grace_ms=500.0,
            cold_capacity_share=0.3,
            slow_start_ms=3000.0,
            overload_window_ms=500.0,
            resolution_ms=5.0,
            **site,
        )
        self.gateway = Gateway(self.site, 3)
        self.now, self.count, self.token, self.timer = 0.0, 0, 0, None
        self.asked, self.final, self.tries, self.out = {}, {}, defaultdict(list), {}
        self.keys, self.rest, self.taken, self.further = defaultdict(list), {}, [], []
        self.sent = defaultdict(list)
        self.entries = {
            f"e{i}": policy.EngineEndpoint(f"e{i}", zone=i % 2, kind=i // 3, cell=i) for i in range(5)
        }
        self.step([policy.EngineListUpdate("cached", tuple(self.entries.values()))])

    def step(self, events):
        if self.timer is not None and self.timer <= self.now:
            events = [*events, policy.TimerFired(self.token)]
            self.timer = None
        for action in self.gateway.step(self.now, events):
            self.check(action)
        for query, told in self.asked.items():
            assert query in self.final or self.now <= told.deadline_ms + self.site.answer_slack_ms, "lost"

    def check(self, action):
        match action:
            case policy.StartTimer(delay, token):
                assert delay > 0
                self.timer, self.token = self.now + delay, token
            case policy.CancelAttempt(query, attempt):
                assert self.site.can_cancel and attempt < len(self.tries[query])
            case policy.RejectQuery(query):
                told = self.finish(query)
                cls = CLASSES[told.class_index]
                clean = all(s in NEVER_RAN for _, _, s in self.tries[query])
                assert (
                    clean
                    or cls.idempotency == "safe"
                    or cls.idempotency == "keyed"
                    and cls.deduplication_scope == "all"
                )
            case policy.FailQuery(query):
                self.finish(query)
            case policy.StartAttempt(query, engine):
                self.check_send(query, engine)

    def finish(self, query):
        assert query not in self.final, "two final answers"
        self.final[query] = self.now
        return self.asked[query]

    def check_send(self, query, engine):
        told, entry, tries = self.asked[query], self.entries[engine], self.tries[query]
        cls = CLASSES[told.class_index]
        assert query not in self.final
        assert entry.state == "ready", "drain"
        assert cls.zones is None or entry.zone in cls.zones
        assert cls.kinds is None or entry.kind in cls.kinds
        assert len(tries) < self.site.max_attempts
        pending = [n for n in range(len(tries)) if (query, n) in self.out]
        assert not pending or self.site.allows_concurrent_attempts
        maybe = [(e, t) for n, (e, t, s) in enumerate(tries) if s not in NEVER_RAN]
        if maybe and cls.idempotency == "unsafe":
            raise AssertionError("effect twice")
        if maybe and cls.idempotency == "keyed":
            first, when = maybe[0]
            assert self.now <= when + cls.deduplication_window_ms
            assert entry.zone == self.entries[first].zone
            assert cls.deduplication_scope != "cell" or entry.cell == self.entries[first].cell
        if cls.is_ordered_by_key:
            for earlier in self.keys[told.key]:
                if earlier == query:
                    break
                assert earlier in self.final and not any(q == earlier for q, _ in self.out), "order"
            assert tries or self.rest.get(told.key, 0.0) <= self.now, "rest after doubt"
        if tries:
            self.further.append(self.now)
            if self.site.retry_budget_window_ms:
                since = self.now - self.site.retry_budget_window_ms
                took = sum(t > since for t in self.taken)
                assert sum(t > since for t in self.further) <= 1.0 + 0.2 * took + 1e-9, "budget"
        if (
            self.site.overload_multiple
            and entry.started_ms
            and self.now - entry.started_ms < self.site.slow_start_ms
        ):
            work = self.gateway.estimates.mean_work_ms[told.class_index]
            recent = (
                sum(w for t, w in self.sent[engine] if t > self.now - self.site.overload_window_ms) + work
            )
            share = 0.3 + 0.7 * (self.now - entry.started_ms) / self.site.slow_start_ms
            cores = self.site.kind_cores[entry.kind]
            assert (
                recent <= 2.0 * share * cores * self.site.overload_window_ms / self.site.gateway_count + 1e-6
            ), "cold"
        self.sent[engine].append((self.now, self.gateway.estimates.mean_work_ms[told.class_index]))
        self.out[query, len(tries)] = self.now
        tries.append([engine, self.now, None])

    def outcome(self, query, attempt, status):
        sent = self.out.pop((query, attempt))
        record = self.tries[query][attempt]
        record[2] = status
        told = self.asked[query]
        if status == "ok" and query not in self.final:
            self.final[query] = self.now
        if status in DOUBT and CLASSES[told.class_index].is_ordered_by_key:
            self.rest[told.key] = self.now + self.site.unresolved_hold_ms
        return policy.AttemptEnded(query, attempt, record[0], status, self.now - sent, query in self.final)

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
            events.append(policy.ClientDisconnected(waiting[0]))
        for pick, status in step["answers"]:
            if self.out:
                events.append(self.outcome(*sorted(self.out)[pick % len(self.out)], status))
        if step["listed"] is not None:
            i, state, restarted = step["listed"]
            old = self.entries[f"e{i}"]
            launched = self.now if restarted and state == "ready" else old.started_ms
            self.entries[f"e{i}"] = policy.EngineEndpoint(
                f"e{i}", state, old.zone, old.kind, old.cell, started_ms=launched
            )
            events.append(policy.EngineListUpdate("delta", (self.entries[f"e{i}"],)))
        for cls, left, key, work in step["asks"]:
            self.count += 1
            told = policy.QueryArrived(self.count, cls, self.now + left, key=key, estimated_work_ms=work)
            self.asked[self.count] = told
            self.taken.append(self.now)
            if CLASSES[cls].is_ordered_by_key:
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
